#ifndef APPLEHALL_CORE_PEER_MESSAGE_H_
#define APPLEHALL_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"

namespace applehall {

inline constexpr int kPeerProtocolVersion = 1;

enum class PeerMessageType : uint8_t {
  kGossip,
  kDemand,
  kDemandAnswer,
  kControl,  // Records or a snapshot of the control stream.
  kStoreBorrow,
  kStoreGrant,
  kFleetReport,   // To the placement owner: what waits, what runs where.
  kFleetPlan,     // From the owner: what is ready where, answers to demands.
  kStoreFollow,   // To the reader of the store: this host takes its news.
  kStoreNews,     // From the reader: what it read, and how recent that is.
  kQuotaUsage,    // Without an owner, to the reader: what teams asked for here.
  kQuotaWord,     // From the reader: what share of it may be admitted.
  kPermitAsk,     // To the placement owner: requests for limited servers.
  kPermitAnswer,  // From the owner: which of them may be sent.
};

// Another host, and where its links are opened.
struct PeerAddress {
  std::string host;
  std::string address;

  bool operator==(const PeerAddress&) const = default;
};

// One message between hosts. The body's fields depend on the type; fields a
// receiver does not know are ignored.
struct PeerMessage {
  PeerMessageType type = PeerMessageType::kGossip;
  Json body;

  // CBOR. Requires: nothing. Thread-safe.
  std::vector<uint8_t> Encode() const;
  // Nothing if malformed or of another protocol version. Thread-safe.
  static std::optional<PeerMessage> Decode(const std::vector<uint8_t>& bytes);
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_PEER_MESSAGE_H_

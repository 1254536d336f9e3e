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
  kFleetReport,   // To the placement owner: queued demand, running requests.
  kFleetPlan,     // From the owner: ready replicas, answers to demands.
  kStoreFollow,   // To the reader of the store: subscribes to its updates.
  kStoreUpdates,  // From the reader: records that it read, their freshness.
  kQuotaUsage,    // To the reader, without an owner: demand of teams here.
  kQuotaShareUpdate,  // From the reader: the share of that demand to admit.
  kPermitRequest,     // To the placement owner: requests for limited servers.
  kPermitAnswer,      // From the owner: the requests that may be sent.
  kStreamRecords,     // To a registrar: where streams began.
  kStreamQuery,       // To a registrar: asks where a stream began.
  kStreamAnswer,      // From a registrar.
};

// Another host and the address that links to it connect to.
struct PeerAddress {
  std::string host;
  std::string address;

  bool operator==(const PeerAddress&) const = default;
};

// One message between hosts. The fields of the body depend on the type;
// receivers ignore unknown fields.
struct PeerMessage {
  PeerMessageType type = PeerMessageType::kGossip;
  Json body;

  // Encodes the message as CBOR. Requires: nothing. Thread-safe.
  std::vector<uint8_t> Encode() const;
  // Returns nothing if the message is malformed or of another protocol version.
  // Thread-safe.
  static std::optional<PeerMessage> Decode(const std::vector<uint8_t>& bytes);
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_PEER_MESSAGE_H_

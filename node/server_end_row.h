#ifndef APPLEHALL_NODE_SERVER_END_ROW_H_
#define APPLEHALL_NODE_SERVER_END_ROW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// What a host tells the placement owner of one content.
struct ServerEndRow {
  // As numbered on the wire between hosts.
  enum class Kind : uint8_t {
    kEnd,      // A server ended with it under way.
    kLateEnd,  // The same, with its answer long under way.
    kCleared,  // A server ran it to its end.
    kProven,   // This host put it under quarantine, without its owner.
  };

  uint64_t number = 0;  // Ascends; one host life's rows only.
  Kind kind = Kind::kEnd;
  uint64_t fingerprint = 0;
  std::string server{};  // Of an end.
  TimePoint at{};        // kProven: when the quarantine ends.
};

// On the wire times are relative, as hosts' clocks differ. Thread-safe.
Json ServerEndRowToJson(const ServerEndRow& row, TimePoint now);
// Nothing if it is malformed. Thread-safe.
std::optional<ServerEndRow> ServerEndRowFromJson(const Json& json,
                                                 TimePoint now);

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_ROW_H_

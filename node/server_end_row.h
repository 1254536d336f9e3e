#ifndef APPLEHALL_NODE_SERVER_END_ROW_H_
#define APPLEHALL_NODE_SERVER_END_ROW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "routing/prompt_part_ledger.h"

namespace applehall {

// Report of a host to the placement owner about one content.
struct ServerEndRow {
  // The values are those on the wire between hosts.
  enum class Kind : uint8_t {
    kEnd,      // A server ended while it ran the content.
    kLateEnd,  // The same, but the answer had been under way for long.
    kCleared,  // A server answered the content completely.
    kProven,   // This host quarantined the content without the owner.
  };

  uint64_t number = 0;  // Ascends within one incarnation of a host.
  Kind kind = Kind::kEnd;
  uint64_t fingerprint = 0;
  std::string server{};  // kEnd and kLateEnd only.
  TimePoint at{};        // kProven: when the quarantine ends.
  // kEnd: hash of the whole prompt and the parts that no server has answered.
  uint64_t prompt = 0;
  std::vector<PartKeys> parts{};
  std::vector<uint64_t> group{};  // kProven: prompt parts, not a content.
};

// Times are relative on the wire, because of clock skew. Thread-safe.
Json ServerEndRowToJson(const ServerEndRow& row, TimePoint now);
// Returns nothing if `json` is malformed. Thread-safe.
std::optional<ServerEndRow> ServerEndRowFromJson(const Json& json,
                                                 TimePoint now);

// The prompts of the rows that have one, by the rows' numbers. They are apart
// from the rows because hosts of an earlier version reject rows of another
// length. Thread-safe.
Json PromptsToJson(const std::vector<const ServerEndRow*>& rows);
// Adds the prompts to the rows that they belong to. Returns false if `json` is
// malformed. Thread-safe.
bool AddPrompts(const Json& json, std::vector<ServerEndRow>& rows);

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_ROW_H_

#ifndef APPLEHALL_ROUTING_QUARANTINE_H_
#define APPLEHALL_ROUTING_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// After this time servers may have been fixed and the request is tried again;
// one that still ends a server is held again at once.
inline constexpr Duration kQuarantineTtl = std::chrono::minutes(60);

// Keys that are not sent to any server until a given time: fingerprints of
// request contents, and groups of prompt parts. A request is held if its
// content is, or if its prompt contains all parts of a group.
class Quarantine {
 public:
  // Sorted keys of prompt parts; empty for a content.
  using Parts = std::vector<uint64_t>;

  // Returns the key of a group. Requires: `parts` is sorted and not empty.
  // Thread-safe.
  static uint64_t KeyOf(const Parts& parts);

  // Returns true if the key was not held, or only for a shorter time. When the
  // table is full, the entry that expires first is removed. Not thread-safe.
  bool Add(uint64_t key, TimePoint until, Parts parts = {});
  void Remove(uint64_t key);
  // Removes and returns the expired keys. Not thread-safe.
  std::vector<uint64_t> TakeEnded(TimePoint now);

  bool Holds(uint64_t key, TimePoint now) const { return Until(key) > now; }
  // Returns the epoch if the key is not held.
  TimePoint Until(uint64_t key) const;
  // Returns the key of a group whose parts are all in `parts`; zero if none is.
  // Not thread-safe.
  uint64_t FindGroup(const Parts& parts, TimePoint now) const;
  // Returns the parts of a held group; empty for a content.
  Parts PartsOf(uint64_t key) const;
  // Returns the keys of the groups that contain `part`. Not thread-safe.
  std::vector<uint64_t> GroupsWith(uint64_t part) const;
  bool has_groups() const { return !groups_.empty(); }
  const std::map<uint64_t, TimePoint>& entries() const { return until_; }
  // Returns nothing if `json` is no list of parts. Thread-safe.
  static std::optional<Parts> ReadParts(const Json& json);
  // Rows of key, expiry time and, for a group, its parts; malformed rows are
  // skipped. Thread-safe.
  Json ToJson() const;
  static Quarantine FromJson(const Json& json);

 private:
  std::map<uint64_t, TimePoint> until_;
  std::map<uint64_t, Parts> groups_;  // By key; all are in `until_`.
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_QUARANTINE_H_

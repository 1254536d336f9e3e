#ifndef APPLEHALL_NODE_STREAM_TABLE_H_
#define APPLEHALL_NODE_STREAM_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/hash.h"
#include "membership/version_history.h"

namespace applehall {

// Returns the key of a stream: the id of the request that brought its first
// event, within the requests of its caller. Thread-safe.
inline uint64_t StreamKey(std::string_view id, std::string_view caller) {
  return StableHash(id, StableHash(caller));
}

// The origins of streams that began within kMaxStreamAge, those of this host
// and those that other hosts told it. Not thread-safe.
class StreamTable {
 public:
  struct Entry {
    StreamOrigin origin;
    TimePoint recorded_at;
    bool is_own = false;        // Events were sent by this host.
    bool is_complete = false;   // The caller has all of it.
    bool is_ambiguous = false;  // Recorded with two origins.
  };

  // Records an origin. A second one for the same key makes it ambiguous, so
  // that an id that was used twice joins no two streams.
  void Record(uint64_t key, const StreamOrigin& origin, bool is_own,
              TimePoint now);
  void RecordComplete(uint64_t key);
  // Removes what is older than kMaxStreamAge.
  void RemoveOld(TimePoint now);

  // Returns null if the origin is unknown or ambiguous. Valid until the next
  // change.
  const Entry* Find(uint64_t key) const;
  size_t size() const { return entries_.size(); }
  template <typename Visit>
  void ForEachOpen(const Visit& visit) const {
    for (const auto& [key, entry] : entries_) {
      if (entry.is_own && !entry.is_complete && !entry.is_ambiguous) {
        visit(key, entry);
      }
    }
  }

 private:
  absl::flat_hash_map<uint64_t, Entry> entries_;
  std::deque<std::pair<TimePoint, uint64_t>> by_age_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STREAM_TABLE_H_

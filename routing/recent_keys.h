#ifndef APPLEHALL_ROUTING_RECENT_KEYS_H_
#define APPLEHALL_ROUTING_RECENT_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>

#include "core/clock.h"

namespace applehall {

// Set of keys that expire. When it is full, the key that was recorded longest
// ago is evicted.
class RecentKeys {
 public:
  // Requires: `max_keys` is positive.
  RecentKeys(size_t max_keys, Duration ttl) : max_keys_(max_keys), ttl_(ttl) {}

  // Adds or renews `key`. Requires: `now` never decreases. Not thread-safe.
  void Record(uint64_t key, TimePoint now);
  void Remove(uint64_t key);
  // Returns whether `key` was recorded within the TTL. Not thread-safe.
  bool Holds(uint64_t key, TimePoint now) const;
  size_t size() const { return rows_.size(); }

 private:
  using Row = std::pair<uint64_t, TimePoint>;

  size_t max_keys_;
  Duration ttl_;
  std::list<Row> rows_;  // The oldest first.
  std::unordered_map<uint64_t, std::list<Row>::iterator> by_key_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_RECENT_KEYS_H_

#include "routing/recent_keys.h"

namespace applehall {

void RecentKeys::Record(uint64_t key, TimePoint now) {
  const auto known = by_key_.find(key);
  if (known != by_key_.end()) {
    known->second->second = now;
    rows_.splice(rows_.end(), rows_, known->second);
  } else {
    by_key_[key] = rows_.insert(rows_.end(), {key, now});
  }
  while (rows_.size() > max_keys_ || now - rows_.front().second > ttl_) {
    by_key_.erase(rows_.front().first);
    rows_.pop_front();
  }
}

void RecentKeys::Remove(uint64_t key) {
  const auto known = by_key_.find(key);
  if (known == by_key_.end()) return;
  rows_.erase(known->second);
  by_key_.erase(known);
}

bool RecentKeys::Holds(uint64_t key, TimePoint now) const {
  const auto known = by_key_.find(key);
  return known != by_key_.end() && now - known->second->second <= ttl_;
}

}  // namespace applehall

#include "node/stream_table.h"

namespace applehall {
namespace {

// Bounds the memory; the oldest entries are removed first.
constexpr size_t kMaxEntries = 100'000;

}  // namespace

void StreamTable::Record(uint64_t key, const StreamOrigin& origin, bool is_own,
                         TimePoint now) {
  const auto [known, is_new] = entries_.try_emplace(key);
  Entry& entry = known->second;
  if (is_new) {
    entry.origin = origin;
  } else if (entry.origin != origin) {
    entry.is_ambiguous = true;
  }
  entry.is_own = entry.is_own || is_own;
  entry.is_complete = false;
  entry.recorded_at = now;
  by_age_.emplace_back(now, key);
}

void StreamTable::RecordComplete(uint64_t key) {
  const auto known = entries_.find(key);
  if (known != entries_.end()) known->second.is_complete = true;
}

void StreamTable::RemoveOld(TimePoint now) {
  while (!by_age_.empty()) {
    const auto [recorded_at, key] = by_age_.front();
    const bool is_old = now - recorded_at > kMaxStreamAge;
    if (!is_old && by_age_.size() <= kMaxEntries) return;
    by_age_.pop_front();
    const auto known = entries_.find(key);
    if (known != entries_.end() && known->second.recorded_at == recorded_at) {
      entries_.erase(known);
    }
  }
}

const StreamTable::Entry* StreamTable::Find(uint64_t key) const {
  const auto known = entries_.find(key);
  if (known == entries_.end() || known->second.is_ambiguous) return nullptr;
  return &known->second;
}

}  // namespace applehall

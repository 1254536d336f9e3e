#ifndef APPLEHALL_ADMISSION_ADMISSION_QUEUE_H_
#define APPLEHALL_ADMISSION_ADMISSION_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace applehall {

// Identifies a request inside one process.
using RequestHandle = uint64_t;

struct WaitingRequest {
  RequestHandle handle = 0;
  std::string caller;
  TimePoint deadline;
  Duration service_estimate{0};
  double worth = 1.0;
  bool is_background = false;
};

// Requests that wait for one model or service, best first.
//
// The order is by the latest time a request may start, moved earlier by its
// worth and later by what its caller has waiting already, so that a burst of
// one caller lines up behind the first requests of the others. A deadline
// never moves, so waiting makes a request more urgent and nothing starves.
// Background work is taken only from idle capacity, until its own deadline
// makes it urgent.
class AdmissionQueue {
 public:
  // Adds a request; the result is the handle to refuse if the queue is full,
  // which may be the new one. Requires: the handle is not queued. Not
  // thread-safe.
  std::optional<RequestHandle> Add(const WaitingRequest& request, size_t limit);
  // Removes a request wherever it stands; false if it is not here. Not
  // thread-safe.
  bool Remove(RequestHandle handle);

  // The request to serve next; background work only if `has_idle_capacity`.
  // Not thread-safe.
  std::optional<RequestHandle> Best(TimePoint now,
                                    bool has_idle_capacity) const;
  // The request that is served last. Not thread-safe.
  std::optional<RequestHandle> Worst() const;
  // The order key of Best(), to compare queues that share an engine.
  std::optional<TimePoint> BestKey(TimePoint now, bool has_idle_capacity) const;
  size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  size_t foreground_size() const { return foreground_.size(); }
  double total_worth() const { return total_worth_; }
  std::optional<TimePoint> EarliestDeadline() const;
  bool Contains(RequestHandle handle) const {
    return entries_.contains(handle);
  }
  const auto& entries() const { return entries_; }

 private:
  struct Key {
    TimePoint time;
    RequestHandle handle = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    WaitingRequest request;
    Key key;
  };
  struct CallerLoad {
    std::set<Key> keys;
  };

  // The caller with the most waiting, if it has more than its share.
  const std::string* GreediestCaller() const;
  const Key* BestEntry(TimePoint now, bool has_idle_capacity) const;

  absl::flat_hash_map<RequestHandle, Entry> entries_;
  std::set<Key> foreground_;
  std::set<Key> background_;
  std::set<Key> deadlines_;
  absl::flat_hash_map<std::string, CallerLoad> callers_;
  double total_worth_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_ADMISSION_QUEUE_H_

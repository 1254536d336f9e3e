#ifndef APPLEHALL_ADMISSION_ADMISSION_QUEUE_H_
#define APPLEHALL_ADMISSION_ADMISSION_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"

namespace applehall {

// Identifies a request within one process.
using RequestHandle = uint64_t;

struct WaitingRequest {
  RequestHandle handle = 0;
  std::string caller;
  TimePoint deadline;
  Duration service_estimate{0};
  double worth = 1.0;
  bool is_background = false;
};

// Priority queue of the requests that wait for one model or service.
//
// Requests are ordered by their latest possible start time, moved earlier by
// their worth and later by the number of requests that their caller already has
// queued, so that a burst from one caller lines up behind the first requests of
// the others. Deadlines do not move, so a request gets more urgent while it
// waits and none starves. Background work is served from idle capacity only,
// until its own deadline makes it urgent.
class AdmissionQueue {
 public:
  // Adds a request. If the queue is full, returns the handle of the request to
  // refuse, which may be the new one. Requires: the handle is not queued. Not
  // thread-safe.
  std::optional<RequestHandle> Add(const WaitingRequest& request, size_t limit);
  // Removes a request; returns false if it is not queued. Not thread-safe.
  bool Remove(RequestHandle handle);

  // Returns the request to serve next; background work only if
  // `has_idle_capacity`. Not thread-safe.
  std::optional<RequestHandle> Best(TimePoint now,
                                    bool has_idle_capacity) const;
  // Returns the request with the lowest priority. Not thread-safe.
  std::optional<RequestHandle> Worst() const;
  // Returns the order key of Best(), to compare queues that share an engine.
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

  // Returns the caller with the most queued requests, null if the queue is
  // empty.
  const std::string* HeaviestCaller() const;
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

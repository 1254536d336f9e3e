#ifndef APPLEHALL_CORE_UNSERVED_DEMAND_H_
#define APPLEHALL_CORE_UNSERVED_DEMAND_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// How long callers may ask for something in vain before it takes precedence
// over what is worth more. A model that is asked for once or twice, or for some
// seconds, does not displace one in demand.
inline constexpr Duration kUnservedBound = std::chrono::seconds(12);

// What callers ask for and have not been served with since: targets, teams,
// rules or sessions, by name.
//
// A refused request leaves no other trace: without this record, each request
// for the same name would be decided as if it were the first.
class UnservedDemand {
 public:
  struct Wait {
    std::string name;
    TimePoint since;     // First request since the name was last served.
    TimePoint asked_at;  // Last request.
    int requests = 0;    // Since then.
    double worth = 0;    // Of the last request.
    TimePoint reported_at;

    // Zero for a single request: its caller may not return.
    Duration asked_for() const { return asked_at - since; }
  };

  // Records `requests` for `name` that were not served; zero if they were
  // counted before and still wait. Not thread-safe, as all below.
  void RecordRequests(const std::string& name, int requests, double worth,
                      TimePoint now);
  // Adds a wait that another process has recorded, from the time on at which
  // `wait.name` was last served here. Requires: `wait.since <= wait.asked_at`.
  void RecordWait(const Wait& wait);
  // Ends the wait of `name`; returns it as it was, for logs, or null if there
  // was none. Valid until the next call.
  const Wait* RecordServed(const std::string& name, TimePoint now);
  // Removes names that were not asked for recently.
  void Expire(TimePoint now);

  // Returns the wait of `name`, or null. Valid until the next change.
  const Wait* Find(const std::string& name) const;
  // Returns all waits, the one that began first at the front.
  std::vector<Wait> InOrder() const;
  // Returns the longest time between first and last request.
  Duration Longest() const;
  // Returns the waits longer than `bound` that were not returned here within
  // the last `bound`.
  std::vector<Wait> TakeOverdue(Duration bound, TimePoint now);

 private:
  absl::flat_hash_map<std::string, Wait> waits_;
  absl::flat_hash_map<std::string, TimePoint> served_at_;
  Wait ended_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_UNSERVED_DEMAND_H_

#ifndef APPLEHALL_NODE_FRESHNESS_BUDGET_H_
#define APPLEHALL_NODE_FRESHNESS_BUDGET_H_

#include "core/clock.h"

namespace applehall {

// Divides the time within which an acknowledged change must be in force at each
// host among the steps between the store and the host.
//
// The freshness of a topic at a host is proven only by an answer about that
// topic, its own or a reader's. A change is in force in time if these sums stay
// within the bound (docs/design/news.md):
//
//   reader lost:
//     max_staleness + read_timeout + retry_pause + apply <= bound
//   own read hangs:
//     renewal_interval + read_timeout + retry_pause + apply <= bound
//   normal operation:
//     renewal_interval + heartbeat_interval + max_transit <= max_staleness
struct FreshnessBudget {
  Duration bound;
  // Interval at which a host that reads the store renews the freshness of each
  // topic.
  Duration renewal_interval;
  // Interval at which readers report the freshness of their topics to their
  // followers, and at which followers request it.
  Duration heartbeat_interval;
  // Maximum transit time of such a message before a follower starts to read for
  // itself.
  Duration max_transit;
  // A follower whose topics are staler than this reads the store itself.
  Duration max_staleness;
  // Timeout of a read of the store, in addition to its wait for updates.
  Duration read_timeout;
  // Backoff after the first failed read; doubled with each further failure.
  Duration retry_pause;
  // Time to receive the last read's answer and to put its updates in force.
  Duration apply;

  // A host whose topics are staler than this cannot rule out that a route or
  // key it does not find was added in time; the store's next answer decides.
  constexpr Duration max_age() const { return max_staleness + read_timeout; }

  // Requires: `bound` is positive. Thread-safe.
  static constexpr FreshnessBudget Within(Duration bound) {
    constexpr int kParts = 16;
    const Duration part = bound / kParts;
    return {.bound = bound,
            .renewal_interval = 5 * part,
            .heartbeat_interval = 2 * part,
            .max_transit = part,
            .max_staleness = 8 * part,
            .read_timeout = 4 * part,
            .retry_pause = part,
            .apply = 3 * part};
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_FRESHNESS_BUDGET_H_

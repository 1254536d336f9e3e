#ifndef APPLEHALL_NODE_FRESHNESS_BUDGET_H_
#define APPLEHALL_NODE_FRESHNESS_BUDGET_H_

#include "core/clock.h"

namespace applehall {

// The time within which a confirmed change must be in force at each host,
// divided over what stands between the store and the host.
//
// As of when a host knows a topic is proven by an answer about that topic only,
// its own or a reader's. A change is in force in time if these sums stay within
// the bound (docs/design/news.md):
//
//   the reader is lost:   trust + read_timeout + retry_pause + apply <= bound
//   own read hangs:       renewal + read_timeout + retry_pause + apply <= bound
//   nothing fails:        renewal + beat + transit <= trust
struct FreshnessBudget {
  Duration bound;
  // A host that reads the store proves each topic anew this often.
  Duration renewal_interval;
  // Readers tell their followers how recent their proofs are this often, and
  // followers ask for it.
  Duration heartbeat_interval;
  // How long such a message may be under way without a follower's own read.
  Duration max_transit;
  // A follower reads for itself where a proof is older.
  Duration max_staleness;
  // A read of the store, beyond its wait for news.
  Duration read_timeout;
  // After a first failed read; doubled with each further one.
  Duration retry_pause;
  // Of the last read, and of what it takes to put its news in force.
  Duration apply;

  // A host whose proof is older cannot say that there is no such route or key,
  // as one may have been added in time; the next answer of the store tells.
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

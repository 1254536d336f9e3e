#ifndef APPLEHALL_CORE_RETRY_SCHEDULE_H_
#define APPLEHALL_CORE_RETRY_SCHEDULE_H_

#include "core/clock.h"

namespace applehall {

// Bounds of the pauses between two tries.
struct RetryPauses {
  Duration min;
  Duration max;
};

// When something that fails for a while is tried again, and which of its
// failures are logged: the first one and those after which the wait has doubled
// since the last line. Not thread-safe.
class RetrySchedule {
 public:
  // Requires: 0 < pauses.min <= pauses.max. `now`: time of the first try.
  RetrySchedule(RetryPauses pauses, TimePoint now)
      : pauses_(pauses), started_at_(now), next_pause_(pauses.min) {}

  struct Step {
    Duration pause;  // Until the next try.
    bool is_logged = false;
  };
  // Records a failed try.
  Step RecordFailure(TimePoint now);
  // Returns the time since the first try.
  Duration Waited(TimePoint now) const { return now - started_at_; }

 private:
  RetryPauses pauses_;
  TimePoint started_at_;
  Duration next_pause_;
  Duration next_logged_{0};  // Time waited at the next line.
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_RETRY_SCHEDULE_H_

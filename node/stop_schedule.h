#ifndef APPLEHALL_NODE_STOP_SCHEDULE_H_
#define APPLEHALL_NODE_STOP_SCHEDULE_H_

#include <algorithm>

#include "core/clock.h"

namespace applehall {

// Decides when a process that was told to stop exits: once the node is drained
// and callers have read their responses, which they may do slowly, or when the
// time until the process is ended by force is nearly over.
//
// Not thread-safe.
class StopSchedule {
 public:
  // `max_stop_time`: from the first signal until the exit.
  explicit StopSchedule(Duration max_stop_time)
      : max_stop_time_(max_stop_time) {}

  // Records a signal to stop; later ones change nothing.
  void RecordSignal(TimePoint now) {
    if (stop_by_ == TimePoint{}) stop_by_ = now + max_stop_time_;
  }
  // Records that the node has nothing left to do. Requires: RecordSignal().
  void RecordDrained() { is_drained_ = true; }

  // `is_idle`: no response is being written.
  bool IsDue(bool is_idle, TimePoint now) const {
    return is_drained_ && (is_idle || now >= stop_by_);
  }
  // Returns the time left for responses; zero if it is over.
  Duration TimeLeft(TimePoint now) const {
    return std::max(Duration{0}, Duration(stop_by_ - now));
  }

 private:
  Duration max_stop_time_;
  TimePoint stop_by_;
  bool is_drained_ = false;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STOP_SCHEDULE_H_

#include "core/retry_schedule.h"

#include <algorithm>

namespace applehall {

namespace {

constexpr Duration kMinLogInterval = std::chrono::seconds(1);

}  // namespace

RetrySchedule::Step RetrySchedule::RecordFailure(TimePoint now) {
  Step step;
  step.pause = next_pause_;
  next_pause_ = std::min<Duration>(2 * next_pause_, pauses_.max);
  const Duration waited = Waited(now);
  step.is_logged = waited >= next_logged_;
  if (step.is_logged) {
    next_logged_ = std::max<Duration>(2 * waited, kMinLogInterval);
  }
  return step;
}

}  // namespace applehall

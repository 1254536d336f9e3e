#include "core/retry_schedule.h"

#include <gtest/gtest.h>

#include <vector>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr RetryPauses kPauses{.min = milliseconds(20),
                              .max = milliseconds(500)};

// Guards against tries without a pause, and against pauses without an end.
TEST(RetryScheduleTest, PausesDoubleUpToTheirBound) {
  ManualClock clock{TimePoint(seconds(1000))};
  RetrySchedule schedule(kPauses, clock.Now());
  std::vector<int64_t> pauses;
  for (int i = 0; i < 7; ++i) {
    const Duration pause = schedule.RecordFailure(clock.Now()).pause;
    pauses.push_back(ToMillis(pause));
    clock.Advance(pause);
  }
  EXPECT_EQ(pauses, (std::vector<int64_t>{20, 40, 80, 160, 320, 500, 500}));
  EXPECT_EQ(schedule.Waited(clock.Now()), milliseconds(1620));
}

// Guards against a log that fills while a listener waits.
TEST(RetryScheduleTest, LogsFirstFailureAndEachDoubledWait) {
  ManualClock clock{TimePoint(seconds(1000))};
  RetrySchedule schedule(kPauses, clock.Now());
  EXPECT_TRUE(schedule.RecordFailure(clock.Now()).is_logged);
  clock.Advance(milliseconds(999));
  EXPECT_FALSE(schedule.RecordFailure(clock.Now()).is_logged);
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(schedule.RecordFailure(clock.Now()).is_logged);
  clock.Advance(milliseconds(999));
  EXPECT_FALSE(schedule.RecordFailure(clock.Now()).is_logged);
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(schedule.RecordFailure(clock.Now()).is_logged);
  int lines = 0;
  for (int i = 0; i < 7200; ++i) {
    clock.Advance(milliseconds(500));
    lines += schedule.RecordFailure(clock.Now()).is_logged ? 1 : 0;
  }
  EXPECT_EQ(lines, 10);  // After 4, 8, .. 2048 s of an hour.
}

}  // namespace
}  // namespace applehall

#include "node/stop_schedule.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kSignalled{std::chrono::hours(500000)};
constexpr Duration kMaxStopTime = milliseconds(7500);

// Guards against answers that are cut at callers who read slowly, though most
// of the time until the process is killed is left.
TEST(StopScheduleTest, SlowReadersHaveTheRestOfTheTime) {
  StopSchedule schedule(kMaxStopTime);
  schedule.RecordSignal(kSignalled);
  EXPECT_FALSE(schedule.IsDue(/*is_idle=*/true, kSignalled + seconds(1)));
  schedule.RecordDrained();
  EXPECT_FALSE(schedule.IsDue(/*is_idle=*/false, kSignalled + seconds(4)));
  EXPECT_FALSE(schedule.IsDue(false, kSignalled + milliseconds(7499)));
  EXPECT_TRUE(schedule.IsDue(false, kSignalled + kMaxStopTime));
  EXPECT_TRUE(schedule.IsDue(/*is_idle=*/true, kSignalled + seconds(3)));
}

// Guards against a second signal that lets the process run until it is killed.
TEST(StopScheduleTest, LaterSignalsChangeNothing) {
  StopSchedule schedule(kMaxStopTime);
  schedule.RecordSignal(kSignalled);
  schedule.RecordSignal(kSignalled + seconds(5));
  schedule.RecordDrained();
  EXPECT_EQ(schedule.TimeLeft(kSignalled + seconds(5)), milliseconds(2500));
  EXPECT_TRUE(schedule.IsDue(false, kSignalled + kMaxStopTime));
}

}  // namespace
}  // namespace applehall

#include "main/settings_wait.h"

#include <gtest/gtest.h>

#include <vector>

namespace applehall {
namespace {

using std::chrono::seconds;

class SettingsWaitTest : public testing::Test {
 protected:
  // Loads settings that are whole from the try `whole_at`, and stops in the
  // pause `stop_at`.
  absl::StatusOr<int> Await(int whole_at, int stop_at) {
    return AwaitSettings(
        [&]() -> absl::StatusOr<int> {
          if (++tries_ >= whole_at) return 7;
          return absl::InvalidArgumentError("cut");
        },
        clock_,
        [&](Duration pause) {
          clock_.Advance(pause);
          return ++pauses_ == stop_at;
        });
  }

  static constexpr int kNever = 1'000'000;
  const TimePoint start_{seconds(1000)};
  ManualClock clock_{start_};
  int tries_ = 0;
  int pauses_ = 0;
};

// Guards against a pause before settings that are whole.
TEST_F(SettingsWaitTest, WholeSettingsAreTakenAtOnce) {
  EXPECT_EQ(*Await(1, kNever), 7);
  EXPECT_EQ(clock_.Now(), start_);
}

// Guards against settings that are given up after one more try.
TEST_F(SettingsWaitTest, CutSettingsAreTakenOnceWhole) {
  EXPECT_EQ(*Await(6, kNever), 7);
  EXPECT_EQ(tries_, 6);
}

// Guards against a wait without a bound, and against one without a last try at
// its end.
TEST_F(SettingsWaitTest, WaitEndsWithTheLastErrorAtItsBound) {
  EXPECT_EQ(Await(kNever, kNever).status().message(), "cut");
  EXPECT_EQ(clock_.Now(), start_ + kMaxSettingsWait);
  EXPECT_EQ(tries_, pauses_ + 1);
}

// Guards against a stop that has to wait for the settings.
TEST_F(SettingsWaitTest, StopEndsTheWait) {
  EXPECT_TRUE(absl::IsCancelled(Await(kNever, 3).status()));
  EXPECT_EQ(pauses_, 3);
}

}  // namespace
}  // namespace applehall

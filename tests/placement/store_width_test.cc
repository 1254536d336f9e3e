#include "placement/store_width.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <vector>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLoad = seconds(10);
constexpr Duration kStep = milliseconds(50);

// Loads of a store that serves `true_width` at full speed and divides its
// throughput among more.
class StoreWidthTest : public testing::Test {
 protected:
  // Keeps `count` loads under way, or as many as the estimate if it is empty.
  void Run(Duration duration, std::optional<int> count = std::nullopt) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      const auto wanted = static_cast<size_t>(
          count ? *count : static_cast<int>(width_.width()));
      width_.Advance(static_cast<int>(loads_.size()), now_);
      while (loads_.size() < wanted) {
        const auto others = static_cast<int>(loads_.size());
        loads_.push_back({width_.Begin(others, now_), kLoad});
      }
      now_ += kStep;
      const double speed =
          std::min(1.0, true_width_ / static_cast<double>(loads_.size()));
      for (Load& load : loads_)
        load.left -= FromSeconds(ToSeconds(kStep) * speed);
      width_.Advance(static_cast<int>(loads_.size()), now_);
      std::erase_if(loads_, [&](const Load& load) {
        if (load.left > Duration{0}) return false;
        width_.RecordLoad(load.start, kLoad, now_);
        ++finished_;
        return true;
      });
    }
  }

  struct Load {
    StoreWidth::LoadStart start;
    Duration left;
  };
  double true_width_ = 2;
  TimePoint now_{std::chrono::hours(1)};
  StoreWidth width_{2};
  std::vector<Load> loads_;
  int finished_ = 0;
};

// Guards against an estimate that stays too low after a crowded moment: the
// store then works at half its speed for as long as the estimate lasts.
TEST_F(StoreWidthTest, CrowdedStartLeavesNoLowEstimate) {
  for (const int crowd : {3, 4}) {
    for (const Duration stagger : {seconds(0), seconds(1), seconds(9)}) {
      SCOPED_TRACE(testing::Message()
                   << crowd << " loads, " << ToMillis(stagger) << " ms apart");
      width_ = StoreWidth(2);
      loads_.clear();
      for (int i = 1; i <= crowd; ++i) Run(stagger, i);
      Run(seconds(40), crowd);
      Run(seconds(30));
      EXPECT_EQ(width_.width(), 2);
    }
  }
}

TEST_F(StoreWidthTest, EstimateFollowsTheStore) {
  for (const double width : {1.0, 2.0, 3.0, 4.0}) {
    true_width_ = width;
    width_ = StoreWidth(2);
    loads_.clear();
    Run(seconds(50));
    EXPECT_EQ(width_.width(), width);
  }
}

// Guards against a load that is late for another reason, and halves the store
// for all others.
TEST_F(StoreWidthTest, LoadsThatAreLateForOtherReasonsDoNotCount) {
  width_.Advance(0, now_);
  const StoreWidth::LoadStart first = width_.Begin(0, now_);
  const StoreWidth::LoadStart second = width_.Begin(1, now_);
  now_ += 3 * kLoad;
  width_.Advance(2, now_);
  width_.RecordLoad(first, kLoad, now_);
  width_.RecordLoad(second, kLoad, now_);
  EXPECT_EQ(width_.width(), 2);
}

// Guards against an estimate from a time in which the store was slow that never
// rises again.
TEST_F(StoreWidthTest, EstimateRisesAfterAnOutage) {
  Run(seconds(30));
  true_width_ = 1;
  Run(seconds(60));
  ASSERT_EQ(width_.width(), 1);
  true_width_ = 3;
  Run(seconds(300));
  EXPECT_GE(width_.width(), 3);
}

}  // namespace
}  // namespace applehall

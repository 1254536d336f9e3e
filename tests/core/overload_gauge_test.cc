#include "core/overload_gauge.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a host that refuses callers after it was paused once.
TEST(OverloadGaugeTest, SinglePauseIsNoOverload) {
  OverloadGauge gauge;
  for (int i = 0; i < 5; ++i) {
    gauge.Record(seconds(3));
    gauge.Record(milliseconds(1));
    EXPECT_FALSE(gauge.is_overloaded());
  }
}

// Guards against a host that takes new callers while those that it has read
// wait, and against one that refuses them for good.
TEST(OverloadGaugeTest, LastingDelayIsOverloadUntilItIsOver) {
  OverloadGauge gauge;
  for (int i = 0; i < 3; ++i) gauge.Record(milliseconds(200));
  EXPECT_TRUE(gauge.is_overloaded());
  for (int i = 0; i < 5; ++i) gauge.Record(milliseconds(100));
  EXPECT_TRUE(gauge.is_overloaded()) << "still behind";
  for (int i = 0; i < 3; ++i) gauge.Record(milliseconds(10));
  EXPECT_FALSE(gauge.is_overloaded());
}

}  // namespace
}  // namespace applehall

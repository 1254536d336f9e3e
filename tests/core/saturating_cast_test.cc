#include "core/saturating_cast.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

#include "core/clock.h"

namespace applehall {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();

// Guards against figures of others whose plain conversion is undefined and
// differs between processors.
TEST(SaturatingCastTest, NumberOutOfRangeBecomesTheNearest) {
  for (const double high : {9223372036854775808.0, 1e19, 1e308, kInfinity}) {
    EXPECT_EQ(SaturatingCast<int64_t>(high), INT64_MAX) << high;
    EXPECT_EQ(SaturatingCast<int64_t>(-high), INT64_MIN) << high;
    EXPECT_EQ(SaturatingCast<int>(high), INT32_MAX) << high;
    EXPECT_EQ(SaturatingCast<uint64_t>(-high), 0u) << high;
  }
  EXPECT_EQ(SaturatingCast<uint64_t>(18446744073709551616.0), UINT64_MAX);
  EXPECT_EQ(SaturatingCast<uint64_t>(9223372036854775808.0), uint64_t{1} << 63);
  EXPECT_EQ(SaturatingCast<uint64_t>(kInfinity), UINT64_MAX);
  EXPECT_EQ(SaturatingCast<int64_t>(kNotANumber), 0);
  EXPECT_EQ(SaturatingCast<uint64_t>(kNotANumber), 0u);
  EXPECT_EQ(SaturatingCast<int64_t>(9223372036854774784.0),
            9223372036854774784);
  EXPECT_EQ(SaturatingCast<int>(2147483647.9), 2147483647);
  EXPECT_EQ(SaturatingCast<int>(2147483648.0), 2147483647);
  EXPECT_EQ(SaturatingCast<int>(-2147483648.9), INT32_MIN);
  EXPECT_EQ(SaturatingCast<int>(-2.9), -2);
  EXPECT_EQ(SaturatingCast<uint64_t>(-0.5), 0u);
}

// Guards against a time of others that overflows where another one is added.
TEST(SaturatingCastTest, DurationsStayWithinBounds) {
  for (const double seconds : {1e10, 1e19, 1e308, kInfinity}) {
    EXPECT_EQ(FromSeconds(seconds), kMaxDuration) << seconds;
    EXPECT_EQ(FromSeconds(-seconds), -kMaxDuration) << seconds;
    EXPECT_EQ(FromMillis(1000 * seconds), kMaxDuration) << seconds;
    EXPECT_EQ(FromMillis(-1000 * seconds), -kMaxDuration) << seconds;
  }
  EXPECT_EQ(FromSeconds(kNotANumber), Duration::zero());
  EXPECT_EQ(FromSeconds(1.5), std::chrono::milliseconds(1500));
  EXPECT_EQ(FromSeconds(-0.25), std::chrono::milliseconds(-250));
  EXPECT_EQ(FromMillis(15000), std::chrono::seconds(15));
  // Timers count nanoseconds from now on.
  const auto now = std::chrono::system_clock::now();
  EXPECT_GT(now + std::chrono::nanoseconds(kMaxDuration), now);
}

// Guards against a point in time of others that overflows.
TEST(SaturatingCastTest, PointsInTimeStayWithinBounds) {
  EXPECT_GT(FromUnixMillis(INT64_MAX),
            FromUnixMillis(kMaxUnixTime.count() - 1));
  EXPECT_LT(FromUnixMillis(INT64_MIN), TimePoint{});
  EXPECT_GT(FromUnixMillis(INT64_MAX) + kMaxDuration, TimePoint{});
  EXPECT_EQ(ToUnixMillis(FromUnixMillis(1767225600000)), 1767225600000);
}

}  // namespace
}  // namespace applehall

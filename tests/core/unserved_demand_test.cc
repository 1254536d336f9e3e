#include "core/unserved_demand.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(UnservedDemandTest, WaitLastsUntilServed) {
  UnservedDemand demand;
  demand.RecordRequests("a", 1, 2.0, kStart);
  demand.RecordRequests("a", 1, 2.0, kStart + seconds(15));
  demand.RecordRequests("b", 1, 1.0, kStart + seconds(1));
  ASSERT_EQ(demand.InOrder().size(), 2u);
  EXPECT_EQ(demand.InOrder().front().name, "a");
  EXPECT_EQ(demand.Longest(), seconds(15));
  EXPECT_EQ(demand.TakeOverdue(kUnservedBound, kStart + seconds(15)).size(),
            1u);
  EXPECT_TRUE(demand.TakeOverdue(kUnservedBound, kStart + seconds(16)).empty());
  const UnservedDemand::Wait* wait =
      demand.RecordServed("a", kStart + seconds(16));
  ASSERT_NE(wait, nullptr);
  EXPECT_EQ(wait->requests, 2);
  EXPECT_EQ(demand.Find("a"), nullptr);
}

TEST(UnservedDemandTest, NamesThatNobodyAsksForExpire) {
  UnservedDemand demand;
  demand.RecordRequests("a", 1, 1.0, kStart);
  demand.Expire(kStart + seconds(39));
  EXPECT_NE(demand.Find("a"), nullptr);
  demand.Expire(kStart + seconds(41));
  EXPECT_EQ(demand.Find("a"), nullptr);
}

// Guards against a wait that another process reports from before the name was
// served here: it would take precedence for ever.
TEST(UnservedDemandTest, ReportedWaitBeginsAfterTheLastService) {
  UnservedDemand demand;
  demand.RecordServed("a", kStart + seconds(10));
  demand.RecordWait({"a", kStart, kStart + seconds(5), 3, 1.0, TimePoint{}});
  EXPECT_EQ(demand.Find("a"), nullptr);
  demand.RecordWait({"a", kStart, kStart + seconds(12), 3, 1.0, TimePoint{}});
  ASSERT_NE(demand.Find("a"), nullptr);
  EXPECT_EQ(demand.Find("a")->since, kStart + seconds(10));
  EXPECT_EQ(demand.Find("a")->asked_for(), seconds(2));
}

}  // namespace
}  // namespace applehall

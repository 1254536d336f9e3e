// Requests that come before a host knows anything.

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

class EarlyRequestTest : public FleetTest {
 protected:
  std::vector<RefuseRequest> Refused() const {
    return ActionsOf<RefuseRequest>("a");
  }
  size_t Sent() const { return ActionsOf<DispatchRequest>("a").size(); }
};

// All hosts of a data centre are killed and back half a second later, with all
// their callers. Each host had its rules 0.3 s after its start; until then it
// refused whoever came, and they returned a second later.
TEST_F(EarlyRequestTest, RequestsOfTheFirstMomentsWaitForTheRules) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Arrive("a", 2, "/again/x");
  Run(milliseconds(300));
  EXPECT_TRUE(Refused().empty());
  EXPECT_EQ(Sent(), 0u);
  LoadConfiguration("a");
  Run(milliseconds(50));
  EXPECT_TRUE(Refused().empty());
  EXPECT_EQ(Sent(), 2u);
}

// What was waited is taken off the time that the caller gave.
TEST_F(EarlyRequestTest, DeadlinesCountFromTheArrival) {
  Start("a");
  const TimePoint arrived_at = now_ + milliseconds(25);
  Run(milliseconds(25));
  Arrive("a", 1, "/once/x");
  Run(milliseconds(400));
  LoadConfiguration("a");
  Run(milliseconds(50));
  ASSERT_EQ(Sent(), 1u);
  EXPECT_EQ(ActionsOf<DispatchRequest>("a")[0].deadline,
            arrived_at + seconds(1));
}

// The store is away while hosts restart: nobody will learn any rules, and
// callers are told so.
TEST_F(EarlyRequestTest, WithoutTheStoreTheyAreRefusedAtOnce) {
  Start("a");
  Arrive("a", 1, "/once/x");
  EXPECT_TRUE(Refused().empty());
  Handle("a", LogUnavailable{});
  Run(milliseconds(50));
  ASSERT_EQ(Refused().size(), 1u);
  EXPECT_EQ(Refused()[0].refusal.reason, RefusalReason::kNoRuleSet);
  EXPECT_EQ(Refused()[0].refusal.verdict, Verdict::kNotRun);
  Arrive("a", 2, "/once/x");
  EXPECT_EQ(Refused().size(), 2u);
}

TEST_F(EarlyRequestTest, HeldForTheFirstMomentsOnly) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Run(milliseconds(900));
  EXPECT_EQ(Refused().size(), 1u);
  Arrive("a", 2, "/once/x");
  EXPECT_EQ(Refused().size(), 2u);
}

TEST_F(EarlyRequestTest, CallerThatLeavesIsForgotten) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Handle("a", CallerDisconnected{1});
  LoadConfiguration("a");
  Run(milliseconds(100));
  EXPECT_EQ(Sent(), 0u);
  EXPECT_TRUE(Refused().empty());
}

// A host is told to stop while it still holds requests.
TEST_F(EarlyRequestTest, DrainAnswersWhatIsHeld) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Handle("a", DrainRequested{});
  Run(milliseconds(50));
  EXPECT_EQ(Refused().size(), 1u);
}

}  // namespace
}  // namespace applehall

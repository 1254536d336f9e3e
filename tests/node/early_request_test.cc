// Tests requests that arrive before a host has read its rules.

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

// Guards against a mass restart in which each host refuses its returning
// callers for the 0.3 s until it has read its rules.
TEST_F(EarlyRequestTest, EarlyRequestsWaitForRules) {
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

// The time that a request was held counts against the caller's deadline.
TEST_F(EarlyRequestTest, DeadlineCountsFromArrival) {
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

// The store is unavailable while hosts restart: no rules will be read, so
// callers are refused at once.
TEST_F(EarlyRequestTest, RequestsAreRefusedAtOnceWithoutStore) {
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

TEST_F(EarlyRequestTest, RequestsAreHeldForLimitedTime) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Run(milliseconds(900));
  EXPECT_EQ(Refused().size(), 1u);
  Arrive("a", 2, "/once/x");
  EXPECT_EQ(Refused().size(), 2u);
}

TEST_F(EarlyRequestTest, RequestOfDepartedCallerIsRemoved) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Handle("a", CallerDisconnected{1});
  LoadConfiguration("a");
  Run(milliseconds(100));
  EXPECT_EQ(Sent(), 0u);
  EXPECT_TRUE(Refused().empty());
}

// A host starts to drain while it holds requests.
TEST_F(EarlyRequestTest, DrainAnswersHeldRequests) {
  Start("a");
  Arrive("a", 1, "/once/x");
  Handle("a", DrainRequested{});
  Run(milliseconds(50));
  EXPECT_EQ(Refused().size(), 1u);
}

}  // namespace
}  // namespace applehall

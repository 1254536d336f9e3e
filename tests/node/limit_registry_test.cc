#include "node/limit_registry.h"

#include <gtest/gtest.h>

#include "core/random.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ReportedLimit::Kind;

constexpr char kServer[] = "i-1";
constexpr FencingToken kToken = 7;

ReportedLimit Named(double per_second) {
  return {Kind::kNamed, per_second, {}};
}
const ReportedLimit kNone{Kind::kNone, 0, {}};

class LimitRegistryTest : public testing::Test {
 protected:
  LimitRegistryTest() { List(now_); }

  void List(TimePoint started_at) {
    ListedServer server;
    server.id = kServer;
    server.started_at = started_at;
    servers_[kServer] = server;
  }
  // Delivers the report of `host` to the owner and the owner's plan to both
  // hosts.
  void Exchange(LimitRegistry& host, LimitRegistry& other) {
    now_ += milliseconds(20);
    owner_.HandleReport(host.ReportRows(kToken, servers_, now_), servers_,
                        now_);
    owner_.NumberRows(last_update_);
    const Json rows = owner_.PlanRows(0, servers_, now_);
    host.HandlePlan(rows, kToken, servers_, now_);
    other.HandlePlan(rows, kToken, servers_, now_);
    now_ += milliseconds(20);
  }

  TimePoint now_{std::chrono::hours(500000)};
  EngineList servers_;
  LimitRegistry owner_;
  LimitRegistry a_;
  LimitRegistry b_;
  uint64_t last_update_ = 0;
};

TEST_F(LimitRegistryTest, LimitReachesAllHosts) {
  EXPECT_TRUE(a_.ApplyReported(kServer, Named(1.5), now_, now_));
  EXPECT_TRUE(a_.HasNewRows());
  Exchange(a_, b_);
  EXPECT_EQ(b_.Find(kServer), 1.5);
  EXPECT_FALSE(a_.HasNewRows());
}

// Guards against an answer that overtook the answer with the limit: a delayed
// older answer would lift the limit.
TEST_F(LimitRegistryTest, OlderAnswersNeitherRaiseNorLiftALimit) {
  const TimePoint before = now_;
  now_ += seconds(1);
  a_.ApplyReported(kServer, Named(1), now_, now_);
  EXPECT_FALSE(a_.ApplyReported(kServer, kNone, before, now_ + seconds(1)));
  EXPECT_FALSE(a_.ApplyReported(kServer, Named(9), before, now_ + seconds(1)));
  EXPECT_EQ(a_.Find(kServer), 1);
  EXPECT_TRUE(a_.ApplyReported(kServer, Named(0.5), before, now_ + seconds(1)));
  const TimePoint after = now_ + seconds(2);
  EXPECT_TRUE(a_.ApplyReported(kServer, kNone, after, after));
  EXPECT_FALSE(a_.Find(kServer).has_value());
}

// Guards against a stale report of one host that lifts a limit which another
// host has reported as lowered meanwhile.
TEST_F(LimitRegistryTest, OwnerIgnoresReportsAboutOlderVersions) {
  a_.ApplyReported(kServer, Named(4), now_, now_);
  Exchange(a_, b_);
  now_ += seconds(1);
  a_.ApplyReported(kServer, kNone, now_, now_);
  b_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(b_, b_);
  Exchange(a_, b_);
  EXPECT_EQ(owner_.Find(kServer), 1);
  EXPECT_EQ(a_.Find(kServer), 1);
  EXPECT_EQ(b_.Find(kServer), 1);
}

TEST_F(LimitRegistryTest, LiftedLimitIsLiftedAtAllHosts) {
  a_.ApplyReported(kServer, Named(4), now_, now_);
  Exchange(a_, b_);
  b_.ApplyReported(kServer, kNone, now_, now_);
  Exchange(b_, a_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
  EXPECT_FALSE(a_.Find(kServer).has_value());
  EXPECT_TRUE(a_.Limits().empty());
}

// Guards against a server that restarts under its id and keeps the limit of its
// earlier incarnation, by a late answer or by the report of a host that has not
// recorded the restart.
TEST_F(LimitRegistryTest, RestartOfTheServerEndsItsLimit) {
  a_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(a_, b_);
  const TimePoint sent_before = now_;
  now_ += seconds(1);
  List(now_);
  for (LimitRegistry* registry : {&owner_, &a_})
    registry->Remove(kServer, now_);
  EXPECT_FALSE(a_.ApplyReported(kServer, Named(1), sent_before, now_));
  EXPECT_FALSE(a_.Find(kServer).has_value());
  EngineList earlier = servers_;
  earlier[kServer].started_at = sent_before;
  b_.ApplyReported(kServer, Named(0.5), now_, now_);
  owner_.HandleReport(b_.ReportRows(kToken, earlier, now_), servers_, now_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
}

TEST_F(LimitRegistryTest, LimitThatNoAnswerNamesExpires) {
  a_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(a_, b_);
  for (int i = 0; i < 3; ++i) {
    now_ += seconds(25);
    a_.ApplyReported(kServer, Named(1), now_, now_);
    Exchange(a_, b_);
    owner_.Expire(now_);
  }
  EXPECT_EQ(owner_.Find(kServer), 1);
  now_ += seconds(61);
  owner_.Expire(now_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
  Exchange(a_, b_);
  EXPECT_FALSE(a_.Find(kServer).has_value());
}

// Guards against a new owner, which starts without limits and must receive them
// with the first reports of the hosts.
TEST_F(LimitRegistryTest, HostsReportKnownLimitsToANewOwner) {
  a_.ApplyReported(kServer, Named(2), now_, now_);
  Exchange(a_, b_);
  LimitRegistry next;
  next.HandleReport(a_.ReportRows(kToken + 1, servers_, now_), servers_, now_);
  EXPECT_EQ(next.Find(kServer), 2);
}

// Guards against rows of another program version, and corrupt ones.
TEST_F(LimitRegistryTest, MalformedRowsAreIgnored) {
  a_.ApplyReported(kServer, Named(2), now_, now_);
  const Json good = a_.ReportRows(kToken, servers_, now_);
  Random random(20261203);
  const std::string text = good.dump();
  for (int i = 0; i < 20000; ++i) {
    std::string mutated = text;
    for (uint64_t n = 1 + random.Below(4); n > 0; --n) {
      mutated[random.Below(mutated.size())] =
          static_cast<char>(32 + random.Below(95));
    }
    const Json rows = Json::parse(mutated, nullptr, /*allow_exceptions=*/false);
    LimitRegistry registry;
    registry.HandleReport(rows, servers_, now_);
    registry.HandlePlan(rows, kToken, servers_, now_);
    for (const auto& [server, per_second] : registry.Limits()) {
      EXPECT_GE(per_second, 0) << mutated;
    }
  }
  for (const char* rows :
       {"null", "3", "{}", R"([["i-1"]])", R"([["i-1",0,"x",0,0]])",
        R"([["i-1",0,1,0,-1]])", R"([["i-1",0,1,-5,0,9]])"}) {
    LimitRegistry registry;
    registry.HandleReport(*ParseJson(rows), servers_, now_);
    registry.HandlePlan(*ParseJson(rows), kToken, servers_, now_);
    EXPECT_TRUE(registry.Limits().empty()) << rows;
  }
}

}  // namespace
}  // namespace applehall

#include "tests/node/server_limit_fixture.h"

namespace applehall {
namespace {

class ServerLimitTest : public ServerLimitFixture {
 protected:
  void SetUp() override {
    for (int i = 0; i < 8; ++i) Add(absl::StrCat("edge-", i));
    Run(seconds(4));
  }

  // A plain service is listed with a start at this moment.
  void ListStart(const std::string& id) {
    ListedServer server = Server(id, "app");
    server.started_at = now_;
    ServerListRead listed;
    listed.listed = {server};
    for (const auto& [name, host] : hosts_) Handle(name, listed);
  }

  // A limited server is a smaller one: what it takes is used up to now.
  void ExpectUsed(const std::string& server, double per_second,
                  TimePoint from) const {
    EXPECT_GE(ArrivedAt(server, from, now_),
              0.9 * per_second * ToSeconds(now_ - from));
  }
};

// Guards against hosts that each send as if a server's limit were theirs alone,
// or did not exist: their sum is what the server gets.
TEST_F(ServerLimitTest, HostsTogetherKeepToTheLimitOfAServer) {
  AskFor(seconds(5), 12, "/stream/x", "m0");
  Name("llm-1", 1.2);
  const TimePoint named_at = now_;
  AskFor(seconds(30), 12, "/stream/x", "m0");
  EXPECT_LE(WorstWindow("llm-1", named_at + kLearning), Allowed(1.2));
  ExpectUsed("llm-1", 1.2, named_at + kLearning);
}

// The same for calls to plain services, which wait for no model.
TEST_F(ServerLimitTest, PlainServicesAreHeldToTheirLimitsToo) {
  AskFor(seconds(5), 12, "/once/x");
  Name("app-1", 1.2);
  const TimePoint named_at = now_;
  AskFor(seconds(30), 12, "/once/x");
  EXPECT_LE(WorstWindow("app-1", named_at + kLearning), Allowed(1.2));
  ExpectUsed("app-1", 1.2, named_at + kLearning);
}

// A limited server's demand goes to the other replica, which is not limited.
TEST_F(ServerLimitTest, WhatALimitedServerCannotTakeGoesToItsReplica) {
  AskFor(seconds(5), 12, "/stream/x", "m0");
  Name("llm-1", 1);
  AskFor(seconds(4), 12, "/stream/x", "m0");
  refusals_.clear();
  const TimePoint from = now_;
  AskFor(seconds(20), 12, "/stream/x", "m0");
  EXPECT_TRUE(refusals_.empty()) << refusals_.front().refusal.detail;
  EXPECT_GE(ArrivedAt("llm-2", from, now_), 10 * 20);
}

// Guards against requests that are held until their deadline although nobody
// can take them, and against callers that all come back at once.
TEST_F(ServerLimitTest, WhatNobodyCanTakeIsRefusedSoonWithTheTimeToReturn) {
  for (const char* server : {"app-1", "app-2"}) Name(server, 1);
  AskFor(seconds(5), 20, "/once/x");
  refusals_.clear();
  AskFor(seconds(20), 20, "/once/x");
  ASSERT_GT(refusals_.size(), 200u);
  std::set<Duration> returns;
  for (const Refused& one : refusals_) {
    EXPECT_EQ(one.refusal.verdict, Verdict::kNotRun);
    EXPECT_EQ(one.refusal.reason, RefusalReason::kServerLimited)
        << one.refusal.detail;
    EXPECT_GT(one.refusal.retry_after, Duration{0});
    EXPECT_LE(one.refusal.retry_after, seconds(8));
    EXPECT_LE(one.waited, milliseconds(600));
    returns.insert(one.refusal.retry_after);
  }
  EXPECT_GT(returns.size(), refusals_.size() / 2);
}

// Guards against a limit that only first attempts are held to. Each attempt
// fails here, so that half of what arrives are repeats.
TEST_F(ServerLimitTest, RepeatedAttemptsCountToo) {
  for (const char* server : {"app-1", "app-2"}) Name(server, 2);
  is_failing_ = true;
  AskFor(seconds(3), 30, "/again/x");
  const TimePoint named_at = now_;
  AskFor(seconds(20), 30, "/again/x");
  EXPECT_LE(WorstWindow("app-1", named_at), Allowed(2));
  EXPECT_LE(WorstWindow("app-2", named_at), Allowed(2));
}

// Guards against a server that starts again and is held to the limit of its
// earlier life.
TEST_F(ServerLimitTest, ServerThatStartsAgainHoldsNoLimit) {
  ListStart("app-1");
  AskFor(seconds(2), 12, "/once/x");
  Name("app-1", 0.2);
  AskFor(seconds(6), 12, "/once/x");
  Name("app-1", -1);
  ListStart("app-1");
  const TimePoint from = now_;
  AskFor(seconds(5), 12, "/once/x");
  EXPECT_GE(ArrivedAt("app-1", from, now_), 15);
}

// Guards against an owner that keeps the bucket and the queue of a server that
// has left.
TEST_F(ServerLimitTest, OwnerForgetsTheLimitOfAServerThatLeft) {
  Name("app-1", 1);
  AskFor(seconds(4), 20, "/once/x");
  const std::string owner = Holders().at(0);
  const auto limited = [&] {
    const Json dump = hosts_.at(owner).node->StateDump();
    return dump["server_limits"]["ledger"]["servers"].size();
  };
  EXPECT_EQ(limited(), 1u);
  ServerListRead listed;
  listed.gone = {"app-1"};
  for (const auto& [name, host] : hosts_) {
    Handle(name, StoreReached{});
    Handle(name, listed);
  }
  EXPECT_EQ(limited(), 0u);
}

// Guards against a fleet that sends nothing, or all, while no owner is heard.
TEST_F(ServerLimitTest, HostsWithoutAnOwnerGoOnWithinTheLimit) {
  AskFor(seconds(2), 12, "/once/x");
  for (const char* server : {"app-1", "app-2"}) Name(server, 4);
  AskFor(seconds(4), 30, "/once/x");
  for (auto& [name, host] : hosts_) {
    host.is_cut_from_hosts = true;
    host.is_cut_from_store = true;
  }
  const TimePoint from = now_;
  AskFor(seconds(15), 30, "/once/x");
  EXPECT_LE(WorstWindow("app-1", from), Allowed(4));
  EXPECT_GE(ArrivedAt("app-1", from, now_), 4 * 15 / 4);
}

// An owner that is killed takes its counts along; the next one begins empty.
TEST_F(ServerLimitTest, NextOwnerKeepsToTheLimit) {
  AskFor(seconds(2), 12, "/once/x");
  Name("app-1", 1.2);
  const TimePoint named_at = now_;
  AskFor(seconds(6), 30, "/once/x");
  for (int i = 0; i < 3; ++i) {
    hosts_.at(Holders().at(0)).is_down = true;
    AskFor(seconds(8), 30, "/once/x");
  }
  EXPECT_LE(WorstWindow("app-1", named_at + kLearning), Allowed(1.2));
  ExpectUsed("app-1", 0.6, named_at + kLearning);
}

// Guards against asks for permits of servers that name no limit.
TEST_F(ServerLimitTest, WithoutLimitsNothingIsAsked) {
  AskFor(seconds(5), 20, "/once/x");
  for (const auto& [name, host] : hosts_) {
    EXPECT_EQ(host.node->MetricsText().find("server_limit"), std::string::npos);
  }
}

}  // namespace
}  // namespace applehall

#include "tests/node/server_limit_fixture.h"

namespace applehall {
namespace {

class ServerLimitTest : public ServerLimitFixture {
 protected:
  void SetUp() override {
    for (int i = 0; i < 8; ++i) Add(absl::StrCat("edge-", i));
    Run(seconds(4));
  }

  // Lists a plain service that started now.
  void ListStart(const std::string& id) {
    ListedServer server = Server(id, "app");
    server.started_at = now_;
    ServerListRead listed;
    listed.listed = {server};
    for (const auto& [name, host] : hosts_) Handle(name, listed);
  }

  // Expects that `server` got nearly as many requests as its limit allows.
  void ExpectUsed(const std::string& server, double per_second,
                  TimePoint from) const {
    EXPECT_GE(CountArrivals(server, from, now_),
              0.9 * per_second * ToSeconds(now_ - from));
  }
};

// Guards against hosts that ignore a server's limit or each use the whole of
// it, so that the server gets the sum.
TEST_F(ServerLimitTest, HostsTogetherKeepWithinTheLimitOfAServer) {
  SendRequestsFor(seconds(5), 12, "/stream/x", "m0");
  SetLimit("llm-1", 1.2);
  const TimePoint named_at = now_;
  SendRequestsFor(seconds(30), 12, "/stream/x", "m0");
  EXPECT_LE(WorstWindow("llm-1", named_at + kLimitDetection), MaxRequests(1.2));
  ExpectUsed("llm-1", 1.2, named_at + kLimitDetection);
}

// Guards against the same fault with calls to plain services, which need no
// model.
TEST_F(ServerLimitTest, LimitsOfPlainServicesAreKept) {
  SendRequestsFor(seconds(5), 12, "/once/x");
  SetLimit("app-1", 1.2);
  const TimePoint named_at = now_;
  SendRequestsFor(seconds(30), 12, "/once/x");
  EXPECT_LE(WorstWindow("app-1", named_at + kLimitDetection), MaxRequests(1.2));
  ExpectUsed("app-1", 1.2, named_at + kLimitDetection);
}

// Guards against refusals while another replica without a limit has capacity.
TEST_F(ServerLimitTest, DemandAboveTheLimitGoesToAnotherReplica) {
  SendRequestsFor(seconds(5), 12, "/stream/x", "m0");
  SetLimit("llm-1", 1);
  SendRequestsFor(seconds(4), 12, "/stream/x", "m0");
  refusals_.clear();
  const TimePoint from = now_;
  SendRequestsFor(seconds(20), 12, "/stream/x", "m0");
  EXPECT_TRUE(refusals_.empty()) << refusals_.front().refusal.detail;
  EXPECT_GE(CountArrivals("llm-2", from, now_), 10 * 20);
}

// Guards against requests that wait until their deadline although no server has
// capacity, and against callers that all retry at the same time.
TEST_F(ServerLimitTest, DemandAboveAllLimitsIsRefusedSoonWithSpreadRetries) {
  for (const char* server : {"app-1", "app-2"}) SetLimit(server, 1);
  SendRequestsFor(seconds(5), 20, "/once/x");
  refusals_.clear();
  SendRequestsFor(seconds(20), 20, "/once/x");
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

// Guards against retries that bypass the limit. Each attempt fails here, so
// half of the arrivals are retries.
TEST_F(ServerLimitTest, RetriesCountAgainstTheLimit) {
  for (const char* server : {"app-1", "app-2"}) SetLimit(server, 2);
  is_failing_ = true;
  SendRequestsFor(seconds(3), 30, "/again/x");
  const TimePoint named_at = now_;
  SendRequestsFor(seconds(20), 30, "/again/x");
  EXPECT_LE(WorstWindow("app-1", named_at), MaxRequests(2));
  EXPECT_LE(WorstWindow("app-2", named_at), MaxRequests(2));
}

// Guards against a restarted server that keeps the limit of its earlier
// incarnation.
TEST_F(ServerLimitTest, RestartedServerHasNoLimit) {
  ListStart("app-1");
  SendRequestsFor(seconds(2), 12, "/once/x");
  SetLimit("app-1", 0.2);
  SendRequestsFor(seconds(6), 12, "/once/x");
  SetLimit("app-1", -1);
  ListStart("app-1");
  const TimePoint from = now_;
  SendRequestsFor(seconds(5), 12, "/once/x");
  EXPECT_GE(CountArrivals("app-1", from, now_), 15);
}

// Guards against an owner that keeps the token bucket and the queue of a server
// that left.
TEST_F(ServerLimitTest, OwnerRemovesTheLimitOfAServerThatLeft) {
  SetLimit("app-1", 1);
  SendRequestsFor(seconds(4), 20, "/once/x");
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

// Guards against hosts that send nothing, or everything, while they reach no
// owner.
TEST_F(ServerLimitTest, HostsWithoutOwnerKeepSendingWithinTheLimit) {
  SendRequestsFor(seconds(2), 12, "/once/x");
  for (const char* server : {"app-1", "app-2"}) SetLimit(server, 4);
  SendRequestsFor(seconds(4), 30, "/once/x");
  for (auto& [name, host] : hosts_) {
    host.is_cut_from_hosts = true;
    host.is_cut_from_store = true;
  }
  const TimePoint from = now_;
  SendRequestsFor(seconds(15), 30, "/once/x");
  EXPECT_LE(WorstWindow("app-1", from), MaxRequests(4));
  EXPECT_GE(CountArrivals("app-1", from, now_), 4 * 15 / 4);
}

// Guards against a new owner that grants the limit anew, because the counts of
// its predecessor are lost.
TEST_F(ServerLimitTest, NextOwnerKeepsWithinTheLimit) {
  SendRequestsFor(seconds(2), 12, "/once/x");
  SetLimit("app-1", 1.2);
  const TimePoint named_at = now_;
  SendRequestsFor(seconds(6), 30, "/once/x");
  for (int i = 0; i < 3; ++i) {
    hosts_.at(Holders().at(0)).is_down = true;
    SendRequestsFor(seconds(8), 30, "/once/x");
  }
  EXPECT_LE(WorstWindow("app-1", named_at + kLimitDetection), MaxRequests(1.2));
  ExpectUsed("app-1", 0.6, named_at + kLimitDetection);
}

// Guards against permit requests for servers that name no limit.
TEST_F(ServerLimitTest, ServersWithoutLimitNeedNoPermits) {
  SendRequestsFor(seconds(5), 20, "/once/x");
  for (const auto& [name, host] : hosts_) {
    EXPECT_EQ(host.node->MetricsText().find("server_limit"), std::string::npos);
  }
}

}  // namespace
}  // namespace applehall

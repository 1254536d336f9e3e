// Requests of teams: who they run for, who is refused, and who pays.

#include "core/request_fingerprint.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

constexpr char kTeamRules[] = R"({"name": "n", "author": "a", "reason": "r",
  "rules": [
   {"name": "once", "when": {"path": "/once/*"}, "then": {"deadline_ms": 1000,
    "repeatable": false, "claim": false, "priority": 2,
    "services": [{"name": "app"}]}},
   {"name": "again", "when": {"path": "/again/*"}, "then": {"deadline_ms": 9000,
    "retries": 1, "services": [{"name": "app"}]}},
   {"name": "open", "when": {"path": "/open/*"}, "then": {"deadline_ms": 1000,
    "public": true, "services": [{"name": "app"}]}},
   {"name": "none", "then": {"refuse": "no route"}}]})";

class TeamTest : public FleetTest {
 protected:
  void SetUp() override {
    Add("a");
    Install(2, {{"studs", "key-1"}, {"agents", "key-2"}});
  }

  // Each team holds one key; "studs" goes first at engines.
  void Install(LogOffset version,
               const std::map<std::string, std::string>& keys,
               double limit = 0) {
    auto book = std::make_shared<TeamRegistry>();
    for (const auto& [name, key] : keys) {
      Team team;
      team.name = name;
      team.priority = name == "studs" ? 0 : -1;
      team.unit = QuotaUnit::kTokens;
      team.default_tokens = 100;
      team.quota = {limit, limit};
      book->Add(team, {key});
    }
    for (const auto& [name, host] : hosts_) {
      Handle(name, RuleSetRead{version, *ParseJson(kTeamRules), book});
    }
  }

  void Ask(const std::string& host, RequestHandle handle,
           const std::string& path, const std::string& key,
           uint64_t fingerprint = 0) {
    RequestArrived request;
    request.handle = handle;
    request.request_id = "r" + std::to_string(handle);
    request.facts.path = path;
    request.facts.caller = "anonymous";
    request.fingerprint = fingerprint;
    if (!key.empty()) request.api_key = ApiKeyDigest::FromKey(key);
    Handle(host, request);
  }

  // Why a request was refused; empty if it was sent.
  std::string RefusalOf(RequestHandle handle) const {
    for (const RefuseRequest& refused : ActionsOf<RefuseRequest>("a")) {
      if (refused.handle == handle) {
        return RefusalReasonName(refused.refusal.reason);
      }
    }
    return "";
  }
};

TEST_F(TeamTest, RequestRunsForTheTeamThatHoldsItsKey) {
  Ask("a", 1, "/once/x", "key-1");
  Ask("a", 2, "/once/x", "key-2");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[0].team, "studs");
  EXPECT_EQ(sent[1].team, "agents");
}

TEST_F(TeamTest, TeamsPriorityGoesBeforeTheRules) {
  Ask("a", 1, "/once/x", "key-1");
  Ask("a", 2, "/once/x", "key-2");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[0].priority, 0);
  EXPECT_EQ(sent[1].priority, 2);
}

TEST_F(TeamTest, UnknownAndMissingKeysAreRefusedAtOnce) {
  Ask("a", 1, "/once/x", "key-9");
  Ask("a", 2, "/once/x", "");
  EXPECT_EQ(RefusalOf(1), "unauthorized");
  EXPECT_EQ(RefusalOf(2), "unauthorized");
  EXPECT_TRUE(ActionsOf<DispatchRequest>("a").empty());
}

TEST_F(TeamTest, PublicRulesNeedNoKeyAndKnowATeamThatShowsOne) {
  Ask("a", 1, "/open/x", "");
  Ask("a", 2, "/open/x", "key-9");
  Ask("a", 3, "/open/x", "key-1");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 3u);
  EXPECT_EQ(sent[0].team, "");
  EXPECT_EQ(sent[1].team, "");
  EXPECT_EQ(sent[2].team, "studs");
}

// An operator takes a stolen key away. Whoever holds it went on as the team
// until the host was restarted.
TEST_F(TeamTest, KeyThatWasTakenAwayIsRefused) {
  Install(3, {{"studs", "key-3"}, {"agents", "key-2"}});
  Ask("a", 1, "/once/x", "key-1");
  EXPECT_EQ(RefusalOf(1), "unauthorized");
  Ask("a", 2, "/once/x", "key-3");
  EXPECT_EQ(RefusalOf(2), "");
}

// An older version of the configuration comes late, from a host that lagged. It
// must not bring a key back that was taken away.
TEST_F(TeamTest, OlderVersionBringsNoKeyBack) {
  Install(5, {{"studs", "key-3"}});
  Install(4, {{"studs", "key-1"}});
  Ask("a", 1, "/once/x", "key-1");
  EXPECT_EQ(RefusalOf(1), "unauthorized");
}

TEST_F(TeamTest, WithoutTeamsNothingIsAskedOrSet) {
  Handle("a", RuleSetRead{3, *ParseJson(kTeamRules)});
  Ask("a", 1, "/once/x", "");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_FALSE(sent[0].team.has_value());
  EXPECT_EQ(sent[0].priority, 2);
}

// A content under quarantine came again with a new key of the same team, and
// ended two more servers. Another team that sends the same is not held for it.
TEST_F(TeamTest, ContentIsTheTeamsWhateverItsKey) {
  EXPECT_NE(FingerprintForCaller(77, "studs"),
            FingerprintForCaller(77, "agents"));
  quarantined_[FingerprintForCaller(77, "studs")] =
      now_ + std::chrono::hours(1);
  Add("b");
  Install(3, {{"studs", "key-3"}, {"agents", "key-2"}});
  Run(seconds(1));
  Ask("b", 1, "/once/x", "key-3", 77);
  Install(4, {{"studs", "key-4"}, {"agents", "key-2"}});
  Ask("b", 2, "/once/x", "key-4", 77);
  const auto refused = ActionsOf<RefuseRequest>("b");
  ASSERT_EQ(refused.size(), 2u);
  for (const RefuseRequest& one : refused) {
    EXPECT_EQ(one.refusal.reason, RefusalReason::kQuarantined);
  }
  Ask("b", 3, "/once/x", "key-2", 77);
  EXPECT_EQ(ActionsOf<DispatchRequest>("b").size(), 1u);
}

// No dump of a host gives a key away, nor do the decisions it keeps.
TEST_F(TeamTest, KeysAreInNoDump) {
  Ask("a", 1, "/once/x", "key-1");
  Ask("a", 2, "/once/x", "key-9");
  const Node& node = *hosts_.at("a").node;
  const std::string all = node.StateDump().dump() +
                          node.Decisions("r1").dump() +
                          node.Decisions("r2").dump() + node.MetricsText();
  EXPECT_EQ(all.find("key-"), std::string::npos);
}

// A team sends far more than it bought. What is beyond is refused with a time
// to come back, and a request that was turned away unrun costs nothing.
TEST_F(TeamTest, TeamBeyondItsQuotaIsRefusedWithATimeToComeBack) {
  Install(3, {{"studs", "key-1"}, {"agents", "key-2"}}, /*limit=*/1000);
  Run(seconds(4));
  for (RequestHandle handle = 1; handle <= 200; ++handle) {
    Ask("a", handle, "/once/x", "key-1");
    Run(milliseconds(50));
  }
  int refused = 0;
  for (const RefuseRequest& one : ActionsOf<RefuseRequest>("a")) {
    if (one.refusal.reason != RefusalReason::kQuotaUsedUp) continue;
    ++refused;
    EXPECT_EQ(one.refusal.verdict, Verdict::kNotRun);
    EXPECT_GE(one.refusal.retry_after, seconds(1));
  }
  // 200 requests of 100 tokens in 10 s, of which 1,000 a second and a burst of
  // as much may pass.
  EXPECT_GE(refused, 200 - 110 - 20);
  EXPECT_LE(refused, 200 - 100);
}

}  // namespace
}  // namespace applehall

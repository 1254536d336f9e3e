// Requests of teams: assignment by API key, refusals and quotas.

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
    InstallTeams(2, {{"studs", "key-1"}, {"agents", "key-2"}});
  }

  // Installs teams with one key each; "studs" has the highest priority at
  // engines.
  void InstallTeams(LogOffset version,
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

  void SendRequest(const std::string& host, RequestHandle handle,
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

  // Returns the reason for which host "a" refused a request; empty if it was
  // sent.
  std::string RefusalReasonFor(RequestHandle handle) const {
    for (const RefuseRequest& refused : ActionsOf<RefuseRequest>("a")) {
      if (refused.handle == handle) {
        return RefusalReasonName(refused.refusal.reason);
      }
    }
    return "";
  }
};

TEST_F(TeamTest, RequestIsAssignedToTheTeamOfItsKey) {
  SendRequest("a", 1, "/once/x", "key-1");
  SendRequest("a", 2, "/once/x", "key-2");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[0].team, "studs");
  EXPECT_EQ(sent[1].team, "agents");
}

TEST_F(TeamTest, PriorityOfTheTeamOverridesTheRules) {
  SendRequest("a", 1, "/once/x", "key-1");
  SendRequest("a", 2, "/once/x", "key-2");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[0].priority, 0);
  EXPECT_EQ(sent[1].priority, 2);
}

TEST_F(TeamTest, UnknownAndMissingKeysAreUnauthorized) {
  SendRequest("a", 1, "/once/x", "key-9");
  SendRequest("a", 2, "/once/x", "");
  EXPECT_EQ(RefusalReasonFor(1), "unauthorized");
  EXPECT_EQ(RefusalReasonFor(2), "unauthorized");
  EXPECT_TRUE(ActionsOf<DispatchRequest>("a").empty());
}

TEST_F(TeamTest, PublicRulesNeedNoKeyButAssignTheTeamOfAValidOne) {
  SendRequest("a", 1, "/open/x", "");
  SendRequest("a", 2, "/open/x", "key-9");
  SendRequest("a", 3, "/open/x", "key-1");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 3u);
  EXPECT_EQ(sent[0].team, "");
  EXPECT_EQ(sent[1].team, "");
  EXPECT_EQ(sent[2].team, "studs");
}

// Guards against a revoked key that stays valid until the host restarts.
TEST_F(TeamTest, RevokedKeyIsRefused) {
  InstallTeams(3, {{"studs", "key-3"}, {"agents", "key-2"}});
  SendRequest("a", 1, "/once/x", "key-1");
  EXPECT_EQ(RefusalReasonFor(1), "unauthorized");
  SendRequest("a", 2, "/once/x", "key-3");
  EXPECT_EQ(RefusalReasonFor(2), "");
}

// Guards against an older configuration that arrives late, from a host that
// lags, and reinstates a revoked key.
TEST_F(TeamTest, OlderVersionDoesNotReinstateARevokedKey) {
  InstallTeams(5, {{"studs", "key-3"}});
  InstallTeams(4, {{"studs", "key-1"}});
  SendRequest("a", 1, "/once/x", "key-1");
  EXPECT_EQ(RefusalReasonFor(1), "unauthorized");
}

TEST_F(TeamTest, NoKeyIsRequiredAndNoTeamSetWithoutTeams) {
  Handle("a", RuleSetRead{3, *ParseJson(kTeamRules)});
  SendRequest("a", 1, "/once/x", "");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_FALSE(sent[0].team.has_value());
  EXPECT_EQ(sent[0].priority, 2);
}

// Guards against a deployment with teams that admits everybody under a
// configuration without a list of them, also at hosts that start on it.
TEST_F(TeamTest, DeploymentWithTeamsNeedsKeysWithoutAList) {
  has_teams_ = true;
  Add("a");
  Handle("a", RuleSetRead{3, *ParseJson(kTeamRules)});
  SendRequest("a", 1, "/once/x", "key-1");
  SendRequest("a", 2, "/once/x", "");
  EXPECT_EQ(RefusalReasonFor(1), "unauthorized");
  EXPECT_EQ(RefusalReasonFor(2), "unauthorized");
  SendRequest("a", 3, "/open/x", "");
  const auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].team, "");
}

// Guards against a retry that passes a key on because the request was admitted
// before keys were in use.
TEST_F(TeamTest, RetryUnderAConfigurationWithKeysPassesNoneOn) {
  Handle("a", RuleSetRead{3, *ParseJson(kTeamRules)});
  SendRequest("a", 1, "/again/x", "key-1");
  auto sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_FALSE(sent[0].team.has_value());
  InstallTeams(4, {{"studs", "key-1"}});
  Handle("a",
         MakeAttemptEnd(sent[0], AttemptResult::kNotSent, "no connection"));
  Run(milliseconds(200));
  sent = ActionsOf<DispatchRequest>("a");
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].team, "");
}

// Guards against a quarantined content that reaches servers again with a new
// key of the same team. Another team that sends the same content is not
// affected.
TEST_F(TeamTest, QuarantineAppliesToTheTeamWhateverItsKey) {
  EXPECT_NE(FingerprintForCaller(77, "studs"),
            FingerprintForCaller(77, "agents"));
  const uint64_t content = FingerprintForCaller(77, "studs");
  quarantined_[content] = {content, now_ + std::chrono::hours(1)};
  Add("b");
  InstallTeams(3, {{"studs", "key-3"}, {"agents", "key-2"}});
  Run(seconds(1));
  SendRequest("b", 1, "/once/x", "key-3", 77);
  InstallTeams(4, {{"studs", "key-4"}, {"agents", "key-2"}});
  SendRequest("b", 2, "/once/x", "key-4", 77);
  const auto refused = ActionsOf<RefuseRequest>("b");
  ASSERT_EQ(refused.size(), 2u);
  for (const RefuseRequest& one : refused) {
    EXPECT_EQ(one.refusal.reason, RefusalReason::kQuarantined);
  }
  SendRequest("b", 3, "/once/x", "key-2", 77);
  EXPECT_EQ(ActionsOf<DispatchRequest>("b").size(), 1u);
}

// Guards against API keys in state dumps, decisions or metrics.
TEST_F(TeamTest, KeysAreNotInDumps) {
  SendRequest("a", 1, "/once/x", "key-1");
  SendRequest("a", 2, "/once/x", "key-9");
  const Node& node = *hosts_.at("a").node;
  const std::string all = node.StateDump().dump() +
                          node.Decisions("r1").dump() +
                          node.Decisions("r2").dump() + node.MetricsText();
  EXPECT_EQ(all.find("key-"), std::string::npos);
}

// Requests beyond a team's quota are refused with a time to retry; a refused
// request is not charged.
TEST_F(TeamTest, RequestsBeyondTheQuotaAreRefusedWithARetryTime) {
  InstallTeams(3, {{"studs", "key-1"}, {"agents", "key-2"}}, /*limit=*/1000);
  Run(seconds(4));
  for (RequestHandle handle = 1; handle <= 200; ++handle) {
    SendRequest("a", handle, "/once/x", "key-1");
    Run(milliseconds(50));
  }
  int refused = 0;
  for (const RefuseRequest& one : ActionsOf<RefuseRequest>("a")) {
    if (one.refusal.reason != RefusalReason::kQuotaUsedUp) continue;
    ++refused;
    EXPECT_EQ(one.refusal.verdict, Verdict::kNotRun);
    EXPECT_GE(one.refusal.retry_after, seconds(1));
  }
  // 200 requests of 100 tokens are sent in 10 s. The quota admits 1,000 tokens
  // a second and a burst of 1,000.
  EXPECT_GE(refused, 200 - 110 - 20);
  EXPECT_LE(refused, 200 - 100);
}

}  // namespace
}  // namespace applehall

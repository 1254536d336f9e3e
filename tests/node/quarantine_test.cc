// Quarantine of poison messages: its effect on other requests, its propagation
// and its persistence.

#include "tests/node/poison_fixture.h"

namespace applehall {
namespace {

constexpr Duration kPropagation = seconds(3);
constexpr int kMaxRepeats = 3;

class QuarantineTest : public PoisonFixture {
 protected:
  void Start(const std::vector<std::string>& names) {
    for (const std::string& name : names) Add(name);
    RunServers(seconds(3));
  }

  // Sends the poison message to `host` until it was dispatched `times` times,
  // 20 times at most.
  void SendPoison(const std::string& host, size_t times) {
    const size_t before = dispatches_.size();
    for (int i = 0; i < 20 && dispatches_.size() - before < times; ++i) {
      SendRequest(host, "/rare/x", "m0", kPoison);
      RunServers(kRestart + milliseconds(500));
    }
  }

  bool IsRefused(const std::string& host) {
    const RequestHandle handle = SendRequest(host, "/rare/x", "m0", kPoison);
    RunServers(milliseconds(50));
    const auto it = refusals_.find(handle);
    return it != refusals_.end() &&
           it->second.reason == RefusalReason::kQuarantined;
  }

  // Starts a copy of the request at host b, with its answer under way.
  Running StartCopy() {
    SendRequest("b", "/stream/x", "m0", kPoison);
    poisons_.clear();
    RunServers(milliseconds(50));
    poisons_ = {kPoison};
    EXPECT_EQ(running_.size(), 1u);
    const Running copy = running_.begin()->second.at(0);
    running_.clear();
    Handle(copy.host, AttemptStarted{copy.sent.handle});
    return copy;
  }

  size_t CountQuarantined(const std::string& host) const {
    return hosts_.at(host).node->StateDump()["quarantine"]["held"].size();
  }

  void Restart(const std::string& name) {
    hosts_.erase(name);
    ++incarnation_;
    Add(name);
    // The present server list.
    ServerListRead listed;
    listed.is_whole = true;
    listed.listed = {Server("app-1", "app"), Server("llm-x", "llm", "llm/m0"),
                     Server("llm-y", "llm", "llm/m0")};
    Handle(name, listed);
  }
};

// Guards against a poison message that waits in a queue for engines before it
// is refused, and against a refusal without the remaining time.
TEST_F(QuarantineTest, RefusesAtOnceWithTheRemainingTime) {
  Start({"a", "b"});
  SendPoison("a", 3);
  const RequestHandle handle = SendRequest("b", "/rare/x", "m0", kPoison);
  RunServers(milliseconds(25));
  ASSERT_TRUE(refusals_.contains(handle));
  const Refusal& refusal = refusals_.at(handle);
  EXPECT_EQ(refusal.verdict, Verdict::kNotRun);
  EXPECT_EQ(refusal.reason, RefusalReason::kQuarantined);
  EXPECT_GT(refusal.retry_after, std::chrono::minutes(50));
}

// Guards against a quarantine of innocent requests. Requests that ran beside
// the poison message are retried and may be cut by it again at the next engine.
TEST_F(QuarantineTest, RequestsBesideThePoisonAreNotQuarantined) {
  Start({"a", "b"});
  constexpr uint64_t kVictim = 1;
  for (uint64_t round = 0; round < 3; ++round) {
    // One content that is cut each time, with its answer well under way, and
    // others that are new each time.
    for (int i = 0; i < 2; ++i) SendRequest("a", "/rare/x", "m0", kVictim);
    SendRequest("b", "/rare/x", "m0", 100 + round);
    SendRequest("b", "/rare/x", "m0", 200 + round);
    RunServers(milliseconds(1500));
    SendRequest("b", "/rare/x", "m0", kPoison);
    RunServers(kRestart + milliseconds(500));
  }
  ASSERT_TRUE(IsRefused("a"));
  EXPECT_EQ(CountDispatchesAfter({}, kVictim), 6);
  EXPECT_EQ(CountQuarantined("a"), 1u);
  EXPECT_EQ(CountQuarantined("b"), 1u);
}

// Guards against a quarantine of popular contents, which run at all engines and
// so at each one that ends. Their complete answers show that they are not the
// cause.
TEST_F(QuarantineTest, ContentWithCompleteAnswersInBetweenIsCleared) {
  Start({"a", "b"});
  constexpr uint64_t kPopular = 5;
  for (int i = 0; i < 8; ++i) {
    SendRequest("a", "/once/x", "", kPopular);
    SendRequest("b", "/once/x", "", kPopular);
    RunServers(milliseconds(50));
    ASSERT_FALSE(running_.empty());
    EndServer(running_.begin()->first);
    RunServers(kRestart + milliseconds(500));
    FinishAll();
    // Longer than a complete answer prevents that ends count.
    RunServers(std::chrono::minutes(1) + seconds(5));
    SendRequest(i % 2 == 0 ? "a" : "b", "/once/x", "", kPopular);
    RunServers(milliseconds(50));
    FinishAll();
    RunServers(std::chrono::minutes(1) + seconds(5));
  }
  EXPECT_EQ(ends_.size(), 8u);
  EXPECT_EQ(CountQuarantined("a") + CountQuarantined("b"), 0u);
}

// Guards against a quarantine after all servers of a rack end at the same time,
// each running a content that was answered completely just before.
TEST_F(QuarantineTest, SimultaneousEndsDoNotQuarantineAnAnsweredContent) {
  Start({"a", "b"});
  constexpr uint64_t kPopular = 5;
  for (const char* host : {"a", "b"}) {
    SendRequest(host, "/again/x", "", kPopular);
    RunServers(milliseconds(50));
  }
  FinishAll();
  for (int round = 0; round < 4; ++round) {
    for (const char* host : {"a", "b"}) {
      for (int i = 0; i < 4; ++i) SendRequest(host, "/again/x", "", kPopular);
    }
    RunServers(milliseconds(50));
    std::vector<std::string> servers;
    for (const auto& [server, rows] : running_) servers.push_back(server);
    for (const std::string& server : servers) EndServer(server);
    RunServers(kRestart + milliseconds(500));
  }
  EXPECT_GE(ends_.size(), 4u);
  EXPECT_EQ(CountQuarantined("a") + CountQuarantined("b"), 0u);
}

// Guards against a quarantine that is lost if the owner ends before a plan
// announces it: the next owner must read it from the store and announce it.
TEST_F(QuarantineTest, NextOwnerAnnouncesTheRecordedQuarantine) {
  Start({"a", "b", "c"});
  const std::string owner = Holders()[0];
  is_losing_plans_ = true;
  SendPoison(owner, 3);
  ASSERT_EQ(CountQuarantined(owner), 1u);
  hosts_.at(owner).is_down = true;
  is_losing_plans_ = false;
  RunServers(seconds(6));
  for (const auto& [name, host] : hosts_) {
    if (name != owner) EXPECT_TRUE(IsRefused(name)) << name;
  }
}

// Guards against a quarantine that is lost when all hosts restart at the same
// time: the request would end three more servers.
TEST_F(QuarantineTest, PersistsOverARestartOfAllHosts) {
  Start({"a", "b", "c"});
  SendPoison("a", 3);
  const TimePoint third = ends_[2];
  for (const char* name : {"a", "b", "c"}) Restart(name);
  RunServers(milliseconds(200));
  for (const char* name : {"a", "b", "c"}) EXPECT_TRUE(IsRefused(name)) << name;
  EXPECT_EQ(CountDispatchesAfter(third), 0);
}

// Guards against a new or restarted host that dispatches a request which the
// other hosts have quarantined.
TEST_F(QuarantineTest, AppliesAtAHostThatJoins) {
  Start({"a", "b"});
  SendPoison("a", 3);
  Add("new");
  RunServers(milliseconds(200));
  EXPECT_TRUE(IsRefused("new"));
}

// Guards against plans that need the store to announce a quarantine: the store
// is unavailable throughout.
TEST_F(QuarantineTest, PlansAnnounceItWhileTheStoreIsUnavailable) {
  Start({"a", "b", "c"});
  for (auto& [name, host] : hosts_) host.is_cut_from_store = true;
  SendPoison("b", 3);
  for (const char* name : {"a", "b", "c"}) EXPECT_TRUE(IsRefused(name)) << name;
}

// Guards against a host that reaches the store but no other host, and so
// receives no plans: it must read the record itself.
TEST_F(QuarantineTest, HostWithoutOwnerReadsTheRecord) {
  Start({"a", "b", "c"});
  const std::string owner = Holders()[0];
  const std::string isolated = owner == "a" ? "b" : "a";
  hosts_.at(isolated).is_cut_from_hosts = true;
  RunServers(seconds(4));
  SendPoison(owner, 3);
  RunServers(kPropagation);
  EXPECT_TRUE(IsRefused(isolated));
}

// Guards against an isolated host, without other hosts and the store, that
// never quarantines a poison message.
TEST_F(QuarantineTest, IsolatedHostCountsItsOwnEnds) {
  Start({"a", "b"});
  const std::string isolated = Holders()[0] == "a" ? "b" : "a";
  hosts_.at(isolated).is_cut_from_hosts = true;
  hosts_.at(isolated).is_cut_from_store = true;
  SendPoison(isolated, 10);
  EXPECT_EQ(ends_.size(), 3u);
  EXPECT_TRUE(IsRefused(isolated));
  // After the partition its three ends reach all hosts.
  hosts_.at(isolated).is_cut_from_hosts = false;
  hosts_.at(isolated).is_cut_from_store = false;
  RunServers(seconds(5));
  EXPECT_TRUE(IsRefused(isolated == "a" ? "b" : "a"));
}

// Guards against ends that are counted by host: each host observes a single
// one.
TEST_F(QuarantineTest, EndsObservedByDifferentHostsAreAddedUp) {
  Start({"a", "b", "c", "d"});
  for (const char* host : {"a", "b", "c"}) SendPoison(host, 1);
  RunServers(seconds(1));
  EXPECT_TRUE(IsRefused("d"));
  EXPECT_EQ(ends_.size(), 3u);
}

// Guards against ends that are lost if the owner is replaced between them:
// hosts must report them to the next owner.
TEST_F(QuarantineTest, EndsBeforeATakeoverCount) {
  Start({"a", "b", "c", "d"});
  const std::string owner = Holders()[0];
  std::vector<std::string> others;
  for (const auto& [name, host] : hosts_) {
    if (name != owner) others.push_back(name);
  }
  SendPoison(others[0], 1);
  SendPoison(others[1], 1);
  hosts_.at(owner).is_down = true;
  RunServers(seconds(6));
  SendPoison(others[2], 1);
  RunServers(seconds(1));
  for (const std::string& name : others) EXPECT_TRUE(IsRefused(name)) << name;
  EXPECT_EQ(ends_.size(), 3u);
}

// Guards against copies that were dispatched before the third end and still
// wait at other servers: they must be cancelled.
TEST_F(QuarantineTest, WaitingCopiesAreCancelled) {
  Start({"a", "b"});
  SendPoison("a", 2);
  poisons_.clear();  // The next request is dispatched and does not start.
  const RequestHandle sent = SendRequest("b", "/rare/x", "m0", kPoison);
  RunServers(milliseconds(50));
  const auto running = running_;
  running_.clear();
  poisons_ = {kPoison};
  SendPoison("a", 1);
  ASSERT_TRUE(refusals_.contains(sent));
  EXPECT_EQ(refusals_.at(sent).reason, RefusalReason::kQuarantined);
  EXPECT_EQ(refusals_.at(sent).verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(std::count(cancelled_.begin(), cancelled_.end(), sent), 1);
}

// Guards against the resumption of a quarantined stream: its answer had started
// before the quarantine and is cut afterwards.
TEST_F(QuarantineTest, StreamThatIsCutLaterIsNotResumed) {
  Start({"a", "b"});
  const auto [host, sent, at] = StartCopy();
  SendPoison("a", 3);
  ASSERT_TRUE(IsRefused("b"));
  const size_t sends = dispatches_.size();
  AttemptEnded cut = MakeBrokenAttemptEnd(sent, "partial", /*is_cut=*/true);
  cut.has_delivered = true;
  cut.can_resume = true;
  Handle(host, cut);
  RunServers(seconds(5));
  EXPECT_EQ(dispatches_.size(), sends);
  ASSERT_TRUE(refusals_.contains(sent.handle));
  EXPECT_EQ(refusals_.at(sent.handle).reason, RefusalReason::kQuarantined);
  EXPECT_EQ(refusals_.at(sent.handle).verdict, Verdict::kMayHaveRun);
}

// Guards against a lasting quarantine of a request that ran at three servers
// which ended for another reason: a complete answer of a copy disproves it.
TEST_F(QuarantineTest, CompleteAnswerLiftsIt) {
  Start({"a", "b", "c", "d", "e"});
  const auto [host, sent, at] = StartCopy();
  SendPoison("a", 3);
  ASSERT_TRUE(IsRefused("a"));
  Handle(host, MakeAttemptEnd(sent, AttemptResult::kCompleted, ""));
  RunServers(seconds(2));
  EXPECT_EQ(CountQuarantined("a") + CountQuarantined("b"), 0u);
  EXPECT_TRUE(quarantined_.empty()) << "the record is withdrawn";
  // Only the host that observed it and the owner append and withdraw the
  // record.
  EXPECT_LE(quarantine_appends_, 4);
}

// Guards against a quarantine that stays after the servers may have been fixed.
TEST_F(QuarantineTest, ExpiresWithItsRecordAfterAnHour) {
  Start({"a", "b"});
  SendPoison("a", 3);
  RunServers(seconds(1));
  ASSERT_EQ(quarantined_.size(), 1u);
  now_ += std::chrono::minutes(61);
  RunServers(seconds(8));
  EXPECT_EQ(CountQuarantined("a") + CountQuarantined("b"), 0u);
  EXPECT_TRUE(quarantined_.empty());
  poisons_.clear();
  EXPECT_FALSE(IsRefused("b"));
}

// A host that reaches no owner reads the record periodically; a new owner reads
// it until it has one answer.
TEST(QuarantineManagerTest, ReadsTheRecordWithoutOwnerAndAsNewOwner) {
  NodeSettings settings;
  settings.placement = PlacementStyle::kFleet;
  NodeContext context(settings);
  std::vector<Action> actions;
  context.actions = &actions;
  context.now = TimePoint{std::chrono::hours(500000)};
  LogWriter writer(context);
  QuarantineManager manager(context, writer);
  const auto reads = [&](bool is_owner, bool is_owner_reachable) {
    actions.clear();
    for (int i = 0; i < 400; ++i) {
      context.now += milliseconds(25);
      manager.RunTick(is_owner, is_owner_reachable);
    }
    return actions.size();
  };
  EXPECT_EQ(reads(false, false), 5u) << "10 s, each 2 s";
  EXPECT_EQ(reads(false, true), 0u);
  EXPECT_EQ(reads(true, false), 5u);
  manager.HandleRead({false, {}});
  EXPECT_EQ(reads(true, false), 5u);
  manager.HandleRead({true, {}});
  EXPECT_EQ(reads(true, false), 0u);
  reads(false, true);
  EXPECT_EQ(reads(true, false), 5u) << "after it became the owner again";
}

// Guards against calls to the store while no server ends, other than the reads
// at a host's start.
TEST_F(QuarantineTest, WithoutEndsTheStoreIsReadOnlyAtStart) {
  Start({"a", "b", "c"});
  const int reads = quarantine_reads_;
  RunServers(seconds(60));
  EXPECT_EQ(quarantine_reads_, reads);
  EXPECT_LE(reads, 7) << "one at each start, and while no owner was reachable";
  EXPECT_EQ(quarantine_appends_, 0);
}

}  // namespace
}  // namespace applehall

// What the quarantine of a request costs others, and what it outlives.

#include "tests/node/poison_fixture.h"

namespace applehall {
namespace {

constexpr Duration kAgreed = seconds(3);
constexpr int kMostRepeats = 3;

class QuarantineTest : public PoisonFixture {
 protected:
  void Start(const std::vector<std::string>& names) {
    for (const std::string& name : names) Add(name);
    RunServers(seconds(3));
  }

  // The request comes at `host` until it was sent `times` times, or no more.
  void SendPoison(const std::string& host, size_t times) {
    const size_t before = sends_.size();
    for (int i = 0; i < 20 && sends_.size() - before < times; ++i) {
      Ask(host, "/rare/x", "m0", kPoison);
      RunServers(kRestart + milliseconds(500));
    }
  }

  bool IsRefused(const std::string& host) {
    const RequestHandle handle = Ask(host, "/rare/x", "m0", kPoison);
    RunServers(milliseconds(50));
    const auto it = refusals_.find(handle);
    return it != refusals_.end() &&
           it->second.reason == RefusalReason::kQuarantined;
  }

  // A copy at host b whose answer has begun and goes on.
  Running BeginCopy() {
    Ask("b", "/stream/x", "m0", kPoison);
    poisons_.clear();
    RunServers(milliseconds(50));
    poisons_ = {kPoison};
    EXPECT_EQ(running_.size(), 1u);
    const Running copy = running_.begin()->second.at(0);
    running_.clear();
    Handle(copy.host, AttemptStarted{copy.sent.handle});
    return copy;
  }

  size_t Held(const std::string& host) const {
    return hosts_.at(host).node->StateDump()["quarantine"]["held"].size();
  }

  void Restart(const std::string& name) {
    hosts_.erase(name);
    ++incarnation_;
    Add(name);
    // What the listing shows by now.
    ServerListRead listed;
    listed.is_whole = true;
    listed.listed = {Server("app-1", "app"), Server("llm-x", "llm", "llm/m0"),
                     Server("llm-y", "llm", "llm/m0")};
    Handle(name, listed);
  }
};

// A caller is told at once, with the time to come back, and not after its
// request has waited for engines that it would end.
TEST_F(QuarantineTest, IsRefusedAtOnceAndTruly) {
  Start({"a", "b"});
  SendPoison("a", 3);
  const RequestHandle handle = Ask("b", "/rare/x", "m0", kPoison);
  RunServers(milliseconds(25));
  ASSERT_TRUE(refusals_.contains(handle));
  const Refusal& refusal = refusals_.at(handle);
  EXPECT_EQ(refusal.verdict, Verdict::kNotRun);
  EXPECT_EQ(refusal.reason, RefusalReason::kQuarantined);
  EXPECT_GT(refusal.retry_after, std::chrono::minutes(50));
}

// Requests that ran beside the one that ends engines are sent again, and may
// meet it again at the next engine. Held to be the cause as well, callers of
// the same model were refused for an hour.
TEST_F(QuarantineTest, RequestsBesideItAreNotHeldToBeTheCause) {
  Start({"a", "b"});
  constexpr uint64_t kVictim = 1;
  for (uint64_t round = 0; round < 3; ++round) {
    // One that is there each time, with its answer well under way, and others
    // that are new each time.
    for (int i = 0; i < 2; ++i) Ask("a", "/rare/x", "m0", kVictim);
    Ask("b", "/rare/x", "m0", 100 + round);
    Ask("b", "/rare/x", "m0", 200 + round);
    RunServers(milliseconds(1500));
    Ask("b", "/rare/x", "m0", kPoison);
    RunServers(kRestart + milliseconds(500));
  }
  ASSERT_TRUE(IsRefused("a"));
  EXPECT_EQ(SendsAfter({}, kVictim), 6);
  EXPECT_EQ(Held("a"), 1u);
  EXPECT_EQ(Held("b"), 1u);
}

// A content that many callers ask for is under way at all engines, so it is
// there whenever one ends. Its whole answers show that it is not the cause.
TEST_F(QuarantineTest, ContentThatIsAnsweredInBetweenIsCleared) {
  Start({"a", "b"});
  constexpr uint64_t kPopular = 5;
  for (int i = 0; i < 8; ++i) {
    Ask("a", "/once/x", "", kPopular);
    Ask("b", "/once/x", "", kPopular);
    RunServers(milliseconds(50));
    ASSERT_FALSE(running_.empty());
    EndServer(running_.begin()->first);
    RunServers(kRestart + milliseconds(500));
    FinishAll();
    // Longer than an answer speaks for what comes after it.
    RunServers(std::chrono::minutes(1) + seconds(5));
    Ask(i % 2 == 0 ? "a" : "b", "/once/x", "", kPopular);
    RunServers(milliseconds(50));
    FinishAll();
    RunServers(std::chrono::minutes(1) + seconds(5));
  }
  EXPECT_EQ(ends_.size(), 8u);
  EXPECT_EQ(Held("a") + Held("b"), 0u);
}

// All servers of a rack end in one moment, with a content under way at each
// that was answered a moment before. Nothing speaks against it.
TEST_F(QuarantineTest,
       ManyServersThatEndAtOnceProveNothingAgainstWhatRunsWell) {
  Start({"a", "b"});
  constexpr uint64_t kPopular = 5;
  for (const char* host : {"a", "b"}) {
    Ask(host, "/again/x", "", kPopular);
    RunServers(milliseconds(50));
  }
  FinishAll();
  for (int round = 0; round < 4; ++round) {
    for (const char* host : {"a", "b"}) {
      for (int i = 0; i < 4; ++i) Ask(host, "/again/x", "", kPopular);
    }
    RunServers(milliseconds(50));
    std::vector<std::string> servers;
    for (const auto& [server, rows] : running_) servers.push_back(server);
    for (const std::string& server : servers) EndServer(server);
    RunServers(kRestart + milliseconds(500));
  }
  EXPECT_GE(ends_.size(), 4u);
  EXPECT_EQ(Held("a") + Held("b"), 0u);
}

// The owner finds the request and dies before it has told anybody: the store
// has it. The next owner reads it there and tells the rest.
TEST_F(QuarantineTest, OutlivesTheOwner) {
  Start({"a", "b", "c"});
  const std::string owner = Holders()[0];
  is_losing_plans_ = true;
  SendPoison(owner, 3);
  ASSERT_EQ(Held(owner), 1u);
  hosts_.at(owner).is_down = true;
  is_losing_plans_ = false;
  RunServers(seconds(6));
  for (const auto& [name, host] : hosts_) {
    if (name != owner) EXPECT_TRUE(IsRefused(name)) << name;
  }
}

// All hosts are killed in one moment. Without a record each would send the
// request until three more servers had ended.
TEST_F(QuarantineTest, OutlivesAllHosts) {
  Start({"a", "b", "c"});
  SendPoison("a", 3);
  const TimePoint third = ends_[2];
  for (const char* name : {"a", "b", "c"}) Restart(name);
  RunServers(milliseconds(200));
  for (const char* name : {"a", "b", "c"}) EXPECT_TRUE(IsRefused(name)) << name;
  EXPECT_EQ(SendsAfter(third), 0);
}

// A host joins, or is back from a restart, while the others have gone on.
TEST_F(QuarantineTest, IsKnownToAHostThatIsNew) {
  Start({"a", "b"});
  SendPoison("a", 3);
  Add("new");
  RunServers(milliseconds(200));
  EXPECT_TRUE(IsRefused("new"));
}

// The store is away all the while. The owner's plans need it not.
TEST_F(QuarantineTest, IsToldWithoutTheStore) {
  Start({"a", "b", "c"});
  for (auto& [name, host] : hosts_) host.is_cut_from_store = true;
  SendPoison("b", 3);
  for (const char* name : {"a", "b", "c"}) EXPECT_TRUE(IsRefused(name)) << name;
}

// One host reaches no other, but the store. It hears no owner, so it looks at
// the record itself.
TEST_F(QuarantineTest, IsReadByAHostThatHearsNoOwner) {
  Start({"a", "b", "c"});
  const std::string owner = Holders()[0];
  const std::string alone = owner == "a" ? "b" : "a";
  hosts_.at(alone).is_cut_from_hosts = true;
  RunServers(seconds(4));
  SendPoison(owner, 3);
  RunServers(kAgreed);
  EXPECT_TRUE(IsRefused(alone));
}

// A host that reaches neither the others nor the store serves on, and ends no
// more servers than it takes to see it.
TEST_F(QuarantineTest, HostAloneGoesByWhatItSawItself) {
  Start({"a", "b"});
  const std::string alone = Holders()[0] == "a" ? "b" : "a";
  hosts_.at(alone).is_cut_from_hosts = true;
  hosts_.at(alone).is_cut_from_store = true;
  SendPoison(alone, 10);
  EXPECT_EQ(ends_.size(), 3u);
  EXPECT_TRUE(IsRefused(alone));
  // When it is back, its three ends become known to all.
  hosts_.at(alone).is_cut_from_hosts = false;
  hosts_.at(alone).is_cut_from_store = false;
  RunServers(seconds(5));
  EXPECT_TRUE(IsRefused(alone == "a" ? "b" : "a"));
}

// Each host sees a single end, none of them enough by itself.
TEST_F(QuarantineTest, EndsSeenByDifferentHostsAreAddedUp) {
  Start({"a", "b", "c", "d"});
  for (const char* host : {"a", "b", "c"}) SendPoison(host, 1);
  RunServers(seconds(1));
  EXPECT_TRUE(IsRefused("d"));
  EXPECT_EQ(ends_.size(), 3u);
}

// The owner is replaced between the ends: what the one before was told is told
// to the next.
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

// Copies that came before the third end wait at other hosts and at servers that
// have not begun them.
TEST_F(QuarantineTest, WhatWaitsIsTakenBack) {
  Start({"a", "b"});
  SendPoison("a", 2);
  poisons_.clear();  // The next ones are sent and do not begin.
  const RequestHandle sent = Ask("b", "/rare/x", "m0", kPoison);
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

// A copy had begun to be answered when the quarantine began, and is cut now.
// Its stream may be resumed, but not this one.
TEST_F(QuarantineTest, StreamThatIsCutLaterIsNotResumed) {
  Start({"a", "b"});
  const auto [host, sent, at] = BeginCopy();
  SendPoison("a", 3);
  ASSERT_TRUE(IsRefused("b"));
  const size_t sends = sends_.size();
  AttemptEnded cut = MakeBrokenAttemptEnd(sent, "partial", /*is_cut=*/true);
  cut.has_delivered = true;
  cut.can_resume = true;
  Handle(host, cut);
  RunServers(seconds(5));
  EXPECT_EQ(sends_.size(), sends);
  ASSERT_TRUE(refusals_.contains(sent.handle));
  EXPECT_EQ(refusals_.at(sent.handle).reason, RefusalReason::kQuarantined);
  EXPECT_EQ(refusals_.at(sent.handle).verdict, Verdict::kMayHaveRun);
}

// A request was under way at three servers that ended for another reason. One
// of its copies gets its whole answer later, which proves that.
TEST_F(QuarantineTest, IsLiftedByAWholeAnswer) {
  Start({"a", "b", "c", "d", "e"});
  const auto [host, sent, at] = BeginCopy();
  SendPoison("a", 3);
  ASSERT_TRUE(IsRefused("a"));
  Handle(host, MakeAttemptEnd(sent, AttemptResult::kCompleted, ""));
  RunServers(seconds(2));
  EXPECT_EQ(Held("a") + Held("b"), 0u);
  EXPECT_TRUE(quarantined_.empty()) << "the record is withdrawn";
  // The host that saw it and the owner record it and withdraw it, and none of
  // those that are told.
  EXPECT_LE(quarantine_appends_, 4);
}

// The servers may have been mended meanwhile.
TEST_F(QuarantineTest, EndsAfterAnHourAndItsRecordGoes) {
  Start({"a", "b"});
  SendPoison("a", 3);
  RunServers(seconds(1));
  ASSERT_EQ(quarantined_.size(), 1u);
  now_ += std::chrono::minutes(61);
  RunServers(seconds(8));
  EXPECT_EQ(Held("a") + Held("b"), 0u);
  EXPECT_TRUE(quarantined_.empty());
  poisons_.clear();
  EXPECT_FALSE(IsRefused("b"));
}

// A host that hears no owner asks the store until it hears one; an owner asks
// until it has one answer.
TEST(QuarantineKeeperTest, ReadsWhileItCannotKnow) {
  NodeSettings settings;
  settings.placement = PlacementStyle::kFleet;
  NodeContext context(settings);
  std::vector<Action> actions;
  context.actions = &actions;
  context.now = TimePoint{std::chrono::hours(500000)};
  LogWriter writer(context);
  QuarantineManager keeper(context, writer);
  const auto reads = [&](bool is_owner, bool is_owner_reachable) {
    actions.clear();
    for (int i = 0; i < 400; ++i) {
      context.now += milliseconds(25);
      keeper.RunTick(is_owner, is_owner_reachable);
    }
    return actions.size();
  };
  EXPECT_EQ(reads(false, false), 5u) << "10 s, each 2 s";
  EXPECT_EQ(reads(false, true), 0u);
  EXPECT_EQ(reads(true, false), 5u);
  keeper.TakeRead({false, {}});
  EXPECT_EQ(reads(true, false), 5u);
  keeper.TakeRead({true, {}});
  EXPECT_EQ(reads(true, false), 0u);
  reads(false, true);
  EXPECT_EQ(reads(true, false), 5u) << "as an owner anew";
}

// While nothing ends, none of it costs a call or a byte, but for the one read
// at a host's start.
TEST_F(QuarantineTest, CostsNothingWhileNothingEnds) {
  Start({"a", "b", "c"});
  const int reads = quarantine_reads_;
  RunServers(seconds(60));
  EXPECT_EQ(quarantine_reads_, reads);
  EXPECT_LE(reads, 7) << "one at each start, and while no owner was heard";
  EXPECT_EQ(quarantine_appends_, 0);
}

}  // namespace
}  // namespace applehall

// Requests that end servers, seen by hosts that are cut off from each other and
// from the store in all ways.

#include "core/random.h"
#include "tests/node/poison_fixture.h"

namespace applehall {
namespace {

// After the last cut, until all hosts go by all that was seen in it.
constexpr Duration kKnownEverywhere = seconds(5);
// Ends that prove a content; one host or part of the fleet sees no more.
constexpr size_t kMostEnds = 3;

class QuarantineChaosTest : public PoisonFixture,
                            public testing::WithParamInterface<uint64_t> {
 protected:
  void StartHosts() {
    for (const char* name : {"a", "b", "c", "d", "e"}) Add(name);
    RunServers(seconds(3));
  }

  bool IsCut(const std::string& from, const std::string& to) const override {
    return cut_.contains({from, to});
  }

  void Cut(const std::string& host, bool outwards, bool inwards) {
    for (const auto& [other, unused] : hosts_) {
      if (other == host) continue;
      if (outwards) cut_.insert({host, other});
      if (inwards) cut_.insert({other, host});
    }
  }

  void CutStore(bool is_cut) {
    for (auto& [name, host] : hosts_) host.is_cut_from_store = is_cut;
  }

  void HealAll() {
    cut_.clear();
    CutStore(false);
  }

  std::string AnyHost(Random& random) {
    auto it = hosts_.begin();
    std::advance(it, random.Below(hosts_.size()));
    return it->first;
  }

  void Disturb(const std::string& host, Random& random) {
    switch (random.Below(8)) {
      case 0:
        Cut(host, true, true);
        hosts_.at(host).is_cut_from_store = true;
        return;
      case 1:
        Cut(host, true, false);
        return;
      case 2:
        Cut(host, false, true);
        return;
      case 3:  // The owner is replaced.
        if (Holders().empty()) return;
        Cut(Holders()[0], true, true);
        hosts_.at(Holders()[0]).is_cut_from_store = true;
        return;
      case 4:
        hosts_.at(host).is_cut_from_store = true;
        return;
      case 5:
        CutStore(true);
        return;
      case 6:  // A link that comes and goes.
        for (int i = 0; i < 4; ++i) {
          Cut(host, true, true);
          RunServers(milliseconds(random.Below(400)));
          cut_.clear();
          RunServers(milliseconds(random.Below(400)));
        }
        return;
      default:
        HealAll();
    }
  }

  // One caller that asks until its request has ended a server or is refused.
  bool SendOnce(const std::string& host) {
    const size_t before = ends_.size();
    const RequestHandle handle = Ask(host, "/rare/x", "m0", kPoison);
    RunServers(kRestart + milliseconds(500));
    const auto refused = refusals_.find(handle);
    const bool is_held = refused != refusals_.end() &&
                         refused->second.reason == RefusalReason::kQuarantined;
    return ends_.size() > before || !is_held;
  }

  // All hosts get the request until each refuses it.
  void ExhaustPoison() {
    for (int round = 0; round < 6; ++round) {
      bool is_sent = false;
      for (const auto& [name, unused] : hosts_) {
        is_sent = SendOnce(name) || is_sent;
      }
      if (!is_sent) return;
    }
    ADD_FAILURE() << "some host never holds it back";
  }

  std::set<std::pair<std::string, std::string>> cut_;  // From, to.
};

// Guards against ends that were seen in a cut and are forgotten after it: as
// many servers more would end.
TEST_P(QuarantineChaosTest, EndsSeenInCutsOfAnyShapeCountAfterwards) {
  Random random(GetParam());
  StartHosts();
  // Few enough that the quarantine is often not proven by the end.
  uint64_t sends_left = 1 + random.Below(4);
  for (int step = 0; step < 12; ++step) {
    const std::string host = AnyHost(random);
    Disturb(host, random);
    if (sends_left > 0 && random.Below(2) == 0) {
      --sends_left;
      SendOnce(host);
    }
    RunServers(milliseconds(random.Below(6000)));
  }
  HealAll();
  RunServers(kKnownEverywhere);
  const size_t ends = ends_.size();
  ExhaustPoison();
  EXPECT_LE(ends_.size(), std::max(kMostEnds, ends)) << "seed " << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuarantineChaosTest,
                         testing::Range<uint64_t>(1, 301));

class LongCutTest : public QuarantineChaosTest {
 protected:
  void CutOffThenAsk(Duration cut_for, int ends) {
    StartHosts();
    const std::string alone = Holders()[0] == "a" ? "b" : "a";
    Cut(alone, true, true);
    hosts_.at(alone).is_cut_from_store = true;
    for (int i = 0; i < ends; ++i) SendOnce(alone);
    RunServers(cut_for);
    HealAll();
    RunServers(kKnownEverywhere);
  }
};

// Guards against ends that a host tells a fixed number of times.
TEST_F(LongCutTest, TwoEndsSeenAloneAreKnownAfterMinutes) {
  CutOffThenAsk(std::chrono::minutes(3), 2);
  ExhaustPoison();
  EXPECT_EQ(ends_.size(), kMostEnds);
}

// Guards against a quarantine that is known to one host alone, after the ends
// that proved it are too old to be told.
TEST_F(LongCutTest, QuarantineFoundAloneOutlivesItsEnds) {
  CutOffThenAsk(std::chrono::minutes(12), 3);
  ExhaustPoison();
  EXPECT_EQ(ends_.size(), kMostEnds);
}

// Guards against a content that was cleared while a host was cut off for longer
// than plans used to tell it: its callers were refused there for an hour.
TEST_F(LongCutTest, ClearedContentIsServedWhereItWasMissed) {
  StartHosts();
  Ask("b", "/stream/x", "m0", kPoison);
  poisons_.clear();
  RunServers(milliseconds(50));
  ASSERT_EQ(running_.size(), 1u);
  const Running copy = running_.begin()->second.at(0);
  running_.clear();
  Handle(copy.host, AttemptStarted{copy.sent.handle});
  poisons_ = {kPoison};
  for (int i = 0; i < 3; ++i) SendOnce("c");
  ASSERT_FALSE(SendOnce("d"));
  Cut("d", true, true);
  hosts_.at("d").is_cut_from_store = true;
  Handle(copy.host, MakeAttemptEnd(copy.sent, AttemptResult::kCompleted, ""));
  RunServers(std::chrono::minutes(2));
  HealAll();
  RunServers(kKnownEverywhere);
  EXPECT_TRUE(SendOnce("d"));
}

}  // namespace
}  // namespace applehall

// Holders of the placement lease that follow each other before an earlier one
// has ended its orders; engines check no fencing tokens.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/random.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

class LeaseChainTest : public FleetTest {
 protected:
  LeaseChainTest() { engines_check_fences_ = false; }

  bool MayOrder(const std::string& name) const {
    if (hosts_.at(name).is_down) return false;
    return hosts_.at(name).node->StateDump()["fleet"]["may_order"] == true;
  }

  FencingToken TokenOf(const std::string& name) const {
    return hosts_.at(name).node->StateDump()["fleet"]["token"];
  }

  // Runs the hosts and counts the moments at which one may order under a token
  // below that of another that has been able to.
  void RunAndCheck(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      Run(milliseconds(25));
      for (const auto& [name, host] : hosts_) {
        if (!MayOrder(name)) continue;
        const FencingToken token = TokenOf(name);
        if (token < highest_ordering_) ++stale_ticks_;
        highest_ordering_ = std::max(highest_ordering_, token);
      }
    }
  }

  // Runs until a host other than `former` holds the lease.
  std::string AwaitSuccessor(const std::string& former) {
    for (int i = 0; i < 400; ++i) {
      RunAndCheck(milliseconds(25));
      for (const std::string& holder : Holders()) {
        if (holder != former) return holder;
      }
    }
    return "";
  }

  // Returns how long no host may order, from now on.
  Duration TimeToNextOrder() {
    const TimePoint from = now_;
    for (int i = 0; i < 800; ++i) {
      RunAndCheck(milliseconds(25));
      for (const auto& [name, host] : hosts_) {
        if (MayOrder(name)) return now_ - from;
      }
    }
    return Duration::max();
  }

  void CutOff(const std::string& name) {
    hosts_.at(name).is_cut_from_store = true;
    hosts_.at(name).is_cut_from_hosts = true;
  }

  void Heal(const std::string& name) {
    hosts_.at(name).is_cut_from_store = false;
    hosts_.at(name).is_cut_from_hosts = false;
  }

  void Kill(const std::string& name) {
    hosts_.at(name).is_down = true;
    std::erase_if(pending_, [&](const auto& one) { return one.first == name; });
  }

  // Starts a new process of a host that was killed.
  void Restart(const std::string& name) {
    ++incarnation_;
    hosts_.erase(name);
    Add(name);
  }

  // Cuts off the holder right after it has confirmed its lease, and returns it.
  std::string CutOffHolder() {
    Run(seconds(3));
    const std::string first = Holders().at(0);
    while (hosts_.at(first).node->StateDump()["fleet"]["proven_ms_ago"] > 50) {
      RunAndCheck(milliseconds(25));
    }
    CutOff(first);
    return first;
  }

  FencingToken highest_ordering_ = 0;
  int stale_ticks_ = 0;
};

// The ways in which the successor of a holder that is cut off is followed.
enum class Way : uint8_t {
  kKilledAndRestarted,
  kKilledTwice,
  kKilledForGood,
  kDrained,
  kDrainedAndRestarted,
  kResigned,
  kSuperseded,
  kFrozen,
  kOthersKilledToo,
};

class LeaseFollowingTest
    : public LeaseChainTest,
      public testing::WithParamInterface<std::tuple<Way, int>> {
 protected:
  void Follow(const std::string& first, const std::string& second) {
    switch (std::get<Way>(GetParam())) {
      case Way::kKilledAndRestarted:
        KillAndRestart(second);
        return;
      case Way::kKilledTwice:
        KillAndRestart(second);
        RunAndCheck(milliseconds(300));
        KillAndRestart(second);
        return;
      case Way::kKilledForGood:
        Kill(second);
        return;
      case Way::kDrained:
        Handle(second, DrainRequested{});
        return;
      case Way::kDrainedAndRestarted:
        Handle(second, DrainRequested{});
        RunAndCheck(milliseconds(50));
        KillAndRestart(second);
        return;
      case Way::kResigned:
        hosts_.at(second).is_cut_from_store = true;
        return;
      case Way::kSuperseded:
        CutOff(second);
        return;
      case Way::kFrozen:
        hosts_.at(second).is_down = true;
        RunAndCheck(milliseconds(1500));
        hosts_.at(second).is_down = false;
        return;
      case Way::kOthersKilledToo:
        for (const char* name : {"a", "b", "c", "d"}) {
          if (name != first) Kill(name);
        }
        RunAndCheck(milliseconds(50));
        for (const char* name : {"a", "b", "c", "d"}) {
          if (name != first) Restart(name);
        }
        return;
    }
  }

  void KillAndRestart(const std::string& name) {
    Kill(name);
    RunAndCheck(milliseconds(50));
    Restart(name);
  }
};

// Guards against a host that does not wait for a holder before the last one,
// whose orders then reach engines in turns with its own.
TEST_P(LeaseFollowingTest, NextHolderWaitsForTheHolderThatIsCutOff) {
  for (const char* name : {"a", "b", "c", "d"}) Add(name);
  const std::string first = CutOffHolder();
  const std::string second = AwaitSuccessor(first);
  ASSERT_FALSE(second.empty());
  RunAndCheck(milliseconds(std::get<int>(GetParam())));
  Follow(first, second);
  RunAndCheck(seconds(4));
  for (const auto& [name, host] : hosts_) Heal(name);
  EXPECT_LT(TimeToNextOrder(), Duration::max());
  EXPECT_EQ(stale_ticks_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Ways, LeaseFollowingTest,
    testing::Combine(testing::Values(Way::kKilledAndRestarted,
                                     Way::kKilledTwice, Way::kKilledForGood,
                                     Way::kDrained, Way::kDrainedAndRestarted,
                                     Way::kResigned, Way::kSuperseded,
                                     Way::kFrozen, Way::kOthersKilledToo),
                     testing::Range(0, 3100, 100)));

// Guards against a deployment whose lease is shorter than the time for which a
// holder that is cut off goes on ordering.
TEST_F(LeaseChainTest, ShortOrderLeaseCoversTheHolderThatIsCutOff) {
  order_lease_ = milliseconds(500);
  for (const char* name : {"a", "b", "c"}) Add(name);
  CutOffHolder();
  RunAndCheck(seconds(8));
  EXPECT_EQ(stale_ticks_, 0);
  EXPECT_GE(highest_ordering_, 2u);
}

// Guards against a restarted owner that waits though the holder before it ended
// its orders long ago.
TEST_F(LeaseChainTest, RestartedOwnerOfLongStandingOrdersAtOnce) {
  for (const char* name : {"a", "b", "c"}) Add(name);
  const std::string first = CutOffHolder();
  const std::string second = AwaitSuccessor(first);
  Kill(first);
  ASSERT_LT(TimeToNextOrder(), seconds(4));
  Run(seconds(3));
  ASSERT_EQ(lease_->holder.host, second);
  for (const char* name : {"a", "b", "c"}) Kill(name);
  Run(milliseconds(50));
  Restart(second);
  EXPECT_LT(TimeToNextOrder(), milliseconds(500));
}

// Guards against an owner that waits for one that has released the lease after
// its own wait.
TEST_F(LeaseChainTest, SuccessorOfAReleasedLeaseOrdersAtOnce) {
  for (const char* name : {"a", "b", "c"}) Add(name);
  const std::string first = CutOffHolder();
  const std::string second = AwaitSuccessor(first);
  Kill(first);
  ASSERT_LT(TimeToNextOrder(), seconds(4));
  Run(seconds(3));
  Handle(second, DrainRequested{});
  EXPECT_LT(TimeToNextOrder(), milliseconds(500));
}

// Guards against a successor that restarts and orders at once after a holder
// whose record does not tell whether the ones before it have ended.
TEST_F(LeaseChainTest, RecordOfAnEarlierVersionMayHavePredecessors) {
  for (const char* name : {"a", "b"}) Add(name);
  Run(seconds(4));
  const std::string owner = Holders().at(0);
  Json record = lease_->ToJson();
  record.erase("predecessors_ended");
  for (const char* name : {"a", "b"}) Kill(name);
  lease_ = LeaseRecord::FromJson(record);
  Restart(owner);
  const Duration wait = TimeToNextOrder();
  EXPECT_GE(wait, seconds(3));
  EXPECT_LT(wait, seconds(4));
}

// Guards against a wait of 3 s at each planned stop while hosts of two versions
// run.
TEST_F(LeaseChainTest, ReleaseByAnEarlierVersionIsFollowedAtOnce) {
  for (const char* name : {"a", "b"}) Add(name);
  Run(seconds(4));
  const std::string owner = Holders().at(0);
  Handle(owner, DrainRequested{});
  while (!lease_->is_released) Run(milliseconds(25));
  lease_->have_predecessors_ended = false;
  EXPECT_LT(TimeToNextOrder(), milliseconds(500));
}

// Guards against a lease whose record was dropped, which counts as one that
// nobody has ever claimed.
TEST_F(LeaseChainTest, DroppedRecordMayHavePredecessors) {
  for (const char* name : {"a", "b", "c"}) Add(name);
  CutOffHolder();
  lease_.reset();
  token_ = 0;
  ++end_;
  RunAndCheck(seconds(8));
  EXPECT_EQ(stale_ticks_, 0);
  EXPECT_GE(highest_ordering_, 2u);
}

class LeaseChainProperty : public LeaseChainTest {
 protected:
  void TestBody() override {}

 public:
  // Lets random hosts hold the lease and be followed. Returns how often a host
  // could order under a token below that of another.
  int RunChain(uint64_t seed) {
    Random random(seed);
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (const std::string& name : names) Add(name);
    RunAndCheck(seconds(5));
    for (int step = 0; step < 40; ++step) {
      // Most faults hit the host that holds the lease, as far as it is known.
      std::string name = names[random.Below(names.size())];
      if (lease_ && random.Below(3) != 0) name = lease_->holder.host;
      InjectFault(name, random);
      RunAndCheck(milliseconds(25 * (1 + random.Below(40))));
    }
    for (const std::string& name : names) {
      Heal(name);
      if (killed_.contains(name)) Restart(name);
      hosts_.at(name).is_down = false;
    }
    killed_.clear();
    is_recovered_ = TimeToNextOrder() < Duration::max();
    return stale_ticks_;
  }
  bool is_recovered() const { return is_recovered_; }

 private:
  void InjectFault(const std::string& name, Random& random) {
    if (killed_.contains(name)) {
      killed_.erase(name);
      Restart(name);
      return;
    }
    switch (random.Below(8)) {
      case 0:
        Kill(name);
        RunAndCheck(milliseconds(25 * (1 + random.Below(8))));
        Restart(name);
        return;
      case 1:
        Kill(name);
        killed_.insert(name);
        return;
      case 2:
        Handle(name, DrainRequested{});
        RunAndCheck(milliseconds(25 * (1 + random.Below(60))));
        Kill(name);
        killed_.insert(name);
        return;
      case 3:
        hosts_.at(name).is_cut_from_store = true;
        return;
      case 4:
        CutOff(name);
        return;
      case 5:
        hosts_.at(name).is_down = !hosts_.at(name).is_down;
        return;
      default:
        Heal(name);
        hosts_.at(name).is_down = false;
        return;
    }
  }

  std::set<std::string> killed_;
  bool is_recovered_ = false;
};

// Guards against any chain of holders in which one orders before an earlier one
// has ended.
RC_GTEST_PROP(LeaseChains, NoHostOrdersUnderALowerTokenThanAnother, ()) {
  LeaseChainProperty fleet;
  RC_ASSERT(fleet.RunChain(*rc::gen::arbitrary<uint64_t>()) == 0);
  RC_ASSERT(fleet.is_recovered());
}

}  // namespace
}  // namespace applehall

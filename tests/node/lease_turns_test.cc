#include <gtest/gtest.h>

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

// Hosts that reach the store and the engines and not each other.
class LeaseTurnsTest : public FleetTest {
 protected:
  static constexpr Duration kLeaseTtl = seconds(3);

  struct Tenure {
    std::string holder;
    TimePoint since;
  };

  bool IsCut(const std::string&, const std::string&) const override {
    return is_cut_;
  }

  std::vector<Tenure> RunAndRecordTenures(Duration duration) {
    std::vector<Tenure> tenures;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      Run(milliseconds(25));
      if (!lease_ || lease_->is_released) continue;
      const std::string holder = lease_->holder.host;
      if (tenures.empty() || tenures.back().holder != holder) {
        tenures.push_back({holder, now_});
      }
    }
    return tenures;
  }

  // Pairs of tenures of one host, with others between, so close to each other
  // that its orders and those of the others can reach engines in turns.
  static int CountTurns(const std::vector<Tenure>& tenures) {
    int turns = 0;
    for (size_t i = 0; i < tenures.size(); ++i) {
      for (size_t j = i + 2; j < tenures.size(); ++j) {
        if (tenures[j].holder != tenures[i].holder) continue;
        if (tenures[j].since - tenures[i + 1].since <= kLeaseTtl) ++turns;
        break;
      }
    }
    return turns;
  }

  bool is_cut_ = false;
};

// Guards against a superseded owner that claims the lease back at once from a
// successor that it does not reach.
TEST_F(LeaseTurnsTest, HostsWithoutLinksTakeNoTurns) {
  for (const char* name : {"a", "b"}) Add(name);
  Run(seconds(10));
  ASSERT_EQ(Holders().size(), 1u);
  is_cut_ = true;
  const std::vector<Tenure> tenures = RunAndRecordTenures(seconds(120));
  EXPECT_GE(tenures.size(), 2u);
  EXPECT_EQ(CountTurns(tenures), 0);
}

TEST_F(LeaseTurnsTest, TurnsBetweenManyHostsGetFewer) {
  for (const char* name : {"a", "b", "c", "d", "e"}) Add(name);
  Run(seconds(10));
  is_cut_ = true;
  const size_t first = RunAndRecordTenures(seconds(60)).size();
  const std::vector<Tenure> later = RunAndRecordTenures(seconds(60));
  EXPECT_EQ(CountTurns(later), 0);
  EXPECT_LT(later.size(), first);
}

// Guards against a fleet without an owner after the links work again.
TEST_F(LeaseTurnsTest, OneOwnerRemainsOnceLinksWork) {
  for (const char* name : {"a", "b", "c"}) Add(name);
  Run(seconds(10));
  is_cut_ = true;
  Run(seconds(30));
  is_cut_ = false;
  Run(seconds(5));
  EXPECT_EQ(RunAndRecordTenures(seconds(30)).size(), 1u);
  EXPECT_EQ(Holders().size(), 1u);
}

// Guards against models that are not loaded since the owner's successor died.
TEST_F(LeaseTurnsTest, SupersededHostClaimsAfterItsPause) {
  for (const char* name : {"a", "b"}) Add(name);
  Run(seconds(10));
  const std::string first = Holders().at(0);
  is_cut_ = true;
  for (int i = 0; i < 200 && lease_->holder.host == first; ++i) {
    Run(milliseconds(25));
  }
  const std::string second = lease_->holder.host;
  ASSERT_NE(first, second);
  Run(milliseconds(500));
  hosts_.at(second).is_down = true;
  Run(seconds(6));
  EXPECT_EQ(lease_->holder.host, first);
}

}  // namespace
}  // namespace applehall

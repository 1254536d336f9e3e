// Servers that limit themselves are kept within their limits by all hosts
// together, and their limits are used.

#include <iostream>

#include "node/limit_manager.h"
#include "tests/node/limit_fleet.h"

namespace applehall {
namespace {

class LimitFleetTest : public testing::TestWithParam<int> {};

INSTANTIATE_TEST_SUITE_P(Hosts, LimitFleetTest, testing::Values(8, 87, 300));

void NameLimit(LimitFleet& fleet, double per_second, double demand) {
  fleet.SetDemand(demand);
  fleet.SetPatience(milliseconds(300));
  fleet.Run(seconds(2));
  fleet.SetLimit(per_second);
  fleet.Run(seconds(4));
  fleet.TakeCount();
}

// Guards against a limit that is kept by leaving the server idle.
TEST_P(LimitFleetTest, LimitIsKeptAndUsed) {
  for (const double limit : {0.3, 1.0, 5.0, 40.0}) {
    LimitFleet fleet(GetParam(), 1);
    NameLimit(fleet, limit, 4 * limit + 2);
    fleet.Run(seconds(40));
    EXPECT_LE(fleet.WorstWindow(), 1) << limit;
    EXPECT_GE(fleet.TakeCount().sent, 0.9 * limit * 40) << limit;
  }
}

// Guards against a burst that is over before the owner hears of it: a share of
// the requests, told in advance, lets a jump of demand through.
TEST_P(LimitFleetTest, SuddenDemandIsHeldBack) {
  LimitFleet fleet(GetParam(), 2);
  NameLimit(fleet, 1, 0.5);
  for (int i = 0; i < 5; ++i) {
    fleet.SetDemand(0.5);
    fleet.Run(seconds(5));
    fleet.SetDemand(60);
    fleet.Run(seconds(3));
  }
  EXPECT_LE(fleet.WorstWindow(), 1);
}

// Guards against refusals while the limit leaves room.
TEST_P(LimitFleetTest, WhatStaysWithinTheLimitIsSent) {
  LimitFleet fleet(GetParam(), 3);
  NameLimit(fleet, 10, 5);
  fleet.Run(seconds(30));
  const LimitFleet::Count count = fleet.TakeCount();
  EXPECT_GE(count.sent, 0.98 * count.asked);
}

TEST_P(LimitFleetTest, LimitIsRaisedLoweredAndLifted) {
  LimitFleet fleet(GetParam(), 4);
  NameLimit(fleet, 2, 60);
  fleet.SetLimit(20);
  fleet.Run(seconds(4));
  fleet.TakeCount();
  fleet.Run(seconds(10));
  EXPECT_GE(fleet.TakeCount().sent, 0.9 * 20 * 10);
  fleet.SetLimit(1);
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.WorstWindow(), 1);
  fleet.SetLimit(-1);
  fleet.Run(seconds(6));
  fleet.TakeCount();
  fleet.Run(seconds(5));
  const LimitFleet::Count free = fleet.TakeCount();
  EXPECT_GE(free.sent, 0.98 * free.asked);
}

// Guards against a server that is never asked again once it has named zero.
TEST_P(LimitFleetTest, ServerThatTakesNothingIsTriedNowAndThen) {
  LimitFleet fleet(GetParam(), 5);
  NameLimit(fleet, 0, 20);
  fleet.Run(seconds(60));
  const int sent = fleet.TakeCount().sent;
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 10);
  fleet.SetLimit(-1);
  fleet.Run(seconds(40));
  fleet.TakeCount();
  fleet.Run(seconds(5));
  const LimitFleet::Count free = fleet.TakeCount();
  EXPECT_GE(free.sent, 0.98 * free.asked);
}

// Guards against a limit that each owner gives out anew, and against hosts that
// all send while there is none.
TEST_P(LimitFleetTest, LostOwnersGiveNothingOutTwice) {
  LimitFleet fleet(GetParam(), 6);
  NameLimit(fleet, 1, 30);
  for (int i = 0; i < 12; ++i) {
    fleet.ReplaceOwner(milliseconds(500 + fleet.random().Below(4000)));
    fleet.Run(milliseconds(1000 + fleet.random().Below(5000)));
  }
  EXPECT_LE(fleet.WorstWindow(), 1);
}

// Guards against a host that wakes with permits of long ago, or an owner that
// does.
TEST_P(LimitFleetTest, FrozenHostsSendNothingOld) {
  LimitFleet fleet(GetParam(), 7);
  NameLimit(fleet, 1, 30);
  for (int i = 0; i < 10; ++i) {
    fleet.Freeze(fleet.random().Below(fleet.size()), seconds(2));
    if (i % 3 == 0) fleet.Freeze(*fleet.owner(), milliseconds(2500));
    fleet.Run(seconds(5));
  }
  EXPECT_LE(fleet.WorstWindow(), 1);
}

// Guards against a cut that doubles the limit: those behind it go by their own
// part, which the owner sets aside.
TEST_P(LimitFleetTest, BothSidesOfACutTogetherKeepToTheLimit) {
  for (const double limit : {1.0, 10.0}) {
    LimitFleet fleet(GetParam(), 8);
    NameLimit(fleet, limit, 10 * limit);
    for (size_t i = 1; i < fleet.size() / 2; ++i) fleet.Cut(i, true);
    fleet.TakeCount();
    fleet.Run(seconds(10));
    const int both = fleet.TakeCount().sent;
    EXPECT_LE(both, limit * 10 * 1.2 + 8) << limit;
    EXPECT_GE(both, limit * 10 * 0.5) << limit;
  }
}

// Guards against the ways that failures overlap. Seeds are printed.
TEST_P(LimitFleetTest, LimitHoldsThroughRandomFailures) {
  const int seeds = GetParam() > 100 ? 6 : 20;
  for (int seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(absl::StrCat("hosts ", GetParam(), " seed ", seed));
    LimitFleet fleet(GetParam(), seed * 1000 + GetParam());
    Random& random = fleet.random();
    const double limit = 0.2 + 8 * random.Unit();
    NameLimit(fleet, limit, limit * (1 + 6 * random.Unit()));
    for (int i = 0; i < 30; ++i) {
      const size_t host = random.Below(fleet.size());
      switch (random.Below(7)) {
        case 0:
          fleet.Cut(host, true);
          break;
        case 1:
          for (size_t j = 0; j < fleet.size(); ++j) fleet.Cut(j, false);
          break;
        case 2:
          fleet.Freeze(host, milliseconds(200 + random.Below(4000)));
          break;
        case 3:
          fleet.Restart(host);
          break;
        case 4:
          fleet.ReplaceOwner(milliseconds(random.Below(4000)));
          break;
        case 5:
          fleet.SetDemand(limit * 12 * random.Unit());
          break;
        default:
          fleet.SetLimit(0.2 + 8 * random.Unit());
      }
      fleet.Run(milliseconds(500 + random.Below(2500)));
    }
    EXPECT_LE(fleet.WorstWindow(), 1);
  }
}

}  // namespace
}  // namespace applehall

// Tests that all hosts together enforce the teams' quotas.

#include "tests/admission/quota_fixture.h"

namespace applehall {
namespace {

constexpr double kLargeLimit = 180000;
constexpr double kSmallLimit = 2700;
constexpr double kRequest = 1700;     // Tokens of a typical request.
constexpr double kUsualShare = 0.55;  // A team's usual share of its limit.
constexpr int kHosts = 300;

// Creates one large team and several small ones, each within its limit.
QuotaFleet MakeFleet(uint64_t seed, int hosts = kHosts,
                     QuotaSplit split = QuotaSplit::kByDemand) {
  QuotaFleet fleet(hosts, seed, split);
  fleet.AddTeam("large", kLargeLimit, kUsualShare * kLargeLimit, kRequest, 90);
  for (int i = 0; i < 4; ++i) {
    fleet.AddTeam(absl::StrCat("small-", i), kSmallLimit,
                  kUsualShare * kSmallLimit, kRequest, 4);
  }
  return fleet;
}

// A small team's quota is less than one request for most of 300 hosts. If it
// were split evenly, each host would refuse the team although the team uses
// half of its quota.
TEST(QuotaTest, TeamsWithinTheirQuotaAreNotRefused) {
  QuotaFleet fleet = MakeFleet(1);
  fleet.Run(seconds(4));
  for (const char* team : {"large", "small-0", "small-1"}) {
    fleet.TakeCount(team);
  }
  fleet.Run(seconds(40));
  for (const char* team : {"large", "small-0", "small-1"}) {
    EXPECT_GE(fleet.TakeCount(team).ServedShare(), 0.95) << team;
  }
}

// Compares the ways of dividing a quota for a small team within it, whose
// callers are at four of 300 hosts.
TEST(QuotaTest, SharesOfDemandRefuseFewestOfASmallTeam) {
  std::map<QuotaSplit, double> served;
  for (const QuotaSplit split :
       {QuotaSplit::kByDemand, QuotaSplit::kByUsage, QuotaSplit::kEven}) {
    QuotaFleet fleet = MakeFleet(15, kHosts, split);
    fleet.Run(seconds(8));
    fleet.TakeCount("small-0");
    fleet.Run(seconds(40));
    served[split] = fleet.TakeCount("small-0").ServedShare();
    RecordProperty(absl::StrCat("served-", static_cast<int>(split)),
                   absl::StrCat(served[split]));
  }
  EXPECT_GE(served[QuotaSplit::kByDemand], served[QuotaSplit::kByUsage]);
  EXPECT_GE(served[QuotaSplit::kByUsage], served[QuotaSplit::kEven]);
}

// One team sends 7.5 times its usual load: it gets its quota and no more, and
// other teams are not affected.
TEST(QuotaTest, HotTeamGetsItsQuotaAndOthersTheirs) {
  QuotaFleet fleet = MakeFleet(2);
  fleet.Run(seconds(10));
  fleet.SetDemand("large", 7.5 * kUsualShare * kLargeLimit);
  fleet.TakeCount("small-0");
  fleet.Run(seconds(12));
  EXPECT_LE(fleet.WorstWindow("large", kLargeLimit), 1.0);
  fleet.TakeCount("large");
  fleet.Run(seconds(10));
  EXPECT_GE(fleet.TakeCount("large").admitted, 0.9 * 10 * kLargeLimit);
  EXPECT_GE(fleet.TakeCount("small-0").ServedShare(), 0.9);
}

TEST(QuotaTest, HotSmallTeamIsLimited) {
  QuotaFleet fleet = MakeFleet(3);
  fleet.Run(seconds(10));
  fleet.SetDemand("small-0", 7.5 * kUsualShare * kSmallLimit);
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.WorstWindow("small-0", kSmallLimit), 1.0);
}

// A third of the hosts is cut off for 12 s while a team overloads. If both
// sides kept using the last shares, the team would get its quota once on each
// side.
TEST(QuotaTest, IsolatedHostsKeepToTheirPart) {
  for (const uint64_t seed : {4, 5, 6}) {
    QuotaFleet fleet = MakeFleet(seed);
    fleet.Run(seconds(10));
    fleet.CutShare(0.35, true);
    fleet.Run(seconds(1));
    fleet.SetDemand("large", 6 * kUsualShare * kLargeLimit);
    fleet.Run(seconds(11));
    fleet.CutShare(0.35, false);
    fleet.Run(seconds(10));
    EXPECT_LE(fleet.WorstWindow("large", kLargeLimit), 1.0) << seed;
  }
}

// Hosts that are cut off continue to serve teams within their quota with few
// refusals.
TEST(QuotaTest, IsolatedHostsServeTeamsWithinTheirQuota) {
  QuotaFleet fleet = MakeFleet(7, /*hosts=*/90);
  fleet.Run(seconds(10));
  fleet.CutShare(0.25, true);
  fleet.TakeCount("large");
  fleet.Run(seconds(10));
  EXPECT_GE(fleet.TakeCount("large").ServedShare(), 0.95);
}

// The owner is lost while a team is limited; the next owner has no record of
// what was admitted.
TEST(QuotaTest, NextOwnerEnforcesTheLimit) {
  for (const uint64_t seed : {8, 9, 10}) {
    QuotaFleet fleet = MakeFleet(seed);
    fleet.Run(seconds(10));
    fleet.SetDemand("large", 6 * kUsualShare * kLargeLimit);
    fleet.Run(seconds(6));
    fleet.ReplaceOwner(milliseconds(2300));
    fleet.Run(seconds(15));
    EXPECT_LE(fleet.WorstWindow("large", kLargeLimit), 1.0) << seed;
  }
}

// All hosts restart at once while a team is limited, so no process has a record
// of the team's usage.
TEST(QuotaTest, RestartedFleetEnforcesTheLimit) {
  for (const uint64_t seed : {11, 12, 13}) {
    QuotaFleet fleet = MakeFleet(seed, /*hosts=*/90);
    fleet.Run(seconds(10));
    const double hot = 5 * kUsualShare * kLargeLimit;
    fleet.SetDemand("large", hot);
    fleet.Run(seconds(5));
    fleet.SetDemand("large", 0);
    fleet.RestartAll();
    fleet.ReplaceOwner(milliseconds(2300));
    fleet.Run(seconds(1));
    fleet.SetDemand("large", hot);
    fleet.Run(seconds(15));
    EXPECT_LE(fleet.WorstWindow("large", kLargeLimit), 1.0) << seed;
  }
}

// A quota is lowered far below the team's load. It must bind one window after
// all hosts may have received it.
TEST(QuotaTest, LoweredQuotaIsEnforced) {
  QuotaFleet fleet = MakeFleet(14);
  fleet.Run(seconds(10));
  const double lowered = 0.2 * kLargeLimit;
  fleet.SetLimit("large", lowered);
  fleet.Run(seconds(3));
  const TimePoint in_force = fleet.now();
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.WorstWindow("large", lowered, in_force), 1.0);
}

// Random overlapping cuts, restarts, owner losses and demand changes: no team
// is admitted more than its rules allow.
TEST(QuotaTest, LimitHoldsUnderRandomFaults) {
  for (uint64_t seed = 100; seed < 300; ++seed) {
    QuotaFleet fleet = MakeFleet(seed, /*hosts=*/60);
    fleet.Run(seconds(8));
    Random& random = fleet.random();
    for (int step = 0; step < 12; ++step) {
      const uint64_t what = random.Below(5);
      if (what == 0) fleet.CutShare(0.4 * random.Unit(), true);
      if (what == 1) fleet.CutShare(1.0, false);
      if (what == 2) {
        for (int i = 0; i < 10; ++i) fleet.Restart(random.Below(fleet.size()));
      }
      if (what == 3) fleet.ReplaceOwner(milliseconds(1800));
      if (what == 4) {
        fleet.SetDemand("large",
                        (0.5 + 4 * random.Unit()) * kUsualShare * kLargeLimit);
      }
      fleet.Run(milliseconds(500 + random.Below(2500)));
    }
    EXPECT_LE(fleet.WorstWindow("large", kLargeLimit), 1.0) << "seed " << seed;
    EXPECT_LE(fleet.WorstWindow("small-0", kSmallLimit), 1.0)
        << "seed " << seed;
  }
}

// Requests that were admitted and refused before they ran use up no quota.
TEST(QuotaTest, RequestsThatDidNotRunAreRefunded) {
  QuotaGate gate(QuotaTolerance{0}, QuotaSplit::kByDemand);
  Team team;
  team.name = "t";
  team.quota = {100, 100};
  const TimePoint now{std::chrono::hours(500000)};
  ASSERT_TRUE(gate.Decide(team, 40, 0.5, now).is_admitted);
  EXPECT_EQ(gate.Usage(now)["t"].admitted, 40);
  gate.GiveBack("t", 40);
  EXPECT_EQ(gate.Usage(now)["t"].admitted, 0);
}

}  // namespace
}  // namespace applehall

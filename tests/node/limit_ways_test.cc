// Two ways to keep all hosts together within a server's limit, under the same
// demand: a share of the requests that the owner tells in advance, as with
// quotas of teams, and a permit for each request.

#include <deque>

#include "tests/admission/quota_fixture.h"
#include "tests/node/limit_fleet.h"

namespace applehall {
namespace {

// Of what the users' rule allows.
double WorstOf(const std::vector<TimePoint>& sent, TimePoint from,
               double limit) {
  const double allowed =
      limit * ToSeconds(kLimitWindow) * kLimitFactor + kLimitSlack;
  std::deque<TimePoint> window;
  size_t most = 0;
  for (const TimePoint at : sent) {
    if (at < from) continue;
    window.push_back(at);
    while (at - window.front() > kLimitWindow) window.pop_front();
    most = std::max(most, window.size());
  }
  return static_cast<double>(most) / allowed;
}

// Requests a second, each for five seconds: it rises to many times the limit
// from one moment to the next, as when another replica of the model is lost.
constexpr double kDemands[] = {0.5, 0.8, 30, 0.4, 60, 3, 0.7, 45, 1, 50};

struct Result {
  double worst = 0;  // Window, over what is allowed.
  double used = 0;   // Of the limit, in the spells in which more was asked.
};

Result PlayShares(int hosts, double limit, uint64_t seed) {
  QuotaFleet fleet(hosts, seed, QuotaSplit::kByDemand, {limit});
  fleet.AddTeam("server", limit, kDemands[0] * limit, 1, hosts);
  fleet.Run(seconds(8));
  const TimePoint from = fleet.now();
  double sent = 0;
  double spells = 0;
  for (const double demand : kDemands) {
    fleet.SetDemand("server", demand * limit);
    fleet.TakeCount("server");
    fleet.Run(seconds(5));
    if (demand < 2) continue;
    sent += fleet.TakeCount("server").admitted;
    spells += 5;
  }
  return {WorstOf(fleet.AdmittedAt("server"), from, limit),
          sent / (limit * spells)};
}

Result PlayPermits(int hosts, double limit, uint64_t seed) {
  LimitFleet fleet(hosts, seed);
  fleet.SetDemand(kDemands[0] * limit);
  fleet.SetPatience(milliseconds(300));
  fleet.Run(seconds(4));
  fleet.SetLimit(limit);
  fleet.Run(seconds(4));
  double sent = 0;
  double spells = 0;
  for (const double demand : kDemands) {
    fleet.SetDemand(demand * limit);
    fleet.TakeCount();
    fleet.Run(seconds(5));
    if (demand < 2) continue;
    sent += fleet.TakeCount().sent;
    spells += 5;
  }
  return {fleet.WorstWindow(), sent / (limit * spells)};
}

// Guards against a change of the way that seems simpler: shares let a jump of
// demand through before the owner has heard of it.
TEST(LimitWaysTest, PermitsHoldWhereSharesDoNot) {
  for (const int hosts : {8, 87, 300}) {
    for (const double limit : {1.0, 5.0, 40.0}) {
      Result shares;
      Result permits;
      constexpr int kSeeds = 4;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        const Result share = PlayShares(hosts, limit, seed);
        const Result permit = PlayPermits(hosts, limit, seed);
        shares.worst = std::max(shares.worst, share.worst);
        shares.used += share.used / kSeeds;
        permits.worst = std::max(permits.worst, permit.worst);
        permits.used += permit.used / kSeeds;
      }
      RecordProperty(
          absl::StrCat("hosts-", hosts, "-limit-", limit),
          absl::StrCat("shares ", shares.worst, " used ", shares.used,
                       ", permits ", permits.worst, " used ", permits.used));
      EXPECT_LE(permits.worst, 1) << hosts << " hosts, limit " << limit;
      EXPECT_GE(permits.used, 0.9) << hosts << " hosts, limit " << limit;
      EXPECT_GT(shares.worst, permits.worst) << hosts << " hosts, " << limit;
    }
  }
}

// What asking costs. Bytes as encoded, without the framing of the links.
TEST(LimitWaysTest, AsksCostAFewBytesForEachRequest) {
  for (const int hosts : {8, 87, 300}) {
    LimitFleet fleet(hosts, 1);
    fleet.SetDemand(20);
    fleet.SetPatience(milliseconds(300));
    fleet.Run(seconds(4));
    const int messages_before = fleet.messages();
    const size_t bytes_before = fleet.bytes();
    fleet.Run(seconds(20));
    const double idle = static_cast<double>(fleet.bytes() - bytes_before) / 20;
    const int idle_messages = fleet.messages() - messages_before;
    fleet.SetLimit(5);
    fleet.Run(seconds(4));
    const size_t limited_before = fleet.bytes();
    const int limited_messages_before = fleet.messages();
    fleet.Run(seconds(20));
    const double limited =
        static_cast<double>(fleet.bytes() - limited_before) / 20;
    const int limited_messages = fleet.messages() - limited_messages_before;
    RecordProperty(
        absl::StrCat("hosts-", hosts),
        absl::StrCat(
            "bytes/s more: ", limited - idle, ", messages/s more: ",
            static_cast<double>(limited_messages - idle_messages) / 20));
    // 20 requests a second, each with an ask and an answer of some 100 bytes.
    EXPECT_LE(limited - idle, 20 * 2 * 150);
  }
}

}  // namespace
}  // namespace applehall

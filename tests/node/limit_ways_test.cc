// Compares two ways to keep all hosts together within a server's limit under
// the same demand: shares that the owner sends in advance, as with the quotas
// of teams, and a permit for each request.

#include <deque>

#include "tests/admission/quota_fixture.h"
#include "tests/node/limit_fleet.h"

namespace applehall {
namespace {

// Returns the most requests in a window, relative to the allowed number.
double MaxWindowLoad(const std::vector<TimePoint>& sent, TimePoint from,
                     double limit) {
  const double allowed =
      limit * ToSeconds(kLimitWindow) * kLimitFactor + kLimitSlack;
  std::deque<TimePoint> window;
  size_t max_count = 0;
  for (const TimePoint at : sent) {
    if (at < from) continue;
    window.push_back(at);
    while (at - window.front() > kLimitWindow) window.pop_front();
    max_count = std::max(max_count, window.size());
  }
  return static_cast<double>(max_count) / allowed;
}

// Demand as a multiple of the limit, for five seconds each. It rises abruptly,
// as when another replica of the model is lost.
constexpr double kDemands[] = {0.5, 0.8, 30, 0.4, 60, 3, 0.7, 45, 1, 50};

struct Result {
  double worst = 0;  // Most requests in a window, relative to the allowed ones.
  double used = 0;  // Used part of the limit while demand is at least twice it.
};

Result RunWithShares(int hosts, double limit, uint64_t seed) {
  QuotaFleet fleet(hosts, seed, QuotaSplit::kByDemand, {limit});
  fleet.AddTeam("server", limit, kDemands[0] * limit, 1, hosts);
  fleet.Run(seconds(8));
  const TimePoint from = fleet.now();
  double sent = 0;
  double limited_seconds = 0;
  for (const double demand : kDemands) {
    fleet.SetDemand("server", demand * limit);
    fleet.TakeCount("server");
    fleet.Run(seconds(5));
    if (demand < 2) continue;
    sent += fleet.TakeCount("server").admitted;
    limited_seconds += 5;
  }
  return {MaxWindowLoad(fleet.AdmittedAt("server"), from, limit),
          sent / (limit * limited_seconds)};
}

Result RunWithPermits(int hosts, double limit, uint64_t seed) {
  LimitFleet fleet(hosts, seed);
  fleet.SetDemand(kDemands[0] * limit);
  fleet.SetMaxWait(milliseconds(300));
  fleet.Run(seconds(4));
  fleet.SetLimit(limit);
  fleet.Run(seconds(4));
  double sent = 0;
  double limited_seconds = 0;
  for (const double demand : kDemands) {
    fleet.SetDemand(demand * limit);
    fleet.TakeCount();
    fleet.Run(seconds(5));
    if (demand < 2) continue;
    sent += fleet.TakeCount().sent;
    limited_seconds += 5;
  }
  return {fleet.WorstWindow(), sent / (limit * limited_seconds)};
}

// Guards against a change to shares, which look simpler: they let a burst of
// demand through before the owner receives a report of it.
TEST(LimitWaysTest, PermitsKeepTheLimitThatSharesExceed) {
  for (const int hosts : {8, 87, 300}) {
    for (const double limit : {1.0, 5.0, 40.0}) {
      Result shares;
      Result permits;
      constexpr int kSeeds = 4;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        const Result share = RunWithShares(hosts, limit, seed);
        const Result permit = RunWithPermits(hosts, limit, seed);
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

// Guards against permit messages that grow. Counts encoded bytes, without the
// framing of the links.
TEST(LimitWaysTest, PermitMessagesTakeFewBytesForEachRequest) {
  for (const int hosts : {8, 87, 300}) {
    LimitFleet fleet(hosts, 1);
    fleet.SetDemand(20);
    fleet.SetMaxWait(milliseconds(300));
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
    // 20 permit requests and answers a second of some 100 bytes each.
    EXPECT_LE(limited - idle, 20 * 2 * 150);
  }
}

}  // namespace
}  // namespace applehall

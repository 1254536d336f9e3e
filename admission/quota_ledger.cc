#include "admission/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time over which a bucket's surplus or debt is evened out: as long as hosts
// take to apply a share and report the result.
constexpr Duration kHorizon = milliseconds(1000);

}  // namespace

void QuotaLedger::SetTeams(std::shared_ptr<const TeamRegistry> teams,
                           TimePoint now) {
  presence_.Start(now);
  if (teams_ == teams) return;
  teams_ = std::move(teams);
  std::erase_if(buckets_, [this](const auto& item) {
    return teams_->Find(item.first) == nullptr;
  });
}

bool QuotaLedger::IsReady(TimePoint now) const {
  const TimePoint started_at = presence_.started_at();
  return started_at != TimePoint{} && now - started_at >= settings_.gathering;
}

void QuotaLedger::Spend(const std::string& team, double tokens) {
  const auto it = buckets_.find(team);
  if (it != buckets_.end()) it->second.level -= tokens;
}

void QuotaLedger::ApplyUsage(const std::string& host,
                             const std::string& data_centre,
                             uint64_t incarnation, const QuotaUsage& usage,
                             TimePoint now) {
  Host& known = hosts_[host];
  const bool is_new = known.incarnation != incarnation;
  if (is_new) known = {};
  // A host new to this ledger may have admitted its counts long ago.
  const bool is_first = is_new && !IsReady(now);
  for (const auto& [team, counts] : usage) {
    HostTeam& before = known.teams[team];
    if (!is_first) {
      Spend(team, counts.admitted - before.usage.admitted - before.charged);
    }
    before = {counts, 0};
  }
  known.incarnation = incarnation;
  known.data_centre = data_centre;
  presence_.RecordContact(host, now);
  known.charged_to = now;
}

std::map<std::string, QuotaLedger::Demand> QuotaLedger::SumDemand(
    TimePoint now) const {
  std::map<std::string, Demand> sums;
  for (const auto& [name, host] : hosts_) {
    const bool is_unreachable = presence_.IsUnreachable(name, now);
    for (const auto& [team, counts] : host.teams) {
      Demand& sum = sums[team];
      sum.usual_rate += counts.usage.usual_rate;
      if (!is_unreachable) sum.recent_rate += counts.usage.recent_rate;
    }
  }
  return sums;
}

void QuotaLedger::ChargeUnreachableHosts(std::map<std::string, Demand>& demands,
                                         TimePoint now) {
  for (auto& [name, host] : hosts_) {
    if (!presence_.IsUnreachable(name, now)) continue;
    const double elapsed = ToSeconds(now - host.charged_to);
    host.charged_to = now;
    for (auto& [team_name, counts] : host.teams) {
      const Team* team = teams_->Find(team_name);
      if (team == nullptr || !team->quota.is_limited()) continue;
      Demand& demand = demands[team_name];
      const double part =
          QuotaPart(counts.usage.usual_rate, demand.usual_rate, hosts());
      demand.unreachable_part += part;
      const double tokens = part * team->quota.tokens_per_second * elapsed;
      counts.charged += tokens;
      Spend(team_name, tokens);
    }
  }
}

// Charges the parts of hosts that the previous owner recorded and that have not
// reported to this one. They may still be serving; without the charge a team
// would get its quota twice when an owner is lost together with the hosts
// around it.
void QuotaLedger::ChargeMissingHosts(std::map<std::string, Demand>& demands,
                                     TimePoint now) {
  const TimePoint from = std::max(missing_charged_to_, presence_.started_at());
  missing_charged_to_ = now;
  const int missing = presence_.CountMissing(now);
  if (missing == 0) return;
  const double part = static_cast<double>(missing) / settings_.expected_hosts;
  for (const auto& [name, team] : teams_->teams()) {
    if (!team.quota.is_limited()) continue;
    demands[name].unreachable_part += part;
    Spend(name, part * team.quota.tokens_per_second * ToSeconds(now - from));
  }
}

void QuotaLedger::SumParts(const std::map<std::string, Demand>& demands) {
  parts_.clear();
  const int expected = std::max(hosts(), settings_.expected_hosts);
  for (const auto& [name, host] : hosts_) {
    std::map<std::string, double>& centre = parts_[host.data_centre];
    for (const auto& [team, counts] : host.teams) {
      const auto demand = demands.find(team);
      if (demand == demands.end()) continue;
      centre[team] += QuotaPart(counts.usage.usual_rate,
                                demand->second.usual_rate, expected);
    }
  }
}

QuotaShares QuotaLedger::Shares(TimePoint now) {
  QuotaShares shares;
  if (!teams_) return shares;
  presence_.Expire(now);
  std::erase_if(hosts_, [this](const auto& item) {
    return !presence_.Contains(item.first);
  });
  std::map<std::string, Demand> demands = SumDemand(now);
  ChargeUnreachableHosts(demands, now);
  ChargeMissingHosts(demands, now);
  SumParts(demands);
  for (const auto& [name, team] : teams_->teams()) {
    if (!team.quota.is_limited()) continue;
    const Demand& demand = demands[name];
    QuotaBucket& bucket = buckets_[name];
    bucket.Fill(team.quota, settings_.tolerance, 1, now);
    // Unreachable hosts hold their part of the burst.
    const double reachable_part = std::max(0.0, 1 - demand.unreachable_part);
    bucket.level = std::min(
        bucket.level,
        QuotaBucket::Depth(team.quota, settings_.tolerance, reachable_part));
    if (demand.usual_rate <= 0) continue;
    const double allowed =
        team.quota.tokens_per_second + bucket.level / ToSeconds(kHorizon);
    TeamShare& share = shares[name];
    share.usual_rate = demand.usual_rate;
    if (demand.recent_rate > allowed) {
      share.share = std::max(0.0, allowed) / demand.recent_rate;
    }
  }
  return shares;
}

}  // namespace applehall

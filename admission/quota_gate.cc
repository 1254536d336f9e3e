#include "admission/quota_gate.h"

#include <algorithm>
#include <cmath>

#include "admission/host_presence.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Averaging times of the rates: a short one to detect a rise in a team's
// demand, a long one for the usual distribution of its requests over hosts.
constexpr Duration kRecentSpan = milliseconds(500);
constexpr Duration kUsualSpan = seconds(5);
// Bounds of Retry-After. A team that has been over its quota for some time is
// likely to stay over it for as long again, and callers that return sooner
// would be refused once more.
constexpr Duration kMinRetryAfter = seconds(2);
constexpr Duration kMaxRetryAfter = seconds(8);
// Jitter of Retry-After as a share of it, so that callers refused together do
// not return together.
constexpr double kRetrySpread = 0.5;

Duration RetryAfter(Duration overload_time, double draw) {
  const Duration base =
      std::clamp<Duration>(overload_time, kMinRetryAfter, kMaxRetryAfter);
  return FromSeconds(ToSeconds(base) * (1 + kRetrySpread * draw));
}

}  // namespace

double QuotaGate::Rate::ValueAt(Duration span, TimePoint now) const {
  if (at == TimePoint{} || now <= at) return value;
  return value * std::exp(-ToSeconds(now - at) / ToSeconds(span));
}

void QuotaGate::Rate::Add(double cost, Duration span, TimePoint now) {
  value = ValueAt(span, now) + cost / ToSeconds(span);
  at = now;
}

bool QuotaGate::HasFreshShares(TimePoint now) const {
  return split_ == QuotaSplit::kByDemand && shares_at_ != TimePoint{} &&
         now - shares_at_ < kOwnerContactTtl;
}

QuotaGate::QuotaGate(QuotaTolerance tolerance, QuotaSplit split)
    : tolerance_(tolerance), split_(split), hosts_(kDefaultHostCount) {}

bool QuotaGate::HasFreshCentreShares(TimePoint now) const {
  return split_ == QuotaSplit::kByDemand && centre_shares_at_ != TimePoint{} &&
         now - centre_shares_at_ < kOwnerContactTtl;
}

void QuotaGate::ApplyCentreShares(const QuotaShares& shares, TimePoint now) {
  centre_shares_at_ = now;
  for (auto& [name, state] : teams_) {
    const auto entry = shares.find(name);
    state.centre_share = entry == shares.end() ? 1 : entry->second.share;
  }
}

void QuotaGate::ApplyShares(const QuotaShares& shares, int hosts,
                            TimePoint now) {
  shares_at_ = now;
  hosts_ = std::max(1, hosts);
  for (auto& [name, state] : teams_) {
    const auto entry = shares.find(name);
    state.owner_share = entry == shares.end() ? TeamShare{} : entry->second;
    const double fleet_rate =
        split_ == QuotaSplit::kEven ? 0 : state.owner_share.usual_rate;
    state.part =
        QuotaPart(state.usual.ValueAt(kUsualSpan, now), fleet_rate, hosts_);
  }
  for (const auto& [name, share] : shares) {
    TeamState& state = teams_[name];
    if (state.part > 0) continue;
    state.owner_share = share;
    state.part = QuotaPart(0, share.usual_rate, hosts_);
  }
}

// The bucket of this host's part is updated while shares are fresh too, so that
// a team with heavy recent usage does not get another burst when the owner
// becomes unreachable.
void QuotaGate::Fill(const TeamQuota& quota, TeamState& state,
                     TimePoint now) const {
  if (state.part <= 0) state.part = 1.0 / hosts_;
  const bool is_new = state.bucket.filled_at == TimePoint{};
  if (is_new) {
    state.bucket.level = QuotaBucket::Depth(quota, tolerance_, state.part);
  }
  state.bucket.Fill(quota, tolerance_, state.part, now);
}

QuotaDecision QuotaGate::Decide(const Team& team, double cost, double draw,
                                TimePoint now) {
  if (!team.quota.is_limited()) return {};
  TeamState& state = teams_[team.name];
  state.recent.Add(cost, kRecentSpan, now);
  state.usual.Add(cost, kUsualSpan, now);
  Fill(team.quota, state, now);
  QuotaDecision decision;
  if (HasFreshShares(now)) {
    decision = DecideByShare(state.owner_share.share, draw);
  } else if (HasFreshCentreShares(now)) {
    decision = DecideByShare(state.centre_share, draw);
    decision.mode = QuotaMode::kCentre;
  } else {
    decision = DecideByPart(state);
  }
  if (shares_at_ != TimePoint{}) decision.shares_age = now - shares_at_;
  if (decision.is_admitted) {
    state.admitted += cost;
    state.bucket.level -= cost;
    return decision;
  }
  // Refusals further apart than this belong to separate overloads.
  if (now - state.refused_at > kMaxRetryAfter) state.refused_since = now;
  state.refused_at = now;
  decision.retry_after = RetryAfter(now - state.refused_since, draw);
  return decision;
}

QuotaDecision QuotaGate::DecideByShare(double share, double draw) const {
  QuotaDecision decision;
  decision.mode = QuotaMode::kShared;
  decision.share = share;
  decision.is_admitted = draw < decision.share;
  if (decision.is_admitted) return decision;
  return decision;
}

// The bucket may go below zero by one request: for most hosts the part of a
// small quota is less than one request, so they could never admit one
// otherwise.
QuotaDecision QuotaGate::DecideByPart(const TeamState& state) const {
  QuotaDecision decision;
  decision.mode = QuotaMode::kIsolated;
  decision.share = state.part;
  decision.is_admitted = state.bucket.level > 0;
  return decision;
}

void QuotaGate::GiveBack(const std::string& team, double cost) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) return;
  it->second.admitted -= cost;
  it->second.bucket.level += cost;
}

QuotaUsage QuotaGate::Usage(TimePoint now) const {
  QuotaUsage usage;
  for (const auto& [name, state] : teams_) {
    usage[name] = {state.admitted, state.recent.ValueAt(kRecentSpan, now),
                   state.usual.ValueAt(kUsualSpan, now)};
  }
  return usage;
}

}  // namespace applehall

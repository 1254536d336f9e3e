#include "admission/quota_gate.h"

#include <algorithm>
#include <cmath>

#include "admission/host_presence.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Over which the rates are taken: one to notice a team that asks for more, one
// to tell where its requests usually come.
constexpr Duration kRecentSpan = milliseconds(500);
constexpr Duration kUsualSpan = seconds(5);
// A team that has been over its quota for a while will mostly be so for as long
// again; within these bounds that is when its callers may come back. Sooner
// they would be refused once more.
constexpr Duration kSoonestReturn = seconds(2);
constexpr Duration kLatestReturn = seconds(8);
// Callers that were refused together return over this share of the time.
constexpr double kReturnSpread = 0.5;

Duration ReturnAfter(Duration lasted, double luck) {
  const Duration wait =
      std::clamp<Duration>(lasted, kSoonestReturn, kLatestReturn);
  return FromSeconds(ToSeconds(wait) * (1 + kReturnSpread * luck));
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
  return split_ == QuotaSplit::kByDemand && told_at_ != TimePoint{} &&
         now - told_at_ < kOwnerContactTtl;
}

QuotaGate::QuotaGate(QuotaTolerance tolerance, QuotaSplit split)
    : tolerance_(tolerance), split_(split), hosts_(kDefaultHostCount) {}

bool QuotaGate::IsToldByCentre(TimePoint now) const {
  return split_ == QuotaSplit::kByDemand && centre_told_at_ != TimePoint{} &&
         now - centre_told_at_ < kOwnerContactTtl;
}

void QuotaGate::ApplyCentreShares(const QuotaShares& shares, TimePoint now) {
  centre_told_at_ = now;
  for (auto& [name, state] : teams_) {
    const auto told = shares.find(name);
    state.centre_share = told == shares.end() ? 1 : told->second.share;
  }
}

void QuotaGate::ApplyShares(const QuotaShares& shares, int hosts,
                            TimePoint now) {
  told_at_ = now;
  hosts_ = std::max(1, hosts);
  for (auto& [name, state] : teams_) {
    const auto told = shares.find(name);
    state.told = told == shares.end() ? TeamShare{} : told->second;
    const double fleet_rate =
        split_ == QuotaSplit::kEven ? 0 : state.told.usual_rate;
    state.part =
        QuotaPart(state.usual.ValueAt(kUsualSpan, now), fleet_rate, hosts_);
  }
  for (const auto& [name, share] : shares) {
    TeamState& state = teams_[name];
    if (state.part > 0) continue;
    state.told = share;
    state.part = QuotaPart(0, share.usual_rate, hosts_);
  }
}

// The bucket of this host's part runs all the while, so that a team which has
// just had much is not given another burst when the owner falls silent.
void QuotaGate::Fill(const TeamQuota& quota, TeamState& state,
                     TimePoint now) const {
  if (state.part <= 0) state.part = 1.0 / hosts_;
  const bool is_new = state.bucket.filled_at == TimePoint{};
  if (is_new) {
    state.bucket.level = QuotaBucket::Depth(quota, tolerance_, state.part);
  }
  state.bucket.Fill(quota, tolerance_, state.part, now);
}

QuotaDecision QuotaGate::Ask(const Team& team, double cost, double luck,
                             TimePoint now) {
  if (!team.quota.is_limited()) return {};
  TeamState& state = teams_[team.name];
  state.recent.Add(cost, kRecentSpan, now);
  state.usual.Add(cost, kUsualSpan, now);
  Fill(team.quota, state, now);
  QuotaDecision decision;
  if (HasFreshShares(now)) {
    decision = AskShared(state.told.share, luck);
  } else if (IsToldByCentre(now)) {
    decision = AskShared(state.centre_share, luck);
    decision.mode = QuotaMode::kCentre;
  } else {
    decision = AskAlone(state);
  }
  if (told_at_ != TimePoint{}) decision.shares_age = now - told_at_;
  if (decision.is_admitted) {
    state.admitted += cost;
    state.bucket.level -= cost;
    return decision;
  }
  // Refusals that stand further apart than this are not of one overload.
  if (now - state.refused_at > kLatestReturn) state.refused_since = now;
  state.refused_at = now;
  decision.retry_after = ReturnAfter(now - state.refused_since, luck);
  return decision;
}

QuotaDecision QuotaGate::AskShared(double share, double luck) const {
  QuotaDecision decision;
  decision.mode = QuotaMode::kShared;
  decision.share = share;
  decision.is_admitted = luck < decision.share;
  if (decision.is_admitted) return decision;
  return decision;
}

// A bucket that may go below zero by one request: a host's part of a small
// quota is less than one request for most hosts, and each of them could
// otherwise never admit one.
QuotaDecision QuotaGate::AskAlone(const TeamState& state) const {
  QuotaDecision decision;
  decision.mode = QuotaMode::kAlone;
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

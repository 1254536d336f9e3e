#include "admission/quota_types.h"

#include <algorithm>

namespace applehall {
namespace {

// Share of the tolerance for bursts of small teams, where a single request may
// exceed a second of their rate. The rest covers what is admitted before all
// hosts know that a team is at its limit.
constexpr double kToleranceShare = 0.4;
// Usage beyond the quota from longer ago than this is not paid back; it was
// admitted by hosts that could not be reached.
constexpr Duration kMaxDebt = std::chrono::seconds(3);

}  // namespace

double QuotaBucket::Depth(const TeamQuota& quota, QuotaTolerance tolerance,
                          double part) {
  return part * (quota.burst_tokens + kToleranceShare * tolerance.tokens);
}

void QuotaBucket::Fill(const TeamQuota& quota, QuotaTolerance tolerance,
                       double part, TimePoint now) {
  if (filled_at != TimePoint{}) {
    level += part * quota.tokens_per_second * ToSeconds(now - filled_at);
  }
  filled_at = now;
  level =
      std::clamp(level, -part * quota.tokens_per_second * ToSeconds(kMaxDebt),
                 Depth(quota, tolerance, part));
}

}  // namespace applehall

#ifndef APPLEHALL_ADMISSION_QUOTA_TYPES_H_
#define APPLEHALL_ADMISSION_QUOTA_TYPES_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "rules/team_registry.h"

namespace applehall {

// One host's counts of a team's requests.
struct TeamUsage {
  // Admitted since the process started, in the unit of the team's quota, less
  // what was refused before it ran.
  double admitted = 0;
  double recent_rate = 0;  // Demand per second over the last moments.
  double usual_rate = 0;   // Demand per second over several seconds.
};

// By team name.
using QuotaUsage = std::map<std::string, TeamUsage>;

// Announced to all hosts for each team.
struct TeamShare {
  double share = 1;       // Of the demand that may be admitted.
  double usual_rate = 0;  // Demand at all hosts, per second.
};

// Part of each team's quota that the hosts of each data centre may use
// together; by data centre, then by team.
using QuotaParts = std::map<std::string, std::map<std::string, double>>;

// By team name; a team without an entry is not limited now.
using QuotaShares = std::map<std::string, TeamShare>;

// Operator's setting of how far all hosts together may exceed a quota.
struct QuotaTolerance {
  double tokens = 0;  // Beyond rate and burst, in any window.
};

// Token bucket of a quota or of a part of it. A level below zero is debt.
struct QuotaBucket {
  double level = 0;
  TimePoint filled_at;

  // Refills the bucket up to `now` at `part` of the quota's rate. A new bucket
  // starts empty. Not thread-safe.
  void Fill(const TeamQuota& quota, QuotaTolerance tolerance, double part,
            TimePoint now);
  // Capacity of the bucket at `part` of the quota. Thread-safe.
  static double Depth(const TeamQuota& quota, QuotaTolerance tolerance,
                      double part);
};

// Share of a team's quota that an isolated host may use: mostly by its share of
// the team's recent requests, and partly even, for requests that may arrive
// next. Sums to one over all hosts that received the same shares.
inline double QuotaPart(double own_rate, double fleet_rate, int hosts) {
  constexpr double kByUsage = 0.75;
  const double even = 1.0 / (hosts < 1 ? 1 : hosts);
  if (fleet_rate <= 0) return even;
  const double usage = own_rate / fleet_rate;
  return kByUsage * (usage < 1 ? usage : 1) + (1 - kByUsage) * even;
}

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_QUOTA_TYPES_H_

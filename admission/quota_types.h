#ifndef APPLEHALL_ADMISSION_QUOTA_TYPES_H_
#define APPLEHALL_ADMISSION_QUOTA_TYPES_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "rules/team_registry.h"

namespace applehall {

// What one host saw of a team's requests.
struct TeamUsage {
  // Since the process started, in the unit of the team's quota; what was
  // refused before it ran is taken back.
  double admitted = 0;
  double recent_rate = 0;  // Asked for, a second, over the last moments.
  double usual_rate = 0;   // The same, over several seconds.
};

// By the team's name.
using QuotaUsage = std::map<std::string, TeamUsage>;

// What all hosts are told of a team.
struct TeamShare {
  double share = 1;       // Of what is asked for that may be admitted.
  double usual_rate = 0;  // Asked for at all hosts, a second.
};

// What part of each team's quota the hosts of each data centre may use
// together; by data centre, then by team.
using QuotaParts = std::map<std::string, std::map<std::string, double>>;

// By the team's name; a team that is missing is not limited now.
using QuotaShares = std::map<std::string, TeamShare>;

// How far all hosts together may go beyond a quota; an operator's setting.
struct QuotaTolerance {
  double tokens = 0;  // Beyond rate and burst, in any window.
};

// The tokens that are left of a quota, or of a part of it. Below zero: owed.
struct QuotaBucket {
  double level = 0;
  TimePoint filled_at;

  // Lets the bucket run until `now` with `part` of the quota. A new one begins
  // empty. Not thread-safe.
  void Fill(const TeamQuota& quota, QuotaTolerance tolerance, double part,
            TimePoint now);
  // As much as it can hold with `part` of the quota. Thread-safe.
  static double Depth(const TeamQuota& quota, QuotaTolerance tolerance,
                      double part);
};

// What a host that hears nothing of the others may use of a team's quota, as a
// share of it: mostly by what of the team's requests came to it, and some for
// what may come to it next. Sums to one over all hosts that were told the same.
inline double QuotaPart(double own_rate, double fleet_rate, int hosts) {
  constexpr double kByUsage = 0.75;
  const double even = 1.0 / (hosts < 1 ? 1 : hosts);
  if (fleet_rate <= 0) return even;
  const double usage = own_rate / fleet_rate;
  return kByUsage * (usage < 1 ? usage : 1) + (1 - kByUsage) * even;
}

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_QUOTA_TYPES_H_

#ifndef APPLEHALL_ADMISSION_QUOTA_GATE_H_
#define APPLEHALL_ADMISSION_QUOTA_GATE_H_

#include <map>
#include <string>

#include "admission/quota_types.h"
#include "core/clock.h"
#include "rules/team_registry.h"

namespace applehall {

// How hosts divide a quota among themselves.
enum class QuotaSplit : uint8_t {
  kByDemand,  // Each admits the same share of its requests.
  kByUsage,   // Each has its own part, by its recent demand.
  kEven,      // Each has the same part.
};

enum class QuotaMode : uint8_t {
  kUnlimited,  // The team has no limit.
  kShared,     // By the share from the fleet's owner.
  kCentre,     // By the share from a host of this data centre.
  kIsolated,   // By this host's part of the quota, without shares from the
               // owner.
};

constexpr const char* QuotaModeName(QuotaMode mode) {
  switch (mode) {
    case QuotaMode::kUnlimited:
      return "unlimited";
    case QuotaMode::kShared:
      return "shared";
    case QuotaMode::kCentre:
      return "centre";
    case QuotaMode::kIsolated:
      return "alone";
  }
  return "alone";
}

// Outcome of a quota check and the share that decided it.
struct QuotaDecision {
  bool is_admitted = true;
  QuotaMode mode = QuotaMode::kUnlimited;
  double share = 1;  // Share of the requests or of the quota that decided.
  Duration shares_age{0};   // Age of the owner's shares.
  Duration retry_after{0};  // When to try again; zero if admitted.
};

// Enforces the teams' quotas at one host.
//
// While the owner's shares are fresh, a request is admitted with the
// probability that the owner announced: no request waits for another host, and
// a host that sees one request a minute needs no quota of its own in advance.
// Without fresh shares the host limits itself to its part of each quota, a
// token bucket. The parts of all hosts sum to the whole, and the owner sets the
// parts of unreachable hosts aside.
class QuotaGate {
 public:
  QuotaGate(QuotaTolerance tolerance, QuotaSplit split);

  // Applies the owner's shares, which are sent to `hosts` hosts. Not
  // thread-safe.
  void ApplyShares(const QuotaShares& shares, int hosts, TimePoint now);
  // Applies the shares of a host that stands in for the owner in this data
  // centre. Not thread-safe.
  void ApplyCentreShares(const QuotaShares& shares, TimePoint now);
  // Returns whether the owner's shares are fresh. Not thread-safe.
  bool HasFreshShares(TimePoint now) const;
  // Decides on a request of the given cost; `draw` is uniform from 0 to 1. Not
  // thread-safe.
  QuotaDecision Decide(const Team& team, double cost, double draw,
                       TimePoint now);
  // Returns the tokens of an admitted request that has not run and never will.
  // Not thread-safe.
  void GiveBack(const std::string& team, double cost);
  // Not thread-safe.
  QuotaUsage Usage(TimePoint now) const;

 private:
  // Exponentially decaying rate over about the last `span`.
  struct Rate {
    double value = 0;  // Per second.
    TimePoint at;

    double ValueAt(Duration span, TimePoint now) const;
    void Add(double cost, Duration span, TimePoint now);
  };
  struct TeamState {
    double admitted = 0;
    Rate recent;
    Rate usual;
    TeamShare owner_share;
    double centre_share = 1;
    double part = 0;     // Of the quota, from the owner's last shares.
    QuotaBucket bucket;  // Of this host's part.
    TimePoint refused_since;
    TimePoint refused_at;
  };

  bool HasFreshCentreShares(TimePoint now) const;
  void Fill(const TeamQuota& quota, TeamState& state, TimePoint now) const;
  QuotaDecision DecideByShare(double share, double draw) const;
  QuotaDecision DecideByPart(const TeamState& state) const;

  QuotaTolerance tolerance_;
  QuotaSplit split_;
  std::map<std::string, TeamState> teams_;
  TimePoint shares_at_;
  TimePoint centre_shares_at_;
  int hosts_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_QUOTA_GATE_H_

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
  kByDemand,  // Each admits the same share of what is asked of it.
  kByUsage,   // Each has a part of its own, by what it was asked lately.
  kEven,      // Each has the same part.
};

enum class QuotaMode : uint8_t {
  kUnlimited,  // The team has no limit.
  kShared,     // By the share that the fleet's owner told.
  kCentre,     // By the share that a host of this data centre told.
  kAlone,      // By this host's part of the quota: no word from the owner.
};

constexpr const char* QuotaModeName(QuotaMode mode) {
  switch (mode) {
    case QuotaMode::kUnlimited:
      return "unlimited";
    case QuotaMode::kShared:
      return "shared";
    case QuotaMode::kCentre:
      return "centre";
    case QuotaMode::kAlone:
      return "alone";
  }
  return "alone";
}

// Whether a request stays within its team's quota, and by what.
struct QuotaDecision {
  bool is_admitted = true;
  QuotaMode mode = QuotaMode::kUnlimited;
  double share = 1;         // That decided: of the requests, or of the quota.
  Duration shares_age{0};   // How old the owner's word is.
  Duration retry_after{0};  // When there will be room; zero if admitted.
};

// Holds the teams' requests at one host to their quotas.
//
// As long as the owner's word is recent, a request is admitted with the chance
// that it told: no request waits for another host, and a host that sees one
// request a minute needs no quota of its own in advance. Without recent word
// the host keeps to its part of each quota, a token bucket; the parts of all
// hosts sum to the whole, and the owner sets the parts of silent hosts aside.
class QuotaGate {
 public:
  QuotaGate(QuotaTolerance tolerance, QuotaSplit split);

  // The owner's word, which `hosts` hosts are told. Not thread-safe.
  void ApplyShares(const QuotaShares& shares, int hosts, TimePoint now);
  // The word of a host that stands in for the owner in this data centre. Not
  // thread-safe.
  void ApplyCentreShares(const QuotaShares& shares, TimePoint now);
  // The owner's word is recent. Not thread-safe.
  bool HasFreshShares(TimePoint now) const;
  // Decides on a request that counts `cost`; `luck` is drawn evenly from 0 to
  // 1. Not thread-safe.
  QuotaDecision Ask(const Team& team, double cost, double luck, TimePoint now);
  // An admitted request has not run and never will. Not thread-safe.
  void GiveBack(const std::string& team, double cost);
  // Not thread-safe.
  QuotaUsage Usage(TimePoint now) const;

 private:
  // A rate over about the last span of time.
  struct Rate {
    double value = 0;  // A second.
    TimePoint at;

    double ValueAt(Duration span, TimePoint now) const;
    void Add(double cost, Duration span, TimePoint now);
  };
  struct TeamState {
    double admitted = 0;
    Rate recent;
    Rate usual;
    TeamShare told;
    double centre_share = 1;
    double part = 0;     // Of the quota, from when the owner spoke last.
    QuotaBucket bucket;  // Of this host's part.
    TimePoint refused_since;
    TimePoint refused_at;
  };

  bool IsToldByCentre(TimePoint now) const;
  void Fill(const TeamQuota& quota, TeamState& state, TimePoint now) const;
  QuotaDecision AskShared(double share, double luck) const;
  QuotaDecision AskAlone(const TeamState& state) const;

  QuotaTolerance tolerance_;
  QuotaSplit split_;
  std::map<std::string, TeamState> teams_;
  TimePoint told_at_;
  TimePoint centre_told_at_;
  int hosts_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_QUOTA_GATE_H_

#ifndef APPLEHALL_ADMISSION_QUOTA_LEDGER_H_
#define APPLEHALL_ADMISSION_QUOTA_LEDGER_H_

#include <map>
#include <memory>
#include <string>

#include "admission/host_presence.h"
#include "admission/quota_types.h"
#include "core/clock.h"
#include "rules/team_registry.h"

namespace applehall {

// Sums the usage that all hosts report for each team and computes the share of
// its requests that they may admit.
//
// Each team has one token bucket here, filled at its rate and emptied by
// reported usage. The share is the ratio of available tokens to demand, so a
// team within its quota is never limited and one beyond it gets its quota.
// Requests admitted before hosts receive a new share are paid back later. Over
// a window W a team gets at most rate x W + burst + (its demand beyond the rate
// in the time from a request until all hosts have the next shares).
//
// An unreachable host may continue to serve with its part of the quota, so that
// part is counted as spent until the host reports again.
class QuotaLedger {
 public:
  struct Settings {
    QuotaTolerance tolerance;
    // Host count that the previous ledger announced. Hosts that have not
    // reported to this one yet may be cut off from it and still serve.
    int expected_hosts = 0;
    // Time within which every host reports twice.
    Duration gathering = std::chrono::milliseconds(1100);
  };

  explicit QuotaLedger(const Settings& settings)
      : settings_(settings), presence_(settings.expected_hosts) {}

  // Sets the teams in force. Not thread-safe.
  void SetTeams(std::shared_ptr<const TeamRegistry> teams, TimePoint now);
  // Applies a host's cumulative usage; counts of another incarnation start at
  // zero. Not thread-safe.
  void ApplyUsage(const std::string& host, const std::string& data_centre,
                  uint64_t incarnation, const QuotaUsage& usage, TimePoint now);
  // Computes the share of each limited team that has demand; empty until teams
  // are set and hosts have reported. Not thread-safe.
  QuotaShares Shares(TimePoint now);
  // Parts computed by the last call of Shares. Not thread-safe.
  const QuotaParts& parts() const { return parts_; }
  // Returns whether hosts have had time to report, so that shares are valid.
  // Not thread-safe.
  bool IsReady(TimePoint now) const;
  // Number of hosts with recent contact or that may still serve without it,
  // including those that never contacted this ledger. Not thread-safe.
  int KnownHosts(TimePoint now) const { return presence_.CountKnown(now); }

 private:
  int hosts() const { return static_cast<int>(hosts_.size()); }

  struct HostTeam {
    TeamUsage usage;
    double charged = 0;  // While the host was unreachable.
  };
  struct Host {
    uint64_t incarnation = 0;
    std::string data_centre;
    TimePoint charged_to;
    std::map<std::string, HostTeam> teams;
  };
  // Demand of one team, summed over hosts.
  struct Demand {
    double recent_rate = 0;  // Of reachable hosts.
    double usual_rate = 0;
    double unreachable_part = 0;  // Of the quota, usable by unreachable hosts.
  };

  std::map<std::string, Demand> SumDemand(TimePoint now) const;
  void ChargeUnreachableHosts(std::map<std::string, Demand>& demands,
                              TimePoint now);
  void ChargeMissingHosts(std::map<std::string, Demand>& demands,
                          TimePoint now);
  void Spend(const std::string& team, double tokens);
  void SumParts(const std::map<std::string, Demand>& demands);

  Settings settings_;
  QuotaParts parts_;
  std::shared_ptr<const TeamRegistry> teams_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, QuotaBucket> buckets_;
  HostPresence presence_;
  TimePoint missing_charged_to_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_QUOTA_LEDGER_H_

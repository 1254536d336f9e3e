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

// Sums up what all hosts admit of each team and says what share of its requests
// they may admit from now on.
//
// Each team has one token bucket here, filled at its rate and emptied by what
// hosts report. The share is what the bucket allows of what is asked for, so
// that a team within its quota is never held back and one beyond it gets its
// quota. What is admitted before the hosts are told is paid back: over a window
// W a team gets at most rate x W + burst + (what it asks beyond its rate in the
// time from a request to the next word that all hosts have).
//
// A host that falls silent may serve on with its part of the quota, so that
// part is counted as spent until it speaks again.
class QuotaLedger {
 public:
  struct Settings {
    QuotaTolerance tolerance;
    // As many as the ledger before it told. Those that this one has not heard
    // yet may be cut off from it and serve on.
    int expected_hosts = 0;
    // All hosts report twice in this time.
    Duration gathering = std::chrono::milliseconds(1100);
  };

  explicit QuotaLedger(const Settings& settings)
      : settings_(settings), presence_(settings.expected_hosts) {}

  // The teams in force. Not thread-safe.
  void SetTeams(std::shared_ptr<const TeamRegistry> teams, TimePoint now);
  // Counts of a process whose number differs start anew. Not thread-safe.
  void ApplyUsage(const std::string& host, const std::string& data_centre,
                  uint64_t incarnation, const QuotaUsage& usage, TimePoint now);
  // Empty until the hosts have had time to report. Not thread-safe.
  QuotaShares Shares(TimePoint now);
  // As of the last call of Shares. Not thread-safe.
  const QuotaParts& parts() const { return parts_; }
  // Enough has been heard for a word on the shares. Not thread-safe.
  bool IsReady(TimePoint now) const;
  // Hosts that have spoken lately or may serve on silently, those that were
  // never heard here included. Not thread-safe.
  int KnownHosts(TimePoint now) const { return presence_.Known(now); }

 private:
  int hosts() const { return static_cast<int>(hosts_.size()); }

  struct HostTeam {
    TeamUsage usage;
    double charged = 0;  // While the host was silent.
  };
  struct Host {
    uint64_t incarnation = 0;
    std::string data_centre;
    TimePoint charged_to;
    std::map<std::string, HostTeam> teams;
  };
  // Of all hosts.
  struct Demand {
    double recent_rate = 0;  // Of those that are not silent.
    double usual_rate = 0;
    double silent_part = 0;  // Of the quota, that silent hosts may use.
  };

  std::map<std::string, Demand> SumDemand(TimePoint now) const;
  void ChargeSilentHosts(std::map<std::string, Demand>& demands, TimePoint now);
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

#ifndef APPLEHALL_PLACEMENT_USAGE_TABLE_H_
#define APPLEHALL_PLACEMENT_USAGE_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// One host's report to the placement owner. All values but the arrivals are
// levels, so a lost or duplicated report does little harm.
struct HostReport {
  struct Waiting {
    std::string target;
    int count = 0;
    double worth = 0;  // Sum over all waiting requests.
    Duration slack{0};
  };
  struct Arrivals {
    std::string target;
    int count = 0;     // Since the last report.
    double worth = 0;  // Sum over all arrivals.
  };
  struct Running {
    std::string engine;
    std::string target;
    int count = 0;
  };
  // A target that this host's callers ask for in vain. A new owner learns from
  // it for how long.
  struct Unserved {
    std::string target;
    Duration age{0};        // Since the first request.
    Duration asked_ago{0};  // Since the last one.
    int requests = 0;
    double worth = 0;  // Of the last request.
  };
  // Waiting requests that need servers of one software version.
  struct Versioned {
    std::string name;  // Of the queue; names the answer.
    std::string target;
    std::string version;
    int count = 0;
    double worth = 0;  // Sum over all of them.
  };
  std::string host;
  std::vector<Waiting> waiting;
  std::vector<Versioned> versioned;
  std::vector<Arrivals> arrivals;
  std::vector<Running> running;
  std::vector<Unserved> unserved;

  Json ToJson() const;
  // Skips malformed rows. Requires: nothing. Thread-safe.
  static HostReport FromJson(const std::string& host, const Json& json);
};

// Waiting and running requests of all hosts, and the request rate of each
// target.
class UsageTable {
 public:
  struct Demand {
    std::string target;
    int waiting = 0;
    double worth = 0;
  };

  // Applies one host's report. Not thread-safe.
  void ApplyReport(const HostReport& report, TimePoint now);
  // Removes hosts whose last report is too old. Not thread-safe.
  void Expire(TimePoint now);
  // Targets with waiting requests, highest worth first. Not thread-safe.
  std::vector<Demand> Waiting() const;
  bool HasWaiting(const std::string& target) const;
  // Requests for `target` in progress on `engine`. Not thread-safe.
  int RunningOn(const std::string& engine, const std::string& target) const;
  int RunningForTarget(const std::string& target) const;
  // Requests for all targets in progress on `engine`.
  int RunningOnEngine(const std::string& engine) const;
  // Requests per second, and their worth per second, over the last seconds.
  double Rate(const std::string& target, TimePoint now) const;
  double WorthRate(const std::string& target, TimePoint now) const;
  // Requests per second to be expected when a load that begins now is done: the
  // present rate, or more while it rises.
  double ExpectedRate(const std::string& target, TimePoint now) const;
  // Names of all targets with recent requests, sorted.
  std::vector<std::string> Targets() const;

 private:
  struct HostLevel {
    HostReport report;
    TimePoint received_at;
  };
  struct Level {
    int count = 0;
    double worth = 0;
  };
  struct Flow {
    double rate = 0;
    double worth_rate = 0;
    double recent_rate = 0;  // Over a shorter window.
    TimePoint updated_at;
  };
  using EngineTarget = std::pair<std::string, std::string>;

  static double Decay(TimePoint from, TimePoint now);
  static double RecentDecay(TimePoint from, TimePoint now);
  // Adds (sign 1) or subtracts (sign -1) one host's report to the totals, so
  // that queries need not scan the reports of all hosts.
  void Add(const HostReport& report, int sign);

  absl::flat_hash_map<std::string, HostLevel> hosts_;
  std::map<std::string, Level> waiting_;
  absl::flat_hash_map<EngineTarget, int> running_on_;
  absl::flat_hash_map<std::string, int> running_;
  absl::flat_hash_map<std::string, int> engine_totals_;  // Key: engine.
  std::map<std::string, Flow> flows_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_USAGE_TABLE_H_

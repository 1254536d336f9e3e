#ifndef APPLEHALL_MEASURE_EXPERIMENT_H_
#define APPLEHALL_MEASURE_EXPERIMENT_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/json.h"
#include "measure/arrivals.h"
#include "standins/deployment.h"

namespace applehall {

// One user's deployment and load, read from examples/NAME.
struct UserProfile {
  std::string name;
  DeploymentSettings deployment;
  ArrivalShape shape;
  Json rules;

  static absl::StatusOr<UserProfile> Load(const std::string& name,
                                          const std::string& examples);
};

struct PolicyChoice {
  std::string name;
  KeepPolicy keep = KeepPolicy::kLearnt;
  Duration time_to_live = std::chrono::minutes(5);
};

// Results of one run with one policy. Times in seconds.
struct RunResult {
  // Latency of the first requests of bursts, until the end of the response.
  double first_p50 = 0;
  double first_p95 = 0;
  double first_p99 = 0;
  double first_max = 0;
  // The same for those that found no replica in their data centre.
  double cold_p50 = 0;
  double cold_p95 = 0;
  double cold_p99 = 0;
  double cold_max = 0;
  uint64_t firsts = 0;
  uint64_t cold = 0;
  double idle_hours = 0;
  uint64_t sent = 0;
  std::map<std::string, uint64_t> in_time;  // By urgency class.
  std::map<std::string, uint64_t> sent_by_class;
  double worth_sent = 0;
  double worth_delivered = 0;
  std::map<std::string, uint64_t> refused;
  uint64_t loads = 0;
  double store_wait = 0;
  std::set<std::string> broken;  // Names of the promises that were broken.
  // Indices in the arrival list of urgent requests answered in time.
  std::set<size_t> urgent_answered;

  Json ToJson() const;
};

// Names of the faults that RunExperiment() can inject.
std::vector<std::string> FaultNames();

// Replays the arrivals of `seed` through a deployment with one policy. `fault`
// is the name of a fault, or two joined by '+' for both at once; each is
// injected twice.
RunResult RunExperiment(const UserProfile& profile, const PolicyChoice& policy,
                        const std::string& fault, uint64_t seed);

}  // namespace applehall

#endif  // APPLEHALL_MEASURE_EXPERIMENT_H_

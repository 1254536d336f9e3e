#ifndef APPLEHALL_MEASURE_ARRIVALS_H_
#define APPLEHALL_MEASURE_ARRIVALS_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "rules/rule_checker.h"

namespace applehall {

// One generated request.
struct Arrival {
  Duration at{0};  // From the start of the run.
  int host = 0;    // Index among the hosts.
  std::string model;
  std::string caller;
  Duration deadline{0};
  double worth = 1.0;
  bool is_first = false;  // First request of a burst.
};

// Parameters of one user's load.
struct ArrivalShape {
  int hosts = 6;
  Duration length = std::chrono::hours(2);
  int busy_models = 5;       // Called at random all the time.
  int periodic_models = 15;  // Called in bursts at nearly fixed intervals.
  int overnight_requests = 300;
  std::string overnight_caller;
  std::string overnight_model;
  Duration urgent_deadline = std::chrono::seconds(8);
  Duration ordinary_deadline = std::chrono::seconds(20);
};

// Generates a list of arrivals, ordered by time and determined by `seed`. Each
// model has its own pattern of calls, bursts reach several hosts at once, and
// overnight requests arrive within one minute.
std::vector<Arrival> MakeArrivals(const ArrivalShape& shape,
                                  const Catalogue& catalogue, uint64_t seed);

// Returns the times of calls by model, for the oracle policy.
std::map<std::string, std::vector<Duration>> CallTimes(
    const std::vector<Arrival>& arrivals);

}  // namespace applehall

#endif  // APPLEHALL_MEASURE_ARRIVALS_H_

#ifndef APPLEHALL_MEASURE_ARRIVALS_H_
#define APPLEHALL_MEASURE_ARRIVALS_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "rules/rule_checker.h"

namespace applehall {

// One request to come, counted from the start of the measurement.
struct Arrival {
  Duration at{0};
  int host = 0;  // Index among the hosts.
  std::string model;
  std::string caller;
  Duration deadline{0};
  double worth = 1.0;
  bool is_first = false;  // The first of a burst.
};

// The shape of one user's load.
struct ArrivalShape {
  int hosts = 6;
  Duration length = std::chrono::hours(2);
  int busy_models = 5;       // Called all the time.
  int periodic_models = 15;  // Called in bursts at nearly fixed intervals.
  int overnight_requests = 300;
  std::string overnight_caller;
  std::string overnight_model;
  Duration urgent_deadline = std::chrono::seconds(8);
  Duration ordinary_deadline = std::chrono::seconds(20);
};

// A list of arrivals: the same for the same seed. Bursts reach several hosts
// at once; each model keeps its own habits; overnight work comes in one go.
std::vector<Arrival> MakeArrivals(const ArrivalShape& shape,
                                  const Catalogue& catalogue, uint64_t seed);

// When each model is called, for the oracle.
std::map<std::string, std::vector<Duration>> CallTimes(
    const std::vector<Arrival>& arrivals);

}  // namespace applehall

#endif  // APPLEHALL_MEASURE_ARRIVALS_H_

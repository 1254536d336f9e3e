#ifndef APPLEHALL_TRIAL_TRIAL_LATENCY_H_
#define APPLEHALL_TRIAL_TRIAL_LATENCY_H_

#include "core/json.h"
#include "trial/trial_deployment.h"

namespace applehall {

// Measures the latency of calls to a plain service, alternately sent directly
// to the stand-in and through an entry host, and the throughput of streams
// through the host. Requires: a registered deployment that is ready.
absl::StatusOr<Json> MeasureLatency(const TrialDeployment& deployment,
                                    int calls);

}  // namespace applehall

#endif  // APPLEHALL_TRIAL_TRIAL_LATENCY_H_

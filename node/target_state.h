#ifndef APPLEHALL_NODE_TARGET_STATE_H_
#define APPLEHALL_NODE_TARGET_STATE_H_

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>

#include "admission/admission_queue.h"
#include "admission/return_schedule.h"
#include "node/open_request.h"
#include "placement/demand.h"

namespace applehall {

// The open requests of one host.
using OpenRequests =
    absl::flat_hash_map<RequestHandle, std::unique_ptr<OpenRequest>>;

// Validity of an owner's answer to a demand.
inline constexpr Duration kAnswerTtl = std::chrono::seconds(2);

// One host's queue and state for a model or service, or for one software
// version of the servers of either.
struct TargetState {
  AdmissionQueue queue;
  std::string target;  // Without a version.
  // Set if its requests need servers of this software version.
  std::optional<std::string> version;
  TimePoint demanded_at;
  size_t group_rank = 0;  // Index of the group whose owner gets the demand.
  bool has_answer = false;
  DemandAnswer answer;
  TimePoint answered_at;
  Duration service_time{0};  // Smoothed over completed attempts.
  // Service time without the wait at full engines: adapts fast to quick
  // attempts and slowly to slow ones.
  Duration unloaded_time{0};
  ReturnSchedule returns;  // Of requests that this host has refused.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_TARGET_STATE_H_

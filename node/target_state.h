#ifndef APPLEHALL_NODE_TARGET_STATE_H_
#define APPLEHALL_NODE_TARGET_STATE_H_

#include <absl/container/flat_hash_map.h>

#include <memory>

#include "admission/admission_queue.h"
#include "node/open_request.h"
#include "placement/demand.h"

namespace applehall {

// The open requests of one host.
using OpenRequests =
    absl::flat_hash_map<RequestHandle, std::unique_ptr<OpenRequest>>;

// How long what an owner said of a demand holds.
inline constexpr Duration kAnswerLife = std::chrono::seconds(2);

// What one host has waiting for a model or service, and knows of it.
struct TargetState {
  AdmissionQueue queue;
  TimePoint demanded_at;
  size_t group_rank = 0;  // Which owner is asked now.
  bool has_answer = false;
  DemandAnswer answer;
  TimePoint answered_at;
  Duration service_time{0};  // Smoothed, of completed attempts.
  // The same, without what they waited at full engines: follows quick ones
  // soon and slow ones slowly.
  Duration unloaded_time{0};
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_TARGET_STATE_H_

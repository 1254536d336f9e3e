#ifndef APPLEHALL_NODE_WAIT_POLICY_H_
#define APPLEHALL_NODE_WAIT_POLICY_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "node/limit_manager.h"
#include "node/node_context.h"
#include "node/target_state.h"

namespace applehall {

// Decides how long requests wait and for which engines, and which waiting
// requests are refused early because they cannot be served in time. Changes
// nothing but the schedules of the retries of those that it refuses, and which
// requests may use what room is left at servers.
class WaitPolicy {
 public:
  // All must outlive this.
  WaitPolicy(NodeContext& context, const LimitManager& limits,
             const OpenRequests& requests)
      : context_(context), limits_(limits), requests_(requests) {}

  struct Refused {
    RequestHandle handle = 0;
    Refusal refusal;
  };
  // Returns refusals of the requests waiting for `target` that are known to be
  // late, and of those that have used up most of their maximum wait without a
  // load under way. Not thread-safe, as all below.
  std::vector<Refused> FindUnservable(const std::string& target,
                                      TargetState& state) const;
  // Returns refusals of the requests that would be late because all engines
  // with the model are full.
  std::vector<Refused> FindOverflow(const std::string& target,
                                    TargetState& state) const;
  // Returns whether Retry-After of requests for `target` follows the schedule
  // of its retries: where servers are compared by estimates, or teams without a
  // quota compete.
  bool UsesReturnSchedule(const std::string& target) const;
  // Returns the Retry-After of `request`, which is refused now, and schedules
  // its retry; `state` is that of its target. `waiting` requests are served
  // first, from `begins` on. Returns nothing if the rate at which requests are
  // served is not known.
  std::optional<Duration> ScheduleReturn(const OpenRequest& request,
                                         size_t waiting, TimePoint begins,
                                         TargetState& state) const;
  // Returns a refusal if all servers that may serve `request` are held for
  // longer than it can wait.
  std::optional<Refusal> CheckHeld(const OpenRequest& request) const;

  // Returns the criteria of engines for `request`; `state` is that of its
  // target.
  EngineView::Preference PreferenceFor(const OpenRequest& request,
                                       const TargetState* state) const;
  // Returns until when the request may wait for a permit of a limited server.
  TimePoint LatestPermit(const OpenRequest& request) const;

  // Returns the requests in a target's queue that fulfil `condition`, in order
  // of arrival: the queue's own order differs between runs.
  template <typename Condition>
  std::vector<RequestHandle> Select(const TargetState& state,
                                    const Condition& condition) const {
    std::vector<RequestHandle> selected;
    for (const auto& [handle, entry] : state.queue.entries()) {
      if (condition(*requests_.at(handle))) selected.push_back(handle);
    }
    std::sort(selected.begin(), selected.end());
    return selected;
  }

 private:
  // Retry-After of a request whose target is expected to be ready at
  // `ready_at`; nothing: not known.
  Duration UnservableRetry(const OpenRequest& request, size_t waiting,
                           std::optional<TimePoint> ready_at,
                           TargetState& state) const;
  // Whether a server has room for `request` apart from the share of requests
  // that hosts send it under excess demand.
  bool HasRoom(const OpenRequest& request, const TargetState& state) const;
  // Sets whether the requests waiting for a target may use such room.
  void SetMayUseRoom(bool may_use_room, const TargetState& state) const;
  // Adds what the caller of `request` expects of its answer.
  void AddTargets(const OpenRequest& request, const TargetState* state,
                  EngineView::Preference& preference) const;
  // Latest time by which the answer must start before the caller stops waiting.
  static TimePoint LatestStart(const OpenRequest& request);

  NodeContext& context_;
  const LimitManager& limits_;
  const OpenRequests& requests_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_WAIT_POLICY_H_

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

// How long requests wait, and for which engines: when a request that waits is
// told that it cannot be met in time. Changes nothing.
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
  // Of those that wait for `target`, what is known to come too late, and what
  // nobody knows anything of when most of its caller's patience is over. Not
  // thread-safe, as all below.
  std::vector<Refused> Hopeless(const std::string& target,
                                const TargetState& state) const;
  // Those that would be late, as the engines that hold the model have all they
  // can run.
  std::vector<Refused> Overflow(const std::string& target,
                                const TargetState& state) const;
  // A refusal if all servers that may take `request` are held for longer than
  // it can wait.
  std::optional<Refusal> Held(const OpenRequest& request) const;

  // Which engines suit `request`, of which `state` is the target's.
  EngineView::Preference PreferenceOf(const OpenRequest& request,
                                      const TargetState* state) const;
  // Until when it may wait for a permit of a limited server.
  TimePoint LatestPermit(const OpenRequest& request) const;

  // Those that wait in a target's queue and fulfil `condition`, in the order of
  // their arrival: a queue's own order differs from run to run.
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
  // The latest time at which the first piece of an answer still finds its
  // caller.
  static TimePoint LastStart(const OpenRequest& request);

  NodeContext& context_;
  const LimitManager& limits_;
  const OpenRequests& requests_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_WAIT_POLICY_H_

#ifndef APPLEHALL_NODE_REQUEST_FLOW_H_
#define APPLEHALL_NODE_REQUEST_FLOW_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "claims/claim_guard.h"
#include "node/early_requests.h"
#include "node/fleet_manager.h"
#include "node/gossip.h"
#include "node/group_manager.h"
#include "node/limit_manager.h"
#include "node/node_context.h"
#include "node/open_request.h"
#include "node/quota_manager.h"
#include "node/request_decider.h"
#include "node/request_log.h"
#include "node/server_ends.h"
#include "node/target_state.h"
#include "node/wait_policy.h"
#include "routing/retry_budget.h"

namespace applehall {

// Takes every request from its arrival to its one outcome: the claim of its
// key, its wait, its attempts and its end.
class RequestFlow {
 public:
  RequestFlow(NodeContext& context, GroupManager& groups, Gossip& gossip,
              FleetManager& fleet, QuarantineManager& quarantine,
              QuotaManager& quotas, LimitManager& limits);

  // Events of one request; all may come late, doubled or after its end. Not
  // thread-safe.
  void HandleArrival(const RequestArrived& event);
  void HandleCallerDisconnected(const CallerDisconnected& event);
  void HandleAttemptStarted(const AttemptStarted& event);
  void HandleAttemptEnded(const AttemptEnded& event);
  // Whether a server that broke answers off is still there. Not thread-safe.
  void TakeProbe(const ServerProbed& probed);

  // The claims stream or an append of it moved. Not thread-safe.
  void HandleClaims(const LogBatch& batch);
  void HandleClaimAppendFailed(const std::string& record_id);
  // How a demand stands with an owner. Not thread-safe.
  void HandleDemandAnswer(const DemandAnswer& answer);
  // Deadlines, backoffs, demands, claims and whatever capacity there is. Not
  // thread-safe.
  void RunTick();
  // Sends what was granted a permit, and finds another way for what was not.
  // Not thread-safe.
  void RunPermits();
  // Answers what waits: this host goes before it could be served. With
  // `with_sent`, also what was sent and has not begun to be answered. Not
  // thread-safe.
  void RefuseOpen(bool with_sent);
  // Dispatches what waits for what became ready. Not thread-safe.
  void PumpAll();

  size_t open_requests() const { return requests_.size() + early_.size(); }
  size_t waiting() const;
  // Requests that may not be repeated can be guarded.
  bool has_read_claims() const { return claims_.fold().is_read(); }
  Json ToJson() const;

 private:
  using Request = OpenRequest;
  using Phase = RequestPhase;

  struct CallerState {
    size_t open = 0;
    RetryBudget retries;
  };

  // Arrival.
  void Admit(const RequestArrived& event, TimePoint arrived_at);
  bool IsLearning() const;
  void RunEarly();
  std::optional<Refusal> CheckLimits(const RequestArrived& event);
  std::optional<Refusal> CheckCaller(const std::string& caller) const;
  std::optional<Refusal> BeginClaim(Request& request);
  void Enqueue(Request& request);
  void AddToQueue(Request& request);

  // Dispatch.
  void PumpTarget(const std::string& target);
  void PumpEngine(const std::string& engine);
  bool TryDispatchBest(const std::string& target);
  bool HasIdleCapacity(const EngineDigest& engine) const;
  void Dispatch(Request& request, const EngineDigest& engine);
  // True if `request` may be sent to `engine` now. If not, it waits for a
  // permit, or in its queue.
  void Send(Request& request, const EngineDigest& engine);
  bool MayDispatch(Request& request, const EngineDigest& engine);
  Duration PermitPatience(const Request& request, const EngineDigest& engine);
  void TakePermit(const LimitManager::Outcome& outcome);
  void TakeDenial(Request& request, Duration retry_after);
  bool TryForward(Request& request);
  void SendAttempt(Request& request, BackendKind kind,
                   const std::string& backend, const std::string& address);

  // Ends.
  void NoteCut(const Request& request, const AttemptEnded& event);
  // Its content ends the servers that run it.
  std::optional<Refusal> CheckQuarantine(uint64_t fingerprint) const;
  void RefuseQuarantined();
  static void LearnServiceTime(Duration took, TargetState& state);
  void Retry(Request& request, AttemptResult result);
  void Backoff(Request& request);
  void RefuseEarly(const std::string& target, TargetState& state);
  // Sends what waits for `target`; of the request with `handle`, if it still
  // waits, tells its caller at once where all its servers are held too long.
  void PumpOrRefuse(RequestHandle handle, const std::string& target);
  void RefuseAll(const std::vector<WaitPolicy::Refused>& refused);
  // Nothing if no request for `target` was seen lately.
  const TargetState* StateOf(const std::string& target) const;
  bool TryNextModel(Request& request);
  void Settle(RequestHandle handle, const std::string& action, Verdict verdict,
              const std::string& reason);
  void Refuse(RequestHandle handle, Refusal refusal);
  void TakeBack(Request& request, Refusal refusal);
  void RefuseNow(const RequestArrived& event, const std::string& rule,
                 const Refusal& refusal);
  void Expire(RequestHandle handle);

  void RunTimers();
  void RunDemands();
  void RunClaims();
  void SendDemand(const std::string& target, TargetState& state);
  double WaitingWorth(const TargetState& state) const;
  Demand DemandOf(const std::string& target, const TargetState& state) const;
  bool IsService(const Request& request) const;
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  bool MaySpendRetry(Request& request);
  Request* Find(RequestHandle handle);

  NodeContext& context_;
  GroupManager& groups_;
  Gossip& gossip_;
  FleetManager& fleet_;
  QuarantineManager& quarantine_;
  QuotaManager& quotas_;
  LimitManager& limits_;
  EarlyRequests early_;
  RequestDecider decider_;
  RequestLog log_;
  ClaimGuard claims_;
  ServerEnds ends_;
  OpenRequests requests_;
  WaitPolicy waits_;  // Reads `requests_`.
  std::map<std::string, TargetState> targets_;
  absl::flat_hash_map<std::string, CallerState> callers_;
  absl::flat_hash_map<std::string, RetryBudget> backend_retries_;
  std::set<std::pair<TimePoint, RequestHandle>> deadlines_;
  std::set<std::pair<TimePoint, RequestHandle>> backoffs_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_FLOW_H_

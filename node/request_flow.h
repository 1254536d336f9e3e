#ifndef APPLEHALL_NODE_REQUEST_FLOW_H_
#define APPLEHALL_NODE_REQUEST_FLOW_H_

#include <absl/container/flat_hash_map.h>

#include <deque>
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
#include "node/reach_manager.h"
#include "node/request_decider.h"
#include "node/request_log.h"
#include "node/server_ends.h"
#include "node/service_gaps.h"
#include "node/stream_manager.h"
#include "node/target_state.h"
#include "node/unconfirmed_ends.h"
#include "node/wait_policy.h"
#include "routing/retry_budget.h"

namespace applehall {

// Runs every request from its arrival to its one outcome: the claim of its key,
// its queue, its attempts and its end.
class RequestFlow {
 public:
  RequestFlow(NodeContext& context, GroupManager& groups, Gossip& gossip,
              FleetManager& fleet, QuarantineManager& quarantine,
              QuotaManager& quotas, LimitManager& limits, ReachManager& reach,
              StreamManager& streams);

  // Handle events of one request, which may arrive late, duplicated or after
  // its end. Not thread-safe.
  void HandleArrival(const RequestArrived& event);
  void HandleCallerDisconnected(const CallerDisconnected& event);
  void HandleAttemptStarted(const AttemptStarted& event);
  void HandleAttemptEnded(const AttemptEnded& event);
  // Handles the result of a probe for whether a server that cut requests is
  // still there. Not thread-safe.
  void HandleProbe(const ServerProbed& probed);

  // Handle a batch of the claims stream and a failed append to it. Not
  // thread-safe.
  void HandleClaims(const LogBatch& batch);
  void HandleClaimAppendFailed(const std::string& record_id);
  // Handles an owner's answer to a demand. Not thread-safe.
  void HandleDemandAnswer(const DemandAnswer& answer);
  // Runs deadlines, backoffs, claims and demands, and dispatches to free
  // capacity. Not thread-safe.
  void RunTick();
  // Sends requests that were granted a permit and reroutes or refuses those
  // that were not. Not thread-safe.
  void RunPermits();
  // Continues requests whose streams' origins were asked for. Not thread-safe.
  void RunResumptions();
  // Refuses all waiting requests, because this host shuts down before they can
  // be served. With `with_sent`, also requests that were sent and whose answer
  // has not begun. Not thread-safe.
  void RefuseOpen(bool with_sent);
  // Dispatches waiting requests to targets that became ready. Not thread-safe.
  void PumpAll();

  size_t open_requests() const { return requests_.size() + early_.size(); }
  size_t waiting() const;
  // Returns whether requests that may not be repeated can be guarded.
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
  bool IsStartingUp() const;
  void RunEarlyRequests();
  std::optional<Refusal> CheckLimits(const RequestArrived& event);
  std::optional<Refusal> CheckCaller(const std::string& caller) const;
  std::optional<Refusal> BeginClaim(Request& request);
  void Enqueue(Request& request);
  void AddToQueue(Request& request);
  // Finds out where the stream that `request` resumes began. Returns false if
  // the request must wait for that or was refused.
  bool LocateStream(Request& request);
  // Restricts `request` to the servers that may continue its stream, or refuses
  // it. Returns false if it was refused.
  bool ContinueAt(Request& request, const StreamManager::Finding& finding);
  // Refuses a request if no server that may continue its stream is left.
  bool RefuseStranded(Request& request);
  void RefuseAllStranded();
  void RecordStreamBegun(Request& request, const AttemptStarted& event);
  // Records the request in the demand that the owner plans by.
  void RecordTargetArrival(Request& request);

  // Dispatch.
  void PumpTarget(const std::string& target);
  void PumpEngine(const std::string& engine);
  bool TryDispatchBest(const std::string& queue_name);
  bool HasIdleCapacity(const EngineDigest& engine) const;
  void Dispatch(Request& request, const EngineDigest& engine);
  // Sends `request` to `engine`; MayDispatch returns whether that is allowed
  // now. If not, the request waits for a permit or in its queue.
  void Send(Request& request, const EngineDigest& engine);
  bool MayDispatch(Request& request, const EngineDigest& engine);
  Duration MaxPermitWait(const Request& request, const EngineDigest& engine);
  void HandlePermit(const LimitManager::Outcome& outcome);
  void HandleDenial(Request& request, Duration retry_after);
  // Returns the software version of a backend server.
  std::string VersionOf(const std::string& backend) const;
  // Records that the stream of `request` goes on at its backend.
  void RecordResumption(Request& request);
  // Counts the prompt that is sent to the backend server of `request`.
  void RecordPrompt(const Request& request);
  void RecordPerformance(const Request& request, const AttemptEnded& event);
  void RecordLoad(const std::string& server,
                  const std::optional<ReportedLoad>& load);
  bool TryForward(Request& request);
  // Forwards a request whose service cannot be reached from here to a host that
  // reaches it, or refuses it if it cannot be served. Returns false if it did
  // neither; otherwise the request may be gone.
  bool RouteAround(Request& request);
  void ForwardTo(Request& request, const PeerAddress& helper);
  // Applies RouteAround() to all requests that wait, or hang at a server.
  void RouteWaitingAround();
  // Whether the request may be taken back from a server that it hangs at.
  bool MayTakeBack(const Request& request) const;
  void TakeBack(Request& request);
  void SendAttempt(Request& request, BackendKind kind,
                   const std::string& backend, const std::string& address);

  // Ends.
  void RecordWholeAnswer(const Request& request, const AttemptEnded& event);
  // Probes the server of a request whose connection it closed.
  void RecordCut(const Request& request, const AttemptEnded& event);
  // Counts the ends of servers that were seen with working links.
  void CountConfirmedEnds();
  // Decides what follows an attempt at a host that did not serve it.
  void HandleHelperEnd(Request& request, const AttemptEnded& event);
  // Refuses a request whose content, or a part of whose prompt, ends the
  // servers that run it.
  std::optional<Refusal> CheckQuarantine(const Request& request) const;
  void RefuseQuarantined();
  // Clears the prompts of answers that have been under way for long enough.
  void RecordProvenAnswers();
  // Delays the next attempt of a request whose server closed the connection,
  // first until it is known whether that server ended, then while a part of the
  // prompt is suspected of the end. Returns whether it did.
  bool DelayIfSuspect(Request& request);
  static void RecordServiceTime(Duration took, TargetState& state);
  void Retry(Request& request, AttemptResult result);
  void Backoff(Request& request);
  void RefuseEarly(const std::string& target, TargetState& state);
  // Dispatches requests waiting for `target`. If the request with `handle`
  // still waits, refuses it at once if all its servers are held too long.
  void PumpOrRefuse(RequestHandle handle, const std::string& target);
  void RefuseAll(const std::vector<WaitPolicy::Refused>& refused);
  // Returns null if no request for `target` was seen lately.
  const TargetState* FindState(const std::string& target) const;
  bool TryNextModel(Request& request);
  void Settle(RequestHandle handle, const std::string& action, Verdict verdict,
              const std::string& reason);
  void Refuse(RequestHandle handle, Refusal refusal);
  void CancelAndRefuse(Request& request, Refusal refusal);
  void RefuseNow(const RequestArrived& event, const std::string& rule,
                 const Refusal& refusal);
  void Expire(RequestHandle handle);

  void RunTimers();
  void RunDemands();
  void RunClaims();
  void SendDemand(const std::string& target, TargetState& state);
  double WaitingWorth(const TargetState& state) const;
  Demand BuildDemand(const TargetState& state) const;
  bool IsService(const Request& request) const;
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  bool TrySpendRetry(Request& request);
  // Returns the retry budget of a service or backend server.
  RetryBudget& RetriesOf(const std::string& name);
  void FillWithheldRetries();
  Request* Find(RequestHandle handle);

  NodeContext& context_;
  GroupManager& groups_;
  Gossip& gossip_;
  FleetManager& fleet_;
  QuarantineManager& quarantine_;
  QuotaManager& quotas_;
  LimitManager& limits_;
  ReachManager& reach_;
  StreamManager& streams_;
  EarlyRequests early_;
  RequestDecider decider_;
  RequestLog log_;
  ServiceGaps gaps_;
  ClaimGuard claims_;
  ServerEnds ends_;
  UnconfirmedEnds unconfirmed_ends_;
  // Requests whose answers began, in the order of that, with their attempt.
  struct BegunAnswer {
    TimePoint at;
    RequestHandle handle = 0;
    int attempt = 0;
  };
  std::deque<BegunAnswer> begun_answers_;
  OpenRequests requests_;
  WaitPolicy waits_;                            // Reads `requests_`.
  std::map<std::string, TargetState> targets_;  // By name of the queue.
  bool has_versioned_queues_ = false;           // For one software version.
  absl::flat_hash_map<std::string, CallerState> callers_;
  absl::flat_hash_map<std::string, RetryBudget> backend_retries_;
  bool are_retries_withheld_ = false;  // Of the budgets made so far.
  std::set<std::pair<TimePoint, RequestHandle>> deadlines_;
  std::set<std::pair<TimePoint, RequestHandle>> backoffs_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_FLOW_H_

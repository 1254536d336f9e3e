#ifndef APPLEHALL_NODE_REQUEST_FLOW_H_
#define APPLEHALL_NODE_REQUEST_FLOW_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "claims/claim_guard.h"
#include "node/fleet_keeper.h"
#include "node/gossip.h"
#include "node/group_keeper.h"
#include "node/node_context.h"
#include "node/quota_keeper.h"
#include "node/server_ends.h"
#include "routing/retry_budget.h"

namespace applehall {

// Takes every request from its arrival to its one outcome: the rule that
// decides it, the claim of its key, its wait, its attempts and its end.
class RequestFlow {
 public:
  RequestFlow(NodeContext& context, GroupKeeper& groups, Gossip& gossip,
              FleetKeeper& fleet, QuarantineKeeper& quarantine,
              QuotaKeeper& quotas);

  // Events of one request; all may come late, doubled or after its end. Not
  // thread-safe.
  void Arrive(const RequestArrived& event);
  void CallerLeft(const CallerGone& event);
  void Started(const AttemptStarted& event);
  void Ended(const AttemptEnded& event);
  // Whether a server that broke answers off is still there. Not thread-safe.
  void TakeProbe(const ServerProbed& probed);

  // The claims stream or an append of it moved. Not thread-safe.
  void TakeClaims(const LogBatch& batch);
  void ClaimAppendFailed(const std::string& record_id);
  // How a demand stands with an owner. Not thread-safe.
  void TakeDemandAnswer(const DemandAnswer& answer);
  // Deadlines, backoffs, demands, claims and whatever capacity there is. Not
  // thread-safe.
  void RunTick();
  // Answers what waits: this host goes before it could be served. With
  // `with_sent`, also what was sent and has not begun to be answered. Not
  // thread-safe.
  void RefuseOpen(bool with_sent);
  // Dispatches what waits for what became ready. Not thread-safe.
  void PumpAll();

  size_t open_requests() const { return requests_.size(); }
  size_t waiting() const;
  // Requests that may not be repeated can be guarded.
  bool has_read_claims() const { return claims_.fold().is_read(); }
  Json ToJson() const;

 private:
  enum class Phase : uint8_t { kClaiming, kWaiting, kBackoff, kSent };

  struct Request {
    RequestArrived arrival;
    std::shared_ptr<const CompiledRules> rules;  // Those that decided it.
    int rule_index = 0;
    std::string target;
    std::string service;  // Whose backend servers take it; empty: not named.
    bool is_service_call = false;  // To a plain service, not to a model.
    size_t model_index = 0;        // Into the rule's list of preferences.
    Phase phase = Phase::kWaiting;
    TimePoint arrived_at;
    TimePoint deadline;
    TimePoint first_sent_at;
    TimePoint sent_at;
    TimePoint started_at;       // First piece of the answer, if `has_started`.
    Duration longest_pause{0};  // Between two pieces of it.
    TimePoint resume_at;        // In kBackoff.
    int attempt = 0;
    int retries = 0;
    bool was_cold = false;
    double luck = 0;  // Which share of arrivals it belongs to, from 0 to 1.
    bool is_granted = false;
    bool has_started = false;   // The caller has part of the answer.
    bool has_arrived = false;   // At an engine, which may have refused it.
    bool may_have_run = false;  // By an earlier attempt.
    bool may_resume = false;
    std::string failed_backend;  // The last one that failed it.
    bool was_forwarded = false;  // Tried in another data centre already.
    std::string backend;
    BackendKind backend_kind = BackendKind::kEngine;
    std::string detail;
    // As in DispatchRequest.
    std::optional<std::string> team;
    int team_priority = -1;  // Negative: the rule's holds.
    double quota_cost = 0;   // Counted against its team's quota.

    const Rule& rule() const { return rules->set.rules[rule_index]; }
  };

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

  struct CallerState {
    size_t open = 0;
    RetryBudget retries;
  };

  // Arrival.
  std::optional<Refusal> CheckLimits(const RequestArrived& event);
  std::optional<Refusal> CheckCaller(const std::string& caller) const;
  std::optional<Refusal> Decide(Request& request);
  std::optional<Refusal> Authenticate(Request& request);
  std::optional<Refusal> AskQuota(Request& request);
  std::optional<Refusal> BeginClaim(Request& request);
  std::string ChooseTarget(Request& request) const;
  void Enqueue(Request& request);

  // Dispatch.
  void PumpTarget(const std::string& target);
  void PumpEngine(const std::string& engine);
  EngineView::Preference PreferenceOf(const Request& request) const;
  bool TryDispatchBest(const std::string& target);
  bool HasIdleCapacity(const EngineDigest& engine) const;
  void Dispatch(Request& request, const EngineDigest& engine);
  bool TryForward(Request& request);
  void SendAttempt(Request& request, BackendKind kind,
                   const std::string& backend, const std::string& address);

  // Ends.
  void LogFailedAttempt(const Request& request,
                        const AttemptEnded& event) const;
  void NoteCut(const Request& request, const AttemptEnded& event);
  // Its content ends the servers that run it.
  std::optional<Refusal> CheckQuarantine(uint64_t fingerprint) const;
  void RefuseQuarantined();
  static void LearnServiceTime(Duration took, TargetState& state);
  void Retry(Request& request, AttemptResult result);
  void Backoff(Request& request);
  TimePoint LastStart(const Request& request) const;
  void RefuseHopeless(const std::string& target, TargetState& state);
  template <typename Condition>
  std::vector<RequestHandle> SelectWaiting(const TargetState& state,
                                           const Condition& condition) const;
  void RefuseOverflow(const std::string& target, TargetState& state);
  void RefuseEarly(const std::string& target, TargetState& state);
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
  std::optional<Refusal> CheckTarget(const Request& request) const;
  void ChooseService(Request& request);
  bool MaySpendRetry(Request& request);
  std::string RuleLabel(const Request& request) const;
  Request* Find(RequestHandle handle);

  NodeContext& context_;
  GroupKeeper& groups_;
  Gossip& gossip_;
  FleetKeeper& fleet_;
  QuarantineKeeper& quarantine_;
  QuotaKeeper& quotas_;
  ClaimGuard claims_;
  ServerEnds ends_;
  absl::flat_hash_map<RequestHandle, std::unique_ptr<Request>> requests_;
  std::map<std::string, TargetState> targets_;
  absl::flat_hash_map<std::string, CallerState> callers_;
  absl::flat_hash_map<std::string, RetryBudget> backend_retries_;
  std::set<std::pair<TimePoint, RequestHandle>> deadlines_;
  std::set<std::pair<TimePoint, RequestHandle>> backoffs_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_FLOW_H_

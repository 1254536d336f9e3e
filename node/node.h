#ifndef APPLEHALL_NODE_NODE_H_
#define APPLEHALL_NODE_NODE_H_

#include <string>
#include <vector>

#include "node/fleet_manager.h"
#include "node/gossip.h"
#include "node/group_manager.h"
#include "node/limit_manager.h"
#include "node/log_writer.h"
#include "node/node_context.h"
#include "node/quarantine_manager.h"
#include "node/quota_manager.h"
#include "node/reach_manager.h"
#include "node/request_flow.h"
#include "node/store_relay.h"
#include "node/stream_manager.h"

namespace applehall {

// The logic of one applehall process without its I/O: turns events and the time
// into actions, deterministically. Daemons drive one node with sockets; tests
// and measurements drive many with fakes under a paused clock.
class Node {
 public:
  explicit Node(NodeSettings settings);

  // ---- Commands ----

  // Handles one event at time `now` and appends the resulting actions to
  // `actions`. Requires: `now` never decreases. Not thread-safe.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  // ---- Queries ----

  // Returns whether callers may be routed here. Not thread-safe.
  bool IsReady() const { return ReadinessGaps().empty(); }
  // Returns what must come first: a rule set in force, the servers or hosts,
  // the claims unless the log is unavailable, links to servers; or that a drain
  // has begun. Not thread-safe.
  std::vector<std::string> ReadinessGaps() const;
  // Returns whether this host should read the control stream from the log.
  bool WantsControlReads() const { return gossip_.IsControlReader(); }
  // Returns the offset at which the next read of the control stream starts. Not
  // thread-safe.
  LogOffset control_offset() const { return context_.control.next_offset(); }
  // Returns all tables, queues, ownership, reservations, budgets and offsets.
  // Not thread-safe.
  Json StateDump() const;
  // Returns recent decisions; only those of one request if `request_id` is not
  // empty. Not thread-safe.
  Json Decisions(const std::string& request_id) const {
    return context_.decisions.ToJson(request_id);
  }
  std::string MetricsText() const {
    return context_.metrics.ToPrometheusText();
  }
  const NodeContext& context() const { return context_; }
  const RequestFlow& flow() const { return flow_; }
  const StoreRelay& relay() const { return relay_; }

 private:
  void HandleEvent(const RequestArrived& event) { flow_.HandleArrival(event); }
  void HandleEvent(const CallerDisconnected& event) {
    flow_.HandleCallerDisconnected(event);
  }
  void HandleEvent(const AttemptStarted& event) {
    flow_.HandleAttemptStarted(event);
  }
  void HandleEvent(const AttemptEnded& event) {
    flow_.HandleAttemptEnded(event);
  }
  void HandleEvent(const ServerProbed& event) { flow_.HandleProbe(event); }
  void HandleEvent(const ServerConnection& event) {
    reach_.HandleConnection(event);
  }
  void HandleEvent(const InventoryReceived& event);
  void HandleEvent(const LogBatchRead& event);
  void HandleEvent(const LogUnavailable& event);
  void LogReadiness();
  void HandleEvent(const AppendEnded& event);
  void HandleEvent(const HostListRead& event);
  void HandleEvent(const HostListConfirmed& event) {
    context_.hosts.Confirm(event.as_of);
  }
  void HandleEvent(const CatalogueRead& event);
  void HandleEvent(const PeerMessageReceived& event);
  void HandleEvent(const RuleSetRead& event);
  void HandleEvent(const ServerListRead& event);
  void HandleEvent(const StoreReached& event);
  void HandleEvent(const LeaseRead& event) { fleet_.HandleLeaseRead(event); }
  void HandleEvent(const LeaseAppendEnded& event) {
    fleet_.HandleAppendEnd(event);
  }
  void HandleEvent(const OrderAnswered& event) {
    fleet_.HandleOrderResult(event);
  }
  void HandleEvent(const StoreUpdatesRead& event) {
    relay_.HandleStoreUpdates(event);
  }
  void HandleEvent(const QuarantineRead& event) {
    quarantine_.HandleRead(event);
  }
  void HandleEvent(const VersionRecordRead& event) {
    streams_.HandleVersionRecord(event);
  }
  void HandleEvent(const QuarantineAppendEnded& event) {
    quarantine_.HandleAppendEnd(event);
  }
  void HandleEvent(const DrainRequested& event);
  void HandleEvent(const ForwardListenerChanged& event) {
    context_.accepts_forwards = event.is_bound;
  }
  void HandleEvent(const LinkListenerChanged& event) {
    context_.accepts_links = event.is_bound;
  }
  void HandleEvent(const Tick& event);

  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  void ApplyControlChange();
  void UpdateServices();
  void RenewSnapshot();
  void FinishDrain();

  NodeContext context_;
  LogWriter writer_;
  GroupManager groups_;
  Gossip gossip_;
  QuarantineManager quarantine_;
  QuotaManager quotas_;
  LimitManager limits_;
  ReachManager reach_;
  StreamManager streams_;
  FleetManager fleet_;
  RequestFlow flow_;
  StoreRelay relay_;
  LogOffset bounds_version_ = 0;
  uint64_t service_sequence_ = 0;
  bool is_drained_ = false;
  TimePoint last_tick_;
  std::optional<std::string> logged_gaps_;  // As in ReadinessGaps().
  TimePoint gaps_changed_at_;
  TimePoint snapshot_renewed_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_H_

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
#include "node/request_flow.h"
#include "node/store_relay.h"

namespace applehall {

// One applehall process without its I/O: events and the time go in, actions
// come out, the same ones for the same input. Daemons drive one with sockets;
// tests and measurements drive many with fakes under a paused clock.
class Node {
 public:
  explicit Node(NodeSettings settings);

  // ---- Commands ----

  // Takes one event at time `now` and appends what must be done to `actions`.
  // Requires: `now` never goes back. Not thread-safe.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  // ---- Queries ----

  // True when callers may be sent here: a rule set is in force, the hosts are
  // known, the claims were read if the log can be, and no drain has begun. Not
  // thread-safe.
  bool IsReady() const;
  // Whether the control stream should be read from the log by this host.
  bool WantsControlReads() const { return gossip_.IsControlReader(); }
  // Where reads of the two streams go on. Not thread-safe.
  LogOffset control_offset() const { return context_.control.next_offset(); }
  // Every table, queue, ownership, reservation, budget and offset. Not
  // thread-safe.
  Json StateDump() const;
  // Recent decisions, of one request if `request_id` is not empty.
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
  void On(const RequestArrived& event) { flow_.HandleArrival(event); }
  void On(const CallerDisconnected& event) {
    flow_.HandleCallerDisconnected(event);
  }
  void On(const AttemptStarted& event) { flow_.HandleAttemptStarted(event); }
  void On(const AttemptEnded& event) { flow_.HandleAttemptEnded(event); }
  void On(const ServerProbed& event) { flow_.TakeProbe(event); }
  void On(const InventoryReceived& event);
  void On(const LogBatchRead& event);
  void On(const LogUnavailable& event);
  void On(const AppendEnded& event);
  void On(const HostListRead& event);
  void On(const HostListConfirmed& event) {
    context_.hosts.Confirm(event.as_of);
  }
  void On(const CatalogueRead& event);
  void On(const PeerMessageReceived& event);
  void On(const RuleSetRead& event);
  void On(const ServerListRead& event);
  void On(const StoreReached& event);
  void On(const LeaseRead& event) { fleet_.HandleLeaseRead(event); }
  void On(const LeaseAppendEnded& event) { fleet_.TakeAppendEnd(event); }
  void On(const OrderAnswered& event) { fleet_.TakeOrderResult(event); }
  void On(const StoreUpdatesRead& event) { relay_.TakeNews(event); }
  void On(const QuarantineRead& event) { quarantine_.TakeRead(event); }
  void On(const QuarantineAppendEnded& event) {
    quarantine_.TakeAppendEnd(event);
  }
  void On(const DrainRequested& event);
  void On(const Tick& event);

  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }
  void ControlChanged();
  void UpdateServices();
  void CarryForward();
  void FinishDrain();

  NodeContext context_;
  LogWriter writer_;
  GroupManager groups_;
  Gossip gossip_;
  QuarantineManager quarantine_;
  QuotaManager quotas_;
  LimitManager limits_;
  FleetManager fleet_;
  RequestFlow flow_;
  StoreRelay relay_;
  LogOffset bounds_version_ = 0;
  uint64_t service_sequence_ = 0;
  bool is_drained_ = false;
  TimePoint last_tick_;
  TimePoint carried_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_H_

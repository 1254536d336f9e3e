#ifndef APPLEHALL_NODE_NODE_CONTEXT_H_
#define APPLEHALL_NODE_NODE_CONTEXT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/random.h"
#include "membership/host_list.h"
#include "node/control_fold.h"
#include "node/decision_log.h"
#include "node/messages.h"
#include "node/node_settings.h"
#include "node/topic_freshness.h"
#include "routing/engine_view.h"
#include "rules/replica_bounds.h"

namespace applehall {

// What the parts of one node share. Everything belongs to the one thread that
// drives the node.
struct NodeContext {
  explicit NodeContext(NodeSettings node_settings)
      : settings(std::move(node_settings)),
        hosts(settings.data_centre),
        view(settings.seed, settings.policies),
        random(settings.seed * 31 + 7),
        decisions(settings.decisions_kept) {}

  NodeSettings settings;
  ControlFold control;
  HostTable hosts;
  EngineView view;
  std::map<std::string, CatalogueEntry> catalogue;
  std::map<std::string, EngineClass> engine_classes;  // By service.
  ReplicaBoundsTable bounds;  // Of the rule set in force.
  // Of the same version; never null.
  std::shared_ptr<const TeamRegistry> teams = std::make_shared<TeamRegistry>();
  Metrics metrics;
  Random random;
  DecisionLog decisions;
  TimePoint started_at;  // First event of this process.
  bool is_draining = false;
  TimePoint drain_began;
  // Entry hosts that share the placement owner; at least this many until told.
  int entry_host_count = 8;

  // As of when the topics of the store are known here.
  TopicFreshness news;
  // Whether the log service answered lately.
  TimePoint log_answered_at;
  bool log_failed = false;
  TimePoint log_failed_at;     // The last failure of a call.
  TimePoint log_recovered_at;  // When it answered again after a failure.

  TimePoint now;
  std::vector<Action>* actions = nullptr;

  void Emit(Action action) { actions->push_back(std::move(action)); }

  // The log service, or the store, answered as of `when`, which may lie back.
  void RecordLogResponse(TimePoint when);
  bool IsLogDown() const {
    return log_failed || now - log_answered_at > settings.log_down_after;
  }
  // Sends to a host if the host list knows where it is.
  void Send(const std::string& host, PeerMessageType type, Json body) {
    const HostEntry* entry = hosts.Find(host);
    if (entry == nullptr || entry->peer_address.empty()) return;
    Emit(SendPeer{host, entry->peer_address, {type, std::move(body)}});
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_CONTEXT_H_

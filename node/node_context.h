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
#include "node/store_outage.h"
#include "node/topic_freshness.h"
#include "routing/engine_view.h"
#include "rules/replica_bounds.h"

namespace applehall {

// State shared by the components of one node. Not thread-safe: used only on the
// thread that drives the node.
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
  // Of the same version; null if it has no list of teams, which is not the same
  // as an empty one.
  std::shared_ptr<const TeamRegistry> teams;
  Metrics metrics;
  Random random;
  DecisionLog decisions;
  TimePoint started_at;  // Time of the first event of this process.
  bool is_draining = false;
  // Other hosts can connect to the address for forwarded requests.
  bool accepts_forwards = true;
  // The same for links. Until then the port may be that of an earlier process
  // of this host, which is still stopping.
  bool accepts_links = true;
  TimePoint drain_began;
  // Number of entry hosts that share the placement owner. Until the owner
  // reports it, at least this many are assumed.
  int entry_host_count = 8;

  // Freshness of the store's topics on this host.
  TopicFreshness freshness{settings.min_lapse_outage};
  // Availability of the log service or the store.
  TimePoint log_answered_at;
  bool log_failed = false;
  TimePoint log_failed_at;     // Of the last failed call.
  TimePoint log_recovered_at;  // First answer after the last outage.
  // The pause before a retry is part of the time that a host may be behind.
  StoreOutage store_outage{
      {.min_outage = settings.min_lapse_outage,
       .contact_time = settings.contact_time - settings.freshness.retry_pause}};

  TimePoint now;
  std::vector<Action>* actions = nullptr;

  // Returns whether requests need a key of a team. Not thread-safe.
  bool RequiresKeys() const { return teams != nullptr || settings.has_teams; }
  // Returns the teams of the configuration in force, none if it has no list.
  // Not thread-safe.
  const std::shared_ptr<const TeamRegistry>& ListedTeams() const {
    static const auto* const kNone =
        new std::shared_ptr<const TeamRegistry>(new TeamRegistry);
    return teams ? teams : *kNone;
  }

  void Emit(Action action) { actions->push_back(std::move(action)); }

  // Records that the log service or the store was available at `when`, which
  // may be in the past. Not thread-safe.
  void RecordLogResponse(TimePoint when);
  bool IsLogDown() const {
    return log_failed || now - log_answered_at > settings.log_down_after;
  }
  // Sends a message to a host; does nothing if the host list has no address for
  // it. Not thread-safe.
  void Send(const std::string& host, PeerMessageType type, Json body) {
    const HostEntry* entry = hosts.Find(host);
    if (entry == nullptr || entry->peer_address.empty()) return;
    Emit(SendPeer{host, entry->peer_address, {type, std::move(body)}});
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_CONTEXT_H_

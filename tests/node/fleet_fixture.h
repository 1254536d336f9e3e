// Simulates the hosts of a fleet, event by event, with a paused clock.

#ifndef APPLEHALL_TESTS_NODE_FLEET_FIXTURE_H_
#define APPLEHALL_TESTS_NODE_FLEET_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "node/node.h"

namespace applehall {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kRules[] = R"({"name": "n", "author": "a", "reason": "r",
  "rules": [
   {"name": "once", "when": {"path": "/once/*"}, "then": {"deadline_ms": 1000,
    "repeatable": false, "claim": false, "services": [{"name": "app"}]}},
   {"name": "again", "when": {"path": "/again/*"}, "then": {"deadline_ms": 1000,
    "retries": 1, "services": [{"name": "app"}]}},
   {"name": "rare", "when": {"path": "/rare/*"}, "then": {"deadline_ms": 20000,
    "repeatable": false, "claim": false, "services": [{"name": "llm"}]}},
   {"name": "stream", "when": {"path": "/stream/*"}, "then": {
    "deadline_ms": 15000, "retries": 1, "resumable": true,
    "services": [{"name": "llm"}]}},
   {"name": "none", "then": {"refuse": "no route"}}]})";

inline ListedServer Server(const std::string& id, const std::string& service,
                           const std::string& model = "") {
  ListedServer server;
  server.id = id;
  server.service = service;
  server.address = "10.0.0.1:80";
  server.data_centre = "hall";
  server.slots = 8;
  server.is_engine = !model.empty();
  if (!model.empty()) server.models[model] = {};
  return server;
}

// Simulates hosts, their links, the engines and the store's lease and
// quarantine records. Not thread-safe.
class FleetTest : public testing::Test {
 protected:
  struct Host {
    std::unique_ptr<Node> node;
    std::vector<Action> done;  // Actions that the fixture does not perform.
    bool is_down = false;
    bool is_reading = true;  // Reads the store itself.
    bool is_cut_from_store = false;
    bool is_cut_from_hosts = false;
  };

  void Add(const std::string& name, const std::string& centre = "hall") {
    Start(name, centre);
    LoadConfiguration(name);
  }

  // Starts a host without configuration.
  void Start(const std::string& name, const std::string& centre = "hall") {
    NodeSettings settings;
    settings.self = {name, incarnation_};
    settings.data_centre = centre;
    settings.placement = PlacementStyle::kFleet;
    settings.peer_address = name;
    settings.forward_address = name;
    settings.serves_while_draining = true;
    settings.min_drain = seconds(1);
    settings.max_drain = seconds(6);
    settings.log_down_after = seconds(5);
    settings.engines_check_fences = engines_check_fences_;
    settings.order_lease = order_lease_;
    settings.retry_slack = retry_slack_;
    settings.follows_earlier_process = follows_earlier_process_;
    settings.link_mbps = links_mbps_[name];
    settings.policies = policies_;
    settings.seed = seed_;
    settings.has_teams = has_teams_;
    settings.is_first_start = is_first_start_;
    Host& host = hosts_[name];
    host.node = std::make_unique<Node>(settings);
  }

  // Delivers the rules, models and servers of the store to a host.
  void LoadConfiguration(const std::string& name) {
    Handle(name, RuleSetRead{1, *ParseJson(kRules)});
    CatalogueRead catalogue;
    for (const char* model : {"llm/m0", "llm/m1"}) {
      CatalogueEntry entry;
      entry.name = model;
      entry.service = "llm";
      entry.bytes = 70'000'000'000;
      catalogue.catalogue.push_back(entry);
    }
    catalogue.engine_classes["llm"] = {200'000'000'000, 8, 4.0};
    Handle(name, catalogue);
    ServerListRead listed;
    listed.is_whole = true;
    listed.listed = {Server("app-1", "app"), Server("app-2", "app"),
                     Server("llm-1", "llm", "llm/m0"),
                     Server("llm-2", "llm", "llm/m0")};
    Handle(name, listed);
  }

  // Whether the link between two hosts is cut.
  virtual bool IsCut(const std::string&, const std::string&) const {
    return false;
  }

  // Returns the store's answer to a read of the record of versions.
  virtual VersionRecordRead ReadVersions() const {
    return VersionRecordRead{.is_answered = true};
  }

  // Whether a host has lost its links to all backend servers.
  virtual bool IsCutFromServers(const std::string&) const { return false; }

  void Handle(const std::string& name, const Event& event) {
    Host& host = hosts_.at(name);
    if (host.is_down) return;
    std::vector<Action> actions;
    host.node->Handle(event, now_, actions);
    for (Action& action : actions) Perform(name, std::move(action));
  }

  void Perform(const std::string& name, Action action) {
    Host& host = hosts_.at(name);
    if (const auto* follow = std::get_if<SetStorePolling>(&action)) {
      host.is_reading = follow->is_reading;
    }
    if (const auto* read = std::get_if<ReadLease>(&action)) {
      if (host.is_cut_from_store) return;
      pending_.push_back(
          {name, LeaseRead{true, lease_, token_, end_, read->requested_at}});
    } else if (const auto* append = std::get_if<AppendLease>(&action)) {
      if (host.is_cut_from_store) return;
      const bool is_granted = append->end == end_;
      if (is_granted) {
        lease_ = append->record;
        token_ = ++end_;
      }
      pending_.push_back({name, LeaseAppendEnded{is_granted}});
    } else if (const auto* note =
                   std::get_if<AppendPredecessorsEnded>(&action)) {
      if (host.is_cut_from_store) return;
      ++end_;
      if (note->token == token_) lease_->have_predecessors_ended = true;
    } else if (std::holds_alternative<ReadQuarantine>(action)) {
      ++quarantine_reads_;
      if (host.is_cut_from_store) return;
      QuarantineRead read{true, {}};
      for (const auto& [key, record] : quarantined_) {
        read.records.push_back(record);
      }
      pending_.push_back({name, read});
    } else if (const auto* held = std::get_if<AppendQuarantine>(&action)) {
      ++quarantine_appends_;
      if (host.is_cut_from_store) return;
      quarantined_[held->record.fingerprint] = held->record;
      if (held->record.until == TimePoint{}) {
        quarantined_.erase(held->record.fingerprint);
      }
      pending_.push_back({name, QuarantineAppendEnded{held->record, true}});
    } else if (std::holds_alternative<ReadVersionRecord>(action)) {
      if (!host.is_cut_from_store) pending_.push_back({name, ReadVersions()});
    } else if (const auto* kept = std::get_if<AppendVersionRecord>(&action)) {
      if (!host.is_cut_from_store) version_record_ = kept->record;
    } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
      const bool is_plan = peer->message.type == PeerMessageType::kFleetPlan;
      if (is_plan && !is_sending_shared_plan_) ++plans_made_;
      if (is_plan && is_losing_plans_) return;
      if (!hosts_.contains(peer->host)) return;
      if (host.is_cut_from_hosts || hosts_.at(peer->host).is_cut_from_hosts ||
          IsCut(name, peer->host)) {
        return;
      }
      pending_.push_back(
          {peer->host, PeerMessageReceived{name, peer->message}});
    } else if (const auto* peers = std::get_if<SendPeers>(&action)) {
      if (peers->message.type == PeerMessageType::kFleetPlan) ++plans_made_;
      is_sending_shared_plan_ = true;
      for (const PeerAddress& to : peers->peers) {
        Perform(name, SendPeer{to.host, to.address, peers->message});
      }
      is_sending_shared_plan_ = false;
    } else if (std::holds_alternative<SendOrder>(action) &&
               IsCutFromServers(name)) {
      return;  // Orders and questions stay unanswered.
    } else if (const auto* order = std::get_if<SendOrder>(&action);
               order != nullptr && order->order.kind == OrderKind::kInspect) {
      pending_.push_back(
          {name, InventoryReceived{ReportOf(order->engine), now_}});
    } else {
      if (const auto* load = std::get_if<SendOrder>(&action)) {
        pending_.push_back({name, OrderAnswered{load->engine, load->order.id,
                                                OrderResult::kAccepted}});
      }
      host.done.push_back(std::move(action));
    }
  }

  Inventory ReportOf(const std::string& engine) {
    Inventory inventory;
    inventory.engine = engine;
    inventory.accepted_orders = accepted_orders_;
    for (const std::string& model : models_at_[engine]) {
      Replica replica;
      replica.name = model;
      inventory.replicas.push_back(replica);
    }
    return inventory;
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += milliseconds(25);
      const auto due = std::move(pending_);
      pending_.clear();
      for (const auto& [name, event] : due) Handle(name, event);
      for (const auto& [name, host] : hosts_) {
        if (host.is_reading && !host.is_cut_from_store) {
          Handle(name, StoreUpdatesRead{.topic = "config", .as_of = now_});
          Handle(name, StoreUpdatesRead{.topic = "servers", .as_of = now_});
        }
        Handle(name, Tick{});
      }
    }
  }

  // All reads of the store by a host fail for `duration`.
  void LoseStore(const std::string& name, Duration duration) {
    hosts_.at(name).is_cut_from_store = true;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      Run(milliseconds(500));
      Handle(name, LogUnavailable{});
    }
    hosts_.at(name).is_cut_from_store = false;
  }

  RequestArrived Arrive(const std::string& name, RequestHandle handle,
                        const std::string& path,
                        const std::string& model = "") {
    RequestArrived request;
    request.handle = handle;
    request.request_id = "r" + std::to_string(handle);
    request.facts.path = path;
    request.facts.model = model;
    request.facts.caller = "c";
    Handle(name, request);
    return request;
  }

  template <typename T>
  std::vector<T> ActionsOf(const std::string& name) const {
    std::vector<T> found;
    for (const Action& action : hosts_.at(name).done) {
      if (const T* one = std::get_if<T>(&action)) found.push_back(*one);
    }
    return found;
  }

  std::vector<std::string> Holders() const {
    std::vector<std::string> holders;
    for (const auto& [name, host] : hosts_) {
      if (host.is_down) continue;
      const Json dump = host.node->StateDump();
      if (dump["fleet"].contains("planner")) holders.push_back(name);
    }
    return holders;
  }

  TimePoint now_{std::chrono::hours(500000)};
  uint64_t incarnation_ = 1;  // Of added hosts.
  PolicySet policies_;        // Of added hosts.
  uint64_t seed_ = 1;         // Of added hosts.
  bool engines_check_fences_ = true;
  Duration order_lease_ = seconds(3);
  double retry_slack_ = 50;
  bool follows_earlier_process_ = false;
  bool has_teams_ = false;                    // The deployment of added hosts.
  bool is_first_start_ = false;               // Of added hosts.
  std::map<std::string, double> links_mbps_;  // Zero: not reported.
  std::map<std::string, Host> hosts_;
  std::vector<std::pair<std::string, Event>> pending_;
  uint64_t accepted_orders_ = 0;  // As reported by each engine.
  // Models reported by the engines.
  std::map<std::string, std::vector<std::string>> models_at_{
      {"llm-1", {"llm/m0"}}, {"llm-2", {"llm/m0"}}};
  std::optional<LeaseRecord> lease_;
  FencingToken token_ = 0;
  LogOffset end_ = 0;
  std::map<uint64_t, QuarantineRecord> quarantined_;  // The store's records.
  std::optional<VersionRecord> version_record_;       // The store's.
  int quarantine_reads_ = 0;
  int quarantine_appends_ = 0;
  int plans_made_ = 0;  // Encoded plans, whatever their number of receivers.
  bool is_losing_plans_ = false;
  bool is_sending_shared_plan_ = false;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_FLEET_FIXTURE_H_

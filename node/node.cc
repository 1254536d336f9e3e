#include "node/node.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/hash.h"

namespace applehall {
namespace {

constexpr int kDefaultServiceSlots = 64;

Demand ParseDemand(const std::string& host, const Json& body) {
  Demand demand;
  demand.target = FieldOr<std::string>(body, "target", "");
  demand.host = host;
  demand.waiting = FieldOr<int>(body, "waiting", 0);
  demand.worth = FieldOr<double>(body, "worth", 0.0);
  demand.slack =
      std::chrono::milliseconds(FieldOr<int64_t>(body, "slack_ms", 0));
  demand.is_background = FieldOr<bool>(body, "background", false);
  return demand;
}

Json DemandAnswerJson(const DemandAnswer& answer) {
  return Json{{"target", answer.target},
              {"group", answer.group},
              {"status", static_cast<int>(answer.status)},
              {"expected_ms", ToMillis(answer.expected)}};
}

DemandAnswer ParseDemandAnswer(const Json& body) {
  DemandAnswer answer;
  answer.target = FieldOr<std::string>(body, "target", "");
  answer.group = FieldOr<std::string>(body, "group", "");
  const int status = FieldOr<int>(body, "status", -1);
  const bool is_known =
      status >= 0 && status <= static_cast<int>(DemandStatus::kUnknown);
  answer.status =
      is_known ? static_cast<DemandStatus>(status) : DemandStatus::kUnknown;
  answer.expected =
      std::chrono::milliseconds(FieldOr<int64_t>(body, "expected_ms", 0));
  return answer;
}

}  // namespace

Node::Node(NodeSettings settings)
    : context_(std::move(settings)),
      writer_(context_),
      groups_(context_, writer_),
      gossip_(context_, groups_),
      quarantine_(context_, writer_),
      quotas_(context_),
      limits_(context_),
      reach_(context_),
      streams_(context_),
      fleet_(context_, quarantine_, quotas_, limits_, reach_, streams_),
      flow_(context_, groups_, gossip_, fleet_, quarantine_, quotas_, limits_,
            reach_, streams_),
      relay_(context_) {
  reach_.SetServers(&fleet_.servers());
}

void Node::Handle(const Event& event, TimePoint now,
                  std::vector<Action>& actions) {
  context_.now = now;
  context_.actions = &actions;
  if (context_.started_at == TimePoint{}) {
    context_.started_at = now;
    context_.log_answered_at = now;
    gaps_changed_at_ = now;
  }
  std::visit([this](const auto& e) { HandleEvent(e); }, event);
  if (IsFleet()) flow_.RunPermits();
  context_.actions = nullptr;
}

std::vector<std::string> Node::ReadinessGaps() const {
  const bool has_rules = context_.control.rules().current() != nullptr;
  std::vector<std::string> gaps;
  if (!has_rules) gaps.emplace_back("rule set");
  if (IsFleet()) {
    if (!fleet_.is_known()) gaps.emplace_back("server list");
    if (reach_.IsIsolated()) gaps.emplace_back("links to servers");
  } else {
    if (!context_.hosts.is_known()) gaps.emplace_back("host list");
    if (context_.catalogue.empty()) gaps.emplace_back("catalogue");
    const bool has_claims = flow_.has_read_claims() || context_.IsLogDown();
    if (!has_claims) gaps.emplace_back("claims");
  }
  if (context_.is_draining) gaps.emplace_back("end of the drain");
  return gaps;
}

void Node::LogReadiness() {
  const std::string gaps = absl::StrJoin(ReadinessGaps(), ", ");
  if (gaps == logged_gaps_) return;
  LogEvent(LogLevel::kInfo, gaps.empty() ? "ready" : "not_ready")
      .With("waiting_for", gaps)
      .With("before_ms", ToMillis(context_.now - gaps_changed_at_));
  logged_gaps_ = gaps;
  gaps_changed_at_ = context_.now;
}

void Node::HandleEvent(const InventoryReceived& event) {
  if (IsFleet()) {
    fleet_.HandleInventory(event.inventory, event.requested_at);
    return;
  }
  groups_.HandleInventory(event.inventory, event.requested_at);
  flow_.PumpAll();
}

void Node::HandleEvent(const LogBatchRead& event) {
  context_.log_answered_at = context_.now;
  context_.log_failed = false;
  if (event.batch.stream == kClaimsStream) {
    flow_.HandleClaims(event.batch);
    return;
  }
  context_.control.Apply(event.batch);
  ApplyControlChange();
}

void Node::HandleEvent(const LogUnavailable& event) {
  const bool is_unanswered = event.unanswered_since != TimePoint{};
  if (!context_.log_failed) {
    LogEvent(LogLevel::kWarning, "store_lost")
        .With("cause", is_unanswered ? "unanswered" : "refused");
  }
  context_.log_failed = true;
  context_.log_failed_at = context_.now;
  if (is_unanswered) {
    context_.store_outage.RecordLostCall(event.unanswered_since);
  } else {
    context_.store_outage.RecordRejection(context_.now);
  }
}

// Guards against an answer that stayed unread while this process got no
// processor time: other hosts rely on the freshness that this host reports. The
// last tick had handled everything received by then, so this answer was written
// after it; a later time is not proven.
void Node::HandleEvent(const StoreReached&) {
  context_.RecordLogResponse(last_tick_ == TimePoint{} ? context_.now
                                                       : last_tick_);
}

void Node::HandleEvent(const RuleSetRead& event) {
  const bool is_newer = event.version > context_.control.rules().version();
  const absl::Status status =
      context_.control.InstallRules(event.version, event.document);
  if (status.ok() && is_newer) {
    context_.teams = event.teams;
  }
  if (!status.ok()) {
    context_.metrics.Count("rule_sets_rejected_total");
    LogEvent(LogLevel::kWarning, "rules_rejected")
        .With("version", event.version)
        .With("reason", std::string(status.message()));
    return;
  }
  ApplyControlChange();
}

void Node::HandleEvent(const ServerListRead& event) {
  fleet_.HandleServerList(event);
  flow_.PumpAll();
}

void Node::HandleEvent(const AppendEnded& event) {
  writer_.HandleAppendEnd(event.record_id);
  if (event.is_appended) return;
  context_.metrics.Count("log_appends_unanswered_total");
  flow_.HandleClaimAppendFailed(event.record_id);
}

void Node::HandleEvent(const HostListRead& event) {
  if (!context_.hosts.Update(event.list)) return;
  for (const EngineDigest* digest : context_.view.All()) {
    const HostEntry* entry = context_.hosts.Find(digest->engine);
    if (entry == nullptr) continue;
    context_.view.SetLeaving(digest->engine, entry->is_leaving);
    if (entry->is_leaving) context_.Emit(RecallUnsent{digest->engine});
  }
  std::vector<std::string> gone;
  for (const EngineDigest* digest : context_.view.All()) {
    if (context_.hosts.Find(digest->engine) == nullptr) {
      gone.push_back(digest->engine);
    }
  }
  for (const std::string& engine : gone) {
    context_.view.Remove(engine);
    context_.Emit(RecallUnsent{engine});
  }
  UpdateServices();
  groups_.Reconcile();
}

// Plain services need no loading; each is represented by an engine that is
// always ready for its own service. Services of this data centre are preferred.
void Node::UpdateServices() {
  std::map<std::string, bool> has_local;
  for (const auto& [name, entry] : context_.hosts.hosts()) {
    if (entry.kind == HostKind::kService && !entry.is_leaving &&
        entry.data_centre == context_.settings.data_centre) {
      has_local[entry.service] = true;
    }
  }
  ++service_sequence_;
  for (const auto& [name, entry] : context_.hosts.hosts()) {
    if (entry.kind != HostKind::kService) continue;
    const bool is_local = entry.data_centre == context_.settings.data_centre;
    EngineDigest digest;
    digest.engine = name;
    digest.address = entry.address;
    digest.incarnation = entry.incarnation;
    digest.sequence = service_sequence_;
    digest.slots = entry.slots > 0 ? entry.slots : kDefaultServiceSlots;
    digest.is_leaving = entry.is_leaving;
    if (is_local || !has_local[entry.service]) {
      digest.ready = {ServiceTarget(entry.service)};
    }
    context_.view.Merge(digest, context_.now);
    context_.view.SetLeaving(name, entry.is_leaving);
  }
}

void Node::HandleEvent(const CatalogueRead& event) {
  if (event.catalogue.empty()) return;
  context_.catalogue.clear();
  for (const CatalogueEntry& entry : event.catalogue) {
    context_.catalogue[entry.name] = entry;
  }
  context_.engine_classes = event.engine_classes;
  fleet_.HandleCatalogueChange();
}

void Node::HandleEvent(const PeerMessageReceived& event) {
  const Json& body = event.message.body;
  switch (event.message.type) {
    case PeerMessageType::kGossip:
      gossip_.HandleGossip(event.host, body);
      flow_.PumpAll();
      return;
    case PeerMessageType::kControl:
      if (gossip_.HandleControl(body)) ApplyControlChange();
      return;
    case PeerMessageType::kDemand: {
      const auto answer =
          groups_.HandleDemand(FieldOr<std::string>(body, "group", ""),
                               ParseDemand(event.host, body));
      if (answer) {
        context_.Send(event.host, PeerMessageType::kDemandAnswer,
                      DemandAnswerJson(*answer));
      }
      return;
    }
    case PeerMessageType::kDemandAnswer:
      flow_.HandleDemandAnswer(ParseDemandAnswer(body));
      return;
    case PeerMessageType::kStoreBorrow:
      groups_.HandleStoreBorrow(event.host, body);
      return;
    case PeerMessageType::kStoreGrant:
      groups_.HandleStoreGrant(body);
      return;
    case PeerMessageType::kFleetReport:
      fleet_.HandleHostReport(event.host, body);
      return;
    case PeerMessageType::kFleetPlan:
      for (const DemandAnswer& answer : fleet_.HandlePlan(event.host, body)) {
        flow_.HandleDemandAnswer(answer);
      }
      flow_.PumpAll();
      return;
    case PeerMessageType::kStoreFollow:
      relay_.HandleFollow(event.host, body);
      return;
    case PeerMessageType::kStoreUpdates:
      relay_.HandleRelayedUpdates(event.host, body);
      fleet_.RecordOwner(StoreRelay::ParseOwner(body));
      return;
    case PeerMessageType::kQuotaUsage:
      quotas_.HandleCentreUsage(event.host, body);
      return;
    case PeerMessageType::kQuotaShareUpdate:
      quotas_.HandleCentreShares(body);
      return;
    case PeerMessageType::kPermitRequest:
      limits_.HandlePermitRequests(event.host, body);
      return;
    case PeerMessageType::kPermitAnswer:
      limits_.HandlePermitAnswers(body);
      return;
    case PeerMessageType::kStreamRecords:
      streams_.HandleRecords(body);
      return;
    case PeerMessageType::kStreamQuery:
      streams_.HandleQuery(event.host, body);
      return;
    case PeerMessageType::kStreamAnswer:
      streams_.HandleAnswer(event.host, body);
      flow_.RunResumptions();
      return;
  }
}

void Node::HandleEvent(const DrainRequested&) {
  if (context_.is_draining) return;
  context_.is_draining = true;
  context_.drain_began = context_.now;
  LogEvent(LogLevel::kInfo, "drain_begin")
      .With("open_requests", flow_.open_requests());
}

void Node::HandleEvent(const Tick&) {
  last_tick_ = context_.now;
  LogReadiness();
  if (IsFleet()) {
    reach_.RunTick();
    streams_.RunTick();
    flow_.RunTick();
    for (const DemandAnswer& answer : fleet_.RunTick()) {
      flow_.HandleDemandAnswer(answer);
    }
    flow_.PumpAll();
    relay_.SetReader(fleet_.reader());
    relay_.SetBackup(fleet_.backup_reader());
    relay_.SetOwner(fleet_.NewestOwner());
    relay_.RunTick();
    FinishDrain();
    return;
  }
  quarantine_.RunTick(/*is_owner=*/false, /*is_owner_reachable=*/false);
  groups_.RunTick();
  flow_.RunTick();
  gossip_.RunTick();
  RenewSnapshot();
  FinishDrain();
}

void Node::ApplyControlChange() {
  const auto rules = context_.control.rules().current();
  if (rules && rules->version != bounds_version_) {
    bounds_version_ = rules->version;
    context_.bounds = ReplicaBoundsTable(rules->set.rules);
    context_.metrics.Count("rule_sets_in_force_total");
    LogEvent(LogLevel::kInfo, "rules_in_force")
        .With("version", rules->version)
        .With("name", rules->set.name)
        .With("rules", rules->set.rules.size())
        .With("has_list_of_teams", context_.teams ? "yes" : "no")
        .With("requires_keys", context_.RequiresKeys() ? "yes" : "no")
        .With("teams", context_.ListedTeams()->teams().size());
  }
  if (IsFleet()) return;
  quarantine_.HandleControl();
  groups_.Reconcile();
}

// The log retains records for a limited time. One host of a data centre writes
// the control state again before its last record expires. The snapshot contains
// the offset up to which its writer had read, so it cannot undo later records.
void Node::RenewSnapshot() {
  if (!gossip_.IsControlReader() || context_.IsLogDown()) return;
  if (!context_.control.has_base() || context_.control.next_offset() <= 1) {
    return;
  }
  const Duration after = context_.settings.max_snapshot_age;
  // Staggers the hosts so that usually only one of them writes.
  const Duration stagger =
      after / 10 * (StableHash(context_.settings.self.host) % 8) / 8;
  const TimePoint last =
      std::max({context_.control.last_snapshot_at(),
                context_.control.first_record_at(), snapshot_renewed_at_});
  if (context_.now - last < after + stagger) return;
  snapshot_renewed_at_ = context_.now;
  writer_.Append("snapshot", context_.control.Snapshot());
}

void Node::FinishDrain() {
  if (!context_.is_draining) return;
  const Duration took = context_.now - context_.drain_began;
  const bool is_expired = took >= context_.settings.max_drain;
  if (IsFleet()) {
    const Duration bound = context_.settings.max_drain;
    // Also after the drain, for requests on connections that stay open until
    // the process exits.
    if (took >= bound * 2 / 3) flow_.RefuseOpen(/*with_sent=*/is_expired);
  }
  if (is_drained_) return;
  const bool is_released =
      IsFleet() ? fleet_.IsReleased() : !groups_.OwnsAnyGroup();
  const bool is_done = flow_.open_requests() == 0 && is_released &&
                       took >= context_.settings.min_drain;
  if (!is_done && !is_expired) return;
  is_drained_ = true;
  LogEvent(is_done ? LogLevel::kInfo : LogLevel::kWarning, "drain_end")
      .With("open_requests", flow_.open_requests())
      .With("took_ms", ToMillis(took));
  context_.Emit(Drained{});
}

Json Node::StateDump() const {
  const auto rules = context_.control.rules().current();
  Json json{{"host", context_.settings.self.host},
            {"incarnation", context_.settings.self.number},
            {"data_centre", context_.settings.data_centre},
            {"ready", IsReady()},
            {"draining", context_.is_draining},
            {"now_ms", ToUnixMillis(context_.now)}};
  json["rules"] = Json{{"version", context_.control.rules().version()},
                       {"name", rules ? rules->set.name : ""},
                       {"author", rules ? rules->set.author : ""},
                       {"count", rules ? rules->set.rules.size() : 0}};
  json["log"] = Json{
      {"down", context_.IsLogDown()},
      {"control_offset", context_.control.next_offset()},
      {"control_based", context_.control.has_base()},
      {"confirmed_ms_ago", ToMillis(context_.now - context_.log_answered_at)}};
  json["ownership"] = context_.control.ownership().ToJson();
  if (IsFleet()) {
    json["fleet"] = fleet_.ToJson();
    json["store_relay"] = relay_.ToJson();
    json["reach"] = reach_.ToJson();
    json["streams"] = streams_.ToJson();
  } else {
    json["groups"] = groups_.ToJson();
  }
  json["requests"] = flow_.ToJson();
  json["quarantine"] = quarantine_.ToJson();
  json["quotas"] = quotas_.ToJson();
  json["server_limits"] = limits_.ToJson();
  json["engines"] = context_.view.ToJson(context_.now);
  json["gossip"] = gossip_.ToJson();
  json["hosts"] = Json{{"as_of_ms", ToUnixMillis(context_.hosts.as_of())},
                       {"list", Json::object()}};
  for (const auto& [name, entry] : context_.hosts.hosts()) {
    json["hosts"]["list"][name] = Json{{"data_centre", entry.data_centre},
                                       {"address", entry.address},
                                       {"incarnation", entry.incarnation},
                                       {"leaving", entry.is_leaving}};
  }
  json["catalogue_size"] = context_.catalogue.size();
  // What this host waits for, and state that it has not received.
  json["waiting_for"] = ReadinessGaps();
  json["unknown"] = Json::array();
  if (!rules) json["unknown"].push_back("rule set");
  if (IsFleet()) {
    if (!fleet_.is_known()) json["unknown"].push_back("server list");
    return json;
  }
  if (!context_.control.has_base()) json["unknown"].push_back("control state");
  if (!context_.hosts.is_known()) json["unknown"].push_back("host list");
  if (context_.catalogue.empty()) json["unknown"].push_back("catalogue");
  return json;
}

}  // namespace applehall

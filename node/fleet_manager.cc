#include "node/fleet_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/hash.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reports and plans are sent at least this often; plans are the owner's
// heartbeat.
constexpr Duration kHeartbeatInterval = milliseconds(500);
// Changes that no request waits for are batched for this long: with 72 hosts
// and tens of changes a second, sending each at once cost more time than
// planning.
constexpr Duration kBatchInterval = milliseconds(250);
// Urgent updates do not wait for a heartbeat but are batched for this long.
constexpr Duration kUrgentInterval = milliseconds(15);
// A plan older than this no longer takes precedence over the listing.
constexpr Duration kPlanTtl = seconds(3);
constexpr Duration kPeerTtl = seconds(5);
// Data centres beyond this many share a tick of 25 ms, so that all are reached
// within the batch interval.
constexpr size_t kCentresPerTick = 8;
// Engines with fewer requests per slot than this, and fewer arrivals per slot
// and second, are reported as idle; a request occupies a slot for 1 to 4 s.
constexpr double kMinReportedLoad = 0.5;
constexpr double kMinReportedArrivals = 0.2;
// Reports of 72 hosts arrive every 7 ms; summing more often changes little.
constexpr Duration kLoadSumInterval = milliseconds(100);
// The owner of many hosts is the busiest of all. When it also read the store
// for the 45 hosts of its own data centre, a burst of planning delayed their
// updates by 5 s, and draining engines still received work after 4.2 s.
constexpr int kMaxOwnFollowers = 8;
constexpr Duration kPlanInterval = milliseconds(25);
constexpr size_t kMaxUnservedRows = 32;
// An owner that reaches no engine for this long hands over.
constexpr Duration kMinCutOff = milliseconds(500);
// Max time that an owner without links to servers waits for its last orders.
constexpr Duration kMaxOrderWait = milliseconds(500);
// Without an owner for this long, a host that reaches no server may claim.
constexpr Duration kCutOffClaimDelay = seconds(5);
// Reports to a new owner repeat the unserved targets for this long: it drops
// those that arrive before it has read the listing of the engines.
constexpr Duration kUnservedReportTime = seconds(3);
// Key of the teams' quotas in reports and plans.
constexpr char kQuotaRows[] = "quotas";
// Key of the limits of servers that limit themselves.
constexpr char kLimitRows[] = "limits";
// Key of the servers that are brittle.
constexpr char kBrittleRows[] = "brittle";
// Reports: servers that ended. Plans: the last such row the owner has received.
constexpr char kEndRows[] = "ends";
// Key of the performance of servers in reports and plans.
constexpr char kPerformanceRows[] = "performance";

// Leaves `address` unchanged if the body has no valid address under `key`.
void ReadPeerAddress(const Json& body, const char* key, PeerAddress& address) {
  const Json row = body.value(key, Json::array());
  const bool is_address = row.is_array() && row.size() == 2 &&
                          row[0].is_string() && row[1].is_string();
  if (!is_address) return;
  address = {row[0].get<std::string>(), row[1].get<std::string>()};
}

}  // namespace

bool FleetManager::OffersService(const std::string& service) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
    return item.second.service == service;
  });
}

bool FleetManager::OffersVersion(const StreamOrigin& origin) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
    const ListedServer& server = item.second;
    return server.service == origin.service &&
           server.version == origin.version && !server.is_leaving;
  });
}

// ---- Listing ----

Duration FleetManager::ListingAge() const {
  const TopicState* listing = context_.freshness.Find(listing_topic_);
  if (listing == nullptr || listing->as_of == TimePoint{}) return Duration{0};
  return context_.now - listing->as_of;
}

// Only the freshness of the listing shows an outage of the store: calls of this
// host fail for reasons of its own as well, and a reader may relay the listing
// all the while.
bool FleetManager::MayHaveLapsed() const {
  const TopicState* listing = context_.freshness.Find(listing_topic_);
  if (listing == nullptr) return false;
  if (ListingAge() >= context_.settings.min_lapse_outage) return true;
  return context_.now < context_.store_outage.LapseEnd(*listing);
}

void FleetManager::HandleServerList(const ServerListRead& event) {
  const Duration previous_age = streams_.ListingAge();
  const bool is_first = servers_.empty();
  listing_topic_ = event.topic;
  listing_next_ = event.next;
  if (event.is_whole || event.is_partial) {
    is_listing_partial_ = event.is_partial;
  }
  if (is_first && !event.listed.empty()) lease_.RecordFirstListing();
  std::vector<std::string> gone = event.gone;
  if (event.is_whole) {
    std::set<std::string> listed;
    for (const ListedServer& server : event.listed) listed.insert(server.id);
    for (const auto& [id, server] : servers_) {
      if (!listed.contains(id)) gone.push_back(id);
    }
  }
  for (const std::string& id : event.unusable) {
    context_.metrics.Count("server_entries_unusable_total");
    if (servers_.contains(id)) RemoveServer(id, "unusable entry");
  }
  for (const StreamOrigin& passed : event.passed) {
    streams_.versions().Add(passed.service, passed.version, context_.now);
    streams_.versions().Remove(passed.service, passed.version, context_.now);
  }
  for (const ListedServer& server : event.listed) {
    if (!AcceptIncarnation(server)) continue;
    const bool is_new = !servers_.contains(server.id);
    const bool was_leaving = !is_new && servers_[server.id].is_leaving;
    PutServer(server);
    departing_.erase(server.id);
    if (is_new || was_leaving != server.is_leaving) {
      LogEvent(LogLevel::kInfo, "server_listed")
          .With("server", server.id)
          .With("service", server.service)
          .With("version", server.version)
          .With("address", server.address)
          .With("data_centre", server.data_centre)
          .With("leaving", server.is_leaving ? "yes" : "no")
          .With("models", server.models.size())
          .With("listing", listing_next_)
          .With("proof_age_ms", ToMillis(ListingAge()));
    }
    if (!lease_.HadContactWithin(kPlanTtl) && !planner_) {
      announced_.erase(server.id);
    }
    UpdateView(server.id);
    if (server.is_leaving && !was_leaving) RecallRequests(server.id);
  }
  // While the store is unavailable, listings of live servers lapse too.
  // Removing the servers would refuse requests until the listings are renewed.
  const bool may_have_lapsed = MayHaveLapsed();
  const TimePoint trouble_at = context_.store_outage.last_trouble_at();
  const int64_t trouble_ms_ago =
      trouble_at == TimePoint{} ? -1 : ToMillis(context_.now - trouble_at);
  for (const std::string& id : gone) {
    if (!servers_.contains(id)) continue;
    if (may_have_lapsed) {
      departing_.insert(id);
      context_.metrics.Count("server_removals_deferred_total");
      LogEvent(LogLevel::kInfo, "server_removal_deferred")
          .With("server", id)
          .With("listing", listing_next_)
          .With("proof_age_ms", ToMillis(ListingAge()))
          .With("trouble_ms_ago", trouble_ms_ago);
    } else {
      RemoveServer(id, "unlisted");
    }
  }
  streams_.RecordListing(event, previous_age);
  // Which versions take new streams shows with the complete first listing.
  for (const ListedServer& server : event.listed) {
    if (is_first) UpdateView(server.id);
  }
  reach_.HandleListing();
  if (planner_) planner_->SetServers(servers_, context_.now);
}

void FleetManager::PutServer(const ListedServer& server) {
  const auto known = servers_.find(server.id);
  VersionHistory& versions = streams_.versions();
  if (known != servers_.end()) {
    versions.Remove(known->second.service, known->second.version, context_.now);
  }
  versions.Add(server.service, server.version, context_.now);
  servers_[server.id] = server;
}

// A server that restarted under its id holds no models and runs no requests.
// Its previous state is removed first, or the request counts, failures and
// models of its earlier incarnation would be taken for those of the new one.
bool FleetManager::AcceptIncarnation(const ListedServer& server) {
  const auto known = servers_.find(server.id);
  if (known == servers_.end()) return true;
  const TimePoint previous_start = known->second.started_at;
  if (StartedAfter(previous_start, server.started_at)) return false;
  if (!StartedAfter(server.started_at, previous_start)) return true;
  LogEvent(LogLevel::kInfo, "server_restarted")
      .With("server", server.id)
      .With("after_ms", ToMillis(server.started_at - previous_start));
  RemoveServer(server.id, "restarted");
  return true;
}

void FleetManager::RemoveDeparted() {
  if (departing_.empty() || MayHaveLapsed()) return;
  const std::set<std::string> due = std::move(departing_);
  departing_.clear();
  for (const std::string& id : due) RemoveServer(id, "lapsed");
  reach_.HandleListing();
  if (planner_) planner_->SetServers(servers_, context_.now);
}

void FleetManager::RemoveServer(const std::string& id,
                                std::string_view reason) {
  const auto known = servers_.find(id);
  if (known != servers_.end()) {
    streams_.versions().Remove(known->second.service, known->second.version,
                               context_.now);
    servers_.erase(known);
  }
  departing_.erase(id);
  announced_.erase(id);
  planned_states_.erase(id);
  context_.view.Remove(id);
  RecallRequests(id);
  limits_.Remove(id);
  performance_.Remove(id);
  LogEvent(LogLevel::kInfo, "server_gone")
      .With("server", id)
      .With("reason", reason)
      .With("listing", listing_next_)
      .With("proof_age_ms", ToMillis(ListingAge()));
}

// They wait for a connection or for a permit of a limited server.
void FleetManager::RecallRequests(const std::string& id) {
  context_.Emit(RecallUnsent{id});
  limits_.DenyPending(id);
}

void FleetManager::UpdateView(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const ListedServer& server = it->second;
  EngineDigest digest;
  digest.engine = id;
  digest.address = server.address;
  digest.data_centre = server.data_centre;
  digest.version = server.version;
  digest.streams_from =
      streams_.versions().StreamsFrom(server.service, server.version);
  digest.sequence = ++digest_count_;
  digest.base_sequence = digest.sequence;
  digest.slots = std::max(1, server.slots);
  const auto load = loads_.find(id);
  digest.running = load == loads_.end() ? 0 : load->second.running;
  digest.is_leaving = server.is_leaving;
  const auto announced = announced_.find(id);
  if (!server.is_engine) {
    digest.ready = {ServiceTarget(server.service)};
  } else if (announced != announced_.end()) {
    digest.ready = announced->second;
  } else {
    for (const auto& [model, adapters] : server.models) {
      digest.ready.push_back(model);
      digest.ready.insert(digest.ready.end(), adapters.begin(), adapters.end());
    }
  }
  context_.view.Merge(digest, context_.now);
  context_.view.SetLeaving(id, server.is_leaving);
  performance_.Apply(id);
}

void FleetManager::HandleCatalogueChange() {
  if (!planner_) return;
  planner_->SetCatalogue(&context_.catalogue, &context_.engine_classes);
}

void FleetManager::HandleInventory(const Inventory& inventory,
                                   TimePoint requested_at) {
  if (planner_)
    planner_->HandleInventory(inventory, requested_at, context_.now);
}

void FleetManager::HandleOrderResult(const OrderAnswered& event) {
  if (!planner_) return;
  planner_->HandleOrderResult(event.engine, event.order_id, event.result,
                              context_.now);
  if (planner_->is_superseded()) lease_.RequireReread();
}

// ---- Lease ----

void FleetManager::HandleLeaseRead(const LeaseRead& event) {
  const PlacementLease::Change change = lease_.HandleRead(event);
  if (change == PlacementLease::Change::kNone) return;
  StopPlanning();
  if (change == PlacementLease::Change::kGained) StartPlanning();
}

void FleetManager::HandleAppendEnd(const LeaseAppendEnded&) {
  lease_.HandleAppendEnded();
}

void FleetManager::StartPlanning() {
  planner_ = std::make_unique<FleetPlanner>(
      context_.settings.self, lease_.token(), context_.settings.policies);
  planner_->SetCatalogue(&context_.catalogue, &context_.engine_classes);
  planner_->SetServers(servers_, context_.now);
  planned_states_.clear();
  shared_plans_.clear();
  quarantine_.RenumberRows(last_update_);
  quotas_.StartPlanning();
  performance_.StartPlanning();
  limits_.StartPlanning(last_update_);
  streams_.StartPlanning();
  readers_.Restart(context_.now);
  reader_ = {};  // The owner reads the store itself.
  backup_reader_ = {};
  context_.metrics.Count("leases_taken_total");
  if (resigned_owner_.host.empty()) return;
  // The former owner may be unable to read the lease; the first plan gives it
  // the address to report to.
  FleetPeer& former = peers_[resigned_owner_.host];
  former.address = resigned_owner_.address;
  former.last_report_at = context_.now;
  resigned_owner_ = {};
}

void FleetManager::StopPlanning() {
  planner_.reset();
  quotas_.StopPlanning();
  performance_.StopPlanning();
  limits_.StopPlanning();
  peers_.clear();
}

bool FleetManager::IsHandingOver() const {
  const bool may_give_up = context_.settings.policies.Has(Policy::kHandOver);
  if (!may_give_up || !lease_.IsUnconfirmed()) return false;
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
    return item.second.can_read_store &&
           context_.now - item.second.last_report_at <= kMaxReaderSilence;
  });
}

bool FleetManager::IsCutOffAlone() const {
  const bool is_cut_off = reach_.IsCutOffFromEngines() &&
                          context_.now - reach_.CutOffSince() >= kMinCutOff;
  if (!is_cut_off) return false;
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
    const FleetPeer& peer = item.second;
    // A host that only has not tried yet would be cut off as well.
    const bool reaches_engines = peer.reached_engines_at > reach_.CutOffSince();
    return peer.can_read_store && reaches_engines &&
           context_.now - peer.last_report_at <= kMaxReaderSilence;
  });
}

// An owner without links to servers can place nothing, and would announce all
// engines as unresponsive. After the announcement the next owner orders at
// once, so it waits for orders under way if engines do not check fencing
// tokens.
void FleetManager::HandOverCutOff() {
  if (!IsCutOffAlone()) {
    cut_off_at_ = {};
    return;
  }
  if (cut_off_at_ == TimePoint{}) cut_off_at_ = context_.now;
  // Engines that check fencing tokens refuse its late orders.
  const bool may_announce =
      planner_->IsIdle() || context_.settings.engines_check_fences;
  if (!may_announce && context_.now - cut_off_at_ < kMaxOrderWait) return;
  LogEvent(LogLevel::kWarning, "owner_cut_off")
      .With("token", lease_.token())
      .With("announced", may_announce ? "yes" : "no");
  if (may_announce) AnnounceResignation();
  lease_.Resign();
  StopPlanning();
  cut_off_at_ = {};
}

// Gives up the lease when this host drains or can no longer confirm it, once no
// order is pending.
void FleetManager::HandOver() {
  if (planner_ && !context_.is_draining) HandOverCutOff();
  if (!planner_ || !planner_->IsIdle()) return;
  if (context_.is_draining) {
    AnnounceResignation();
    lease_.Release();
    StopPlanning();
    return;
  }
  // An owner partitioned only from the store may send no orders, but its
  // heartbeats keep others from claiming: no model was loaded while the
  // partition lasted (8 s). The announcement spares the next owner the order
  // lease.
  if (!IsHandingOver()) return;
  AnnounceResignation();
  lease_.Resign();
  StopPlanning();
}

// Without this message, other hosts would detect a released lease only after
// 1.3 s without heartbeats, which delays loads at each restart of the owner.
void FleetManager::AnnounceResignation() {
  const Json body{{"k", lease_.token()},
                  {"x", true},
                  {"p", context_.settings.peer_address}};
  for (const auto& [host, peer] : peers_) {
    context_.Emit(
        SendPeer{host, peer.address, {PeerMessageType::kFleetPlan, body}});
  }
}

// ---- Planning and messages ----

void FleetManager::RecordArrival(const std::string& target, double worth) {
  auto& [count, sum] = arrivals_[target];
  ++count;
  sum += worth;
}

void FleetManager::SetDemand(const std::string& queue, const Demand& demand) {
  demands_[queue] = demand;
}

HostReport FleetManager::MakeReport() {
  HostReport report;
  report.host = context_.settings.self.host;
  for (const auto& [queue, demand] : demands_) {
    if (demand.version) {
      report.versioned.push_back({queue, demand.target, *demand.version,
                                  demand.waiting, demand.worth});
    } else {
      report.waiting.push_back(
          {demand.target, demand.waiting, demand.worth, demand.slack});
    }
  }
  for (const auto& [target, arrivals] : arrivals_) {
    report.arrivals.push_back({target, arrivals.first, arrivals.second});
  }
  for (const EngineView::Running& row : context_.view.RunningRequests()) {
    report.running.push_back({row.engine, row.target, row.count});
  }
  AddUnserved(report);
  arrivals_.clear();
  reported_at_ = context_.now;
  reported_targets_.clear();
  for (const auto& [target, demand] : demands_) {
    reported_targets_.insert(target);
  }
  return report;
}

// Tells a new owner what callers ask for in vain: the record of the owner
// before is lost with it.
void FleetManager::AddUnserved(HostReport& report) {
  const FencingToken owner = lease_.NewestOwner().token;
  if (owner != unserved_reported_to_) {
    unserved_reported_to_ = owner;
    unserved_report_until_ = context_.now + kUnservedReportTime;
  }
  if (unserved_ == nullptr || context_.now > unserved_report_until_) return;
  for (const UnservedDemand::Wait& wait : unserved_->InOrder()) {
    if (report.unserved.size() >= kMaxUnservedRows) return;
    if (context_.view.ReadyReplicas(wait.name) > 0) continue;
    report.unserved.push_back({wait.name, context_.now - wait.since,
                               context_.now - wait.asked_at, wait.requests,
                               wait.worth});
  }
}

bool FleetManager::HasNewDemand() const {
  return std::any_of(demands_.begin(), demands_.end(),
                     [this](const auto& item) {
                       return !reported_targets_.contains(item.first);
                     });
}

void FleetManager::ReportToOwner() {
  const PeerAddress owner = lease_.Owner();
  if (owner.host.empty()) return;
  const bool has_updates = HasNewDemand() || quarantine_.HasNewRows() ||
                           limits_.HasNewRows() || reach_.HasNewRows();
  const Duration interval = has_updates ? kUrgentInterval : kHeartbeatInterval;
  if (context_.now - reported_at_ < interval) return;
  Json body = MakeReport().ToJson();
  body["p"] = context_.settings.peer_address;
  body["d"] = context_.settings.data_centre;
  body["c"] = context_.settings.cpu_share;
  const double link = context_.settings.link_mbps;
  if (link > 0 && link < kWideLinkMbps) body["b"] = link;
  body["s"] = CanReadStore();
  Json ends = quarantine_.BuildReportRows(lease_.NewestOwner().token);
  if (!ends.is_null()) body[kEndRows] = std::move(ends);
  Json usage = quotas_.ReportRows();
  if (!usage.empty()) body[kQuotaRows] = std::move(usage);
  Json performance = performance_.TakeReportRows();
  if (!performance.empty()) body[kPerformanceRows] = std::move(performance);
  Json limits = limits_.ReportRows(lease_.NewestOwner().token, servers_);
  if (!limits.empty()) body[kLimitRows] = std::move(limits);
  Json brittle =
      limits_.BrittleReportRows(lease_.NewestOwner().token, servers_);
  if (!brittle.empty()) body[kBrittleRows] = std::move(brittle);
  reach_.AddReportRows(body);
  streams_.AddReportRows(body);
  if (has_update_gap_) body["m"] = Json::array({update_token_, known_update_});
  context_.Emit(SendPeer{owner.host,
                         owner.address,
                         {PeerMessageType::kFleetReport, std::move(body)}});
}

void FleetManager::HandleHostReport(const std::string& host, const Json& body) {
  if (!planner_) return;
  FleetPeer& peer = peers_[host];
  peer.address = FieldOr<std::string>(body, "p", "");
  peer.last_report_at = context_.now;
  peer.data_centre = FieldOr<std::string>(body, "d", "");
  peer.cpu_share = FieldOr<double>(body, "c", 0.0);
  peer.link_mbps = FieldOr<double>(body, "b", 0.0);
  peer.can_read_store = FieldOr<bool>(body, "s", false);
  const Json missed = body.value("m", Json::array());
  if (missed.is_array() && missed.size() == 2 && missed[0] == lease_.token() &&
      missed[1].is_number_unsigned()) {
    peer.sent_change = std::min(peer.sent_change, missed[1].get<uint64_t>());
    peer.is_urgent = true;
  }
  if (body.contains(kEndRows)) {
    quarantine_.HandleReport(host, body[kEndRows]);
    peer.is_urgent = true;  // The host retransmits the rows until acknowledged.
  }
  if (body.contains(kQuotaRows)) {
    quotas_.HandleReport(host, peer.data_centre, body[kQuotaRows]);
  }
  if (body.contains(kPerformanceRows)) {
    performance_.HandleReport(body[kPerformanceRows], servers_);
  }
  reach_.HandleReport(body, peer);
  StreamManager::HandleReport(body, peer);
  limits_.RecordHostContact(host);
  if (body.contains(kLimitRows)) {
    limits_.HandleReport(host, body[kLimitRows], servers_);
  }
  if (body.contains(kBrittleRows)) {
    limits_.HandleBrittleReport(body[kBrittleRows], servers_);
  }
  const HostReport report = HostReport::FromJson(host, body);
  bool is_new = false;
  std::set<std::string> waiting;
  for (const HostReport::Waiting& row : report.waiting) {
    is_new = is_new || !peer.waiting.contains(row.target);
    waiting.insert(row.target);
  }
  for (const HostReport::Versioned& row : report.versioned) {
    is_new = is_new || !peer.waiting.contains(row.name);
    waiting.insert(row.name);
  }
  peer.waiting = std::move(waiting);
  peer.is_urgent = peer.is_urgent || is_new;
  planner_->HandleReport(report, context_.now);
  if (is_new && context_.now - planned_at_ >= kUrgentInterval) {
    planned_at_ = context_.now;
    Plan();
  }
}

void FleetManager::Plan() {
  std::vector<OrderToSend> orders;
  planner_->SetLimits(limits_.Limits());
  planner_->SetSpeeds(performance_.Speeds());
  planner_->Decide(lease_.MayOrder() && !IsHandingOver(), context_.now, orders);
  for (OrderToSend& order : orders) {
    order.order.arrive_by = lease_.OrderArrivalDeadline();
    std::string service = servers_[order.engine].service;
    context_.Emit(SendOrder{std::move(order.engine), std::move(order.address),
                            std::move(order.order), std::move(service)});
  }
  LogNotes();
  quarantine_.NumberRows(last_update_);
  limits_.NumberRows(last_update_);
  for (const auto& [id, server] : servers_) {
    const uint64_t version = planner_->StateVersion(id);
    PlannedState& planned = planned_states_[id];
    if (version == 0 || planned.version == version) continue;
    planned.version = version;
    std::vector<std::string> ready = planner_->ReadyTargetsOf(id);
    std::vector<std::string>& announced = announced_[id];
    const bool is_announced = planned.update != 0 && announced == ready;
    // Sent again if hosts report: one may still wait for a target that is
    // ready.
    if (!is_announced || !peers_.empty()) planned.update = ++last_update_;
    if (is_announced) {
      UpdateView(id);
      continue;
    }
    for (const std::string& name : ready) {
      if (std::find(announced.begin(), announced.end(), name) !=
          announced.end()) {
        continue;
      }
      for (auto& [host, peer] : peers_) {
        if (peer.waiting.contains(name)) peer.is_urgent = true;
      }
    }
    announced = std::move(ready);
    UpdateView(id);
  }
}

void FleetManager::LogNotes() {
  for (const PlacementEvent& note : planner_->TakeEvents()) {
    context_.metrics.Count(
        absl::StrCat("placement_total{event=\"", note.event, "\"}"));
    if (note.event == "load_ready") context_.metrics.Observe("load", note.took);
    LogEvent(LogLevel::kInfo, note.event)
        .With("engine", note.engine)
        .With("target", note.target)
        .With("token", lease_.token())
        .With("reason", note.reason)
        .With("took_ms", ToMillis(note.took));
  }
}

void FleetManager::SendPlans() {
  if (context_.now - loads_at_ >= kLoadSumInterval) {
    ApplyLoads(SumLoads());
    performance_.RunOwner(servers_);
    Json helpers = Json::object();
    reach_.AddPlanRows(context_.settings.data_centre, peers_, helpers);
    reach_.HandlePlan(helpers);
    // The store may reject the owner's calls alone.
    backup_reader_ = ChooseBackups(context_.settings.data_centre).first;
  }
  std::erase_if(peers_, [this](const auto& item) {
    return context_.now - item.second.last_report_at > kPeerTtl;
  });
  context_.entry_host_count = static_cast<int>(peers_.size()) + 1;
  streams_.SelectRegistrars(peers_);
  for (auto& [host, peer] : peers_) {
    const bool is_urgent = peer.is_urgent || !peer.has_plan;
    if (!is_urgent && peer.waiting.empty()) continue;
    const Duration interval = is_urgent ? kUrgentInterval : kBatchInterval;
    if (context_.now - peer.sent_at >= interval) SendPlan(host, peer);
  }
  SendSharedPlans();
}

// Encodes the shared plan once per data centre: it differs between hosts only
// in the answers to their demands. One plan per host meant 1,200 plans a second
// for 295 hosts, each with the loads of all engines, and orders left seconds
// late. Data centres take turns, so that no tick sends to all hosts.
void FleetManager::SendSharedPlans() {
  std::set<std::string> centres;
  for (const auto& [host, peer] : peers_) centres.insert(peer.data_centre);
  std::erase_if(shared_plans_, [&](const auto& item) {
    return !centres.contains(item.first);
  });
  size_t turns = 1 + centres.size() / kCentresPerTick;
  auto next = centres.upper_bound(last_shared_centre_);
  for (size_t i = 0; i < centres.size() && turns > 0; ++i) {
    if (next == centres.end()) next = centres.begin();
    const std::string& centre = *next++;
    SharedPlanState& state = shared_plans_[centre];
    const bool has_updates =
        state.update < last_update_ || quotas_.IsThrottling();
    const Duration interval = has_updates ? kBatchInterval : kHeartbeatInterval;
    // Each request that is sent meanwhile may end another server.
    if (state.update < quarantine_.urgent_update()) {
      SendUrgentPlan(centre, state);
      --turns;
      continue;
    }
    if (context_.now - state.sent_at < interval) continue;
    SendSharedPlan(centre, state);
    last_shared_centre_ = centre;
    --turns;
  }
}

// Sends the updates alone, ahead of the next shared plan.
void FleetManager::SendUrgentPlan(const std::string& data_centre,
                                  SharedPlanState& state) {
  SendPeers action = AddressPlan(data_centre);
  action.message.body = PlanBody(data_centre, state.update);
  state.update = last_update_;
  if (!action.peers.empty()) context_.Emit(std::move(action));
}

SendPeers FleetManager::AddressPlan(const std::string& data_centre) {
  SendPeers action;
  for (auto& [host, peer] : peers_) {
    if (peer.data_centre != data_centre || !peer.has_plan) continue;
    action.peers.push_back({host, peer.address});
    peer.sent_change = last_update_;
  }
  action.message.type = PeerMessageType::kFleetPlan;
  return action;
}

void FleetManager::SendSharedPlan(const std::string& data_centre,
                                  SharedPlanState& state) {
  SendPeers action = AddressPlan(data_centre);
  action.message.body = PlanBody(data_centre, state.update);
  action.message.body["l"] = LoadsToJson(loads_);
  Json performance = performance_.TakePlanRows(data_centre);
  if (!performance.empty()) {
    action.message.body[kPerformanceRows] = std::move(performance);
  }
  const auto [backup, second] = ChooseBackups(data_centre);
  action.message.body["b"] = Json::array({backup.host, backup.address});
  action.message.body["c"] = Json::array({second.host, second.address});
  reach_.AddPlanRows(data_centre, peers_, action.message.body);
  streams_.AddPlanRows(data_centre, /*is_first_plan=*/false,
                       action.message.body);
  state = {context_.now, last_update_};
  if (!action.peers.empty()) context_.Emit(std::move(action));
}

bool FleetManager::CanReadStore() const {
  return !context_.is_draining && !context_.log_failed &&
         context_.now - context_.freshness.OldestFreshness() <=
             context_.settings.freshness.max_staleness;
}

// Sums the load of each engine over all hosts: a host with a request or two
// there cannot see that all hosts together have sent several times its
// capacity.
EngineLoads FleetManager::SumLoads() const {
  EngineLoads busy;
  for (const auto& [id, server] : servers_) {
    const EngineLoad load{planner_->RunningRequestCount(id),
                          planner_->ArrivalRate(id, context_.now)};
    if (load.running >= kMinReportedLoad * server.slots ||
        load.arrivals >= kMinReportedArrivals * server.slots) {
      busy[id] = load;
    }
  }
  return busy;
}

void FleetManager::ApplyLoads(EngineLoads loads) {
  for (const auto& [id, load] : loads) {
    context_.view.SetLoad(id, load.running, load.arrivals);
  }
  for (const auto& [id, load] : loads_) {
    if (!loads.contains(id)) context_.view.SetLoad(id, 0, 0);
  }
  loads_ = std::move(loads);
  loads_at_ = context_.now;
}

int FleetManager::CountPeersIn(const std::string& data_centre) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return item.second.data_centre == data_centre;
      }));
}

// Returns the host that reads the store for `data_centre`: the owner for its
// own if that is small, as it reads anyway; else the best live host
// (ReaderSelector).
PeerAddress FleetManager::ChooseReader(const std::string& data_centre) {
  if (!context_.settings.policies.Has(Policy::kStoreRelay)) return {};
  const bool is_own = data_centre == context_.settings.data_centre;
  const bool is_settled = readers_.IsSettled(context_.now);
  if (is_own && is_settled && CanReadStore() &&
      IsWideLink(context_.settings.link_mbps) &&
      CountPeersIn(data_centre) <= kMaxOwnFollowers) {
    return {context_.settings.self.host, context_.settings.peer_address};
  }
  return readers_.SelectReader(data_centre, context_.now);
}

// Returns the hosts to follow where the reader of `data_centre` fails: one for
// the others, and one for this backup itself. The owner is the last choice, as
// it is the busiest of all.
std::pair<PeerAddress, PeerAddress> FleetManager::ChooseBackups(
    const std::string& data_centre) {
  const PeerAddress self{context_.settings.self.host,
                         context_.settings.peer_address};
  std::set<std::string> excluded{ChooseReader(data_centre).host};
  const auto choose = [&] {
    PeerAddress best =
        readers_.SelectBackup(data_centre, excluded, context_.now);
    if (best.host.empty() && CanReadStore()) best = self;
    excluded.insert(best.host);
    return best;
  };
  const PeerAddress first = choose();
  return {first, choose()};
}

Json FleetManager::PlanBody(const std::string& data_centre, uint64_t since) {
  Json body{{"k", lease_.token()},
            {"p", context_.settings.peer_address},
            {"e", Json::array()},
            {"w", Json::array()},
            {"n", context_.entry_host_count},
            {"f", since},
            {"u", last_update_}};
  // A new owner assigns no reader before it has reports from the fleet, unless
  // the candidate's link is wide. Without this field hosts keep their reader.
  const PeerAddress reader = ChooseReader(data_centre);
  if (readers_.IsSettled(context_.now) || readers_.HasWideLink(reader.host)) {
    body["r"] = Json::array({reader.host, reader.address});
  }
  for (const auto& [id, planned] : planned_states_) {
    if (planned.update <= since) continue;
    body["e"].push_back(Json::array({id, announced_[id]}));
  }
  Json quarantine = quarantine_.PlanRows(since);
  if (!quarantine.empty()) body["q"] = std::move(quarantine);
  Json quotas = quotas_.PlanRows(data_centre);
  if (!quotas.empty()) body[kQuotaRows] = std::move(quotas);
  Json limits = limits_.PlanRows(since, servers_);
  if (!limits.empty()) body[kLimitRows] = std::move(limits);
  Json brittle = limits_.BrittlePlanRows(since, servers_);
  if (!brittle.empty()) body[kBrittleRows] = std::move(brittle);
  return body;
}

void FleetManager::SendPlan(const std::string& host, FleetPeer& peer) {
  Json body = PlanBody(peer.data_centre, peer.sent_change);
  if (!peer.has_plan) body["l"] = LoadsToJson(loads_);
  if (!peer.has_plan || peer.needs_registrars) {
    streams_.AddPlanRows(peer.data_centre, /*is_first_plan=*/true, body);
    peer.needs_registrars = false;
  }
  peer.has_plan = true;
  peer.sent_at = context_.now;
  peer.is_urgent = false;
  peer.sent_change = last_update_;
  for (const std::string& target : peer.waiting) {
    const DemandAnswer answer = planner_->Answer(target, context_.now);
    body["w"].push_back(Json::array({target, static_cast<int>(answer.status),
                                     ToMillis(answer.expected),
                                     static_cast<int>(answer.deferral)}));
  }
  if (!peer.unreachable.empty()) {
    reach_.AddPlanRows(peer.data_centre, peers_, body);
  }
  Json ack = quarantine_.TakeAckFor(host);
  if (!ack.is_null()) body[kEndRows] = std::move(ack);
  context_.Emit(SendPeer{
      host, peer.address, {PeerMessageType::kFleetPlan, std::move(body)}});
}

std::vector<DemandAnswer> FleetManager::HandlePlan(const std::string& host,
                                                   const Json& body) {
  std::vector<DemandAnswer> answers;
  const FencingToken token = FieldOr<uint64_t>(body, "k", 0);
  if (planner_ || token < lease_.token()) return answers;
  if (FieldOr<bool>(body, "x", false)) {
    lease_.HandleResignation(token);
    resigned_owner_ = {host, FieldOr<std::string>(body, "p", "")};
    return answers;
  }
  lease_.RecordHeartbeat({host, FieldOr<std::string>(body, "p", "")}, token);
  if (body.contains("l")) ApplyLoads(LoadsFromJson(body["l"]));
  context_.entry_host_count = std::max(1, FieldOr<int>(body, "n", 1));
  ReadPeerAddress(body, "r", reader_);
  ReadPeerAddress(body, "b", backup_reader_);
  if (backup_reader_.host == context_.settings.self.host) {
    ReadPeerAddress(body, "c", backup_reader_);
  }
  ApplyUpdates(body, token);
  if (body.contains("q")) quarantine_.HandlePlan(body["q"]);
  if (body.contains(kEndRows)) quarantine_.TakeAck(token, body[kEndRows]);
  reach_.HandlePlan(body);
  streams_.HandlePlan(body);
  if (body.contains(kQuotaRows)) quotas_.HandlePlan(body[kQuotaRows]);
  if (body.contains(kPerformanceRows)) {
    performance_.HandlePlan(body[kPerformanceRows]);
  }
  if (body.contains(kLimitRows)) {
    limits_.HandlePlan(body[kLimitRows], token, servers_);
  }
  if (body.contains(kBrittleRows)) {
    limits_.HandleBrittlePlan(body[kBrittleRows], token, servers_);
  }
  for (const Json& row : body.value("w", Json::array())) {
    // Hosts of an earlier version send rows without a reason.
    if (!row.is_array() || row.size() < 3 || !row[0].is_string() ||
        !row[1].is_number() || !row[2].is_number()) {
      continue;
    }
    const int status = row[1].get<int>();
    if (status < 0 || status > static_cast<int>(DemandStatus::kUnknown)) {
      continue;
    }
    const int reason =
        row.size() > 3 && row[3].is_number_integer() ? row[3].get<int>() : 0;
    const int deferral =
        std::clamp(reason, 0, static_cast<int>(Deferral::kEngineBusy));
    answers.push_back(
        {row[0].get<std::string>(), "", static_cast<DemandStatus>(status),
         milliseconds(row[2].get<int64_t>()), static_cast<Deferral>(deferral)});
  }
  return answers;
}

// Detects lost plans (the link was reset or a queue was full). Their updates on
// an engine would otherwise be missing here until the engine changes again.
// Each plan names the update that it starts after; the next report tells the
// owner about a gap, and the owner sends the missing updates again.
void FleetManager::ApplyUpdates(const Json& body, FencingToken token) {
  if (token != update_token_) {
    update_token_ = token;
    known_update_ = 0;
  }
  const auto from = FieldOr<uint64_t>(body, "f", 0);
  has_update_gap_ = from > known_update_;
  if (!has_update_gap_) {
    known_update_ = std::max(known_update_, FieldOr<uint64_t>(body, "u", 0));
  }
  for (const Json& row : body.value("e", Json::array())) {
    if (!row.is_array() || row.size() != 2 || !row[0].is_string() ||
        !row[1].is_array()) {
      continue;
    }
    std::vector<std::string> ready;
    for (const Json& name : row[1]) {
      if (name.is_string()) ready.push_back(name.get<std::string>());
    }
    const std::string id = row[0].get<std::string>();
    announced_[id] = std::move(ready);
    UpdateView(id);
  }
}

std::vector<DemandAnswer> FleetManager::RunTick() {
  std::vector<DemandAnswer> answers;
  lease_.DetectPause();
  RemoveDeparted();
  HandOver();
  const bool is_cut_off =
      reach_.IsCutOffFromEngines() &&
      (lease_.HadContactWithin(kCutOffClaimDelay) ||
       context_.now - reach_.CutOffSince() < kCutOffClaimDelay);
  const bool can_place = !servers_.empty() && !is_cut_off;
  lease_.ReadOrClaim(can_place);
  quarantine_.RunTick(planner_ != nullptr, lease_.HadContactWithin(kPlanTtl));
  quotas_.RunTick(reader_);
  limits_.RunTick(lease_.Owner(), lease_.NewestOwner().token,
                  lease_.HadContactWithin(kOwnerContactTtl));
  if (planner_) {
    streams_.RunOwner();
    const bool has_updates = HasNewDemand();
    if (has_updates || context_.now - reported_at_ >= kHeartbeatInterval) {
      planner_->HandleReport(MakeReport(), context_.now);
    }
    // Without links to servers nothing can be placed, and engines only seem
    // unresponsive.
    const bool is_due =
        has_updates || context_.now - planned_at_ >= kPlanInterval;
    if (is_due && !reach_.IsCutOffFromEngines()) {
      planned_at_ = context_.now;
      Plan();
    }
    for (const auto& [target, demand] : demands_) {
      answers.push_back(planner_->Answer(target, context_.now));
    }
    SendPlans();
  } else {
    ReportToOwner();
    // Without contact to the owner, stale loads would keep causing refusals.
    if (context_.now - loads_at_ > kPlanTtl) ApplyLoads({});
    performance_.RunFollower();
  }
  demands_.clear();
  return answers;
}

Json FleetManager::ToJson() const {
  Json json = lease_.ToJson();
  json["servers"] = Json::object();
  json["departing"] = departing_.size();
  json["listing_partial"] = is_listing_partial_;
  for (const auto& [id, server] : servers_) {
    json["servers"][id] = Json{{"service", server.service},
                               {"address", server.address},
                               {"data_centre", server.data_centre},
                               {"leaving", server.is_leaving}};
  }
  if (planner_) json["planner"] = planner_->ToJson(context_.now);
  return json;
}

}  // namespace applehall

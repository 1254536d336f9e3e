#include "node/fleet_keeper.h"

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
constexpr Duration kBeatInterval = milliseconds(500);
// Changes that no request of a host waits for are batched for this long: with
// 72 hosts and tens of changes per second, sending each at once took more of
// the owner's processor time than planning.
constexpr Duration kPlanSpread = milliseconds(250);
// Urgent updates do not wait for the next heartbeat; they are batched for this
// long.
constexpr Duration kNewsInterval = milliseconds(15);
// A plan older than this no longer takes precedence over the listing.
constexpr Duration kPlanLife = seconds(3);
constexpr Duration kPeerLife = seconds(5);
// One more plan is sent per tick of 25 ms for each such number of data centres,
// so that all are reached within the batch interval.
constexpr size_t kCentresATick = 8;
// Engines with fewer requests per slot than this, and fewer arrivals per slot
// and second, are reported as idle; a request occupies a slot for 1 to 4 s.
constexpr double kToldLoad = 0.5;
constexpr double kToldArrivals = 0.2;
// Minimum time between sums of the loads. Reports of 72 hosts arrive every
// 7 ms; summing more often changes little.
constexpr Duration kLoadInterval = milliseconds(100);
// The owner of many hosts is the busiest of all. When it also read the store
// for the 45 hosts of its own data centre, a burst of planning delayed their
// updates by 5 s, and draining engines still received work after 4.2 s.
constexpr int kMostOwnFollowers = 8;
constexpr Duration kPlanInterval = milliseconds(25);
// Key of the teams' quotas in reports and plans.
constexpr char kQuotaRows[] = "quotas";
// Key of the limits of servers that limit themselves.
constexpr char kLimitRows[] = "limits";
// Reports: servers that ended. Plans: the last such row the owner has received.
constexpr char kServerEnds[] = "ends";
// Time after an outage of the store within which live servers, whose listings
// lapsed during it, are listed again.
constexpr Duration kRelisting = milliseconds(2200);

// Leaves `address` unchanged if the body has no valid address under `key`.
void ReadPeerAddress(const Json& body, const char* key, PeerAddress& address) {
  const Json told = body.value(key, Json::array());
  const bool is_address = told.is_array() && told.size() == 2 &&
                          told[0].is_string() && told[1].is_string();
  if (!is_address) return;
  address = {told[0].get<std::string>(), told[1].get<std::string>()};
}

}  // namespace

bool FleetKeeper::OffersService(const std::string& service) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
    return item.second.service == service;
  });
}

// ---- Listing ----

void FleetKeeper::TakeServers(const ServersListed& event) {
  if (servers_.empty() && !event.listed.empty()) lease_.NoteListed();
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
    if (servers_.contains(id)) Forget(id);
  }
  for (const ListedServer& server : event.listed) {
    if (!IsLaterLife(server)) continue;
    const bool is_new = !servers_.contains(server.id);
    const bool was_leaving = !is_new && servers_[server.id].is_leaving;
    servers_[server.id] = server;
    departing_.erase(server.id);
    if (is_new || was_leaving != server.is_leaving) {
      LogEvent(LogLevel::kInfo, "server_listed")
          .With("server", server.id)
          .With("service", server.service)
          .With("address", server.address)
          .With("data_centre", server.data_centre)
          .With("leaving", server.is_leaving ? "yes" : "no")
          .With("models", server.models.size());
    }
    if (!lease_.HeardWithin(kPlanLife) && !planner_) {
      announced_.erase(server.id);
    }
    Apply(server.id);
  }
  // While the store is unavailable, listings of live servers lapse too, and are
  // renewed soon after it. Removing the servers would refuse requests
  // needlessly until then.
  const bool was_away =
      context_.IsLogDown() || context_.now - context_.log_back_at < kRelisting;
  for (const std::string& id : gone) {
    if (!servers_.contains(id)) continue;
    if (was_away) {
      departing_.insert(id);
    } else {
      Forget(id);
    }
  }
  if (planner_) planner_->SetServers(servers_, context_.now);
}

// A server that restarted under its id holds no models and runs no requests.
// Its previous state is removed first, or the request counts, failures and
// models of its earlier incarnation would be taken for those of the new one.
bool FleetKeeper::IsLaterLife(const ListedServer& server) {
  const auto known = servers_.find(server.id);
  if (known == servers_.end()) return true;
  const TimePoint before = known->second.started_at;
  if (StartedAfter(before, server.started_at)) return false;
  if (!StartedAfter(server.started_at, before)) return true;
  LogEvent(LogLevel::kInfo, "server_restarted")
      .With("server", server.id)
      .With("after_ms", ToMillis(server.started_at - before));
  Forget(server.id);
  return true;
}

void FleetKeeper::DropDeparted() {
  // The grace period starts when the store is available again, not when a
  // listing lapses: a server that leaves within two seconds after an outage
  // must be removed as fast as at any other time.
  if (departing_.empty() || context_.IsLogDown() ||
      context_.now - context_.log_back_at < kRelisting) {
    return;
  }
  const std::set<std::string> due = std::move(departing_);
  departing_.clear();
  for (const std::string& id : due) Forget(id);
  if (planner_) planner_->SetServers(servers_, context_.now);
}

void FleetKeeper::Forget(const std::string& id) {
  servers_.erase(id);
  departing_.erase(id);
  announced_.erase(id);
  applied_.erase(id);
  context_.view.Forget(id);
  limits_.Forget(id);
  LogEvent(LogLevel::kInfo, "server_gone").With("server", id);
}

void FleetKeeper::Apply(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const ListedServer& server = it->second;
  EngineDigest digest;
  digest.engine = id;
  digest.address = server.address;
  digest.data_centre = server.data_centre;
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
}

void FleetKeeper::CatalogueChanged() {
  if (!planner_) return;
  planner_->SetCatalogue(&context_.catalogue, &context_.engine_classes);
}

void FleetKeeper::TakeInventory(const Inventory& inventory,
                                TimePoint asked_at) {
  if (planner_) planner_->TakeInventory(inventory, asked_at, context_.now);
}

void FleetKeeper::TakeOrderResult(const OrderAnswered& event) {
  if (!planner_) return;
  planner_->TakeOrderResult(event.engine, event.order_id, event.result,
                            context_.now);
  if (planner_->is_superseded()) lease_.Doubt();
}

// ---- Lease ----

void FleetKeeper::TakeLease(const LeaseRead& event) {
  const PlacementLease::Change change = lease_.TakeRead(event);
  if (change == PlacementLease::Change::kNone) return;
  StopPlanning();
  if (change == PlacementLease::Change::kGained) StartPlanning();
}

void FleetKeeper::TakeAppendEnd(const LeaseAppendEnded&) {
  lease_.TakeAppendEnd();
}

void FleetKeeper::StartPlanning() {
  planner_ = std::make_unique<FleetPlanner>(
      context_.settings.self, lease_.token(), context_.settings.policies);
  planner_->SetCatalogue(&context_.catalogue, &context_.engine_classes);
  planner_->SetServers(servers_, context_.now);
  applied_.clear();
  told_.clear();
  quarantine_.RestartRows(last_news_);
  quotas_.StartPlanning();
  limits_.StartPlanning(last_news_);
  readers_.Restart(context_.now);
  reader_ = {};  // The owner reads the store itself.
  backup_reader_ = {};
  context_.metrics.Count("leases_taken_total");
  if (resigned_.host.empty()) return;
  // The former owner may be unable to read the lease; the first plan gives it
  // the address to report to.
  FleetPeer& before = peers_[resigned_.host];
  before.address = resigned_.address;
  before.heard_at = context_.now;
  resigned_ = {};
}

void FleetKeeper::StopPlanning() {
  planner_.reset();
  quotas_.StopPlanning();
  limits_.StopPlanning();
  peers_.clear();
}

bool FleetKeeper::IsHandingOver() const {
  const bool may_give_up = context_.settings.policies.Has(Policy::kHandOver);
  if (!may_give_up || !lease_.IsUnproven()) return false;
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
    return item.second.can_read_store &&
           context_.now - item.second.heard_at <= kReaderSilence;
  });
}

// Gives up the lease when this host drains or can no longer confirm it, once no
// order is pending.
void FleetKeeper::HandOver() {
  if (!planner_ || !planner_->IsQuiet()) return;
  if (context_.is_draining) {
    SayResigned();
    lease_.Release();
    StopPlanning();
    return;
  }
  // An owner that is partitioned only from the store may send no orders, but
  // its heartbeats keep others from claiming the lease: no model would be
  // loaded until the partition ends (8 s in one case). Announcing the
  // resignation also spares the next owner the wait for orders in flight.
  if (!IsHandingOver()) return;
  SayResigned();
  lease_.Resign();
  StopPlanning();
}

// Without this message other hosts would detect a released lease only after
// missing heartbeats for 1.3 s, and each planned restart of the owner would
// delay loads for that long.
void FleetKeeper::SayResigned() {
  const Json body{{"k", lease_.token()},
                  {"x", true},
                  {"p", context_.settings.peer_address}};
  for (const auto& [host, peer] : peers_) {
    context_.Emit(
        SendPeer{host, peer.address, {PeerMessageType::kFleetPlan, body}});
  }
}

// ---- Planning and messages ----

void FleetKeeper::RecordArrival(const std::string& target, double worth) {
  auto& [count, sum] = arrivals_[target];
  ++count;
  sum += worth;
}

void FleetKeeper::SetWaiting(const Demand& demand) {
  waiting_[demand.target] = demand;
}

HostReport FleetKeeper::MakeReport() {
  HostReport report;
  report.host = context_.settings.self.host;
  for (const auto& [target, demand] : waiting_) {
    report.waiting.push_back(
        {target, demand.waiting, demand.worth, demand.slack});
  }
  for (const auto& [target, arrivals] : arrivals_) {
    report.arrivals.push_back({target, arrivals.first, arrivals.second});
  }
  for (const EngineView::Running& row : context_.view.RunningRequests()) {
    report.running.push_back({row.engine, row.target, row.count});
  }
  arrivals_.clear();
  reported_at_ = context_.now;
  reported_waiting_.clear();
  for (const auto& [target, demand] : waiting_) {
    reported_waiting_.insert(target);
  }
  return report;
}

bool FleetKeeper::HasNewWaiting() const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [this](const auto& item) {
                       return !reported_waiting_.contains(item.first);
                     });
}

void FleetKeeper::ReportToOwner() {
  const PeerAddress owner = lease_.Owner();
  if (owner.host.empty()) return;
  const bool has_news =
      HasNewWaiting() || quarantine_.HasNewRows() || limits_.HasNewRows();
  const Duration interval = has_news ? kNewsInterval : kBeatInterval;
  if (context_.now - reported_at_ < interval) return;
  Json body = MakeReport().ToJson();
  body["p"] = context_.settings.peer_address;
  body["d"] = context_.settings.data_centre;
  body["c"] = context_.settings.cpu_share;
  const double link = context_.settings.link_mbps;
  if (link > 0 && link < kReaderLink) body["b"] = link;
  body["s"] = CanReadStore();
  Json ends = quarantine_.TakeReportRows(lease_.NewestOwner().token);
  if (!ends.is_null()) body[kServerEnds] = std::move(ends);
  Json usage = quotas_.ReportRows();
  if (!usage.empty()) body[kQuotaRows] = std::move(usage);
  Json limits = limits_.ReportRows(lease_.NewestOwner().token, servers_);
  if (!limits.empty()) body[kLimitRows] = std::move(limits);
  if (has_missed_news_) body["m"] = Json::array({news_token_, known_news_});
  context_.Emit(SendPeer{owner.host,
                         owner.address,
                         {PeerMessageType::kFleetReport, std::move(body)}});
}

void FleetKeeper::TakeHostReport(const std::string& host, const Json& body) {
  if (!planner_) return;
  FleetPeer& peer = peers_[host];
  peer.address = FieldOr<std::string>(body, "p", "");
  peer.heard_at = context_.now;
  peer.data_centre = FieldOr<std::string>(body, "d", "");
  peer.cpu_share = FieldOr<double>(body, "c", 0.0);
  peer.link_mbps = FieldOr<double>(body, "b", 0.0);
  peer.can_read_store = FieldOr<bool>(body, "s", false);
  const Json missed = body.value("m", Json::array());
  if (missed.is_array() && missed.size() == 2 && missed[0] == lease_.token() &&
      missed[1].is_number_unsigned()) {
    peer.sent_news = std::min(peer.sent_news, missed[1].get<uint64_t>());
    peer.is_urgent = true;
  }
  if (body.contains(kServerEnds)) {
    quarantine_.TakeReport(host, body[kServerEnds]);
    peer.is_urgent = true;  // The host retransmits the rows until acknowledged.
  }
  if (body.contains(kQuotaRows)) {
    quotas_.TakeReport(host, peer.data_centre, body[kQuotaRows]);
  }
  limits_.NoteHost(host);
  if (body.contains(kLimitRows)) {
    limits_.TakeReport(host, body[kLimitRows], servers_);
  }
  const HostReport report = HostReport::FromJson(host, body);
  bool is_new = false;
  std::set<std::string> waiting;
  for (const HostReport::Waiting& row : report.waiting) {
    is_new = is_new || !peer.waiting.contains(row.target);
    waiting.insert(row.target);
  }
  peer.waiting = std::move(waiting);
  peer.is_urgent = peer.is_urgent || is_new;
  planner_->TakeReport(report, context_.now);
  if (is_new && context_.now - planned_at_ >= kNewsInterval) {
    planned_at_ = context_.now;
    Plan();
  }
}

void FleetKeeper::Plan() {
  std::vector<OrderToSend> orders;
  planner_->SetLimits(limits_.Limits());
  planner_->Decide(lease_.MayOrder() && !IsHandingOver(), context_.now, orders);
  for (OrderToSend& order : orders) {
    order.order.arrive_by = lease_.OrdersArriveBy();
    std::string service = servers_[order.engine].service;
    context_.Emit(SendOrder{std::move(order.engine), std::move(order.address),
                            std::move(order.order), std::move(service)});
  }
  LogNotes();
  quarantine_.NumberRows(last_news_);
  limits_.NumberRows(last_news_);
  for (const auto& [id, server] : servers_) {
    const uint64_t version = planner_->VersionOf(id);
    Applied& applied = applied_[id];
    if (version == 0 || applied.version == version) continue;
    applied.version = version;
    std::vector<std::string> ready = planner_->ReadyOn(id);
    std::vector<std::string>& announced = announced_[id];
    const bool is_told = applied.news != 0 && announced == ready;
    // Sent again if hosts report, as one may wait for a target that it should
    // already know to be ready.
    if (!is_told || !peers_.empty()) applied.news = ++last_news_;
    if (is_told) {
      Apply(id);
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
    Apply(id);
  }
}

void FleetKeeper::LogNotes() {
  for (const PlacementNote& note : planner_->TakeNotes()) {
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

void FleetKeeper::SendPlans() {
  if (context_.now - loads_at_ >= kLoadInterval) {
    TakeLoads(SumLoads());
  }
  std::erase_if(peers_, [this](const auto& item) {
    return context_.now - item.second.heard_at > kPeerLife;
  });
  context_.fleet_hosts = static_cast<int>(peers_.size()) + 1;
  for (auto& [host, peer] : peers_) {
    const bool is_urgent = peer.is_urgent || !peer.has_plan;
    if (!is_urgent && peer.waiting.empty()) continue;
    const Duration interval = is_urgent ? kNewsInterval : kPlanSpread;
    if (context_.now - peer.sent_at >= interval) SendPlan(host, peer);
  }
  SendSharedPlans();
}

// Encodes the shared plan once per data centre: it differs between hosts only
// in the answers to their demands. One plan per host meant 1,200 plans a second
// for 295 hosts, each with the loads of all engines, and orders left seconds
// late. Data centres take turns, so that no tick sends to all hosts.
void FleetKeeper::SendSharedPlans() {
  std::set<std::string> centres;
  for (const auto& [host, peer] : peers_) centres.insert(peer.data_centre);
  std::erase_if(
      told_, [&](const auto& item) { return !centres.contains(item.first); });
  size_t turns = 1 + centres.size() / kCentresATick;
  auto next = centres.upper_bound(last_told_);
  for (size_t i = 0; i < centres.size() && turns > 0; ++i) {
    if (next == centres.end()) next = centres.begin();
    const std::string& centre = *next++;
    SharedPlanState& told = told_[centre];
    const bool has_news = told.news < last_news_ || quotas_.IsThrottling();
    const Duration interval = has_news ? kPlanSpread : kBeatInterval;
    if (context_.now - told.at < interval) continue;
    SendSharedPlan(centre, told);
    last_told_ = centre;
    --turns;
  }
}

void FleetKeeper::SendSharedPlan(const std::string& data_centre,
                                 SharedPlanState& told) {
  SendPeers action;
  for (auto& [host, peer] : peers_) {
    if (peer.data_centre != data_centre || !peer.has_plan) continue;
    action.peers.push_back({host, peer.address});
    peer.sent_news = last_news_;
  }
  action.message.type = PeerMessageType::kFleetPlan;
  action.message.body = PlanBody(data_centre, told.news);
  action.message.body["l"] = LoadsToJson(loads_);
  const PeerAddress backup =
      readers_.Backup(data_centre, ReaderOf(data_centre).host, context_.now);
  action.message.body["b"] = Json::array({backup.host, backup.address});
  told = {context_.now, last_news_};
  if (!action.peers.empty()) context_.Emit(std::move(action));
}

bool FleetKeeper::CanReadStore() const {
  return !context_.is_draining && !context_.log_failed &&
         context_.now - context_.news.AsOf() <= context_.settings.news.trust;
}

// Sums the load of each engine over all hosts. A host with a request or two at
// an engine cannot see that all hosts together have sent several times what the
// engine can run.
EngineLoads FleetKeeper::SumLoads() const {
  EngineLoads busy;
  for (const auto& [id, server] : servers_) {
    const EngineLoad load{planner_->RequestsAt(id),
                          planner_->ArrivalsAt(id, context_.now)};
    if (load.running >= kToldLoad * server.slots ||
        load.arrivals >= kToldArrivals * server.slots) {
      busy[id] = load;
    }
  }
  return busy;
}

void FleetKeeper::TakeLoads(EngineLoads loads) {
  for (const auto& [id, load] : loads) {
    context_.view.SetLoad(id, load.running, load.arrivals);
  }
  for (const auto& [id, load] : loads_) {
    if (!loads.contains(id)) context_.view.SetLoad(id, 0, 0);
  }
  loads_ = std::move(loads);
  loads_at_ = context_.now;
}

int FleetKeeper::PeersIn(const std::string& data_centre) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
        return item.second.data_centre == data_centre;
      }));
}

// Returns the host that reads the store for `data_centre`: the owner for its
// own data centre if that is small, as it reads for itself anyway; otherwise
// the live host with the largest processor share.
PeerAddress FleetKeeper::ReaderOf(const std::string& data_centre) {
  if (!context_.settings.policies.Has(Policy::kStoreRelay)) return {};
  const bool is_own = data_centre == context_.settings.data_centre;
  const bool is_settled = readers_.IsSettled(context_.now);
  if (is_own && is_settled && CanReadStore() &&
      IsWideLink(context_.settings.link_mbps) &&
      PeersIn(data_centre) <= kMostOwnFollowers) {
    return {context_.settings.self.host, context_.settings.peer_address};
  }
  return readers_.Reader(data_centre, context_.now);
}

Json FleetKeeper::PlanBody(const std::string& data_centre, uint64_t since) {
  Json body{{"k", lease_.token()},
            {"p", context_.settings.peer_address},
            {"e", Json::array()},
            {"w", Json::array()},
            {"n", context_.fleet_hosts},
            {"f", since},
            {"u", last_news_}};
  // A new owner assigns no reader before it has reports from the fleet, unless
  // the candidate's link is wide. Without this field hosts keep their reader.
  const PeerAddress reader = ReaderOf(data_centre);
  if (readers_.IsSettled(context_.now) || readers_.HasWideLink(reader.host)) {
    body["r"] = Json::array({reader.host, reader.address});
  }
  for (const auto& [id, applied] : applied_) {
    if (applied.news <= since) continue;
    body["e"].push_back(Json::array({id, announced_[id]}));
  }
  Json quarantine = quarantine_.PlanRows(since);
  if (!quarantine.empty()) body["q"] = std::move(quarantine);
  Json quotas = quotas_.PlanRows(data_centre);
  if (!quotas.empty()) body[kQuotaRows] = std::move(quotas);
  Json limits = limits_.PlanRows(since, servers_);
  if (!limits.empty()) body[kLimitRows] = std::move(limits);
  return body;
}

void FleetKeeper::SendPlan(const std::string& host, FleetPeer& peer) {
  Json body = PlanBody(peer.data_centre, peer.sent_news);
  if (!peer.has_plan) body["l"] = LoadsToJson(loads_);
  peer.has_plan = true;
  peer.sent_at = context_.now;
  peer.is_urgent = false;
  peer.sent_news = last_news_;
  for (const std::string& target : peer.waiting) {
    const DemandAnswer answer = planner_->Answer(target, context_.now);
    body["w"].push_back(Json::array({target, static_cast<int>(answer.status),
                                     ToMillis(answer.expected),
                                     static_cast<int>(answer.put_off)}));
  }
  Json ack = quarantine_.TakeAckFor(host);
  if (!ack.is_null()) body[kServerEnds] = std::move(ack);
  context_.Emit(SendPeer{
      host, peer.address, {PeerMessageType::kFleetPlan, std::move(body)}});
}

std::vector<DemandAnswer> FleetKeeper::TakePlan(const std::string& host,
                                                const Json& body) {
  std::vector<DemandAnswer> answers;
  const FencingToken token = FieldOr<uint64_t>(body, "k", 0);
  if (planner_ || token < lease_.token()) return answers;
  if (FieldOr<bool>(body, "x", false)) {
    lease_.TakeResignation(token);
    resigned_ = {host, FieldOr<std::string>(body, "p", "")};
    return answers;
  }
  lease_.NoteSignOfLife({host, FieldOr<std::string>(body, "p", "")}, token);
  if (body.contains("l")) TakeLoads(LoadsFromJson(body["l"]));
  context_.fleet_hosts = std::max(1, FieldOr<int>(body, "n", 1));
  ReadPeerAddress(body, "r", reader_);
  ReadPeerAddress(body, "b", backup_reader_);
  TakeNews(body, token);
  if (body.contains("q")) quarantine_.TakePlan(body["q"]);
  if (body.contains(kServerEnds)) quarantine_.TakeAck(token, body[kServerEnds]);
  if (body.contains(kQuotaRows)) quotas_.TakePlan(body[kQuotaRows]);
  if (body.contains(kLimitRows)) {
    limits_.TakePlan(body[kLimitRows], token, servers_);
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
    const int told =
        row.size() > 3 && row[3].is_number_integer() ? row[3].get<int>() : 0;
    const int put_off =
        std::clamp(told, 0, static_cast<int>(PutOff::kEngineBusy));
    answers.push_back(
        {row[0].get<std::string>(), "", static_cast<DemandStatus>(status),
         milliseconds(row[2].get<int64_t>()), static_cast<PutOff>(put_off)});
  }
  return answers;
}

// Detects lost plans (the link was reset or a queue was full). Their updates on
// an engine would otherwise be missing here until the engine changes again.
// Each plan names the update that it starts after; the next report tells the
// owner about a gap, and the owner sends the missing updates again.
void FleetKeeper::TakeNews(const Json& body, FencingToken token) {
  if (token != news_token_) {
    news_token_ = token;
    known_news_ = 0;
  }
  const auto from = FieldOr<uint64_t>(body, "f", 0);
  has_missed_news_ = from > known_news_;
  if (!has_missed_news_) {
    known_news_ = std::max(known_news_, FieldOr<uint64_t>(body, "u", 0));
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
    Apply(id);
  }
}

std::vector<DemandAnswer> FleetKeeper::RunTick() {
  std::vector<DemandAnswer> answers;
  lease_.WatchClock();
  DropDeparted();
  HandOver();
  lease_.Drive(/*can_place=*/!servers_.empty());
  quarantine_.RunTick(planner_ != nullptr, lease_.HeardWithin(kPlanLife));
  quotas_.RunTick(reader_);
  limits_.RunTick(lease_.Owner(), lease_.NewestOwner().token,
                  lease_.HeardWithin(kOwnerTrust));
  if (planner_) {
    const bool has_news = HasNewWaiting();
    if (has_news || context_.now - reported_at_ >= kBeatInterval) {
      planner_->TakeReport(MakeReport(), context_.now);
    }
    if (has_news || context_.now - planned_at_ >= kPlanInterval) {
      planned_at_ = context_.now;
      Plan();
    }
    for (const auto& [target, demand] : waiting_) {
      answers.push_back(planner_->Answer(target, context_.now));
    }
    SendPlans();
  } else {
    ReportToOwner();
    // Without contact to the owner, the host would keep refusing requests
    // because of stale loads.
    if (context_.now - loads_at_ > kPlanLife) TakeLoads({});
  }
  waiting_.clear();
  return answers;
}

Json FleetKeeper::ToJson() const {
  Json json = lease_.ToJson();
  json["servers"] = Json::object();
  json["departing"] = departing_.size();
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

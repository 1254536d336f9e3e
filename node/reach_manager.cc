#include "node/reach_manager.h"

#include <algorithm>
#include <vector>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Interval of link checks for a service whose connections fail.
constexpr Duration kCheckInterval = milliseconds(250);
// Servers checked at a time while a service is unreachable, or an end of a
// server is in doubt.
constexpr int kChecks = 2;
// Sound servers may be silent for about a second.
constexpr Duration kMaxSilence = milliseconds(1500);
// Keys of reports: the address for forwarded requests and the services that
// the host cannot reach.
constexpr char kAddressKey[] = "forward";
constexpr char kUnreachableKey[] = "unreachable";
// A plan that arrives this long after a helper failed names those that reach
// servers since: the owner learns of lost links within half a second.
constexpr Duration kHelperRetryTime = milliseconds(1000);
// Key of reports: milliseconds since the last new connection to an engine.
constexpr char kReachedKey[] = "reached_ms";
// Key of plans: the hosts that accept forwarded requests.
constexpr char kHelpersKey[] = "helpers";

}  // namespace

void ReachManager::HandleListing() {
  server_counts_.clear();
  engine_services_.clear();
  for (const auto& [id, server] : *servers_) {
    if (server.is_leaving) continue;
    ++server_counts_[server.service];
    if (server.is_engine) engine_services_.insert(server.service);
  }
  reach_.RetainServices(server_counts_);
}

int ReachManager::CountServers(const std::string& service) const {
  const auto it = server_counts_.find(service);
  return it == server_counts_.end() ? 0 : it->second;
}

std::set<std::string> ReachManager::UnreachableServices() const {
  std::set<std::string> services;
  for (const auto& [service, since] : reach_.unreachable()) {
    services.insert(service);
  }
  return services;
}

bool ReachManager::IsOutage(const std::string& service) const {
  return reach_.IsUnreachable(service) &&
         context_.now - reach_.FailingSince(service) > kMaxSilence;
}

bool ReachManager::IsCutOffFromEngines() const {
  if (!IsAnyUnreachable()) return false;
  return !engine_services_.empty() &&
         std::all_of(engine_services_.begin(), engine_services_.end(),
                     [this](const std::string& service) {
                       return reach_.IsUnreachable(service);
                     });
}

// Callers of an isolated host are served if the platform sends them to another
// data centre, which it does once no host here is ready.
bool ReachManager::IsIsolated() const {
  if (server_counts_.empty()) return false;
  const bool reaches_none = std::all_of(
      server_counts_.begin(), server_counts_.end(),
      [this](const auto& item) { return reach_.IsUnreachable(item.first); });
  return reaches_none && (helper_failed_at_ || !helpers_.HasAny());
}

void ReachManager::LogIsolation() {
  const bool is_isolated = IsIsolated();
  if (is_isolated == was_isolated_) return;
  was_isolated_ = is_isolated;
  context_.metrics.Set("host_isolated", is_isolated ? 1 : 0);
  LogEvent(LogLevel::kWarning, is_isolated ? "host_isolated" : "host_rejoined")
      .With("services", server_counts_.size())
      .With("has_helpers", helpers_.HasAny() ? "yes" : "no");
}

TimePoint ReachManager::EnginesReachedAt() const {
  TimePoint last{};
  for (const std::string& service : engine_services_) {
    last = std::max(last, reach_.ConnectedAt(service));
  }
  return last;
}

TimePoint ReachManager::CutOffSince() const {
  TimePoint since{};
  for (const auto& [service, lost_at] : reach_.unreachable()) {
    if (engine_services_.contains(service)) since = std::max(since, lost_at);
  }
  return since;
}

bool ReachManager::HasWorkingLinks(const std::string& server,
                                   TimePoint since) const {
  return OthersBeside(server).empty() ||
         reach_.ConnectedElsewhere(servers_->at(server).service, server, since);
}

std::vector<const ListedServer*> ReachManager::OthersBeside(
    const std::string& server) const {
  const auto own = servers_->find(server);
  if (own == servers_->end()) return {};
  std::vector<const ListedServer*> others;
  for (const auto& [id, listed] : *servers_) {
    if (id == server || listed.is_leaving) continue;
    if (listed.service == own->second.service) others.push_back(&listed);
  }
  return others;
}

// ---- Observations ----

void ReachManager::HandleConnection(const ServerConnection& event) {
  context_.metrics.Count(event.is_connected
                             ? "server_connections_total{result=\"made\"}"
                             : "server_connections_total{result=\"failed\"}");
  context_.metrics.Observe("server_connect", event.took);
  Record(event.server, event.is_connected, /*is_check=*/false);
}

void ReachManager::HandleLinkCheck(const ServerProbed& probed) {
  Record(probed.server, probed.state == ServerState::kListening,
         /*is_check=*/true);
}

void ReachManager::Record(const std::string& server, bool is_connected,
                          bool is_check) {
  const auto listed = servers_->find(server);
  if (listed == servers_->end()) return;
  const std::string service = listed->second.service;
  const TimePoint failing_since = reach_.FailingSince(service);
  const ServerReach::Change change =
      is_connected ? reach_.RecordConnected(service, server, context_.now)
                   : reach_.RecordFailed(service, server, is_check,
                                         CountServers(service), context_.now);
  const Duration lasted =
      failing_since == TimePoint{} ? Duration{0} : context_.now - failing_since;
  HandleChange(service, server, change, lasted);
}

void ReachManager::HandleChange(const std::string& service,
                                const std::string& server,
                                ServerReach::Change change, Duration lasted) {
  if (change == ServerReach::Change::kNone) return;
  const bool is_lost = change == ServerReach::Change::kLost;
  context_.metrics.Set("services_unreachable",
                       static_cast<double>(reach_.unreachable().size()));
  context_.metrics.Count(is_lost ? "service_reach_lost_total"
                                 : "service_reach_regained_total");
  LogEvent(is_lost ? LogLevel::kWarning : LogLevel::kInfo,
           is_lost ? "service_unreachable" : "service_reachable")
      .With("service", service)
      .With("server", server)
      .With("servers", CountServers(service))
      .With("failing_ms", ToMillis(lasted));
  if (is_lost) return;
  // The failures before were those of the links, not of the servers.
  for (const auto& [id, listed] : *servers_) {
    if (listed.service == service) context_.view.ForgetFailures(id);
  }
}

// ---- Link checks ----

void ReachManager::RunTick() {
  LogIsolation();
  if (!reach_.IsAnyFailing()) return;
  const bool is_any_unreachable = IsAnyUnreachable();
  for (const auto& [service, count] : server_counts_) {
    const bool is_unreachable = reach_.IsUnreachable(service);
    const bool is_in_doubt =
        !is_unreachable &&
        (is_any_unreachable || reach_.FailingSince(service) != TimePoint{});
    if (!is_unreachable && !is_in_doubt) continue;
    TimePoint& checked_at = checked_at_[service];
    if (context_.now - checked_at < kCheckInterval) continue;
    checked_at = context_.now;
    CheckLinks(service, is_unreachable ? kChecks : ServerReach::kChecksToLose);
  }
}

void ReachManager::CheckLinks(const std::string& service, int count) {
  std::vector<const ListedServer*> candidates;
  for (const auto& [id, server] : *servers_) {
    if (server.service == service && !server.is_leaving) {
      candidates.push_back(&server);
    }
  }
  SendChecks(std::move(candidates), count);
}

void ReachManager::CheckLinksBeside(const std::string& server) {
  SendChecks(OthersBeside(server), kChecks);
}

void ReachManager::SendChecks(std::vector<const ListedServer*> candidates,
                              int count) {
  for (; count > 0 && !candidates.empty(); --count) {
    const size_t chosen = helpers_.random().Below(candidates.size());
    context_.metrics.Count("link_checks_total");
    context_.Emit(ProbeServer{candidates[chosen]->id,
                              candidates[chosen]->address,
                              /*is_link_check=*/true});
    candidates.erase(candidates.begin() + static_cast<long>(chosen));
  }
}

// ---- Messages between hosts ----

std::string ReachManager::ForwardAddress() const {
  const bool accepts = context_.accepts_forwards && !context_.is_draining;
  return accepts ? context_.settings.forward_address : "";
}

bool ReachManager::HasNewRows() const {
  return reported_ != UnreachableServices() ||
         reported_address_ != ForwardAddress();
}

void ReachManager::AddReportRows(Json& body) {
  reported_ = UnreachableServices();
  reported_address_ = ForwardAddress();
  if (!reported_address_.empty()) body[kAddressKey] = reported_address_;
  if (!reported_.empty()) body[kUnreachableKey] = reported_;
  const TimePoint reached_at = EnginesReachedAt();
  if (reached_at != TimePoint{}) {
    body[kReachedKey] = ToMillis(context_.now - reached_at);
  }
}

void ReachManager::HandleReport(const Json& body, FleetPeer& peer) const {
  peer.forward_address = FieldOr<std::string>(body, kAddressKey, "");
  std::set<std::string> unreachable;
  for (const Json& service : body.value(kUnreachableKey, Json::array())) {
    if (service.is_string()) unreachable.insert(service.get<std::string>());
  }
  const auto reached_ms = FieldOr<int64_t>(body, kReachedKey, -1);
  if (reached_ms >= 0) {
    peer.reached_engines_at = context_.now - milliseconds(reached_ms);
  }
  const bool is_worse = unreachable.size() > peer.unreachable.size();
  peer.unreachable = std::move(unreachable);
  peer.is_urgent = peer.is_urgent || is_worse;
}

void ReachManager::AddPlanRows(const std::string& data_centre,
                               const FleetPeers& peers, Json& body) {
  const HelperHost self{{context_.settings.self.host, ForwardAddress()},
                        UnreachableServices()};
  Json rows = HelpersToJson(ListHelpers(data_centre, peers, self,
                                        context_.settings.data_centre,
                                        context_.now, helpers_.random()));
  if (!rows.empty()) body[kHelpersKey] = std::move(rows);
}

void ReachManager::HandlePlan(const Json& body) {
  if (!body.contains(kHelpersKey)) return;
  helpers_.HandleRows(body[kHelpersKey]);
  // No request would show that a helper is back: an isolated host gets none.
  const bool may_serve = std::any_of(
      server_counts_.begin(), server_counts_.end(),
      [this](const auto& item) { return helpers_.IsAnyReaching(item.first); });
  const bool is_old = helper_failed_at_ &&
                      context_.now - *helper_failed_at_ >= kHelperRetryTime;
  if (may_serve && is_old) helper_failed_at_.reset();
}

Json ReachManager::ToJson() const {
  return Json{{"services", reach_.ToJson(context_.now)},
              {"helpers", helpers_.ToJson()}};
}

}  // namespace applehall

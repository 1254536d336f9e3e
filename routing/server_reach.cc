#include "routing/server_reach.h"

#include <algorithm>

namespace applehall {
namespace {

// An older failure says nothing about the present.
constexpr Duration kFailureTtl = std::chrono::seconds(5);

}  // namespace

ServerReach::Change ServerReach::RecordConnected(const std::string& service,
                                                 const std::string& server,
                                                 TimePoint now) {
  ServiceState& state = services_[service];
  state.failed.clear();
  state.failed_checks.clear();
  state.failing_since = {};
  if (state.connected_server != server) {
    state.previous_server = std::exchange(state.connected_server, server);
    state.previous_at = state.connected_at;
  }
  state.connected_at = now;
  return unreachable_.erase(service) > 0 ? Change::kRegained : Change::kNone;
}

ServerReach::Change ServerReach::RecordFailed(const std::string& service,
                                              const std::string& server,
                                              bool is_check, int listed,
                                              TimePoint now) {
  ServiceState& state = services_[service];
  const auto is_old = [now](const auto& item) {
    return now - item.second > kFailureTtl;
  };
  std::erase_if(state.failed, is_old);
  std::erase_if(state.failed_checks, is_old);
  if (state.failed.empty()) state.failing_since = now;
  state.failed[server] = now;
  if (is_check) state.failed_checks[server] = now;
  const int needed = std::clamp(listed, 1, kChecksToLose);
  if (static_cast<int>(state.failed_checks.size()) < needed) {
    return Change::kNone;
  }
  const bool is_new = unreachable_.emplace(service, now).second;
  return is_new ? Change::kLost : Change::kNone;
}

bool ServerReach::IsUnreachable(const std::string& service) const {
  return unreachable_.contains(service);
}

bool ServerReach::IsAnyFailing() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& item) {
    return !item.second.failed.empty();
  });
}

TimePoint ServerReach::FailingSince(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? TimePoint{} : it->second.failing_since;
}

TimePoint ServerReach::ConnectedAt(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? TimePoint{} : it->second.connected_at;
}

bool ServerReach::ConnectedElsewhere(const std::string& service,
                                     const std::string& server,
                                     TimePoint since) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const ServiceState& state = it->second;
  const bool is_last = state.connected_server != server;
  return (is_last ? state.connected_at : state.previous_at) >= since;
}

Json ServerReach::ToJson(TimePoint now) const {
  Json json = Json::object();
  for (const auto& [service, state] : services_) {
    const auto lost = unreachable_.find(service);
    const bool is_reachable = lost == unreachable_.end();
    json[service] = Json{
        {"reachable", is_reachable},
        {"servers_failed", state.failed.size()},
        {"connected_ms_ago", state.connected_at == TimePoint{}
                                 ? -1
                                 : ToMillis(now - state.connected_at)},
        {"unreachable_ms", is_reachable ? 0 : ToMillis(now - lost->second)}};
  }
  return json;
}

}  // namespace applehall

// The part of FleetPlanner for requests that need servers of one software
// version, because their streams began there.

#include <algorithm>

#include "placement/fleet_planner.h"

namespace applehall {
namespace {

// Hosts report demand that persists at least twice as often.
constexpr Duration kVersionedTtl = std::chrono::milliseconds(1250);
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

}  // namespace

void FleetPlanner::RecordVersioned(const HostReport& report, TimePoint now) {
  for (auto& [name, demand] : versioned_) demand.hosts.erase(report.host);
  for (const HostReport::Versioned& row : report.versioned) {
    if (row.count <= 0) continue;
    VersionedDemand& demand = versioned_[row.name];
    demand.target = row.target;
    demand.version = row.version;
    demand.hosts[report.host] = {row.worth, now};
  }
  std::erase_if(versioned_,
                [](const auto& item) { return item.second.hosts.empty(); });
}

const FleetPlanner::Engine* FleetPlanner::FindAtVersion(
    const std::string& target, const std::string& version, State state) const {
  for (const std::string& id : Locate(target).holders) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end() || engine->second.listed.version != version ||
        engine->second.listed.is_leaving) {
      continue;
    }
    const auto holding = engine->second.holdings.find(target);
    const bool is_held = holding != engine->second.holdings.end() &&
                         holding->second.state == state;
    if (is_held) return &engine->second;
  }
  return nullptr;
}

void FleetPlanner::ServeVersions(TimePoint now,
                                 std::vector<OrderToSend>& orders) {
  for (auto& [name, demand] : versioned_) {
    std::erase_if(demand.hosts, [now](const auto& item) {
      return now - item.second.reported_at > kVersionedTtl;
    });
    const CatalogueEntry* entry = FindEntry(demand.target);
    if (entry == nullptr || demand.hosts.empty() ||
        FindAtVersion(demand.target, demand.version, State::kReady) ||
        FindAtVersion(demand.target, demand.version, State::kLoading) ||
        now < demand.next_attempt) {
      continue;
    }
    demand.next_attempt = now + kRetryInterval;
    double worth = 0;
    for (const auto& [host, row] : demand.hosts) worth += row.worth;
    const std::string& model = ModelOf(*entry);
    const bool needs_base =
        !entry->base.empty() &&
        !FindAtVersion(model, demand.version, State::kReady);
    const bool is_base_loading =
        needs_base && FindAtVersion(model, demand.version, State::kLoading);
    if (is_base_loading) continue;
    const CatalogueEntry* base = FindEntry(model);
    if (base == nullptr) continue;
    wanted_version_ = demand.version;
    const Deferral deferral =
        needs_base || entry->base.empty()
            ? PlaceModel(*base, worth, "a stream resumes at its version",
                         Precedence::kWaiting, now, orders)
            : PlaceAdapter(*entry, worth, Precedence::kWaiting, now, orders);
    wanted_version_.reset();
    RecordDeferral(name, deferral);
  }
}

DemandAnswer FleetPlanner::AnswerVersioned(const std::string& name,
                                           const VersionedDemand& demand,
                                           TimePoint now) const {
  DemandAnswer answer{name, "", DemandStatus::kNoPlace, Duration{0}};
  const CatalogueEntry* entry = FindEntry(demand.target);
  if (entry == nullptr) return answer;
  if (FindAtVersion(demand.target, demand.version, State::kReady)) {
    answer.status = DemandStatus::kReady;
    return answer;
  }
  const Engine* loading =
      FindAtVersion(demand.target, demand.version, State::kLoading);
  if (loading != nullptr) {
    answer.status = DemandStatus::kLoading;
    const auto& order = loading->model_order;
    if (order && order->name == demand.target) {
      answer.expected = std::chrono::abs(order->expected_end - now);
    }
    return answer;
  }
  const auto deferral = deferrals_.find(name);
  if (deferral != deferrals_.end()) answer.deferral = deferral->second;
  const CatalogueEntry* base = FindEntry(ModelOf(*entry));
  std::optional<Duration> load_time;
  for (const auto& [id, engine] : engines_) {
    const bool is_usable = engine.listed.service == entry->service &&
                           engine.listed.version == demand.version &&
                           !engine.listed.is_leaving && !engine.is_rejecting &&
                           !engine.is_unresponsive;
    if (!is_usable || base == nullptr) continue;
    const Duration takes = LoadTime(*base, TierOn(engine, base->name));
    load_time = std::min(load_time.value_or(takes), takes);
  }
  if (!load_time) return answer;
  answer.status = DemandStatus::kQueued;
  answer.expected = *load_time;
  return answer;
}

}  // namespace applehall

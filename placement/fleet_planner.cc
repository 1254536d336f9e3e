#include "placement/fleet_planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "core/hash.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Memory kept free on each engine for adapters whose load outcome is unknown;
// the largest adapters have 66 MB.
constexpr uint64_t kMemoryMargin = 300'000'000;
// Maximum lag of a report behind the engine's state.
constexpr Duration kReportLag = milliseconds(400);
// Interval between reports while an order is due to end. It delays the requests
// for a model that has just been loaded; reports lag by another 100 ms.
constexpr Duration kEndPollInterval = milliseconds(60);
// Reports lag by 100 ms and an order is accepted some ms after it was sent, so
// a report requested sooner after the expected end still shows the load in
// progress.
constexpr Duration kFirstEndPollDelay = milliseconds(130);
// A report request without an answer by then counts as lost.
constexpr Duration kReportTimeout = milliseconds(1500);
// Interval between reports during a load, to detect a crash of the engine.
constexpr Duration kLoadPoll = milliseconds(500);
// With more open orders than this the owner polls each engine less often. At
// 256 engines it sent 700 report requests per second at peak load, more than
// any other work.
constexpr int kOrdersAtFullPoll = 32;
// A late order is polled at intervals of its lateness divided by this.
constexpr int kLatePollDivisor = 6;
// Reports take some ms. An engine without an answer for this long has crashed
// or is unreachable from this host. The time covers a lost packet and its first
// retransmission, and is a sixth of the time in which the listing expires.
constexpr Duration kUnresponsiveAfter = milliseconds(600);
// Maximum number of loads sent before the unload ahead of them is confirmed.
constexpr int kMaxRefusedLoads = 3;
// Without an open order, reports only detect missed changes.
constexpr Duration kIdleReportInterval = seconds(10);
// Maximum age of the arrivals in a host's report, with its way to the owner.
constexpr Duration kArrivalLag = seconds(1);
constexpr Duration kUnservedLogInterval = seconds(1);
// How long a model is kept beyond the time at which its callers were told to
// return.
constexpr Duration kKeptForReturn = seconds(2);
constexpr int kMaxOwedStoreLoads = 4;
// Loads owed for a further replica of a model that is served already.
constexpr int kOwedPerReplica = 2;
// How long an adapter in use may be withdrawn before its own callers are served
// again.
constexpr Duration kMaxWithdrawal = seconds(4);
// How long an engine that refused an order comes after others.
constexpr Duration kRefusalMemory = seconds(5);
// One in so many engines may at a time be used for overdue targets that are
// worth less than what is unloaded for them.
constexpr size_t kDisplacedShare = 8;
// The share of its own worth per second up to which a model that was displaced
// evicts others.
constexpr double kDisplacedWorthShare = 0.5;
constexpr Duration kSendWithin = milliseconds(500);
// Longer than kSendWithin plus the driver's timeout of a second.
constexpr Duration kCallTimeout = seconds(3);
// Time to unload a model without requests.
constexpr Duration kUnloadTime = milliseconds(60);
// Extra cost of unloading a model with requests in progress: they finish first.
constexpr double kBusyVictimSeconds = 3.0;
// Engines do not announce the end of an adapter's load. It usually takes 6 to
// 29 ms, and a request that arrives too early is rejected without harm.
constexpr Duration kAdapterLoad = milliseconds(40);
constexpr int kMaxConcurrentAdapterLoads = 4;
// A replica younger than this is not evicted: the requests it was loaded for
// have not had time to reach it.
constexpr Duration kMinResidency = seconds(2);
// Interval between attempts to place a waiting target; a new one is tried at
// once. An attempt costs some microseconds per engine, and hundreds may wait.
constexpr Duration kPlacementInterval = milliseconds(40);
constexpr size_t kMaxTrackedTargets = 4096;
// Interval between searches for free memory, a tenth of a load's time. The
// number of loads started each time is limited, as each is a call by the owner.
constexpr Duration kFillInterval = milliseconds(100);
constexpr int kMaxFillsPerInterval = 16;
// Decisions are made every 25 ms and on each new demand, but rates cover a
// window of 4 s, so sums of this age are accurate enough.
constexpr Duration kSumInterval = milliseconds(100);
constexpr Duration kSeedInterval = milliseconds(250);
// Breaks ties between victims by age; too small to outweigh a request.
constexpr double kAgeBonus = 0.0001;
constexpr double kReplicaBonus = 0.01;
constexpr int kMaxBonusReplicas = 5;
// How long an engine is reserved for the model that a victim was unloaded for.
constexpr Duration kReservationTime = seconds(3);
// Assumed number of concurrent loads that the weight store serves at full speed
// until loads show it. Starting with four took 53 s per load on a store that
// serves one in 13 s, and blocked the engine of each for other loads.
constexpr double kInitialStoreWidth = 2.0;
constexpr double kFixedStoreWidth = 4.0;
constexpr Duration kStoreWindow = seconds(5);
// Requests per second above which a model gets a second replica, to stay
// available when an engine fails.
constexpr double kBusyRate = 0.7;
constexpr int kBusyReplicas = 2;
// Running requests per slot of its engines above which a model gets one more
// replica.
constexpr double kBusyLoad = 0.5;
// Weight of lost worth against a second of waiting: a victim worth as much as
// the waiting requests costs as much as a delay of 3 s.
constexpr double kLossWeight = 3.0;
// The share of a model's worth that counts as lost with one replica while
// others serve its requests: for one of a busy model's last two replicas, and
// for any further one. With a lower first share busy models' second replicas
// come and go every few seconds, and a third of their requests miss them.
constexpr double kLastPairLoss = 0.5;
constexpr double kSpareLoss = 0.05;
// Requests per second that one replica serves on an engine of speed 1. An
// engine reads about 20 prompt tokens per ms and a request has about 1,500: at
// 5 per second prompts take a third of its time, and concurrent streams begin
// to stall for over 0.3 s.
constexpr double kRatePerReplica = 5.0;
// Lower bound of an engine's capacity in replicas.
constexpr double kMinCapacity = 0.01;
// Assumed time for which a further replica is useful.
constexpr double kReplicaHorizonSeconds = 3.0;
// Share of a busy model's worth per second that a second replica adds.
constexpr double kReplicaWorth = 0.15;
// Worth of a copy without demand so far: about that of one request.
constexpr double kSeedWorth = 3.0;
// Load times by tier where the catalogue has none.
constexpr std::array<Duration, kCheckpointTiers> kAssumedLoadTimes = {
    milliseconds(1300), milliseconds(2000), seconds(8)};

std::string WithSpeedReason(const std::string& reason,
                            const std::string& speed_reason) {
  return speed_reason.empty() ? reason
                              : absl::StrCat(reason, ", ", speed_reason);
}

// Names the capacity if it differs from the number of replicas.
std::string OverloadReason(double rate, double capacity, int replicas) {
  if (capacity == replicas) return "overloaded";
  return absl::StrCat("overloaded, ", rate, " requests/s, ", replicas,
                      " replicas of total capacity ", capacity);
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

FleetPlanner::FleetPlanner(Incarnation self, FencingToken token,
                           PolicySet policies)
    : self_(std::move(self)),
      token_(token),
      policies_(policies),
      speeds_(policies.Has(Policy::kEngineSpeeds)),
      store_width_(policies.Has(Policy::kStoreWidth)
                       ? StoreWidth(kInitialStoreWidth)
                       : StoreWidth(kFixedStoreWidth, /*is_fixed=*/true)) {}

void FleetPlanner::SetCatalogue(
    const std::map<std::string, CatalogueEntry>* catalogue,
    const std::map<std::string, EngineClass>* classes) {
  catalogue_ = catalogue;
  classes_ = classes;
}

// ---- Catalogue, index and queries ----

const CatalogueEntry* FleetPlanner::FindEntry(const std::string& name) const {
  if (catalogue_ == nullptr) return nullptr;
  const auto it = catalogue_->find(name);
  return it == catalogue_->end() ? nullptr : &it->second;
}

const EngineClass* FleetPlanner::FindClass(const Engine& engine) const {
  if (classes_ == nullptr) return nullptr;
  const auto it = classes_->find(engine.listed.service);
  return it == classes_->end() ? nullptr : &it->second;
}

uint64_t FleetPlanner::UsedBytes(const Engine& engine) const {
  uint64_t bytes = kMemoryMargin;
  for (const auto& [name, holding] : engine.holdings) bytes += holding.bytes;
  return bytes;
}

CheckpointTier FleetPlanner::TierOn(const Engine& engine,
                                    const std::string& model) const {
  if (Contains(engine.listed.in_host_memory, model)) {
    return CheckpointTier::kMemory;
  }
  if (Contains(engine.listed.on_disk, model)) return CheckpointTier::kDisk;
  return CheckpointTier::kRemote;
}

Duration FleetPlanner::LoadTime(const CatalogueEntry& entry,
                                CheckpointTier tier) const {
  const auto index = static_cast<size_t>(tier);
  const Duration configured = entry.load_times[index];
  return configured > Duration::zero() ? configured : kAssumedLoadTimes[index];
}

void FleetPlanner::IndexHoldings() {
  for (const std::string& id : std::exchange(stale_engines_, {})) {
    const auto it = engines_.find(id);
    if (it == engines_.end() || !it->second.is_index_stale) continue;
    ready_capacities_.clear();
    Unindex(id, it->second);
    Index(id, it->second);
  }
}

void FleetPlanner::Index(const std::string& id, Engine& engine) {
  engine.is_index_stale = false;
  if (engine.listed.is_leaving || engine.is_rejecting) return;
  // Sorted by id, so that decisions are deterministic.
  const auto add = [&id](std::vector<std::string>& ids) {
    const auto place = std::lower_bound(ids.begin(), ids.end(), id);
    if (place != ids.end() && *place == id) return false;
    ids.insert(place, id);
    return true;
  };
  for (const auto& [name, holding] : engine.holdings) {
    if (engine.is_unresponsive) break;
    Locations& locations = index_[name];
    if (holding.state == State::kReady) ++locations.ready;
    if (holding.state == State::kLoading) ++locations.loading;
    add(locations.holders);
    engine.indexed.push_back({name, /*is_copy=*/false, holding.state});
  }
  const auto add_copies = [&](const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      if (!add(index_[name].copies)) continue;
      engine.indexed.push_back({name, /*is_copy=*/true});
    }
  };
  add_copies(engine.listed.in_host_memory);
  add_copies(engine.listed.on_disk);
}

void FleetPlanner::Unindex(const std::string& id, Engine& engine) {
  for (const IndexedName& indexed : engine.indexed) {
    const auto it = index_.find(indexed.name);
    if (it == index_.end()) continue;
    Locations& locations = it->second;
    if (indexed.is_copy) {
      std::erase(locations.copies, id);
    } else {
      if (indexed.state == State::kReady) --locations.ready;
      if (indexed.state == State::kLoading) --locations.loading;
      std::erase(locations.holders, id);
    }
    if (locations.holders.empty() && locations.copies.empty()) index_.erase(it);
  }
  engine.indexed.clear();
}

void FleetPlanner::MarkIndexStale(Engine& engine) {
  store_loads_.reset();
  ready_capacities_.clear();
  engine.is_index_stale = true;
  stale_engines_.push_back(engine.listed.id);  // Duplicates are harmless.
}

const FleetPlanner::Locations& FleetPlanner::Locate(
    const std::string& name) const {
  static const Locations kNoLocations;
  const auto it = index_.find(name);
  return it == index_.end() ? kNoLocations : it->second;
}

int FleetPlanner::StoreLoads() const {
  if (store_loads_) return *store_loads_;
  const auto loads =
      std::count_if(engines_.begin(), engines_.end(), [](const auto& item) {
        const std::optional<OpenOrder>& order = item.second.model_order;
        return order && !item.second.is_unresponsive &&
               order->kind == OrderKind::kLoad &&
               order->tier == CheckpointTier::kRemote;
      });
  store_loads_ = static_cast<int>(loads);
  return *store_loads_;
}

// Loads from the weight store that begin as soon as an engine has unloaded
// another model. Without them the store's free place would be taken meanwhile,
// and the unload would have been in vain.
int FleetPlanner::PreparedStoreLoads(const std::string& except,
                                     TimePoint now) const {
  const auto prepared =
      std::count_if(engines_.begin(), engines_.end(), [&](const auto& item) {
        const Engine& engine = item.second;
        const bool is_loading =
            engine.model_order && engine.model_order->kind == OrderKind::kLoad;
        return engine.is_evicting && !is_loading && !engine.is_unresponsive &&
               engine.reserved_until > now && engine.reserved_for != except &&
               !engine.reserved_for.empty() && NeedsStore(engine.reserved_for);
      });
  return static_cast<int>(prepared);
}

bool FleetPlanner::HasStoreCapacity(const CatalogueEntry& model,
                                    TimePoint now) const {
  if (avoids_store_) return false;
  const auto width = static_cast<int>(store_width_.width());
  if (StoreLoads() >= width) return false;
  if (StoreLoads() + PreparedStoreLoads(model.name, now) >= width) return false;
  const auto engine_class = classes_->find(model.service);
  if (engine_class == classes_->end()) return false;
  const auto recent = std::count_if(
      store_load_starts_.begin(), store_load_starts_.end(),
      [now](TimePoint started) { return now - started < kStoreWindow; });
  return static_cast<double>(recent) <
         engine_class->second.store_loads_per_second * ToSeconds(kStoreWindow);
}

bool FleetPlanner::MayOrder(const Engine& engine) const {
  return engine.is_known && !engine.is_unresponsive && !engine.is_rejecting &&
         !engine.listed.is_leaving && !engine.call;
}

bool FleetPlanner::IsIdle() const {
  return std::none_of(engines_.begin(), engines_.end(), [](const auto& item) {
    return item.second.call.has_value();
  });
}

std::vector<std::string> FleetPlanner::ReadyTargetsOf(
    const std::string& engine) const {
  std::vector<std::string> ready;
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return ready;
  for (const auto& [name, holding] : it->second.holdings) {
    if (holding.state != State::kReady) continue;
    const auto base = it->second.holdings.find(holding.base);
    const bool is_usable =
        holding.base.empty() || (base != it->second.holdings.end() &&
                                 base->second.state == State::kReady);
    if (is_usable) ready.push_back(name);
  }
  return ready;
}

double FleetPlanner::ArrivalRate(const std::string& engine,
                                 TimePoint now) const {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return 0;
  double arrivals = 0;
  const double share = ReplicaShare(engine);
  for (const auto& [name, holding] : it->second.holdings) {
    if (holding.state != State::kReady) continue;
    const double all =
        std::max({ReadyCapacity(name, Locate(name)), share, kMinCapacity});
    arrivals += usage_.Rate(name, now) * share / all;
  }
  return arrivals;
}

uint64_t FleetPlanner::StateVersion(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() || !it->second.is_known ? 0 : it->second.version;
}

void FleetPlanner::Record(std::string event, const std::string& engine,
                          const std::string& target, std::string reason,
                          Duration took) {
  events_.push_back(
      {std::move(event), engine, target, std::move(reason), took});
}

// ---- Listings and reports ----

void FleetPlanner::RecordChange(Engine& engine) {
  ++engine.version;
  MarkIndexStale(engine);
}

void FleetPlanner::SetServers(const EngineList& servers, TimePoint now) {
  store_loads_.reset();
  for (auto it = engines_.begin(); it != engines_.end();) {
    const auto next = std::next(it);
    if (!servers.contains(it->first)) {
      Unindex(it->first, it->second);
      engines_.erase(it);
      ready_capacities_.clear();
    }
    it = next;
  }
  for (const auto& [id, server] : servers) {
    if (!server.is_engine) continue;
    Engine& engine = engines_[id];
    const TimePoint started_at = engine.listed.started_at;
    // A report may show a later incarnation than the listing.
    if (StartedAfter(started_at, server.started_at)) continue;
    if (StartedAfter(server.started_at, started_at)) ResetEngine(engine);
    const bool was_leaving = engine.listed.is_leaving;
    const bool has_changed =
        engine.listed.id != server.id ||
        engine.listed.in_host_memory != server.in_host_memory ||
        engine.listed.on_disk != server.on_disk;
    engine.listed = server;
    if (has_changed) MarkIndexStale(engine);
    engine.listed.started_at = std::max(started_at, server.started_at);
    if (was_leaving != server.is_leaving) RecordChange(engine);
    if (!engine.is_known || !engine.model_order) continue;
    // The listing can show the end of an order before the next report is due.
    const OpenOrder& order = *engine.model_order;
    const bool is_listed = server.models.contains(order.name);
    const bool is_done =
        order.is_accepted && now - order.sent_at >= kReportLag &&
        (order.kind == OrderKind::kLoad ? is_listed : !is_listed);
    if (is_done) engine.next_report_at = std::min(engine.next_report_at, now);
  }
}

// Resets an engine that has restarted: it holds nothing, has no open order and
// counts its orders from zero. With the earlier incarnation's count each report
// would look outdated, and the engine would never get an order again.
void FleetPlanner::ResetEngine(Engine& engine) {
  Record("engine_restarted", engine.listed.id, "", "later start time");
  Engine fresh;
  fresh.listed = std::move(engine.listed);
  fresh.listed.models.clear();
  fresh.listed.in_host_memory.clear();
  fresh.version = engine.version;
  fresh.indexed = std::move(engine.indexed);
  engine = std::move(fresh);
  RecordChange(engine);
}

void FleetPlanner::HandleReport(const HostReport& report, TimePoint now) {
  usage_.ApplyReport(report, now);
  IndexHoldings();
  RecordDemand(report, now);
  RecordVersioned(report, now);
  for (const HostReport::Waiting& row : report.waiting) {
    if (row.count <= 0) continue;
    for (const std::string& id : Locate(row.target).holders) {
      Engine& engine = engines_.at(id);
      const auto it = engine.holdings.find(row.target);
      if (it == engine.holdings.end()) continue;
      // The engine rejected the host's request, or the host missed the plan.
      // Requests a report, after which the plan is sent again.
      if (it->second.state != State::kReady ||
          now - it->second.since < kReportLag) {
        continue;
      }
      engine.next_report_at = std::min(engine.next_report_at, now);
    }
  }
}

void FleetPlanner::RecordDemand(const HostReport& report, TimePoint now) {
  const auto is_ready_since = [&](const std::string& target, Duration age) {
    return std::any_of(
        Locate(target).holders.begin(), Locate(target).holders.end(),
        [&](const std::string& id) {
          const Holding& holding = engines_.at(id).holdings.at(target);
          return holding.state == State::kReady && now - holding.since >= age;
        });
  };
  for (const HostReport::Waiting& row : report.waiting) {
    if (row.count <= 0 || Locate(row.target).ready > 0) continue;
    unserved_.RecordRequests(row.target, 0, row.worth / row.count, now);
    Promise& promise = promises_[row.target];
    promise.callers_until = std::max(promise.callers_until, now + row.slack);
  }
  for (const HostReport::Arrivals& row : report.arrivals) {
    if (row.count <= 0) continue;
    if (Locate(row.target).ready == 0) {
      unserved_.RecordRequests(row.target, row.count, row.worth / row.count,
                               now);
    } else if (is_ready_since(row.target, kArrivalLag)) {
      RecordServed(row.target, now);
    }
  }
  for (const HostReport::Running& row : report.running) {
    if (row.count > 0 && Locate(row.target).ready > 0) {
      RecordServed(row.target, now);
    }
  }
  for (const HostReport::Unserved& row : report.unserved) {
    if (Locate(row.target).ready > 0) continue;
    unserved_.RecordWait({row.target, now - row.age, now - row.asked_ago,
                          row.requests, row.worth, TimePoint{}});
  }
}

void FleetPlanner::RecordServed(const std::string& target, TimePoint now) {
  promises_.erase(target);
  const UnservedDemand::Wait* wait = unserved_.RecordServed(target, now);
  if (wait == nullptr || wait->asked_for() < kUnservedBound) return;
  Record("target_served_again", "", target,
         absl::StrCat(wait->requests, " requests"), now - wait->since);
}

void FleetPlanner::HandleInventory(const Inventory& inventory,
                                   TimePoint requested_at, TimePoint now) {
  const auto it = engines_.find(inventory.engine);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  const TimePoint started_at = engine.listed.started_at;
  if (StartedAfter(started_at, inventory.started_at)) return;
  if (StartedAfter(inventory.started_at, started_at)) ResetEngine(engine);
  engine.listed.started_at = std::max(started_at, inventory.started_at);
  engine.unanswered_since = TimePoint{};  // Any answer shows a live engine.
  if (requested_at < engine.report_sent_at) return;  // A later request is open.
  engine.report_sent_at = TimePoint{};
  engine.next_report_at = now + kIdleReportInterval;
  if (inventory.accepted_orders < engine.accepted_orders) {
    // Written before the last order was accepted.
    engine.next_report_at = now + kEndPollInterval;
    return;
  }
  if (engine.call) {
    engine.next_report_at = now + kEndPollInterval;
    return;
  }
  engine.accepted_orders = inventory.accepted_orders;
  if (engine.model_order && engine.model_order->is_unanswered) {
    SettleUnanswered(engine, inventory, requested_at, now);
  }
  AdoptReplicas(engine, inventory, requested_at, now);
  RemoveAbsent(engine, inventory, requested_at);
  if (engine.model_order) {
    OpenOrder& order = *engine.model_order;
    // The report's count includes the order (outdated reports return above), so
    // it was written after the order was accepted, whatever its lag.
    if (order.is_accepted && !inventory.is_busy) {
      FinishModelOrder(engine, now);
    } else {
      engine.next_report_at = NextReportTime(order, now);
    }
  } else if (inventory.is_busy) {
    // An order of an earlier owner; reports show its effect when it ends.
    engine.next_report_at = now + kEndPollInterval;
  }
  // A load in progress that is not known here, of an earlier owner or carried
  // out late, is not in the report until it ends. If its memory counted as
  // free, another load would be ordered into it and the engine would crash.
  engine.is_known = !inventory.is_busy ||
                    (engine.model_order && engine.model_order->is_accepted);
  RecordChange(engine);
}

// Settles an order without an answer by what the engine holds. Its count does
// not tell which order it accepted: an order that was given up as lost, here or
// by an earlier owner, stated the same count and may be carried out instead.
void FleetPlanner::SettleUnanswered(Engine& engine, const Inventory& inventory,
                                    TimePoint requested_at, TimePoint now) {
  if (inventory.is_busy) return;
  OpenOrder& order = *engine.model_order;
  const bool may_be_executed = inventory.accepted_orders <= order.after_orders;
  if (may_be_executed && requested_at - order.sent_at < kReportLag) return;
  const bool is_held =
      std::any_of(inventory.replicas.begin(), inventory.replicas.end(),
                  [&](const Replica& replica) {
                    return replica.name == order.name &&
                           replica.state == ReplicaState::kReady;
                  });
  if (!may_be_executed && is_held == (order.kind == OrderKind::kLoad)) {
    order.is_unanswered = false;
    order.is_accepted = true;
    return;
  }
  // Until the count advances it may still be executed. The next order states
  // the same count, so at most one of the two is.
  Record("order_lost", inventory.engine, order.name,
         may_be_executed ? "not accepted" : "another order was executed");
  RevertOrder(engine, OpenOrder(order), now);
}

void FleetPlanner::AdoptReplicas(Engine& engine, const Inventory& inventory,
                                 TimePoint requested_at, TimePoint now) {
  for (const Replica& replica : inventory.replicas) {
    const CatalogueEntry* entry = FindEntry(replica.name);
    const auto [it, is_new] = engine.holdings.try_emplace(replica.name);
    Holding& holding = it->second;
    if (is_new) {
      holding.base = replica.base;
      holding.bytes = entry != nullptr ? entry->bytes : replica.bytes;
      holding.state = replica.state == ReplicaState::kReady ? State::kReady
                                                            : State::kLoading;
      // What an engine held before this owner knew it was not loaded just now.
      holding.since = engine.is_known ? now : now - kMinResidency;
      continue;
    }
    if (replica.state != ReplicaState::kReady) continue;
    const bool is_model = holding.base.empty();
    if (holding.state == State::kLoading) {
      holding.state = State::kReady;
      holding.since = now;
      if (is_model && engine.model_order &&
          engine.model_order->name == replica.name) {
        FinishModelOrder(engine, now);
      }
    } else if (holding.state == State::kUnloading && !inventory.is_busy &&
               requested_at - holding.since >= kReportLag) {
      // The unload was not executed.
      holding.state = State::kReady;
      holding.since = now;
    }
  }
}

void FleetPlanner::RemoveAbsent(Engine& engine, const Inventory& inventory,
                                TimePoint requested_at) {
  std::set<std::string> present;
  for (const Replica& replica : inventory.replicas) {
    present.insert(replica.name);
  }
  std::erase_if(engine.holdings, [&](const auto& item) {
    const Holding& holding = item.second;
    if (present.contains(item.first)) return false;
    const bool is_over = engine.model_order &&
                         engine.model_order->name == item.first &&
                         engine.model_order->is_accepted && !inventory.is_busy;
    if (!is_over && requested_at - holding.since < kReportLag) return false;
    const bool is_load = engine.model_order &&
                         engine.model_order->name == item.first &&
                         holding.state == State::kLoading;
    if (is_load && (inventory.is_busy || !engine.model_order->is_accepted)) {
      return false;
    }
    if (is_load) Record("load_failed", engine.listed.id, item.first, "absent");
    return true;
  });
  // Adapters are unloaded with their model.
  std::erase_if(engine.holdings, [&](const auto& item) {
    return !item.second.base.empty() &&
           !engine.holdings.contains(item.second.base);
  });
}

void FleetPlanner::FinishModelOrder(Engine& engine, TimePoint now) {
  const OpenOrder order = *engine.model_order;
  engine.model_order.reset();
  store_loads_.reset();
  const auto it = engine.holdings.find(order.name);
  const Duration took = now - order.sent_at;
  if (order.kind == OrderKind::kUnload) {
    Record("unloaded", engine.listed.id, order.name, "", took);
    return;
  }
  if (it == engine.holdings.end()) return;
  if (it->second.state == State::kReady) {
    Record("load_ready", engine.listed.id, order.name, TierName(order.tier),
           took);
    UpdateStoreWidth(order, now);
  }
}

void FleetPlanner::UpdateStoreWidth(const OpenOrder& order, TimePoint now) {
  if (order.tier != CheckpointTier::kRemote || order.was_unanswered) return;
  const CatalogueEntry* entry = FindEntry(order.name);
  if (entry == nullptr) return;
  store_width_.Advance(StoreLoads() + 1, now);  // With this one.
  store_width_.RecordLoad(order.store_start, LoadTime(*entry, order.tier), now);
}

// ---- Orders and their answers ----

void FleetPlanner::SendOrder(Engine& engine, OrderKind kind,
                             const CatalogueEntry& entry, CheckpointTier tier,
                             const std::string& reason, TimePoint now,
                             std::vector<OrderToSend>& orders) {
  const bool is_model = entry.base.empty();
  EngineOrder order;
  order.id = absl::StrCat(self_.host, ".", self_.number, ".", token_, ".",
                          ++last_order_);
  order.kind = kind;
  order.fence = {token_, ++last_sequence_};
  order.name = entry.name;
  order.base = entry.base;
  order.bytes = entry.bytes;
  order.send_by = now + kSendWithin;
  // Reports lag and may miss loads of an earlier owner or without an answer; a
  // load on top of those would crash the engine. It refuses an order with
  // another count than its own, so an accepted one was decided on all it holds.
  order.after_orders = engine.accepted_orders;

  OpenOrder open;
  open.id = order.id;
  open.kind = kind;
  open.name = entry.name;
  open.tier = tier;
  open.after_orders = engine.accepted_orders;
  open.sent_at = now;
  Holding& holding = engine.holdings[entry.name];
  if (kind == OrderKind::kLoad) {
    holding = {State::kLoading, entry.base, entry.bytes, now};
    open.expected_end = now + (is_model ? LoadTime(entry, tier) : kAdapterLoad);
    if (is_model && tier == CheckpointTier::kRemote) {
      ++store_loads_sent_;
      const bool is_replica = Locate(entry.name).ready > 0;
      owed_store_loads_ =
          std::min(owed_store_loads_ + (is_replica ? kOwedPerReplica : 1),
                   kMaxOwedStoreLoads);
      store_load_starts_.push_back(now);
      while (now - store_load_starts_.front() > kStoreWindow) {
        store_load_starts_.pop_front();
      }
      store_width_.Advance(StoreLoads(), now);
      open.store_start = store_width_.Begin(StoreLoads(), now);
    }
  } else {
    holding.state = State::kUnloading;
    holding.since = now;
    open.expected_end = now + kUnloadTime;
  }
  engine.call = open;
  if (is_model) engine.model_order = open;
  RecordChange(engine);
  Record(kind == OrderKind::kLoad ? "load_ordered" : "unload_ordered",
         engine.listed.id, entry.name, reason);
  orders.push_back({engine.listed.id, engine.listed.address, std::move(order)});
}

void FleetPlanner::ApplyAccepted(Engine& engine, const OpenOrder& call) {
  ++engine.accepted_orders;
  if (engine.model_order && engine.model_order->id == call.id) {
    engine.model_order->is_accepted = true;
    engine.refused_loads = 0;
    engine.next_report_at = std::min(call.expected_end + kFirstEndPollDelay,
                                     call.sent_at + LoadPoll());
    return;
  }
  const auto it = engine.holdings.find(call.name);
  if (it == engine.holdings.end()) return;
  if (call.kind == OrderKind::kUnload) {
    engine.holdings.erase(it);
  }
  RecordChange(engine);
}

void FleetPlanner::RevertOrder(Engine& engine, const OpenOrder& call,
                               TimePoint now) {
  if (engine.model_order && engine.model_order->id == call.id) {
    engine.model_order.reset();
    store_loads_.reset();
  }
  const auto it = engine.holdings.find(call.name);
  if (it == engine.holdings.end()) return;
  if (call.kind == OrderKind::kLoad) {
    engine.holdings.erase(it);
  } else {
    it->second.state = State::kReady;
    it->second.since = now;
  }
  RecordChange(engine);
}

void FleetPlanner::HandleOrderResult(const std::string& engine_id,
                                     const std::string& order_id,
                                     OrderResult result, TimePoint now) {
  const auto it = engines_.find(engine_id);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  if (!engine.call || engine.call->id != order_id) return;
  const OpenOrder call = *engine.call;
  engine.call.reset();
  const bool is_model =
      engine.model_order && engine.model_order->id == order_id;
  if (HandleRefusedLoad(engine, call, result, now)) return;
  const std::optional<OpenOrder> unload =
      std::exchange(engine.unload_before, std::nullopt);
  if (unload && result == OrderResult::kAccepted) {
    FinishUnload(engine, *unload, now);
    engine.reserved_for.clear();
  }
  if (result != OrderResult::kAccepted) {
    Record("order_answered", engine_id, call.name, OrderResultName(result));
  }
  switch (result) {
    case OrderResult::kAccepted:
      ApplyAccepted(engine, call);
      return;
    case OrderResult::kDone:
      // The engine had nothing to do or has finished already. Its next report
      // shows whether it counted the order.
      if (!is_model && call.kind == OrderKind::kUnload) {
        // The usual answer: an unused adapter is unloaded at once.
        ApplyAccepted(engine, call);
        return;
      }
      if (is_model) {
        engine.model_order->is_accepted = true;
      } else if (const auto holding = engine.holdings.find(call.name);
                 holding != engine.holdings.end()) {
        holding->second.state = State::kReady;
        holding->second.since = now;
      }
      RecordChange(engine);
      engine.is_known = false;
      engine.next_report_at = now + kReportLag;
      return;
    case OrderResult::kUnanswered:
      engine.refused_at = now;
      if (is_model) {
        engine.model_order->is_unanswered = true;
        engine.model_order->was_unanswered = true;
      } else {
        RevertOrder(engine, call, now);
      }
      engine.next_report_at = now + kReportLag;
      return;
    case OrderResult::kStaleFence:
      is_superseded_ = true;
      RevertOrder(engine, call, now);
      return;
    case OrderResult::kWrongIncarnation:
      engine.is_rejecting = true;
      MarkIndexStale(engine);
      RevertOrder(engine, call, now);
      return;
    default:
      // Refused: the count differs, or another order is in progress.
      engine.refused_at = now;
      RevertOrder(engine, call, now);
      engine.is_known = false;
      // Accepts the count of the next report even if it is lower.
      engine.accepted_orders = 0;
      engine.next_report_at = now + kReportLag;
      return;
  }
}

// Ends calls for which neither an answer nor a timeout was reported. Such a
// call was lost in this process and would block its engine for all further
// orders.
void FleetPlanner::ExpireCalls(TimePoint now) {
  for (auto& [id, engine] : engines_) {
    if (!engine.call || now - engine.call->sent_at < kCallTimeout) continue;
    HandleOrderResult(id, std::string(engine.call->id),
                      OrderResult::kUnanswered, now);
  }
}

Duration FleetPlanner::LoadPoll() const {
  return kLoadPoll * std::max(1, open_model_orders_ / kOrdersAtFullPoll);
}

// Polls a late order less often the later it is. An unload waits for running
// requests, possibly for seconds; at a fixed interval each such engine would be
// polled 16 times per second.
TimePoint FleetPlanner::NextReportTime(const OpenOrder& order,
                                       TimePoint now) const {
  const Duration late = now - order.expected_end;
  const Duration max_interval = LoadPoll();
  const Duration min_interval = std::clamp<Duration>(
      late / kLatePollDivisor, kEndPollInterval, max_interval);
  return std::clamp(order.expected_end, now + min_interval, now + max_interval);
}

void FleetPlanner::RequestReports(TimePoint now,
                                  std::vector<OrderToSend>& orders) {
  open_model_orders_ = static_cast<int>(std::count_if(
      engines_.begin(), engines_.end(),
      [](const auto& item) { return item.second.model_order.has_value(); }));
  for (auto& [id, engine] : engines_) {
    // Engines do not announce the end of adapter loads.
    for (auto& [name, holding] : engine.holdings) {
      if (holding.base.empty() || holding.state != State::kLoading) continue;
      if (engine.call && engine.call->name == name) continue;
      if (now - holding.since < kAdapterLoad) continue;
      holding.state = State::kReady;
      holding.since = now;
      RecordChange(engine);
    }
    if (engine.next_report_at > now || engine.is_rejecting) continue;
    if (FindClass(engine) == nullptr) continue;  // Unknown service.
    const bool is_under_way = engine.report_sent_at != TimePoint{} &&
                              now - engine.report_sent_at < kReportTimeout;
    if (is_under_way) continue;
    engine.report_sent_at = now;
    engine.next_report_at = now + kReportTimeout;
    if (engine.unanswered_since == TimePoint{}) engine.unanswered_since = now;
    EngineOrder order;
    order.id = absl::StrCat("report.", ++last_order_);
    order.kind = OrderKind::kInspect;
    order.fence = {token_, 0};
    order.send_by = now + kSendWithin;
    orders.push_back({id, engine.listed.address, std::move(order)});
  }
}

// Marks engines that do not answer. A crashed engine stays listed for three
// missed heartbeats, and for 13 s while the store is unavailable. If its models
// still counted as ready or loading there, no other engine would load them.
// Its holdings remain recorded, as it may run and only be unreachable from this
// host.
void FleetPlanner::UpdateResponsiveness(TimePoint now) {
  for (auto& [id, engine] : engines_) {
    const bool is_unresponsive =
        policies_.Has(Policy::kSilence) &&
        engine.unanswered_since != TimePoint{} &&
        now - engine.unanswered_since > kUnresponsiveAfter;
    if (is_unresponsive == engine.is_unresponsive) continue;
    engine.is_unresponsive = is_unresponsive;
    MarkIndexStale(engine);
    const std::string order =
        engine.model_order ? engine.model_order->name : std::string();
    Record(is_unresponsive ? "engine_silent" : "engine_answers", id, order,
           "report requests",
           is_unresponsive ? now - engine.unanswered_since : Duration{0});
  }
}

// ---- Decisions ----

// Returns the worth per second that is lost if `engine` unloads `model`.
double FleetPlanner::EvictionLoss(const Engine& engine,
                                  const std::string& model,
                                  TimePoint now) const {
  double worth = usage_.WorthRate(model, now);
  for (const auto& [name, holding] : engine.holdings) {
    if (holding.base == model) worth += usage_.WorthRate(name, now);
  }
  const int others = Locate(model).ready - 1;
  const auto busy = busy_.find(model);
  const double rate = busy == busy_.end() ? 0 : busy->second.rate;
  if (others <= 0) return worth;
  const double unmet = Unmet(rate, ReadyCapacity(model, Locate(model)) -
                                       ReplicaShare(engine.listed.id));
  const bool is_last_pair = policies_.Has(Policy::kLastPair) &&
                            others < kBusyReplicas && rate >= kBusyRate;
  // While the rest has enough capacity, a replica on a slow engine is worth
  // less than one on a fast engine, where streams have shorter gaps.
  const double speed_loss =
      kSpareLoss * (speeds_.Capacity(engine.listed.id) - 1);
  return worth *
         (unmet + (is_last_pair ? kLastPairLoss : kSpareLoss) + speed_loss);
}

bool FleetPlanner::IsBusyModel(const std::string& model) const {
  const auto busy = busy_.find(model);
  return busy != busy_.end() && busy->second.rate >= kBusyRate;
}

// A replica that is evicted although its model needs it is loaded again a
// moment later, and the model's requests wait meanwhile. The last replica is
// judged by worth alone: a rare request may be worth many of its model's.
bool FleetPlanner::IsNeededReplica(const Engine& engine,
                                   const std::string& model) const {
  if (!speeds_.AreKnown() || !IsBusyModel(model)) return false;
  const Locations& locations = Locate(model);
  if (locations.ready < 2) return false;
  const double rate = busy_.at(model).rate;
  const double capacity = ReadyCapacity(model, locations);
  const double rest = capacity - ReplicaShare(engine.listed.id);
  return Unmet(rate, capacity) <= 0 && Unmet(rate, rest) > 0;
}

// Returns the models with the lowest loss that together free `needed` bytes;
// empty if the evictable ones do not suffice.
std::vector<std::string> FleetPlanner::ChooseVictims(const Engine& engine,
                                                     uint64_t needed,
                                                     Precedence precedence,
                                                     TimePoint now) const {
  struct Candidate {
    std::string name;
    uint64_t bytes = 0;
    double loss = 0;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, holding] : engine.holdings) {
    if (!holding.base.empty() || holding.state != State::kReady) continue;
    if (now - holding.since < kMinResidency) continue;
    if (kept_.contains(name)) continue;
    const bool is_waited_for = usage_.HasWaiting(name);
    if (is_waited_for && precedence != Precedence::kOverdue) continue;
    const bool is_needed =
        precedence != Precedence::kOverdue && IsNeededReplica(engine, name);
    if (is_needed) continue;
    double loss = EvictionLoss(engine, name, now);
    // Of equals prefers the one with the most replicas, a hint to its demand
    // while no usage is reported yet, and then the oldest.
    loss -= kReplicaBonus * std::min(kMaxBonusReplicas, Locate(name).ready);
    loss -= kAgeBonus * ToSeconds(now - holding.since);
    if (usage_.RunningOn(engine.listed.id, name) > 0) {
      loss += kBusyVictimSeconds;
    }
    if (is_waited_for) loss += kBusyVictimSeconds;
    candidates.push_back({name, holding.bytes, loss});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.loss, a.name) < std::pair(b.loss, b.name);
            });
  std::vector<std::string> victims;
  uint64_t freed = 0;
  for (const Candidate& candidate : candidates) {
    if (freed >= needed) break;
    freed += candidate.bytes;
    victims.push_back(candidate.name);
  }
  if (freed < needed) victims.clear();
  return victims;
}

// Limits the engines on which targets take precedence over models that are
// worth more, so that most engines serve what is worth most at any time.
bool FleetPlanner::MayDisplace(TimePoint now) const {
  const auto displaced = std::count_if(
      engines_.begin(), engines_.end(),
      [now](const auto& item) { return item.second.displaced_until > now; });
  const size_t most = std::max<size_t>(1, engines_.size() / kDisplacedShare);
  return static_cast<size_t>(displaced) < most;
}

// Returns the highest loss at which other models are evicted for `entry`. A
// model that gave up its place for a while would else take that of another one
// in demand, which would take the next, and all engines would be loading.
double FleetPlanner::AllowedLoss(const CatalogueEntry& entry,
                                 double worth) const {
  const auto displaced = displaced_.find(entry.name);
  if (displaced == displaced_.end()) return worth;
  const auto busy = busy_.find(entry.name);
  const double rate = busy == busy_.end() ? 0 : busy->second.worth_rate;
  return std::min(worth, rate * kDisplacedWorthShare);
}

std::optional<FleetPlanner::Option> FleetPlanner::MakeOption(
    Engine& engine, const CatalogueEntry& entry, double worth,
    Precedence precedence, TimePoint now, Search& search) {
  const EngineClass* engine_class = FindClass(engine);
  if (engine_class == nullptr || engine.listed.service != entry.service) {
    return std::nullopt;
  }
  if (!engine.is_known || engine.is_unresponsive || engine.is_rejecting ||
      engine.listed.is_leaving || engine.holdings.contains(entry.name) ||
      !HasWantedVersion(engine)) {
    return std::nullopt;
  }
  const bool is_reserved =
      policies_.Has(Policy::kReservations) && engine.reserved_until > now &&
      engine.reserved_for != entry.name && !engine.reserved_for.empty();
  if (is_reserved) {
    search.Reject(Deferral::kReserved);
    return std::nullopt;
  }
  Option option;
  option.engine = &engine;
  option.tier = TierOn(engine, entry.name);
  uint64_t used = UsedBytes(engine);
  Duration ready_in{0};
  if (engine.model_order) {
    const OpenOrder& open = *engine.model_order;
    ready_in = std::max<Duration>(kEndPollInterval, open.expected_end - now);
    if (open.kind == OrderKind::kUnload) {
      used -= engine.holdings[open.name].bytes;
    }
  }
  if (entry.bytes + kMemoryMargin > engine_class->memory_bytes) {
    return std::nullopt;
  }
  double loss = 0;
  if (used + entry.bytes > engine_class->memory_bytes) {
    const uint64_t needed = used + entry.bytes - engine_class->memory_bytes;
    option.victims = ChooseVictims(engine, needed, precedence, now);
    if (option.victims.empty()) {
      search.Reject(Deferral::kNothingToEvict);
      return std::nullopt;
    }
    for (const std::string& victim : option.victims) {
      loss += EvictionLoss(engine, victim, now);
      option.evicts_busy = option.evicts_busy || IsBusyModel(victim);
      ready_in += kUnloadTime;
      if (usage_.RunningOn(engine.listed.id, victim) > 0) {
        ready_in += FromSeconds(kBusyVictimSeconds);
      }
    }
  }
  ready_in += LoadTime(entry, option.tier);
  // Does not evict models whose worth per second exceeds the total worth of the
  // new one; otherwise demand that has moved on would evict models in demand.
  option.displaces = loss > AllowedLoss(entry, worth);
  const bool may_displace =
      precedence == Precedence::kOverdue && MayDisplace(now);
  if (option.displaces && !may_displace) {
    search.Reject(Deferral::kVictimsWorthMore);
    return std::nullopt;
  }
  const double blocked = BlockedAdapterLoss(engine, ready_in);
  // Waiting requests prefer the engine that blocks the fewest adapters, but are
  // not held back: they would wait forever if all engines serve adapters.
  if (precedence == Precedence::kSpare && loss + blocked > worth) {
    return std::nullopt;
  }
  loss += blocked;
  if (HasRefused(engine, now)) ready_in += kRefusalMemory;
  option.ready_in = ready_in;
  option.loss_cost = kLossWeight * loss / (worth + 1.0);
  option.cost = ToSeconds(ready_in) + option.loss_cost;
  return option;
}

void FleetPlanner::TryEngine(Engine& engine, const CatalogueEntry& entry,
                             double worth, Precedence precedence, TimePoint now,
                             Search& search) {
  const bool only_if_idle = precedence == Precedence::kSpare;
  if (only_if_idle && (engine.model_order || !MayOrder(engine))) {
    search.Reject(Deferral::kEngineBusy);
    return;
  }
  std::optional<Option> option =
      MakeOption(engine, entry, worth, precedence, now, search);
  if (!option) return;
  if (speeds_.AreKnown()) {
    search.options.push_back(*std::move(option));
    return;
  }
  if (search.best && search.best->cost <= option->cost) return;
  search.best = std::move(option);
}

FleetPlanner::Search FleetPlanner::FindOption(const CatalogueEntry& entry,
                                              double worth,
                                              Precedence precedence,
                                              TimePoint now) {
  Search search;
  TryEngines(entry, worth, precedence, now, search);
  if (!search.options.empty()) ChooseOptionBySpeed(entry, search);
  return search;
}

SpeedPreference FleetPlanner::PreferenceOf(const std::string& model) const {
  if (IsBusyModel(model)) return SpeedPreference::kFast;
  const bool is_requested = busy_.contains(model) || usage_.HasWaiting(model);
  // A model without requests is a copy ahead of them. If slow engines were
  // preferred, they would load all of these, one in the place of another.
  return is_requested ? SpeedPreference::kSlow : SpeedPreference::kNone;
}

void FleetPlanner::ChooseOptionBySpeed(const CatalogueEntry& entry,
                                       Search& search) const {
  std::vector<SpeedCandidate> candidates;
  for (const Option& option : search.options) {
    const Engine& engine = *option.engine;
    SpeedCandidate& candidate = candidates.emplace_back();
    candidate.engine = engine.listed.id;
    candidate.cost = option.cost;
    candidate.ready_in = option.ready_in;
    candidate.loss_cost = option.loss_cost;
    candidate.victims = option.victims.size();
    candidate.evicts_busy = option.evicts_busy;
    candidate.displaces = option.displaces;
    candidate.can_start = MayOrder(engine) && !engine.model_order;
    candidate.capacity = ReplicaShare(engine.listed.id);
    candidate.arrivals = engine.arrivals;
  }
  SpeedChoice choice = ChooseBySpeed(candidates, PreferenceOf(entry.name));
  search.best = std::move(search.options[choice.index]);
  search.best->speed_reason = std::move(choice.reason);
}

// Tries the few engines with a copy first. All others have to load from the
// weight store and are tried only if it has capacity.
void FleetPlanner::TryEngines(const CatalogueEntry& entry, double worth,
                              Precedence precedence, TimePoint now,
                              Search& search) {
  for (const std::string& id : Locate(entry.name).copies) {
    TryEngine(engines_.at(id), entry, worth, precedence, now, search);
  }
  if (!HasStoreCapacity(entry, now)) {
    search.Reject(Deferral::kStoreFull);
    return;
  }
  for (auto& [id, engine] : engines_) {
    TryEngine(engine, entry, worth, precedence, now, search);
  }
}

// Returns the engine that is evicting to load `model`, or null. An unload takes
// a third of a second; without this check the decisions made every 25 ms
// meanwhile would evict on up to nine engines for one replica, and the next
// requests for the evicted models would meet a cold start.
FleetPlanner::Engine* FleetPlanner::FindEvictingEngine(const std::string& model,
                                                       TimePoint now) {
  const auto made = evicting_engines_.find(model);
  if (made == evicting_engines_.end()) return nullptr;
  const auto it = engines_.find(made->second);
  if (it == engines_.end()) return nullptr;
  Engine& engine = it->second;
  const bool is_usable = !engine.listed.is_leaving && !engine.is_unresponsive &&
                         !engine.is_rejecting;
  const bool is_for_model = engine.is_evicting &&
                            engine.reserved_for == model &&
                            engine.reserved_until > now;
  const bool is_executing = engine.model_order || !MayOrder(engine);
  return is_for_model && is_usable && is_executing ? &engine : nullptr;
}

// Returns true if a load may be sent before a report confirms the unload ahead
// of it. That report lags by 0.3 s, a fifth of a load from disk. The load
// states the count that includes the unload, and the engine refuses it while
// the unload is in progress, so its acceptance proves that the memory is free.
// This holds only for an unload whose acceptance the engine has answered.
bool FleetPlanner::MayFollowUnload(const Engine& engine,
                                   const CatalogueEntry& entry,
                                   TimePoint now) const {
  if (!engine.model_order || !MayOrder(engine)) return false;
  const OpenOrder& unload = *engine.model_order;
  if (unload.kind != OrderKind::kUnload || !unload.is_accepted) return false;
  if (now < unload.expected_end || now < engine.load_retry_at) return false;
  if (engine.refused_loads >= kMaxRefusedLoads) return false;
  if (usage_.RunningOn(engine.listed.id, unload.name) > 0) return false;
  // Several engines may have evicted while the store has capacity for one load.
  const bool is_from_store =
      TierOn(engine, entry.name) == CheckpointTier::kRemote;
  if (is_from_store && !HasStoreCapacity(entry, now)) return false;
  const EngineClass* engine_class = FindClass(engine);
  if (engine_class == nullptr) return false;
  uint64_t freed = 0;
  for (const auto& [name, holding] : engine.holdings) {
    if (name == unload.name || holding.base == unload.name) {
      freed += holding.bytes;
    }
  }
  return UsedBytes(engine) + entry.bytes <= engine_class->memory_bytes + freed;
}

void FleetPlanner::FinishUnload(Engine& engine, const OpenOrder& unload,
                                TimePoint now) {
  std::erase_if(engine.holdings, [&](const auto& item) {
    return item.first == unload.name || item.second.base == unload.name;
  });
  Record("unloaded", engine.listed.id, unload.name,
         "confirmed by the next order", now - unload.sent_at);
  RecordChange(engine);
}

// Handles the refusal of a load sent before its unload was confirmed: the
// unload is still in progress. Returns false for any other answer.
bool FleetPlanner::HandleRefusedLoad(Engine& engine, const OpenOrder& call,
                                     OrderResult result, TimePoint now) {
  if (!engine.unload_before || result != OrderResult::kBusy) return false;
  RevertOrder(engine, call, now);
  engine.model_order = std::move(engine.unload_before);
  engine.unload_before.reset();
  store_loads_.reset();
  ++engine.refused_loads;
  engine.load_retry_at = now + kEndPollInterval;
  return true;
}

Deferral FleetPlanner::PlaceModel(const CatalogueEntry& entry, double worth,
                                  const std::string& reason,
                                  Precedence precedence, TimePoint now,
                                  std::vector<OrderToSend>& orders) {
  Engine* prepared = FindEvictingEngine(entry.name, now);
  if (prepared != nullptr && HasWantedVersion(*prepared)) {
    if (!MayFollowUnload(*prepared, entry, now)) return Deferral::kEngineBusy;
    prepared->unload_before = prepared->model_order;
    SendOrder(*prepared, OrderKind::kLoad, entry, TierOn(*prepared, entry.name),
              WithSpeedReason(reason, prepared->speed_reason), now, orders);
    return Deferral::kNone;
  }
  const Search search = FindOption(entry, worth, precedence, now);
  const std::optional<Option>& option = search.best;
  if (!option) return search.deferral;
  Engine& engine = *option->engine;
  if (!MayOrder(engine) || engine.model_order) {
    // Waiting for this engine is faster than any other option.
    if (precedence != Precedence::kSpare) {
      engine.is_evicting = false;
      engine.reserved_for = entry.name;
      engine.reserved_until = now + kEndPollInterval;
    }
    return Deferral::kEngineBusy;
  }
  engine.reserved_for = entry.name;
  engine.reserved_until = now + kReservationTime;
  engine.is_evicting = !option->victims.empty();
  engine.speed_reason = option->speed_reason;
  if (option->displaces) {
    engine.displaced_until = now + option->ready_in + kKeptForReturn;
    for (const std::string& victim : option->victims) {
      displaced_[victim] = now + kUnservedBound;
    }
  }
  if (engine.is_evicting) {
    evicting_engines_[entry.name] = engine.listed.id;
    const CatalogueEntry* victim = FindEntry(option->victims.front());
    CatalogueEntry unknown;
    unknown.name = option->victims.front();
    SendOrder(engine, OrderKind::kUnload, victim ? *victim : unknown,
              option->tier,
              WithSpeedReason(absl::StrCat("load of ", entry.name),
                              option->speed_reason),
              now, orders);
    // The next decision must not count the evicted replica as ready: it could
    // evict another one that its model needs now.
    if (speeds_.AreKnown()) IndexHoldings();
    return Deferral::kNone;
  }
  engine.reserved_for.clear();
  SendOrder(engine, OrderKind::kLoad, entry, option->tier,
            WithSpeedReason(reason, option->speed_reason), now, orders);
  return Deferral::kNone;
}

int FleetPlanner::UsedAdapterSlots(const Engine& engine) {
  const auto held =
      std::count_if(engine.holdings.begin(), engine.holdings.end(),
                    [](const auto& item) { return !item.second.base.empty(); });
  return static_cast<int>(held);
}

// Unloads the evictable adapter with the lowest worth rate; false if none.
bool FleetPlanner::EvictAdapter(Engine& engine, TimePoint now,
                                std::vector<OrderToSend>& orders) {
  std::string victim;
  double min_worth = 0;
  for (const auto& [name, holding] : engine.holdings) {
    const bool is_withdrawn = holding.state == State::kWithdrawn;
    if (holding.base.empty()) continue;
    if (holding.state != State::kReady && !is_withdrawn) continue;
    if (usage_.RunningOn(engine.listed.id, name) > 0) continue;
    if (now - holding.since < (is_withdrawn ? kArrivalLag : kReportLag)) {
      continue;
    }
    if (kept_.contains(name)) continue;
    if (usage_.HasWaiting(name) && !is_withdrawn) continue;
    const double worth = is_withdrawn ? -1 : usage_.WorthRate(name, now);
    if (!victim.empty() && worth >= min_worth) continue;
    victim = name;
    min_worth = worth;
  }
  const CatalogueEntry* entry = FindEntry(victim);
  if (entry == nullptr) return false;
  SendOrder(engine, OrderKind::kUnload, *entry, CheckpointTier::kMemory,
            "load of another adapter", now, orders);
  return true;
}

// Stops sending requests to the adapter on `engine` with the lowest worth rate,
// so that it can be unloaded when its running requests have ended: the engine
// would keep its slot until then, and an order to load beyond its slots crashes
// it.
void FleetPlanner::WithdrawAdapter(Engine& engine, TimePoint now) {
  Holding* victim = nullptr;
  std::string victim_name;
  double min_worth = 0;
  for (auto& [name, holding] : engine.holdings) {
    if (holding.state == State::kWithdrawn) return;  // One at a time.
    if (holding.base.empty() || holding.state != State::kReady) continue;
    if (now - holding.since < kMinResidency || kept_.contains(name)) continue;
    const double worth = usage_.WorthRate(name, now);
    if (victim != nullptr && worth >= min_worth) continue;
    victim = &holding;
    victim_name = name;
    min_worth = worth;
  }
  if (victim == nullptr) return;
  victim->state = State::kWithdrawn;
  victim->since = now;
  RecordChange(engine);
  Record("adapter_withdrawn", engine.listed.id, victim_name,
         "for an overdue adapter");
}

// Serves requests for an adapter again that was withdrawn and not unloaded: who
// it was withdrawn for may have been served elsewhere, or not have returned.
Deferral FleetPlanner::RestoreWithdrawn(Engine& engine, Holding& holding,
                                        TimePoint now) {
  const bool is_due = holding.state == State::kWithdrawn &&
                      now - holding.since >= kMaxWithdrawal;
  if (!is_due) return Deferral::kEngineBusy;
  holding.state = State::kReady;
  holding.since = now;
  RecordChange(engine);
  return Deferral::kNone;
}

// Returns the engines that hold the base of `entry` and execute no model order,
// during which they refuse adapters. The order is by a hash of adapter and
// engine, so that an adapter is loaded on the same engine again, with those
// last that refused an order just now.
std::vector<FleetPlanner::Engine*> FleetPlanner::RankForAdapter(
    const CatalogueEntry& entry, TimePoint now) {
  struct Ranked {
    bool has_refused = false;
    uint64_t rank = 0;
    Engine* engine = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const std::string& id : Locate(entry.base).holders) {
    Engine& engine = engines_.at(id);
    const auto base = engine.holdings.find(entry.base);
    if (base == engine.holdings.end()) continue;
    if (base->second.state != State::kReady || engine.model_order) continue;
    if (!HasWantedVersion(engine)) continue;
    const uint64_t rank = policies_.Has(Policy::kAdapterAffinity)
                              ? StableHash(absl::StrCat(entry.name, "|", id))
                              : static_cast<uint64_t>(UsedAdapterSlots(engine));
    ranked.push_back({HasRefused(engine, now), rank, &engine});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.has_refused, a.rank, a.engine->listed.id) <
           std::tie(b.has_refused, b.rank, b.engine->listed.id);
  });
  std::vector<Engine*> engines;
  for (const Ranked& item : ranked) engines.push_back(item.engine);
  return engines;
}

bool FleetPlanner::HasRefused(const Engine& engine, TimePoint now) {
  return engine.refused_at != TimePoint{} &&
         now - engine.refused_at < kRefusalMemory;
}

// Loads or unloads one adapter on `engine`. Returns why not; kEngineBusy if the
// engine can take it later.
Deferral FleetPlanner::PlaceAdapterOn(Engine& engine,
                                      const CatalogueEntry& entry,
                                      TimePoint now,
                                      std::vector<OrderToSend>& orders) {
  const EngineClass* engine_class = FindClass(engine);
  if (engine_class == nullptr) return Deferral::kNoEngine;
  if (!MayOrder(engine)) return Deferral::kEngineBusy;
  if (const auto held = engine.holdings.find(entry.name);
      held != engine.holdings.end()) {
    return RestoreWithdrawn(engine, held->second, now);
  }
  const auto loading = std::count_if(
      engine.holdings.begin(), engine.holdings.end(), [](const auto& item) {
        return !item.second.base.empty() &&
               item.second.state == State::kLoading;
      });
  if (loading >= kMaxConcurrentAdapterLoads) return Deferral::kEngineBusy;
  const bool has_room =
      UsedAdapterSlots(engine) < engine_class->adapter_slots &&
      UsedBytes(engine) + entry.bytes <=
          engine_class->memory_bytes + kMemoryMargin / 2;
  if (!has_room) {
    return EvictAdapter(engine, now, orders) ? Deferral::kNone
                                             : Deferral::kNothingToEvict;
  }
  SendOrder(engine, OrderKind::kLoad, entry, CheckpointTier::kMemory,
            "requests waiting", now, orders);
  return Deferral::kNone;
}

// Uses the first engine in order that can take the adapter now or soon; others
// only if all adapters there are in use. An overdue adapter tries all of them.
Deferral FleetPlanner::PlaceAdapter(const CatalogueEntry& entry, double worth,
                                    Precedence precedence, TimePoint now,
                                    std::vector<OrderToSend>& orders) {
  const Locations& bases = Locate(entry.base);
  if (bases.ready + bases.loading == 0) {
    const CatalogueEntry* base = FindEntry(entry.base);
    if (base == nullptr) return Deferral::kNoEngine;
    return PlaceModel(*base, worth, absl::StrCat("for ", entry.name),
                      Precedence::kWaiting, now, orders);
  }
  const bool is_overdue = precedence == Precedence::kOverdue;
  const std::vector<Engine*> engines = RankForAdapter(entry, now);
  Deferral deferral = Deferral::kEngineBusy;
  for (Engine* engine : engines) {
    deferral = PlaceAdapterOn(*engine, entry, now, orders);
    if (deferral == Deferral::kNone) return deferral;
    if (deferral == Deferral::kEngineBusy && !is_overdue) return deferral;
  }
  if (is_overdue && deferral == Deferral::kNothingToEvict) {
    WithdrawAdapter(*engines.front(), now);
  }
  return deferral;
}

const std::string& FleetPlanner::ModelOf(const CatalogueEntry& entry) const {
  return entry.base.empty() ? entry.name : entry.base;
}

bool FleetPlanner::NeedsStore(const std::string& model) const {
  const Locations& locations = Locate(model);
  return locations.holders.empty() && locations.copies.empty();
}

// Keeps what was loaded for callers who were refused until they can have
// returned. Without requests meanwhile it would be the first to be evicted. Who
// has not returned by then asks anew, so that others have their turn.
void FleetPlanner::UpdateKept(TimePoint now) {
  unserved_order_.clear();
  kept_.clear();
  if (!policies_.Has(Policy::kServiceTurns)) return;
  unserved_order_ = unserved_.InOrder();
  for (const UnservedDemand::Wait& wait : unserved_order_) {
    const CatalogueEntry* entry = FindEntry(wait.name);
    if (entry == nullptr) continue;
    const std::string& model = ModelOf(*entry);
    if (Locate(model).ready == 0) continue;
    const auto promise = promises_.find(wait.name);
    TimePoint until =
        promise == promises_.end() ? TimePoint{} : promise->second.ready_at;
    for (const std::string& id : Locate(model).holders) {
      const Engine& engine = engines_.at(id);
      for (const std::string& name : {model, wait.name}) {
        const auto holding = engine.holdings.find(name);
        if (holding == engine.holdings.end()) continue;
        if (holding->second.state != State::kReady) continue;
        until = std::max(until, holding->second.since);
      }
    }
    const bool is_ready = Locate(wait.name).ready > 0;
    if (is_ready && usage_.HasWaiting(wait.name)) {
      RecordServed(wait.name, now);  // Its callers are still there.
      continue;
    }
    if (now >= until + TimeToReturn(wait)) {
      if (is_ready) EndWait(wait.name, now);
      continue;
    }
    if (Locate(model).ready == 1) kept_.insert(model);
    if (is_ready && wait.asked_for() >= kUnservedBound) kept_.insert(wait.name);
  }
}

void FleetPlanner::EndWait(const std::string& target, TimePoint now) {
  promises_.erase(target);
  unserved_.RecordServed(target, now);
}

// Callers that do not follow Retry-After return in their own intervals.
Duration FleetPlanner::TimeToReturn(const UnservedDemand::Wait& wait) {
  if (wait.requests < 2) return kKeptForReturn;
  return std::clamp<Duration>(2 * wait.asked_for() / (wait.requests - 1),
                              kKeptForReturn, kUnservedBound);
}

// Estimates when the weight store can have delivered each target, so that hosts
// refuse requests that would miss their deadline and tell their callers when to
// return. Turns alternate between the model that has been unserved longest and
// all others, overloaded ones first.
void FleetPlanner::EstimateStoreTurns(TimePoint now) {
  store_ready_at_.clear();
  std::vector<TimePoint> slots;
  for (const auto& [id, engine] : engines_) {
    const auto& order = engine.model_order;
    if (!order || engine.is_unresponsive) continue;
    if (order->tier != CheckpointTier::kRemote) continue;
    slots.push_back(std::max(now, order->expected_end));
  }
  std::sort(slots.begin(), slots.end());
  const auto width = static_cast<size_t>(std::max(1.0, store_width_.width()));
  // The next load starts once fewer than `width` are left.
  if (slots.size() > width) slots.erase(slots.begin(), slots.end() - width);
  slots.resize(width, now);
  std::vector<const CatalogueEntry*> by_worth;
  std::vector<const CatalogueEntry*> by_wait;
  const auto add = [&](const std::string& target,
                       std::vector<const CatalogueEntry*>& line) {
    const CatalogueEntry* entry = FindEntry(target);
    if (entry != nullptr && NeedsStore(ModelOf(*entry))) line.push_back(entry);
  };
  for (const UsageTable::Demand& demand : usage_.Waiting()) {
    add(demand.target, by_worth);
  }
  for (const UnservedDemand::Wait& wait : unserved_order_) {
    add(wait.name, by_wait);
  }
  // The replicas' own load times differ little.
  Duration replica_load{0};
  for (const CatalogueEntry* entry : by_wait) {
    const CatalogueEntry* model = FindEntry(ModelOf(*entry));
    if (model == nullptr) continue;
    replica_load =
        std::max(replica_load, LoadTime(*model, CheckpointTier::kRemote));
  }
  std::map<std::string, TimePoint> ready_at;  // By model.
  const auto take = [&](const CatalogueEntry& entry) {
    const std::string& model = ModelOf(entry);
    const CatalogueEntry* loaded = FindEntry(model);
    if (loaded == nullptr) return false;
    const auto [known, is_new] = ready_at.try_emplace(model);
    if (is_new) {
      const auto slot = std::min_element(slots.begin(), slots.end());
      *slot += LoadTime(*loaded, CheckpointTier::kRemote);
      known->second = *slot;
    }
    store_ready_at_.try_emplace(entry.name, known->second);
    return is_new;
  };
  size_t next_worth = 0;
  size_t next_wait = 0;
  int replicas = lacking_replicas_;
  int owed = owed_store_loads_;
  while (next_worth < by_worth.size() || next_wait < by_wait.size()) {
    const bool has_others = replicas > 0 || next_worth < by_worth.size();
    if (next_wait < by_wait.size() && (owed > 0 || !has_others)) {
      if (take(*by_wait[next_wait++])) --owed;
    } else if (replicas > 0) {
      --replicas;
      owed += kOwedPerReplica;
      *std::min_element(slots.begin(), slots.end()) += replica_load;
    } else if (take(*by_worth[next_worth++])) {
      ++owed;
    }
  }
}

// Returns whether a load of `entry` has to begin now if callers who were told
// when to return, and can return before their deadline, shall find it.
bool FleetPlanner::IsPromiseDue(const CatalogueEntry& entry,
                                TimePoint now) const {
  const auto it = promises_.find(entry.name);
  const CatalogueEntry* model = FindEntry(ModelOf(entry));
  if (it == promises_.end() || model == nullptr) return false;
  const Promise& promise = it->second;
  if (promise.ready_at > promise.callers_until) return false;
  const Duration load = LoadTime(*model, CheckpointTier::kRemote);
  return now < promise.callers_until && now + load >= promise.ready_at;
}

// Limits the attempts to place one target. While the weight store is full there
// is nothing to try, and the first attempt after that must not be put off.
bool FleetPlanner::MayTry(const CatalogueEntry& entry, TimePoint now) {
  const CatalogueEntry* model = FindEntry(ModelOf(entry));
  if (model == nullptr) return false;
  if (NeedsStore(model->name) && !HasStoreCapacity(*model, now)) {
    RecordDeferral(entry.name, Deferral::kStoreFull);
    return false;
  }
  TimePoint& next_attempt = next_attempts_[entry.name];
  if (next_attempt > now) return false;
  next_attempt = now + kPlacementInterval;
  return true;
}

// Serves targets in the order in which their callers began to ask. By worth
// alone a rare one would be the last at each decision, and callers that are
// refused at once would never be there when an engine or the weight store is
// free.
//
// Those that have been asked for in vain for kUnservedBound take precedence on
// engines. They, and those whose callers were told to return soon, get at least
// every second load of the weight store.
void FleetPlanner::ServeUnserved(TimePoint now,
                                 std::vector<OrderToSend>& orders) {
  for (const UnservedDemand::Wait& wait : unserved_order_) {
    const CatalogueEntry* entry = FindEntry(wait.name);
    if (entry == nullptr) continue;
    const Locations& locations = Locate(wait.name);
    if (locations.ready + locations.loading > 0) continue;
    const std::string& name = ModelOf(*entry);
    const CatalogueEntry* model = FindEntry(name);
    if (model == nullptr) continue;
    const bool is_overdue = wait.asked_for() >= kUnservedBound;
    const Precedence precedence =
        is_overdue ? Precedence::kOverdue : Precedence::kWaiting;
    if (Locate(name).ready + Locate(name).loading > 0) {
      const bool is_next = is_overdue || kept_.contains(name);
      if (entry->base.empty() || !is_next || !MayTry(*entry, now)) continue;
      RecordDeferral(wait.name,
                     PlaceAdapter(*entry, wait.worth, precedence, now, orders));
      continue;
    }
    const bool needs_store = NeedsStore(name);
    const bool has_turn = needs_store
                              ? (owed_store_loads_ > 0 || StoreLoads() == 0) &&
                                    (is_overdue || IsPromiseDue(*entry, now))
                              : is_overdue;
    if (!has_turn) continue;
    if (!MayTry(*entry, now)) continue;
    const int owed = owed_store_loads_;
    const uint64_t sent = store_loads_sent_;
    const Deferral deferral = PlaceModel(
        *model, wait.worth,
        absl::StrCat("unserved for ", ToMillis(now - wait.since), " ms"),
        precedence, now, orders);
    RecordDeferral(wait.name, deferral);
    if (store_loads_sent_ != sent) owed_store_loads_ = std::max(0, owed - 1);
  }
}

void FleetPlanner::ServeWaiting(TimePoint now,
                                std::vector<OrderToSend>& orders) {
  for (const UsageTable::Demand& demand : usage_.Waiting()) {
    const CatalogueEntry* entry = FindEntry(demand.target);
    if (entry == nullptr) continue;
    const Locations& locations = Locate(demand.target);
    if (locations.ready + locations.loading > 0) continue;
    const auto ready_at = store_ready_at_.find(demand.target);
    if (ready_at != store_ready_at_.end()) {
      promises_[demand.target].ready_at = ready_at->second;
    }
    if (!MayTry(*entry, now)) continue;
    if (!entry->base.empty()) {
      RecordDeferral(demand.target,
                     PlaceAdapter(*entry, demand.worth, Precedence::kWaiting,
                                  now, orders));
      continue;
    }
    const Deferral deferral = PlaceModel(
        *entry, demand.worth,
        absl::StrCat(demand.waiting, " waiting, worth ", demand.worth),
        Precedence::kWaiting, now, orders);
    RecordDeferral(demand.target, deferral);
  }
  if (next_attempts_.size() > kMaxTrackedTargets) next_attempts_.clear();
  if (deferrals_.size() > kMaxTrackedTargets) deferrals_.clear();
  if (promises_.size() > kMaxTrackedTargets) promises_.clear();
  if (evicting_engines_.size() > kMaxTrackedTargets) evicting_engines_.clear();
}

// Loads models whose callers were refused because a load takes longer than they
// may wait: they were told to return when it is done.
void FleetPlanner::ServeRefused(TimePoint now,
                                std::vector<OrderToSend>& orders) {
  for (const UnservedDemand::Wait& wait : unserved_order_) {
    if (usage_.HasWaiting(wait.name)) continue;
    const CatalogueEntry* entry = FindEntry(wait.name);
    if (entry == nullptr) continue;
    const CatalogueEntry* model = FindEntry(ModelOf(*entry));
    if (model == nullptr || !Locate(model->name).holders.empty()) continue;
    if (!MayTry(*entry, now)) continue;
    RecordDeferral(wait.name,
                   PlaceModel(*model, wait.worth, "callers were refused",
                              Precedence::kWaiting, now, orders));
  }
}

// Logs only changes of the reason: a refusal can be traced to it without a log
// line per attempt.
void FleetPlanner::RecordDeferral(const std::string& target, Deferral reason) {
  const auto [known, is_new] = deferrals_.try_emplace(target, reason);
  if (!is_new && known->second == reason) return;
  known->second = reason;
  if (reason == Deferral::kNone) return;
  Record("load_put_off", "", target, DeferralName(reason));
}

// Logs what stands in the way of targets that are asked for in vain.
void FleetPlanner::LogUnserved(TimePoint now) {
  if (now - unserved_logged_at_ < kUnservedLogInterval) return;
  unserved_logged_at_ = now;
  unserved_.Expire(now);
  absl::erase_if(displaced_, [&](const auto& item) {
    return item.second <= now || Locate(item.first).ready > 0;
  });
  for (const UnservedDemand::Wait& wait :
       unserved_.TakeOverdue(kUnservedBound, now)) {
    const auto deferral = deferrals_.find(wait.name);
    const Locations& locations = Locate(wait.name);
    Record("target_unserved", "", wait.name,
           absl::StrCat(
               "put off: ",
               DeferralName(deferral == deferrals_.end() ? Deferral::kNone
                                                         : deferral->second),
               ", ", wait.requests, " requests, worth ", wait.worth, ", ",
               locations.holders.size(), " holders, ", locations.copies.size(),
               " copies, ", StoreLoads(), " loads from the store"),
           wait.asked_for());
  }
}

// Requests for adapters count for their base model, whose replicas serve them.
void FleetPlanner::SumUsage(TimePoint now) {
  if (now - summed_at_ < kSumInterval) return;
  summed_at_ = now;
  busy_.clear();
  for (const std::string& target : usage_.Targets()) {
    const CatalogueEntry* entry = FindEntry(target);
    if (entry == nullptr) continue;
    const bool is_adapter = !entry->base.empty();
    Usage& sum = busy_[is_adapter ? entry->base : entry->name];
    const double worth_rate = usage_.WorthRate(target, now);
    const double rate = usage_.Rate(target, now);
    sum.rate += rate;
    sum.expected_rate +=
        speeds_.AreKnown() ? usage_.ExpectedRate(target, now) : rate;
    sum.worth_rate += worth_rate;
    if (is_adapter) sum.adapter_worth_rate += worth_rate;
    sum.running += usage_.RunningForTarget(target);
  }
  if (speeds_.AreKnown()) UpdateArrivals();
}

// Hosts send a model's requests to its replicas about in proportion to their
// capacities.
void FleetPlanner::UpdateArrivals() {
  for (auto& [id, engine] : engines_) engine.arrivals = 0;
  for (const auto& [model, busy] : busy_) {
    const Locations& locations = Locate(model);
    const double all = std::max(kMinCapacity, ReadyCapacity(model, locations));
    for (const std::string& id : locations.holders) {
      Engine& engine = engines_.at(id);
      const auto holding = engine.holdings.find(model);
      const bool is_ready = holding != engine.holdings.end() &&
                            holding->second.state == State::kReady;
      if (!is_ready) continue;
      engine.arrivals += busy.rate / kRatePerReplica * ReplicaShare(id) / all;
    }
  }
}

// Returns the worth delayed because `engine` accepts no adapters while it
// executes a model order for `duration`.
double FleetPlanner::BlockedAdapterLoss(const Engine& engine,
                                        Duration duration) const {
  if (!policies_.Has(Policy::kBlockedAdapters)) return 0;
  double loss = 0;
  for (const auto& [name, holding] : engine.holdings) {
    if (holding.state != State::kReady) continue;
    const auto busy = busy_.find(name);
    if (busy == busy_.end()) continue;
    loss += busy->second.adapter_worth_rate / std::max(1, Locate(name).ready);
  }
  return loss * ToSeconds(duration) / 2;
}

// Returns the share of `rate` that `replicas` cannot serve.
double FleetPlanner::Unmet(double rate, double replicas) {
  if (rate <= 0) return 0;
  return std::max(0.0, 1.0 - replicas * kRatePerReplica / rate);
}

// Returns the number of further replicas needed to serve `rate`.
int FleetPlanner::MissingReplicas(double rate, double replicas) {
  return static_cast<int>(std::ceil(rate / kRatePerReplica - replicas));
}

double FleetPlanner::ReplicaShare(const std::string& engine) const {
  const double capacity = speeds_.Capacity(engine);
  const auto limit = limits_.find(engine);
  if (limit == limits_.end()) return capacity;
  return std::min(capacity, limit->second / kRatePerReplica);
}

double FleetPlanner::ReadyCapacity(const std::string& name,
                                   const Locations& locations) const {
  double capacity = locations.ready;
  if (limits_.empty() && !speeds_.AreKnown()) return capacity;
  const auto [known, is_new] = ready_capacities_.try_emplace(name, capacity);
  if (!is_new) return known->second;
  for (const std::string& id : locations.holders) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end()) continue;
    const auto holding = engine->second.holdings.find(name);
    const bool is_ready = holding != engine->second.holdings.end() &&
                          holding->second.state == State::kReady;
    if (is_ready) capacity -= 1 - ReplicaShare(id);
  }
  known->second = std::max(0.0, capacity);
  return known->second;
}

double FleetPlanner::LoadingCapacity(const std::string& name,
                                     const Locations& locations) const {
  double capacity = locations.loading;
  if (locations.loading == 0 || !speeds_.AreKnown()) return capacity;
  for (const std::string& id : locations.holders) {
    const Engine& engine = engines_.at(id);
    const auto holding = engine.holdings.find(name);
    const bool is_loading = holding != engine.holdings.end() &&
                            holding->second.state == State::kLoading;
    if (is_loading) capacity -= 1 - speeds_.Capacity(id);
  }
  return capacity;
}

// Loads missing replicas concurrently. One after the other, at 1.8 s each from
// disk, a model that rose to 44 requests per second had enough replicas only
// after 14 s, when demand was about to move on.
void FleetPlanner::ReplicateBusy(bool is_overloaded, TimePoint now,
                                 std::vector<OrderToSend>& orders) {
  const Policy policy =
      is_overloaded ? Policy::kOverloadReplicas : Policy::kSecondReplica;
  if (is_overloaded) lacking_replicas_ = 0;
  if (!policies_.Has(policy)) return;
  for (const auto& [model, busy] : busy_) {
    // Only a rate limit leaves less capacity than that.
    if (busy.rate < kBusyRate && limits_.empty()) continue;
    const Locations& locations = Locate(model);
    const double capacity = ReadyCapacity(model, locations);
    const double loading = LoadingCapacity(model, locations);
    const bool is_limited = capacity < locations.ready &&
                            Unmet(busy.expected_rate, capacity + loading) > 0;
    if (busy.rate < kBusyRate && !is_limited) continue;
    const CatalogueEntry* entry = FindEntry(model);
    if (entry == nullptr) continue;
    // Replicas being loaded count by the speeds of their engines.
    const double loading_surplus = loading - locations.loading;
    if (locations.loading >=
        std::max(1, MissingReplicas(busy.expected_rate,
                                    capacity + loading_surplus))) {
      continue;
    }
    int slots = 0;
    for (const std::string& id : locations.holders) {
      slots += engines_.at(id).listed.slots;
    }
    const bool is_full = busy.running > kBusyLoad * slots;
    const double unmet =
        is_full ? kBusyLoad : Unmet(busy.expected_rate, capacity + loading);
    if (locations.ready >= kBusyReplicas && unmet <= 0) continue;
    const double share = locations.ready == 0 ? 1.0 : unmet + kReplicaWorth;
    if ((unmet > 0) != is_overloaded) continue;
    // A replica for an overloaded model may wait for an engine; a spare one is
    // loaded only where it can start at once.
    const std::string reason =
        !is_overloaded ? "busy"
        : speeds_.AreKnown()
            ? OverloadReason(busy.expected_rate, capacity, locations.ready)
            : "overloaded";
    // A load from the store takes longer than demand can be foreseen, and
    // models that no engine has a copy of need the store.
    avoids_store_ =
        !is_full && is_overloaded && Unmet(busy.rate, capacity + loading) <= 0;
    const Deferral deferral = PlaceModel(
        *entry, busy.worth_rate * share * kReplicaHorizonSeconds, reason,
        is_overloaded ? Precedence::kWaiting : Precedence::kSpare, now, orders);
    if (is_overloaded && !avoids_store_ && deferral == Deferral::kStoreFull) {
      ++lacking_replicas_;
    }
  }
  avoids_store_ = false;
}

// Loads models of which no engine has a copy from the weight store ahead of
// their first request: a later load from memory or disk takes a fifth of the
// time. Uses the store's full width but no more, as further concurrent loads
// would only slow each other.
void FleetPlanner::SeedCopies(TimePoint now, std::vector<OrderToSend>& orders) {
  if (!policies_.Has(Policy::kSeeding)) return;
  if (catalogue_ == nullptr || next_seed_at_ > now) return;
  next_seed_at_ = now + kSeedInterval;
  const int max_loads = std::min(static_cast<int>(store_width_.width()),
                                 static_cast<int>(engines_.size() + 1) / 2);
  if (StoreLoads() >= max_loads) return;
  for (const auto& [name, entry] : *catalogue_) {
    if (!entry.base.empty() || entry.service.empty()) continue;
    const Locations& locations = Locate(name);
    if (!locations.holders.empty() || !locations.copies.empty()) continue;
    const Deferral deferral =
        PlaceModel(entry, kSeedWorth, "no engine has a copy",
                   Precedence::kSpare, now, orders);
    // Other models of this size would fail for the same reason.
    if (deferral != Deferral::kNone || StoreLoads() >= max_loads) return;
  }
}

// Returns the model with the highest worth rate that no engine holds, of which
// `engine` has a copy and which fits into its free memory; null if none.
const CatalogueEntry* FleetPlanner::BestForFreeMemory(const Engine& engine,
                                                      TimePoint now) const {
  const EngineClass* engine_class = FindClass(engine);
  if (engine_class == nullptr) return nullptr;
  const uint64_t used = UsedBytes(engine);
  const CatalogueEntry* best = nullptr;
  double best_worth = 0;
  const auto consider = [&](const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      const CatalogueEntry* entry = FindEntry(name);
      if (entry == nullptr || entry->service != engine.listed.service) continue;
      if (used + entry->bytes > engine_class->memory_bytes) continue;
      if (!Locate(name).holders.empty()) continue;
      const double worth = usage_.WorthRate(name, now);
      if (best != nullptr && worth <= best_worth) continue;
      best = entry;
      best_worth = worth;
    }
  };
  // Loads from host memory are faster, so they win ties.
  consider(engine.listed.in_host_memory);
  consider(engine.listed.on_disk);
  return best;
}

// Loads models that no engine holds into the free memory of idle engines. An
// engine that restarts after a crash is empty but has copies on disk. Without
// this the first request for each of its models would wait 1.9 s for a load,
// and longer for the second and third one, as the engine loads one at a time.
void FleetPlanner::FillFreeMemory(TimePoint now,
                                  std::vector<OrderToSend>& orders) {
  if (!policies_.Has(Policy::kFreeMemory) || next_fill_at_ > now) return;
  next_fill_at_ = now + kFillInterval;
  int started = 0;
  for (auto& [id, engine] : engines_) {
    if (started >= kMaxFillsPerInterval) return;
    const bool has_reservation =
        engine.reserved_until > now && !engine.reserved_for.empty();
    if (engine.model_order || has_reservation || !MayOrder(engine)) continue;
    const CatalogueEntry* entry = BestForFreeMemory(engine, now);
    if (entry == nullptr) continue;
    SendOrder(engine, OrderKind::kLoad, *entry, TierOn(engine, entry->name),
              "free memory", now, orders);
    IndexHoldings();  // So that the next engine does not load it as well.
    ++started;
  }
}

void FleetPlanner::Decide(bool may_order, TimePoint now,
                          std::vector<OrderToSend>& orders) {
  usage_.Expire(now);
  LogUnserved(now);
  ExpireCalls(now);
  store_width_.Advance(StoreLoads(), now);
  RequestReports(now, orders);
  UpdateResponsiveness(now);
  if (!may_order || is_superseded_ || classes_ == nullptr) return;
  IndexHoldings();
  SumUsage(now);
  UpdateKept(now);
  EstimateStoreTurns(now);
  ServeUnserved(now, orders);
  // Waiting requests can occupy the single order of every engine, so models
  // that are overloaded or no longer loaded anywhere come first.
  ReplicateBusy(/*is_overloaded=*/true, now, orders);
  ServeVersions(now, orders);
  ServeWaiting(now, orders);
  ServeRefused(now, orders);
  ReplicateBusy(/*is_overloaded=*/false, now, orders);
  SeedCopies(now, orders);
  FillFreeMemory(now, orders);
  IndexHoldings();  // So that answers include the orders just sent.
}

DemandAnswer FleetPlanner::Answer(const std::string& target,
                                  TimePoint now) const {
  if (const auto demand = versioned_.find(target); demand != versioned_.end()) {
    return AnswerVersioned(target, demand->second, now);
  }
  DemandAnswer answer{target, "", DemandStatus::kNoPlace, Duration{0}};
  const CatalogueEntry* entry = FindEntry(target);
  if (entry == nullptr) return answer;
  const Locations& locations = Locate(target);
  if (locations.ready > 0) {
    answer.status = DemandStatus::kReady;
    return answer;
  }
  const auto deferral = deferrals_.find(target);
  if (deferral != deferrals_.end()) answer.deferral = deferral->second;
  const auto ready_at = store_ready_at_.find(target);
  if (ready_at != store_ready_at_.end()) {
    answer.status = DemandStatus::kQueued;
    answer.expected = std::max(Duration{0}, ready_at->second - now);
    return answer;
  }
  for (const std::string& id : locations.holders) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end()) continue;
    const auto it = engine->second.holdings.find(target);
    if (it == engine->second.holdings.end() ||
        it->second.state != State::kLoading) {
      continue;
    }
    answer.status = DemandStatus::kLoading;
    const auto& order = engine->second.model_order;
    if (order && order->name == target) {
      // Assumes that a late load needs its lateness once more. If it counted as
      // due at any moment, callers would wait until they leave after 12 s while
      // a slow store takes 50 s.
      const Duration left = order->expected_end - now;
      answer.expected = std::chrono::abs(left);
    }
    return answer;
  }
  CheckpointTier tier = CheckpointTier::kRemote;
  for (const std::string& id : locations.copies) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end() || engine->second.is_unresponsive) continue;
    tier = std::min(tier, TierOn(engine->second, target));
  }
  const bool has_engine =
      std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
        const Engine& engine = item.second;
        return engine.listed.service == entry->service &&
               !engine.listed.is_leaving && !engine.is_rejecting &&
               !engine.is_unresponsive;
      });
  if (!has_engine) return answer;
  answer.status = DemandStatus::kQueued;
  answer.expected = entry->base.empty() ? LoadTime(*entry, tier) : kAdapterLoad;
  return answer;
}

const char* FleetPlanner::StateName(State state) {
  switch (state) {
    case State::kLoading:
      return "loading";
    case State::kReady:
      return "ready";
    case State::kWithdrawn:
      return "withdrawn";
    case State::kUnloading:
      return "unloading";
  }
  return "";
}

Json FleetPlanner::ToJson(TimePoint now) const {
  Json json{{"token", token_},
            {"superseded", is_superseded_},
            {"store_width", store_width_.width()},
            {"store_loads", StoreLoads()},
            {"longest_unserved_s", ToSeconds(unserved_.Longest())},
            {"engines", Json::object()}};
  for (const auto& [id, engine] : engines_) {
    Json item{{"known", engine.is_known},
              {"rejecting", engine.is_rejecting},
              {"accepted_orders", engine.accepted_orders},
              {"used_bytes", UsedBytes(engine)},
              {"holdings", Json::object()}};
    if (engine.model_order) {
      item["order"] =
          Json{{"name", engine.model_order->name},
               {"age_ms", ToMillis(now - engine.model_order->sent_at)},
               {"accepted", engine.model_order->is_accepted}};
    }
    for (const auto& [name, holding] : engine.holdings) {
      item["holdings"][name] = StateName(holding.state);
    }
    json["engines"][id] = std::move(item);
  }
  return json;
}

}  // namespace applehall

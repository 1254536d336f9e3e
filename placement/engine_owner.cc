#include "placement/engine_owner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/hash.h"

namespace applehall {
namespace {

// A demand expires if it is not repeated within this time.
constexpr Duration kDemandTtl = std::chrono::seconds(2);
constexpr Duration kSendWithin = std::chrono::seconds(2);
constexpr Duration kFailedLoadBackoff = std::chrono::seconds(3);
// A replica younger than this is not evicted: the requests it was loaded for
// have not had time to reach it.
constexpr Duration kMinResidency = std::chrono::seconds(3);
constexpr Duration kEvictionHorizon = std::chrono::minutes(2);
constexpr double kEvictionPenaltySeconds = 1.0;
// The oracle keeps a model that is used again within this many load times.
constexpr int kOracleKeepLoads = 20;
constexpr int kLoadingInspectSpeedup = 5;

bool HasAdapters(const EngineOwner::EngineState& engine,
                 const std::string& name) {
  return std::any_of(
      engine.ledger.holdings().begin(), engine.ledger.holdings().end(),
      [&](const auto& entry) { return entry.second.base == name; });
}

std::string LoadKey(const std::string& engine, const std::string& target) {
  return absl::StrCat(engine, "/", target);
}

bool IsLoad(const Holding& holding) {
  return holding.state == HoldingState::kOrdered ||
         holding.state == HoldingState::kLoading;
}

bool HasLoading(const MemoryLedger& ledger) {
  return std::any_of(ledger.holdings().begin(), ledger.holdings().end(),
                     [](const auto& entry) { return IsLoad(entry.second); });
}

const char* HoldingStateName(HoldingState state) {
  switch (state) {
    case HoldingState::kOrdered:
      return "ordered";
    case HoldingState::kLoading:
      return "loading";
    case HoldingState::kReady:
      return "ready";
    case HoldingState::kUnloading:
      return "unloading";
  }
  return "ordered";
}

}  // namespace

EngineOwner::EngineOwner(std::string group, Incarnation self,
                         FencingToken token, OwnerSettings settings)
    : group_(std::move(group)),
      self_(std::move(self)),
      token_(token),
      settings_(settings),
      idle_policy_(settings.default_keep) {}

void EngineOwner::SetEngines(const std::vector<EngineFacts>& engines) {
  std::map<std::string, EngineState> next;
  for (const EngineFacts& facts : engines) {
    const auto it = engines_.find(facts.name);
    if (it != engines_.end()) {
      it->second.facts = facts;
      next.insert(engines_.extract(it));
      continue;
    }
    EngineState& state = next[facts.name];
    state.facts = facts;
    state.ledger = MemoryLedger(facts.checks_fence, settings_.order_horizon);
  }
  // The remaining engines have departed; their loads have ended.
  for (const auto& [name, engine] : engines_) {
    CheckpointTier tier = CheckpointTier::kRemote;
    for (const auto& [target, holding] : engine.ledger.holdings()) {
      EndStoreLoad(name, target, tier);
    }
  }
  engines_ = std::move(next);
}

int EngineOwner::ReleaseStoreLoads() {
  const auto open = std::count_if(
      load_tiers_.begin(), load_tiers_.end(), [](const auto& entry) {
        return entry.second == CheckpointTier::kRemote;
      });
  load_tiers_.clear();
  return static_cast<int>(open);
}

void EngineOwner::HandleDemand(const Demand& demand, TimePoint now) {
  demands_[{demand.target, demand.host}] = {demand, now};
  if (demand.waiting <= 0) return;
  demanded_until_[demand.target] = now + kDemandTtl;
  idle_policy_.RecordUse(demand.target, now);
}

bool EngineOwner::EndStoreLoad(const std::string& engine,
                               const std::string& target,
                               CheckpointTier& tier) {
  const auto it = load_tiers_.find(LoadKey(engine, target));
  if (it == load_tiers_.end()) return false;
  tier = it->second;
  load_tiers_.erase(it);
  if (tier == CheckpointTier::kRemote) ++ended_store_loads_;
  return true;
}

void EngineOwner::ApplyChange(EngineState& engine, const LedgerChange& change,
                              TimePoint now) {
  CheckpointTier tier = CheckpointTier::kRemote;
  const std::string& name = engine.facts.name;
  switch (change.kind) {
    case LedgerChange::Kind::kReady:
      if (EndStoreLoad(name, change.name, tier)) {
        predictor_.Observe(engine.ledger.Find(change.name)->bytes, tier,
                           change.load_time);
      }
      Record("load_ready", name, change.name, std::string(TierName(tier)),
             change.load_time);
      return;
    case LedgerChange::Kind::kLoadFailed:
      EndStoreLoad(name, change.name, tier);
      // An order that was refused or lost does not mean that the model cannot
      // be loaded, so it is retried without backoff.
      if (change.detail == OrderResultName(OrderResult::kLoadFailed)) {
        failed_until_[change.name] = now + kFailedLoadBackoff;
      }
      Record("load_failed", name, change.name, change.detail);
      return;
    case LedgerChange::Kind::kGone:
      Record("unloaded", name, change.name, change.detail);
      return;
    case LedgerChange::Kind::kAdopted:
      Record("adopted", name, change.name, "found in the inventory");
      return;
  }
}

void EngineOwner::HandleInventory(const Inventory& inventory,
                                  TimePoint requested_at, TimePoint now) {
  const auto it = engines_.find(inventory.engine);
  if (it == engines_.end()) return;
  EngineState& engine = it->second;
  engine.last_answer = now;
  engine.last_requested_at = std::max(engine.last_requested_at, requested_at);
  for (const LedgerChange& change :
       engine.ledger.Reconcile(inventory, requested_at, now)) {
    ApplyChange(engine, change, now);
  }
  for (const Replica& replica : inventory.replicas) {
    if (replica.state != ReplicaState::kReady) continue;
    // A replica that was never used reports the time of its load as last use.
    const Holding* holding = engine.ledger.Find(replica.name);
    if (holding == nullptr || replica.last_used <= holding->settled_at) {
      continue;
    }
    idle_policy_.RecordUse(replica.name, replica.last_used);
  }
}

void EngineOwner::SetUnfencedBlocked(bool blocked, TimePoint now) {
  if (unfenced_blocked_ && !blocked) unfenced_unblocked_at_ = now;
  unfenced_blocked_ = blocked;
}

// An engine that does not check fences also executes the orders of an earlier
// owner until that owner has released the group or its departure is confirmed.
// Their effect shows only in an inventory requested after that.
bool EngineOwner::IsSharedWithEarlierOwner(const EngineState& engine) const {
  if (engine.facts.checks_fence) return false;
  return unfenced_blocked_ || engine.last_requested_at < unfenced_unblocked_at_;
}

bool EngineOwner::MayOrder(const EngineState& engine) const {
  if (engine.facts.is_leaving || !engine.ledger.is_known()) return false;
  // Otherwise two owners could fill the same memory.
  return !IsSharedWithEarlierOwner(engine);
}

ReplicaBounds EngineOwner::BoundsFor(const std::string& target,
                                     const PlacementPolicy& policy) const {
  ReplicaBounds bounds = policy.bounds->FindBounds(target);
  // A base model may have demand through its adapters only.
  for (const auto& [key, level] : demands_) {
    const auto it = policy.catalogue->find(level.demand.target);
    if (it == policy.catalogue->end() || it->second.base != target) continue;
    bounds.most = std::max(bounds.most,
                           policy.bounds->FindBounds(level.demand.target).most);
  }
  return bounds;
}

EngineOwner::ReplicaCount EngineOwner::Count(const std::string& target) const {
  ReplicaCount count;
  for (const auto& [name, engine] : engines_) {
    if (!engine.ledger.is_known()) {
      ++count.unknown;
      ++count.held;
      continue;
    }
    const Holding* holding = engine.ledger.Find(target);
    if (holding == nullptr) {
      if (IsSharedWithEarlierOwner(engine)) ++count.foreign;
      continue;
    }
    ++count.held;
    if (IsLoad(*holding)) ++count.loading;
    if (holding->state != HoldingState::kReady || engine.facts.is_leaving) {
      continue;
    }
    ++count.ready;
    count.slots += engine.ledger.inventory().slots;
    count.running += engine.ledger.inventory().running;
  }
  return count;
}

std::vector<EngineOwner::TargetDemand> EngineOwner::GatherDemand(
    const PlacementPolicy& policy, TimePoint now) const {
  std::map<std::string, TargetDemand> by_target;
  for (const auto& [key, level] : demands_) {
    if (level.received_at + kDemandTtl < now || level.demand.waiting <= 0) {
      continue;
    }
    TargetDemand& sum = by_target[level.demand.target];
    sum.slack = sum.waiting == 0 ? level.demand.slack
                                 : std::min(sum.slack, level.demand.slack);
    sum.target = level.demand.target;
    sum.waiting += level.demand.waiting;
    sum.worth += level.demand.worth;
    sum.is_background = sum.is_background && level.demand.is_background;
  }
  std::vector<TargetDemand> demand;
  for (auto& [target, sum] : by_target) demand.push_back(std::move(sum));
  AddStanding(policy, now, demand);
  std::stable_sort(demand.begin(), demand.end(),
                   [](const TargetDemand& a, const TargetDemand& b) {
                     if (a.is_prewarm != b.is_prewarm) return b.is_prewarm;
                     if (a.is_background != b.is_background) {
                       return b.is_background;
                     }
                     return a.worth > b.worth;
                   });
  return demand;
}

void EngineOwner::AddStanding(const PlacementPolicy& policy, TimePoint now,
                              std::vector<TargetDemand>& demand) const {
  const auto has_entry = [&demand](const std::string& target) {
    return std::any_of(demand.begin(), demand.end(),
                       [&](const auto& item) { return item.target == target; });
  };
  for (const std::string& target : policy.bounds->AlwaysLoadedModels()) {
    if (has_entry(target)) continue;
    TargetDemand standing;
    standing.target = target;
    standing.is_background = false;
    demand.push_back(standing);
  }
  if (settings_.keep_policy == KeepPolicy::kFixedTimeToLive) return;
  const auto add_prewarm = [&](const std::string& target) {
    if (has_entry(target)) return;
    TargetDemand prewarm;
    prewarm.target = target;
    prewarm.is_prewarm = true;
    demand.push_back(prewarm);
  };
  if (settings_.keep_policy == KeepPolicy::kAlwaysWarm) {
    for (const auto& [target, entry] : *policy.catalogue) add_prewarm(target);
    return;
  }
  for (const std::string& target : idle_policy_.KnownModels()) {
    const auto entry = policy.catalogue->find(target);
    if (entry == policy.catalogue->end()) continue;
    const Duration lead = PredictLoad(entry->second);
    const IdlePlan plan = PlanFor(target, lead, policy, now);
    if (plan.prewarm_at == Duration::zero()) continue;
    const Duration idle = now - idle_policy_.LastUse(target);
    if (idle < plan.prewarm_at - lead || idle >= plan.prewarm_until) continue;
    add_prewarm(target);
  }
}

int EngineOwner::DesiredReplicas(const TargetDemand& demand,
                                 const ReplicaCount& count,
                                 const ReplicaBounds& bounds) const {
  int desired = std::max(1, bounds.least);
  // Requests wait although replicas are ready, so the replicas are full.
  if (count.ready > 0 && demand.waiting > count.slots / count.ready) {
    desired = std::max(desired, count.ready + 1);
  }
  return desired;
}

void EngineOwner::ServeDemand(
    const TargetDemand& demand, const PlacementPolicy& policy,
    StoreBudget& store,
    const std::function<int(const std::string&, int)>& quota, TimePoint now,
    std::vector<OrderToSend>& orders) {
  const auto entry = policy.catalogue->find(demand.target);
  if (entry == policy.catalogue->end()) return;
  const auto failed = failed_until_.find(demand.target);
  if (failed != failed_until_.end() && failed->second > now) return;
  const ReplicaBounds bounds = BoundsFor(demand.target, policy);
  const ReplicaCount count = Count(demand.target);
  // A superseded owner that has not noticed it yet may load one more replica on
  // each engine that accepts its orders; the bound covers both owners together.
  const int allowed = quota(demand.target, bounds.most) - count.foreign;
  const int desired = DesiredReplicas(demand, count, bounds);
  if (count.held >= std::min(allowed, desired)) return;
  TryLoad(demand, entry->second, store, policy, now, orders);
  if (entry->second.base.empty()) return;
  // An adapter needs its base model on an engine of this group.
  const ReplicaCount base = Count(entry->second.base);
  if (base.ready + base.loading > 0 || base.held > base.unknown) return;
  TargetDemand for_base = demand;
  for_base.target = entry->second.base;
  ServeDemand(for_base, policy, store, quota, now, orders);
}

void EngineOwner::Decide(
    const PlacementPolicy& policy, StoreBudget& store,
    const std::function<int(const std::string&, int)>& quota, TimePoint now,
    std::vector<OrderToSend>& orders) {
  for (; ended_store_loads_ > 0; --ended_store_loads_) store.End();
  Inspect(now, orders);
  needs_store_ = false;
  if (stopped_) return;
  std::erase_if(demands_, [now](const auto& entry) {
    return entry.second.received_at + kDemandTtl < now;
  });
  std::erase_if(demanded_until_,
                [now](const auto& entry) { return entry.second < now; });
  for (const TargetDemand& demand : GatherDemand(policy, now)) {
    ServeDemand(demand, policy, store, quota, now, orders);
  }
  UnloadIdle(policy, now, orders);
}

bool EngineOwner::CanHost(const EngineState& engine,
                          const CatalogueEntry& entry) const {
  if (!MayOrder(engine) || engine.ledger.Find(entry.name) != nullptr) {
    return false;
  }
  if (!entry.base.empty()) {
    const Holding* base = engine.ledger.Find(entry.base);
    if (base == nullptr || base->state != HoldingState::kReady) return false;
  }
  const auto loading = std::count_if(
      engine.ledger.holdings().begin(), engine.ledger.holdings().end(),
      [](const auto& item) { return IsLoad(item.second); });
  return loading < settings_.loads_per_engine;
}

const EngineOwner::EngineState* EngineOwner::ChooseEngine(
    const TargetDemand& demand, const CatalogueEntry& entry) const {
  const EngineState* best = nullptr;
  double best_cost = 0;
  for (const auto& [name, engine] : engines_) {
    if (!CanHost(engine, entry)) continue;
    const uint64_t soon = engine.ledger.free_bytes() + UnloadingBytes(engine);
    const bool must_evict = soon < entry.bytes;
    if (must_evict && demand.is_prewarm) continue;
    if (must_evict && soon + EvictableBytes(engine, entry.base) < entry.bytes) {
      continue;
    }
    const Inventory& inventory = engine.ledger.inventory();
    double cost =
        ToSeconds(predictor_.Predict(entry.bytes, TierOn(engine, entry.name)));
    if (must_evict) cost += kEvictionPenaltySeconds;
    if (HasLoading(engine.ledger)) cost += kEvictionPenaltySeconds;
    cost +=
        static_cast<double>(inventory.running) / std::max(1, inventory.slots);
    if (best != nullptr && cost >= best_cost) continue;
    best = &engine;
    best_cost = cost;
  }
  return best;
}

bool EngineOwner::TryLoad(const TargetDemand& demand,
                          const CatalogueEntry& entry, StoreBudget& store,
                          const PlacementPolicy& policy, TimePoint now,
                          std::vector<OrderToSend>& orders) {
  const EngineState* chosen = ChooseEngine(demand, entry);
  if (chosen == nullptr) return false;
  EngineState& engine = engines_.at(chosen->facts.name);
  if (engine.ledger.free_bytes() < entry.bytes) {
    Evict(engine, entry, policy, now, orders);
    return false;
  }
  const CheckpointTier tier = TierOn(engine, entry.name);
  if (tier == CheckpointTier::kRemote && !store.TryBegin(now)) {
    needs_store_ = needs_store_ || !demand.is_prewarm;
    return false;
  }
  EngineOrder order = MakeOrder(engine, OrderKind::kLoad, entry.name, now);
  order.base = entry.base;
  order.bytes = entry.bytes;
  if (!engine.ledger.Reserve(order, now)) {
    if (tier == CheckpointTier::kRemote) store.End();
    return false;
  }
  load_tiers_[LoadKey(engine.facts.name, entry.name)] = tier;
  Record("load_ordered", engine.facts.name, entry.name,
         demand.is_prewarm
             ? "prewarm before expected use"
             : absl::StrCat(demand.waiting, " waiting, worth ", demand.worth));
  orders.push_back({engine.facts.name, engine.facts.address, order});
  engine.next_inspect =
      std::min(engine.next_inspect,
               now + settings_.inspect_interval / kLoadingInspectSpeedup);
  return true;
}

uint64_t EngineOwner::UnloadingBytes(const EngineState& engine) {
  uint64_t bytes = 0;
  for (const auto& [name, holding] : engine.ledger.holdings()) {
    if (holding.state == HoldingState::kUnloading) bytes += holding.bytes;
  }
  return bytes;
}

bool EngineOwner::HasDemand(const std::string& target) const {
  return demanded_until_.contains(target);
}

bool EngineOwner::IsUnused(const std::string& name, const Holding& holding,
                           TimePoint seen_at) const {
  if (holding.state != HoldingState::kReady || holding.running > 0) {
    return false;
  }
  if (HasDemand(name)) return false;
  return seen_at - std::max(holding.settled_at, holding.last_used) >=
         kMinResidency;
}

// A base model is evictable only if all its adapters are; they go first.
bool EngineOwner::IsEvictable(const EngineState& engine,
                              const std::string& name,
                              const Holding& holding) const {
  if (!IsUnused(name, holding, engine.last_answer)) return false;
  for (const auto& [other, adapter] : engine.ledger.holdings()) {
    if (adapter.base != name || adapter.state == HoldingState::kUnloading) {
      continue;
    }
    if (!IsUnused(other, adapter, engine.last_answer)) return false;
  }
  return true;
}

uint64_t EngineOwner::EvictableBytes(const EngineState& engine,
                                     const std::string& keep_base) const {
  uint64_t bytes = 0;
  for (const auto& [name, holding] : engine.ledger.holdings()) {
    if (name != keep_base && IsEvictable(engine, name, holding)) {
      bytes += holding.bytes;
    }
  }
  return bytes;
}

void EngineOwner::Evict(EngineState& engine, const CatalogueEntry& entry,
                        const PlacementPolicy& policy, TimePoint now,
                        std::vector<OrderToSend>& orders) {
  const auto soon = [&engine] {
    return engine.ledger.free_bytes() + UnloadingBytes(engine);
  };
  while (soon() < entry.bytes) {
    const uint64_t before = soon();
    EvictOne(engine, entry, policy, now, orders);
    if (soon() == before) return;
  }
}

// Unloads the replica with the lowest eviction cost: load time, times the
// probability of use within the horizon, per byte freed.
void EngineOwner::EvictOne(EngineState& engine, const CatalogueEntry& entry,
                           const PlacementPolicy& policy, TimePoint now,
                           std::vector<OrderToSend>& orders) {
  std::string victim;
  double min_cost = 0;
  for (const auto& [name, holding] : engine.ledger.holdings()) {
    if (name == entry.base || !IsEvictable(engine, name, holding)) continue;
    const Duration idle = now - std::max(holding.last_used, holding.settled_at);
    double cost =
        ToSeconds(predictor_.Predict(holding.bytes, TierOn(engine, name))) *
        idle_policy_.UseProbability(name, idle, kEvictionHorizon) /
        static_cast<double>(std::max<uint64_t>(1, holding.bytes));
    // Models that rules keep warm go last.
    if (Count(name).ready <= policy.bounds->FindBounds(name).least) cost += 1.0;
    if (!victim.empty() && cost >= min_cost) continue;
    victim = name;
    min_cost = cost;
  }
  if (victim.empty()) return;
  const std::string reason = absl::StrCat("load of ", entry.name);
  bool has_adapters = false;
  std::vector<std::string> adapters;
  for (const auto& [name, holding] : engine.ledger.holdings()) {
    if (holding.base != victim) continue;
    has_adapters = true;
    if (holding.state == HoldingState::kReady) adapters.push_back(name);
  }
  for (const std::string& name : adapters) {
    Unload(engine, name, reason, now, orders);
  }
  // The engine refuses to unload a base model that still has adapters.
  if (!has_adapters) Unload(engine, victim, reason, now, orders);
}

void EngineOwner::Unload(EngineState& engine, const std::string& name,
                         const std::string& reason, TimePoint now,
                         std::vector<OrderToSend>& orders) {
  const EngineOrder order = MakeOrder(engine, OrderKind::kUnload, name, now);
  if (!engine.ledger.BeginUnload(order, now)) return;
  Record("unload_ordered", engine.facts.name, name, reason);
  orders.push_back({engine.facts.name, engine.facts.address, order});
  engine.next_inspect =
      std::min(engine.next_inspect,
               now + settings_.inspect_interval / kLoadingInspectSpeedup);
}

bool EngineOwner::IsExpired(const EngineState& engine, const std::string& name,
                            const Holding& holding,
                            const PlacementPolicy& policy,
                            TimePoint now) const {
  if (settings_.keep_policy == KeepPolicy::kAlwaysWarm) return false;
  const TimePoint last = std::max(holding.last_used, holding.settled_at);
  const ReplicaBounds bounds = policy.bounds->FindBounds(name);
  const Duration idle = now - last;
  if (idle < kMinResidency) return false;
  if (bounds.keep_warm > Duration::zero()) return idle >= bounds.keep_warm;
  if (settings_.keep_policy == KeepPolicy::kFixedTimeToLive) {
    return idle >= settings_.default_keep;
  }
  const Duration load = predictor_.Predict(holding.bytes, TierOn(engine, name));
  const IdlePlan plan = PlanFor(name, load, policy, now);
  const TimePoint used = idle_policy_.LastUse(name);
  const Duration since_use = used == TimePoint{} ? idle : now - used;
  const bool is_prewarm_time =
      since_use >= plan.prewarm_at - load && since_use < plan.prewarm_until;
  return since_use >= plan.keep_for && !is_prewarm_time;
}

void EngineOwner::UnloadIdle(const PlacementPolicy& policy, TimePoint now,
                             std::vector<OrderToSend>& orders) {
  for (auto& [engine_name, engine] : engines_) {
    if (!MayOrder(engine)) continue;
    std::vector<std::string> leaving;
    for (const auto& [name, holding] : engine.ledger.holdings()) {
      if (!IsEvictable(engine, name, holding) || HasAdapters(engine, name)) {
        continue;
      }
      if (Count(name).ready <= policy.bounds->FindBounds(name).least) continue;
      if (IsExpired(engine, name, holding, policy, now)) {
        leaving.push_back(name);
      }
    }
    for (const std::string& name : leaving) {
      Unload(engine, name, "idle", now, orders);
    }
  }
}

void EngineOwner::Inspect(TimePoint now, std::vector<OrderToSend>& orders) {
  for (auto& [name, engine] : engines_) {
    if (engine.next_inspect > now) continue;
    engine.next_inspect =
        now + settings_.inspect_interval /
                  (HasLoading(engine.ledger) ? kLoadingInspectSpeedup : 1);
    EngineOrder order = MakeOrder(engine, OrderKind::kInspect, "", now);
    // Sequence 0 raises only the engine's token. A sequence above that of an
    // unanswered order settles it: the engine refuses it from then on.
    if (!engine.ledger.HasUnsettledOrder(now - settings_.unsettled_after)) {
      order.fence.sequence = 0;
    }
    orders.push_back({name, engine.facts.address, order});
  }
}

EngineOrder EngineOwner::MakeOrder(EngineState& engine, OrderKind kind,
                                   const std::string& name, TimePoint now) {
  EngineOrder order;
  order.id = absl::StrCat(self_.host, ".", self_.number, ".", token_, ".",
                          ++last_order_);
  order.kind = kind;
  order.engine_incarnation =
      kind == OrderKind::kInspect ? 0 : engine.ledger.incarnation();
  order.fence = {token_, ++last_sequence_};
  order.name = name;
  order.send_by = now + kSendWithin;
  if (kind != OrderKind::kInspect) last_order_at_ = now;
  return order;
}

IdlePlan EngineOwner::PlanFor(const std::string& target, Duration load_time,
                              const PlacementPolicy& policy,
                              TimePoint now) const {
  if (settings_.keep_policy != KeepPolicy::kOracle) {
    return idle_policy_.PlanFor(target, load_time, policy.weights);
  }
  // The oracle unloads a model at once and reloads it just in time.
  IdlePlan plan;
  const TimePoint last = idle_policy_.LastUse(target);
  const TimePoint next = settings_.next_use(target, now);
  if (next == TimePoint::max()) return plan;
  if (next - last < load_time * kOracleKeepLoads) {
    plan.keep_for = next - last + std::chrono::seconds(2);
    return plan;
  }
  const Duration lead = load_time * 2 + std::chrono::seconds(2);
  plan.prewarm_at = std::max(Duration{1}, next - lead - last);
  plan.prewarm_until = next - last + std::chrono::seconds(2);
  return plan;
}

CheckpointTier EngineOwner::TierOn(const EngineState& engine,
                                   const std::string& name) {
  const auto& tiers = engine.ledger.inventory().tiers;
  const auto it = tiers.find(name);
  return it == tiers.end() ? CheckpointTier::kRemote : it->second;
}

Duration EngineOwner::PredictLoad(const CatalogueEntry& entry) const {
  CheckpointTier nearest = CheckpointTier::kRemote;
  for (const auto& [name, engine] : engines_) {
    nearest = std::min(nearest, TierOn(engine, entry.name));
  }
  return predictor_.Predict(entry.bytes, nearest);
}

DemandAnswer EngineOwner::Answer(
    const std::string& target, const PlacementPolicy& policy,
    const StoreBudget& store,
    const std::function<int(const std::string&, int)>& quota,
    TimePoint now) const {
  DemandAnswer answer{target, group_, DemandStatus::kNoPlace, Duration{0}};
  const auto entry = policy.catalogue->find(target);
  if (entry == policy.catalogue->end()) return answer;
  const ReplicaCount count = Count(target);
  if (count.ready > 0) {
    answer.status = DemandStatus::kReady;
    return answer;
  }
  answer.expected = PredictLoad(entry->second);
  if (count.loading > 0) {
    answer.status = DemandStatus::kLoading;
    for (const auto& [name, engine] : engines_) {
      const Holding* holding = engine.ledger.Find(target);
      if (holding == nullptr || !IsLoad(*holding)) continue;
      answer.expected =
          std::max(Duration{0}, answer.expected - (now - holding->ordered_at));
    }
    return answer;
  }
  const auto failed = failed_until_.find(target);
  if (failed != failed_until_.end() && failed->second > now) {
    answer.status = DemandStatus::kFailed;
    answer.expected += failed->second - now;
    return answer;
  }
  const int allowed = quota(target, BoundsFor(target, policy).most);
  if (count.unknown > 0 && count.held >= allowed && allowed > 0) {
    answer.status = DemandStatus::kUnknown;
    return answer;
  }
  // An earlier owner may load it on an engine that this owner may not order.
  const bool is_reserved_for_earlier =
      count.foreign > 0 && count.held + count.foreign >= allowed;
  if (allowed <= 0 || is_reserved_for_earlier) return answer;
  const bool is_adapter = !entry->second.base.empty();
  if (is_adapter) {
    const auto base = policy.catalogue->find(entry->second.base);
    if (base != policy.catalogue->end() &&
        Count(base->second.name).ready == 0) {
      answer.expected += PredictLoad(base->second);
    }
  }
  TargetDemand demand;
  demand.target = target;
  if (!is_adapter && ChooseEngine(demand, entry->second) == nullptr) {
    return answer;
  }
  answer.status = DemandStatus::kQueued;
  answer.expected += store.TimeUntilLoad(now);
  return answer;
}

bool EngineOwner::IsIdle(TimePoint now) const {
  return std::none_of(engines_.begin(), engines_.end(), [&](const auto& item) {
    return item.second.ledger.HasUnsettledOrder(now + Duration{1});
  });
}

void EngineOwner::Record(std::string event, const std::string& engine,
                         const std::string& target, std::string reason,
                         Duration took) {
  events_.push_back(
      {std::move(event), engine, target, std::move(reason), took});
}

Json EngineOwner::ToJson(TimePoint now) const {
  Json json{{"group", group_},
            {"token", token_},
            {"unfenced_blocked", unfenced_blocked_},
            {"stopped", stopped_},
            {"engines", Json::object()},
            {"demand", Json::array()}};
  for (const auto& [name, engine] : engines_) {
    Json item{{"known", engine.ledger.is_known()},
              {"may_order", MayOrder(engine)},
              {"checks_fence", engine.facts.checks_fence},
              {"leaving", engine.facts.is_leaving},
              {"memory_bytes", engine.ledger.memory_bytes()},
              {"committed_bytes", engine.ledger.committed_bytes()},
              {"holdings", Json::object()}};
    if (engine.ledger.is_known()) {
      item["answer_age_ms"] = ToMillis(now - engine.last_answer);
    }
    for (const auto& [target, holding] : engine.ledger.holdings()) {
      item["holdings"][target] =
          Json{{"state", HoldingStateName(holding.state)},
               {"bytes", holding.bytes},
               {"order", holding.order_id},
               {"running", holding.running}};
    }
    json["engines"][name] = std::move(item);
  }
  for (const auto& [key, level] : demands_) {
    json["demand"].push_back({{"target", key.first},
                              {"host", key.second},
                              {"waiting", level.demand.waiting},
                              {"worth", level.demand.worth}});
  }
  return json;
}

}  // namespace applehall

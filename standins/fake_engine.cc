#include "standins/fake_engine.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr size_t kMostResults = 64;

using Cache = std::vector<std::pair<std::string, uint64_t>>;

bool Contains(const Cache& cache, const std::string& name) {
  return std::any_of(cache.begin(), cache.end(),
                     [&](const auto& item) { return item.first == name; });
}

// Puts a checkpoint last; the result is what no longer fits.
Cache Insert(Cache& cache, const std::string& name, uint64_t bytes,
             uint64_t limit) {
  std::erase_if(cache, [&](const auto& item) { return item.first == name; });
  cache.emplace_back(name, bytes);
  uint64_t total = 0;
  for (const auto& item : cache) total += item.second;
  Cache displaced;
  while (total > limit && !cache.empty()) {
    total -= cache.front().second;
    displaced.push_back(cache.front());
    cache.erase(cache.begin());
  }
  return displaced;
}

}  // namespace

FakeEngine::FakeEngine(FakeEngineSettings settings, FakeWeightStore& store)
    : settings_(std::move(settings)), store_(store) {}

CheckpointTier FakeEngine::TierOf(const std::string& name) const {
  if (Contains(memory_cache_, name)) return CheckpointTier::kMemory;
  if (Contains(disk_cache_, name)) return CheckpointTier::kDisk;
  return CheckpointTier::kRemote;
}

void FakeEngine::CacheCheckpoint(const std::string& name, uint64_t bytes) {
  for (const auto& [old_name, old_bytes] :
       Insert(memory_cache_, name, bytes, settings_.memory_cache_bytes)) {
    Insert(disk_cache_, old_name, old_bytes, settings_.disk_cache_bytes);
  }
}

uint64_t FakeEngine::UsedBytes() const {
  uint64_t bytes = settings_.kv_bytes_per_slot * running_;
  for (const auto& [name, slot] : slots_) bytes += slot.replica.bytes;
  return bytes;
}

void FakeEngine::Account(Slot& slot, TimePoint now) {
  if (now <= slot.accounted_to) return;
  const Duration span = now - slot.accounted_to;
  held_time_ += span;
  if (slot.replica.running == 0) {
    idle_time_ += span;
    idle_engine_seconds_ += ToSeconds(span) *
                            static_cast<double>(slot.replica.bytes) /
                            static_cast<double>(settings_.memory_bytes);
  }
  slot.accounted_to = now;
}

void FakeEngine::Advance(TimePoint now) {
  for (auto it = slots_.begin(); it != slots_.end();) {
    Slot& slot = it->second;
    const bool is_due =
        slot.replica.state == ReplicaState::kLoading && slot.ready_at <= now;
    if (is_due && slot.will_fail) {
      results_[slot.order_id] = OrderResult::kLoadFailed;
      it = slots_.erase(it);
      continue;
    }
    if (is_due) {
      slot.replica.state = ReplicaState::kReady;
      slot.replica.last_used = slot.ready_at;
      slot.accounted_to = slot.ready_at;
      results_[slot.order_id] = OrderResult::kDone;
      CacheCheckpoint(it->first, slot.replica.bytes);
    }
    if (slot.replica.state == ReplicaState::kReady) Account(slot, now);
    ++it;
  }
}

Inventory FakeEngine::HandleOrder(const EngineOrder& order, TimePoint now) {
  Advance(now);
  OrderResult result = OrderResult::kDone;
  const auto known = results_.find(order.id);
  if (known == results_.end()) {
    result = Obey(order, now);
    if (order.kind != OrderKind::kInspect) {
      results_[order.id] = result;
      result_order_.push_back(order.id);
      if (result_order_.size() > kMostResults) {
        results_.erase(result_order_.front());
        result_order_.pop_front();
      }
    }
  }
  const uint64_t used = UsedBytes();
  memory_high_water_ = std::max(memory_high_water_, used);
  if (used > settings_.memory_bytes) was_overcommitted_ = true;
  return MakeInventory(now);
}

OrderResult FakeEngine::Obey(const EngineOrder& order, TimePoint now) {
  if (order.kind == OrderKind::kInspect) {
    if (settings_.checks_fence) highest_ = std::max(highest_, order.fence);
    return OrderResult::kDone;
  }
  if (settings_.checks_fence) {
    if (order.engine_incarnation != settings_.incarnation) {
      return OrderResult::kWrongIncarnation;
    }
    if (order.fence <= highest_) return OrderResult::kStaleFence;
    highest_ = order.fence;
  }
  return order.kind == OrderKind::kLoad ? Load(order, now) : Unload(order, now);
}

// An engine does what it is told: it does not refuse a load for lack of
// memory, it breaks. The truth remembers that as overcommitted.
OrderResult FakeEngine::Load(const EngineOrder& order, TimePoint now) {
  if (slots_.contains(order.name)) return OrderResult::kDone;
  const CatalogueEntry* entry = store_.Find(order.name);
  if (entry == nullptr) return OrderResult::kUnknownModel;
  if (!entry->base.empty() && !IsReady(entry->base)) {
    return OrderResult::kNoBase;
  }
  ++loads_begun_;
  Slot& slot = slots_[order.name];
  slot.replica.name = order.name;
  slot.replica.base = entry->base;
  slot.replica.bytes = entry->bytes;
  slot.replica.state = ReplicaState::kLoading;
  slot.replica.last_used = now;
  slot.order_id = order.id;
  slot.will_fail = fail_loads_;
  const auto local = [&](double rate) {
    return now + FromSeconds(static_cast<double>(entry->bytes) / rate);
  };
  switch (TierOf(order.name)) {
    case CheckpointTier::kMemory:
      slot.ready_at = local(settings_.memory_bytes_per_second);
      break;
    case CheckpointTier::kDisk:
      slot.ready_at = local(settings_.disk_bytes_per_second);
      break;
    case CheckpointTier::kRemote:
      slot.ready_at = store_.BeginFetch(entry->bytes, now);
      break;
  }
  return OrderResult::kAccepted;
}

OrderResult FakeEngine::Unload(const EngineOrder& order, TimePoint now) {
  const auto it = slots_.find(order.name);
  if (it == slots_.end()) return OrderResult::kDone;
  if (it->second.replica.running > 0 ||
      it->second.replica.state == ReplicaState::kLoading) {
    return OrderResult::kBusy;
  }
  for (const auto& [name, slot] : slots_) {
    if (slot.replica.base == order.name) return OrderResult::kBusy;
  }
  Account(it->second, now);
  slots_.erase(it);
  ++unloads_done_;
  return OrderResult::kDone;
}

Inventory FakeEngine::MakeInventory(TimePoint now) {
  Inventory inventory;
  inventory.engine = settings_.name;
  inventory.incarnation = settings_.incarnation;
  inventory.sequence = ++inventory_sequence_;
  inventory.highest_fence = highest_;
  inventory.memory_bytes = settings_.memory_bytes;
  inventory.kv_reserved_bytes = settings_.kv_bytes_per_slot * settings_.slots;
  inventory.slots = settings_.slots;
  for (const auto& [when, count] : running_history_) {
    if (when + settings_.report_lag <= now) inventory.running = count;
  }
  for (const auto& [name, slot] : slots_) {
    inventory.replicas.push_back(slot.replica);
  }
  inventory.results = results_;
  for (const auto& [name, bytes] : disk_cache_) {
    inventory.tiers[name] = CheckpointTier::kDisk;
  }
  for (const auto& [name, bytes] : memory_cache_) {
    inventory.tiers[name] = CheckpointTier::kMemory;
  }
  return inventory;
}

FakeEngine::StartResult FakeEngine::StartRequest(const std::string& target,
                                                 TimePoint now) {
  Advance(now);
  if (!IsReady(target)) return StartResult::kModelAbsent;
  if (running_ >= settings_.slots) return StartResult::kFull;
  ++running_;
  Slot& slot = slots_.at(target);
  ++slot.replica.running;
  slot.replica.last_used = now;
  const auto base = slots_.find(slot.replica.base);
  if (base != slots_.end()) {
    ++base->second.replica.running;
    base->second.replica.last_used = now;
  }
  running_history_.emplace_back(now, running_);
  const uint64_t used = UsedBytes();
  memory_high_water_ = std::max(memory_high_water_, used);
  if (used > settings_.memory_bytes) was_overcommitted_ = true;
  while (running_history_.size() > 1 &&
         running_history_[1].first + settings_.report_lag < now) {
    running_history_.pop_front();
  }
  return StartResult::kStarted;
}

void FakeEngine::EndRequest(const std::string& target, TimePoint now) {
  Advance(now);
  running_ = std::max(0, running_ - 1);
  running_history_.emplace_back(now, running_);
  const auto it = slots_.find(target);
  if (it == slots_.end()) return;
  const auto end_use = [now](Slot& slot) {
    slot.replica.running = std::max(0, slot.replica.running - 1);
    slot.replica.last_used = now;
  };
  end_use(it->second);
  const auto base = slots_.find(it->second.replica.base);
  if (base != slots_.end()) end_use(base->second);
}

void FakeEngine::Restart(TimePoint now) {
  Advance(now);
  slots_.clear();
  results_.clear();
  result_order_.clear();
  running_ = 0;
  running_history_.clear();
  inventory_sequence_ = 0;
  highest_ = {};
  ++settings_.incarnation;
}

bool FakeEngine::IsReady(const std::string& target) const {
  const auto it = slots_.find(target);
  return it != slots_.end() && it->second.replica.state == ReplicaState::kReady;
}

std::vector<std::string> FakeEngine::ResidentTargets() const {
  std::vector<std::string> names;
  for (const auto& [name, slot] : slots_) names.push_back(name);
  return names;
}

}  // namespace applehall

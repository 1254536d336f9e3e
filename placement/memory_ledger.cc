#include "placement/memory_ledger.h"

#include <algorithm>

namespace applehall {

uint64_t MemoryLedger::committed_bytes() const {
  uint64_t bytes = kv_reserved_bytes_;
  for (const auto& [name, holding] : holdings_) bytes += holding.bytes;
  return bytes;
}

uint64_t MemoryLedger::free_bytes() const {
  const uint64_t committed = committed_bytes();
  return committed >= memory_bytes_ ? 0 : memory_bytes_ - committed;
}

const Holding* MemoryLedger::Find(const std::string& name) const {
  const auto it = holdings_.find(name);
  return it == holdings_.end() ? nullptr : &it->second;
}

bool MemoryLedger::HasUnsettledOrder(TimePoint before) const {
  return std::any_of(
      holdings_.begin(), holdings_.end(), [before](const auto& entry) {
        const Holding& holding = entry.second;
        const bool is_open = holding.state == HoldingState::kOrdered ||
                             holding.state == HoldingState::kUnloading;
        return is_open && holding.ordered_at < before;
      });
}

bool MemoryLedger::Reserve(const EngineOrder& order, TimePoint now) {
  if (!is_known() || holdings_.contains(order.name)) return false;
  if (order.bytes > free_bytes()) return false;
  Holding& holding = holdings_[order.name];
  holding.state = HoldingState::kOrdered;
  holding.base = order.base;
  holding.bytes = order.bytes;
  holding.order_id = order.id;
  holding.order_fence = order.fence;
  holding.ordered_at = now;
  holding.last_used = now;
  return true;
}

bool MemoryLedger::BeginUnload(const EngineOrder& order, TimePoint now) {
  const auto it = holdings_.find(order.name);
  if (it == holdings_.end()) return false;
  Holding& holding = it->second;
  if (holding.state != HoldingState::kReady) return false;
  holding.state = HoldingState::kUnloading;
  holding.order_id = order.id;
  holding.order_fence = order.fence;
  holding.ordered_at = now;
  return true;
}

std::vector<LedgerChange> MemoryLedger::Reconcile(const Inventory& inventory,
                                                  TimePoint requested_at,
                                                  TimePoint now) {
  std::vector<LedgerChange> changes;
  if (inventory.incarnation < incarnation_) return changes;
  if (inventory.incarnation > incarnation_) {
    RemoveEarlierIncarnation(inventory.incarnation, changes);
  } else if (inventory.sequence <= inventory_.sequence) {
    // Answers may arrive out of order. An older one shows memory as free that
    // a load has taken since.
    return changes;
  }
  memory_bytes_ = inventory.memory_bytes;
  kv_reserved_bytes_ = inventory.kv_reserved_bytes;
  RemoveAbsent(inventory, requested_at, changes);
  for (const Replica& replica : inventory.replicas) {
    AdoptReplica(replica, inventory, requested_at, now, changes);
  }
  inventory_ = inventory;
  return changes;
}

void MemoryLedger::RemoveEarlierIncarnation(
    uint64_t incarnation, std::vector<LedgerChange>& changes) {
  incarnation_ = incarnation;
  for (auto it = holdings_.begin(); it != holdings_.end();) {
    const bool is_ordered = it->second.state == HoldingState::kOrdered;
    // An engine that checks fences refuses orders for its earlier incarnation;
    // any other still executes one that is in flight.
    if (is_ordered && !checks_fence_) {
      ++it;
      continue;
    }
    const bool was_load =
        is_ordered || it->second.state == HoldingState::kLoading;
    changes.push_back(
        {was_load ? LedgerChange::Kind::kLoadFailed : LedgerChange::Kind::kGone,
         it->first,
         {},
         "engine restarted"});
    it = holdings_.erase(it);
  }
}

bool MemoryLedger::IsSettledAsAbsent(const Holding& holding,
                                     const Inventory& inventory,
                                     TimePoint requested_at) const {
  // An earlier inventory showed it, and this one is newer.
  if (holding.state == HoldingState::kLoading ||
      holding.state == HoldingState::kReady ||
      holding.state == HoldingState::kUnloading) {
    return true;
  }
  const auto result = inventory.results.find(holding.order_id);
  if (result != inventory.results.end()) return true;
  // The load order may still be in flight, so its absence from an inventory
  // written before it arrives proves nothing. An engine that checks fences and
  // has seen a higher one will refuse it; on others only its maximum time in
  // flight settles it.
  if (checks_fence_) return inventory.highest_fence > holding.order_fence;
  return requested_at > holding.ordered_at + order_horizon_;
}

void MemoryLedger::RemoveAbsent(const Inventory& inventory,
                                TimePoint requested_at,
                                std::vector<LedgerChange>& changes) {
  for (auto it = holdings_.begin(); it != holdings_.end();) {
    const auto present = std::find_if(
        inventory.replicas.begin(), inventory.replicas.end(),
        [&](const Replica& replica) { return replica.name == it->first; });
    if (present != inventory.replicas.end() ||
        !IsSettledAsAbsent(it->second, inventory, requested_at)) {
      ++it;
      continue;
    }
    LedgerChange change;
    const bool was_load = it->second.state == HoldingState::kOrdered ||
                          it->second.state == HoldingState::kLoading;
    change.kind =
        was_load ? LedgerChange::Kind::kLoadFailed : LedgerChange::Kind::kGone;
    change.name = it->first;
    const auto result = inventory.results.find(it->second.order_id);
    if (result != inventory.results.end()) {
      change.detail = std::string(OrderResultName(result->second));
    }
    changes.push_back(std::move(change));
    it = holdings_.erase(it);
  }
}

bool MemoryLedger::UnloadCannotHappen(const Holding& holding,
                                      const Inventory& inventory,
                                      TimePoint requested_at) const {
  const auto result = inventory.results.find(holding.order_id);
  if (result != inventory.results.end()) {
    return result->second != OrderResult::kAccepted &&
           result->second != OrderResult::kDone;
  }
  if (checks_fence_) return inventory.highest_fence > holding.order_fence;
  return requested_at > holding.ordered_at + order_horizon_;
}

void MemoryLedger::AdoptReplica(const Replica& replica,
                                const Inventory& inventory,
                                TimePoint requested_at, TimePoint now,
                                std::vector<LedgerChange>& changes) {
  const auto [it, is_new] = holdings_.try_emplace(replica.name);
  Holding& holding = it->second;
  if (is_new) {
    holding.ordered_at = now;
    changes.push_back({LedgerChange::Kind::kAdopted, replica.name, {}, ""});
  }
  holding.base = replica.base;
  holding.bytes = std::max(holding.bytes, replica.bytes);
  holding.running = replica.running;
  holding.last_used = std::max(holding.last_used, replica.last_used);
  if (holding.state == HoldingState::kUnloading) {
    if (!UnloadCannotHappen(holding, inventory, requested_at)) return;
    holding.state = HoldingState::kReady;
  }
  const bool is_ready = replica.state == ReplicaState::kReady;
  if (is_ready && holding.state != HoldingState::kReady) {
    holding.settled_at = now;
    changes.push_back({LedgerChange::Kind::kReady, replica.name,
                       is_new ? Duration{0} : now - holding.ordered_at, ""});
  }
  holding.state = is_ready ? HoldingState::kReady : HoldingState::kLoading;
}

}  // namespace applehall

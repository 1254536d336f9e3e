#include "standins/fake_counted_engine.h"

#include <algorithm>

namespace applehall {

void FakeCountedEngine::Place(const std::string& model, uint64_t bytes) {
  held_[model] = {"", bytes};
  on_disk_[model] = true;
}

uint64_t FakeCountedEngine::UsedBytes() const {
  uint64_t bytes = 0;
  for (const auto& [name, held] : held_) bytes += held.bytes;
  return bytes;
}

int FakeCountedEngine::Adapters() const {
  return static_cast<int>(std::count_if(
      held_.begin(), held_.end(),
      [](const auto& item) { return !item.second.base.empty(); }));
}

void FakeCountedEngine::Restart(TimePoint now) {
  held_.clear();
  open_.reset();
  accepted_ = 0;
  highest_token_ = 0;
  started_at_ = now;
}

OrderResult FakeCountedEngine::Execute(const EngineOrder& order,
                                       TimePoint now) {
  if (order.fence.token < highest_token_) return OrderResult::kStaleFence;
  highest_token_ = order.fence.token;
  if (open_) return OrderResult::kBusy;
  if (order.after_orders && *order.after_orders != accepted_) {
    return OrderResult::kBusy;
  }
  if (!order.base.empty()) return TakeAdapter(order);
  const bool is_load = order.kind == OrderKind::kLoad;
  if (is_load == IsLoaded(order.name)) return OrderResult::kDone;
  Duration takes = unload_time;
  if (is_load) {
    takes = on_disk_.contains(order.name) ? load_from_disk : load_from_store;
    if (UsedBytes() + order.bytes > memory_bytes_) was_overcommitted_ = true;
    ++model_loads_;
  }
  ++accepted_;
  open_ = Open{order, now + takes};
  return OrderResult::kAccepted;
}

OrderResult FakeCountedEngine::TakeAdapter(const EngineOrder& order) {
  if (order.kind == OrderKind::kUnload) {
    if (held_.erase(order.name) > 0) ++accepted_;
    return OrderResult::kDone;
  }
  if (!IsLoaded(order.base)) return OrderResult::kNoBase;
  if (IsLoaded(order.name)) return OrderResult::kDone;
  if (Adapters() >= adapter_slots_) was_overcommitted_ = true;
  held_[order.name] = {order.base, order.bytes};
  ++accepted_;
  return OrderResult::kAccepted;
}

void FakeCountedEngine::Advance(TimePoint now) {
  if (!open_ || open_->ends > now) return;
  const EngineOrder& order = open_->order;
  if (order.kind == OrderKind::kLoad) {
    Place(order.name, order.bytes);
  } else {
    held_.erase(order.name);
    std::erase_if(held_, [&](const auto& item) {
      return item.second.base == order.name;
    });
  }
  open_.reset();
}

Inventory FakeCountedEngine::Report() const {
  Inventory inventory;
  inventory.engine = id_;
  inventory.started_at = started_at_;
  inventory.accepted_orders = accepted_;
  inventory.is_busy = open_.has_value();
  for (const auto& [name, held] : held_) {
    Replica replica;
    replica.name = name;
    replica.base = held.base;
    replica.bytes = held.bytes;
    inventory.replicas.push_back(replica);
  }
  return inventory;
}

ListedServer FakeCountedEngine::ListedEntry() const {
  ListedServer server;
  server.id = id_;
  server.started_at = started_at_;
  server.service = service_;
  server.address = "10.0.0.1:80";
  server.data_centre = "hall";
  server.slots = 64;
  server.is_engine = true;
  for (const auto& [name, held] : held_) {
    if (held.base.empty()) server.models[name] = {};
  }
  for (const auto& [name, is_there] : on_disk_) server.on_disk.push_back(name);
  return server;
}

}  // namespace applehall

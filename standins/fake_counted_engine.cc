#include "standins/fake_counted_engine.h"

#include <algorithm>

namespace applehall {

void FakeCountedEngine::Place(const std::string& model, uint64_t bytes) {
  loaded_[model] = {"", bytes};
  on_disk_[model] = true;
}

uint64_t FakeCountedEngine::UsedBytes() const {
  uint64_t bytes = 0;
  for (const auto& [name, target] : loaded_) bytes += target.bytes;
  return bytes;
}

int FakeCountedEngine::AdapterCount() const {
  return static_cast<int>(std::count_if(
      loaded_.begin(), loaded_.end(),
      [](const auto& item) { return !item.second.base.empty(); }));
}

void FakeCountedEngine::Restart(TimePoint now) {
  loaded_.clear();
  running_order_.reset();
  accepted_orders_ = 0;
  highest_token_ = 0;
  started_at_ = now;
}

OrderResult FakeCountedEngine::Execute(const EngineOrder& order,
                                       TimePoint now) {
  if (order.fence.token < highest_token_) return OrderResult::kStaleFence;
  highest_token_ = order.fence.token;
  if (running_order_) return OrderResult::kBusy;
  if (order.after_orders && *order.after_orders != accepted_orders_) {
    return OrderResult::kBusy;
  }
  if (!order.base.empty()) return ExecuteAdapterOrder(order);
  const bool is_load = order.kind == OrderKind::kLoad;
  if (is_load == IsLoaded(order.name)) return OrderResult::kDone;
  Duration duration = unload_time;
  if (is_load) {
    duration = on_disk_.contains(order.name) ? load_from_disk : load_from_store;
    if (UsedBytes() + order.bytes > memory_bytes_) was_overcommitted_ = true;
    ++model_loads_;
  }
  ++accepted_orders_;
  running_order_ = RunningOrder{order, now + duration};
  return OrderResult::kAccepted;
}

OrderResult FakeCountedEngine::ExecuteAdapterOrder(const EngineOrder& order) {
  if (order.kind == OrderKind::kUnload) {
    if (loaded_.erase(order.name) > 0) ++accepted_orders_;
    return OrderResult::kDone;
  }
  if (!IsLoaded(order.base)) return OrderResult::kNoBase;
  if (IsLoaded(order.name)) return OrderResult::kDone;
  if (AdapterCount() >= adapter_slots_) was_overcommitted_ = true;
  loaded_[order.name] = {order.base, order.bytes};
  ++accepted_orders_;
  return OrderResult::kAccepted;
}

void FakeCountedEngine::Advance(TimePoint now) {
  if (!running_order_ || running_order_->ends > now) return;
  const EngineOrder& order = running_order_->order;
  if (order.kind == OrderKind::kLoad) {
    Place(order.name, order.bytes);
  } else {
    loaded_.erase(order.name);
    std::erase_if(loaded_, [&](const auto& item) {
      return item.second.base == order.name;
    });
  }
  running_order_.reset();
}

Inventory FakeCountedEngine::Report() const {
  Inventory inventory;
  inventory.engine = id_;
  inventory.started_at = started_at_;
  inventory.accepted_orders = accepted_orders_;
  inventory.is_busy = running_order_.has_value();
  for (const auto& [name, target] : loaded_) {
    Replica replica;
    replica.name = name;
    replica.base = target.base;
    replica.bytes = target.bytes;
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
  for (const auto& [name, target] : loaded_) {
    if (target.base.empty()) server.models[name] = {};
  }
  for (const auto& [name, is_there] : on_disk_) server.on_disk.push_back(name);
  return server;
}

}  // namespace applehall

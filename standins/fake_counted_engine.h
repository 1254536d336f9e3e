#ifndef APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_
#define APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_

#include <map>
#include <optional>
#include <string>

#include "membership/engine_list.h"
#include "placement/engine_types.h"

namespace applehall {

// A model engine that executes one model order at a time, counts the orders it
// accepted and refuses those whose precondition names another count. Adapters
// are loaded and unloaded at once, without making it busy. Not thread-safe.
class FakeCountedEngine {
 public:
  FakeCountedEngine(std::string id, std::string service, uint64_t memory_bytes,
                    int adapter_slots)
      : id_(std::move(id)),
        service_(std::move(service)),
        memory_bytes_(memory_bytes),
        adapter_slots_(adapter_slots) {}

  // Durations of loads with and without a copy on disk, and of unloads.
  Duration load_from_disk = std::chrono::milliseconds(1600);
  Duration load_from_store = std::chrono::milliseconds(6000);
  Duration unload_time = std::chrono::milliseconds(30);

  // Adds a loaded model without an order, with a copy on disk.
  void Place(const std::string& model, uint64_t bytes);
  // Removes a model without an order; its copy on disk remains.
  void Lose(const std::string& model) { loaded_.erase(model); }
  OrderResult Execute(const EngineOrder& order, TimePoint now);
  // Restarts the engine under its id: memory and counts are reset, the copies
  // on disk remain.
  void Restart(TimePoint now);
  // Completes the order under way if it is due. Call before each query.
  void Advance(TimePoint now);
  Inventory Report() const;
  ListedServer ListedEntry() const;
  bool IsLoaded(const std::string& name) const {
    return loaded_.contains(name);
  }
  // True if it was ordered to load more than fits, which crashes a real engine.
  bool was_overcommitted() const { return was_overcommitted_; }
  int model_loads() const { return model_loads_; }

 private:
  struct LoadedTarget {
    std::string base;
    uint64_t bytes = 0;
  };
  struct RunningOrder {
    EngineOrder order;
    TimePoint ends;
  };

  OrderResult ExecuteAdapterOrder(const EngineOrder& order);
  uint64_t UsedBytes() const;
  int AdapterCount() const;

  std::string id_;
  std::string service_;
  uint64_t memory_bytes_;
  int adapter_slots_;
  std::map<std::string, LoadedTarget> loaded_;
  std::map<std::string, bool> on_disk_;
  std::optional<RunningOrder> running_order_;
  uint64_t accepted_orders_ = 0;
  TimePoint started_at_;
  FencingToken highest_token_ = 0;
  bool was_overcommitted_ = false;
  int model_loads_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_

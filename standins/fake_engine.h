#ifndef APPLEHALL_STANDINS_FAKE_ENGINE_H_
#define APPLEHALL_STANDINS_FAKE_ENGINE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "placement/engine_types.h"
#include "standins/fake_weight_store.h"

namespace applehall {

struct FakeEngineSettings {
  std::string name;
  std::string data_centre;
  uint64_t incarnation = 1;
  uint64_t memory_bytes = 0;
  uint64_t kv_bytes_per_slot = 0;
  int slots = 8;
  bool checks_fence = true;
  uint64_t memory_cache_bytes = 0;  // Checkpoints kept in host memory.
  uint64_t disk_cache_bytes = 0;
  double memory_bytes_per_second = 8e9;
  double disk_bytes_per_second = 2e9;
  Duration report_lag = std::chrono::milliseconds(300);
};

// A model engine, without sockets: memory, cache tiers, orders with fences,
// slots and load reports that lag. It keeps the truth that tests hold the
// owner to.
class FakeEngine {
 public:
  FakeEngine(FakeEngineSettings settings, FakeWeightStore& store);

  // Obeys or refuses an order and answers with the inventory. Not thread-safe.
  Inventory HandleOrder(const EngineOrder& order, TimePoint now);

  enum class StartResult : uint8_t { kStarted, kModelAbsent, kFull };
  // A request for `target` begins / ends. Not thread-safe.
  StartResult StartRequest(const std::string& target, TimePoint now);
  void EndRequest(const std::string& target, TimePoint now);
  // Completes what is due. Call before looking at the engine.
  void Advance(TimePoint now);
  // Loads ordered from now on fail.
  void SetFailLoads(bool fail) { fail_loads_ = fail; }
  void SetReportLag(Duration lag) { settings_.report_lag = lag; }
  // Loses all it holds and comes back as the next incarnation.
  void Restart(TimePoint now);

  const FakeEngineSettings& settings() const { return settings_; }
  bool IsReady(const std::string& target) const;
  int running() const { return running_; }
  // In memory now, loading ones included.
  std::vector<std::string> ResidentTargets() const;

  // ---- Truth ----
  uint64_t memory_high_water() const { return memory_high_water_; }
  bool was_overcommitted() const { return was_overcommitted_; }
  uint64_t loads_begun() const { return loads_begun_; }
  uint64_t unloads_done() const { return unloads_done_; }
  // Time replicas were held with no request running, summed over replicas.
  Duration idle_time() const { return idle_time_; }
  // The same, each replica weighed by its share of the engine's memory.
  double idle_engine_seconds() const { return idle_engine_seconds_; }
  Duration held_time() const { return held_time_; }

 private:
  struct Slot {
    Replica replica;
    TimePoint ready_at;
    bool will_fail = false;
    std::string order_id;
    TimePoint accounted_to;
  };

  OrderResult Obey(const EngineOrder& order, TimePoint now);
  OrderResult Load(const EngineOrder& order, TimePoint now);
  OrderResult Unload(const EngineOrder& order, TimePoint now);
  Inventory MakeInventory(TimePoint now);
  uint64_t UsedBytes() const;
  void Account(Slot& slot, TimePoint now);
  CheckpointTier TierOf(const std::string& name) const;
  void CacheCheckpoint(const std::string& name, uint64_t bytes);

  FakeEngineSettings settings_;
  FakeWeightStore& store_;
  std::map<std::string, Slot> slots_;
  Fence highest_;
  std::map<std::string, OrderResult> results_;
  std::deque<std::string> result_order_;
  uint64_t inventory_sequence_ = 0;
  int running_ = 0;
  std::deque<std::pair<TimePoint, int>> running_history_;
  // Most recently used last.
  std::vector<std::pair<std::string, uint64_t>> memory_cache_;
  std::vector<std::pair<std::string, uint64_t>> disk_cache_;
  bool fail_loads_ = false;
  uint64_t memory_high_water_ = 0;
  bool was_overcommitted_ = false;
  uint64_t loads_begun_ = 0;
  uint64_t unloads_done_ = 0;
  Duration idle_time_{0};
  double idle_engine_seconds_ = 0;
  Duration held_time_{0};
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_ENGINE_H_

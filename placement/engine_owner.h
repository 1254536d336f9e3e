#ifndef APPLEHALL_PLACEMENT_ENGINE_OWNER_H_
#define APPLEHALL_PLACEMENT_ENGINE_OWNER_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "placement/demand.h"
#include "placement/engine_types.h"
#include "placement/idle_policy.h"
#include "placement/load_predictor.h"
#include "placement/memory_ledger.h"
#include "placement/store_budget.h"
#include "rules/replica_bounds.h"
#include "rules/rule_checker.h"

namespace applehall {

// When idle models are unloaded. kLearnt is for production; the others are
// baselines for comparison.
enum class KeepPolicy : uint8_t {
  kLearnt,
  kFixedTimeToLive,
  kAlwaysWarm,
  kOracle,
};

struct OwnerSettings {
  Duration inspect_interval = std::chrono::milliseconds(500);
  Duration order_horizon = std::chrono::seconds(10);
  Duration unsettled_after = std::chrono::seconds(2);
  Duration default_keep = std::chrono::minutes(5);
  int loads_per_engine = 2;
  KeepPolicy keep_policy = KeepPolicy::kLearnt;
  // kOracle only: the time of the model's next request after a given time.
  std::function<TimePoint(const std::string& model, TimePoint after)> next_use;
};

// Inputs to placement from the rules and the catalogue.
struct PlacementPolicy {
  const ReplicaBoundsTable* bounds = nullptr;
  const std::map<std::string, CatalogueEntry>* catalogue = nullptr;
  IdleWeights weights;
};

struct OrderToSend {
  std::string engine;
  std::string address;
  EngineOrder order;
};

// A placement event for the log and the decision ring.
struct PlacementEvent {
  std::string event;
  std::string engine;
  std::string target;
  std::string reason;
  Duration took{0};
};

// Decides which models the engines of one group load and unload while this
// host holds the group's ownership.
//
// The memory ledgers make it safe against lost, late and duplicated orders and
// answers; the fencing token makes it safe against other owners. A new owner
// requests every engine's inventory under the new token before it reserves
// memory there, and counts an engine without an answer as holding every model.
class EngineOwner {
 public:
  // `self` and `token` make order ids unique.
  EngineOwner(std::string group, Incarnation self, FencingToken token,
              OwnerSettings settings);

  // Replaces the list of engines and removes those that are missing from it.
  // Requires: only confirmed departures are missing. Not thread-safe.
  void SetEngines(const std::vector<EngineFacts>& engines);
  // Sets whether an earlier owner may still order engines that do not check
  // fences.
  // Not thread-safe.
  void SetUnfencedBlocked(bool blocked, TimePoint now);
  // Records a host's demand. It is valid until replaced, or for kDemandTtl.
  // Not thread-safe.
  void HandleDemand(const Demand& demand, TimePoint now);
  // Handles an engine's answer to an order or inspection. Not thread-safe.
  void HandleInventory(const Inventory& inventory, TimePoint requested_at,
                       TimePoint now);
  // Appends due inspections and new orders to `orders`. `quota` returns this
  // group's share of a data-centre-wide bound. Not thread-safe.
  void Decide(const PlacementPolicy& policy, StoreBudget& store,
              const std::function<int(const std::string&, int)>& quota,
              TimePoint now, std::vector<OrderToSend>& orders);
  // Stops ordering loads and unloads before a release; inspections continue.
  // Not thread-safe.
  void Stop() { stopped_ = true; }

  // Returns the status of demand for `target`. Not thread-safe.
  DemandAnswer Answer(const std::string& target, const PlacementPolicy& policy,
                      const StoreBudget& store,
                      const std::function<int(const std::string&, int)>& quota,
                      TimePoint now) const;
  // True if no order can still be in flight. Not thread-safe.
  bool IsIdle(TimePoint now) const;
  // Returns and clears the events since the last call. Not thread-safe.
  std::vector<PlacementEvent> TakeEvents() {
    return std::exchange(events_, {});
  }
  const std::string& group() const { return group_; }
  FencingToken token() const { return token_; }
  // Releases the weight store slots of all open loads and returns their number;
  // the engines continue to load. For an owner that retires. Not thread-safe.
  int ReleaseStoreLoads();
  // True if a load waits for the weight store, so slots should be borrowed.
  bool needs_store() const { return needs_store_; }

  struct EngineState {
    EngineFacts facts;
    MemoryLedger ledger;
    TimePoint next_inspect;
    TimePoint last_answer;
    TimePoint last_requested_at;  // Send time of the latest answered request.
  };
  const std::map<std::string, EngineState>& engines() const { return engines_; }
  // The state dump. Not thread-safe.
  Json ToJson(TimePoint now) const;

 private:
  struct DemandLevel {
    Demand demand;
    TimePoint received_at;
  };
  struct TargetDemand {
    std::string target;
    int waiting = 0;
    double worth = 0;
    Duration slack{0};
    bool is_background = true;
    bool is_prewarm = false;
  };
  struct ReplicaCount {
    int held = 0;     // In any state, plus one for each unknown engine.
    int loading = 0;  // Ordered or loading.
    int ready = 0;
    int unknown = 0;
    int foreign = 0;  // Engines on which an earlier owner may load it.
    int slots = 0;    // On engines where it is ready.
    int running = 0;
  };

  std::vector<TargetDemand> GatherDemand(const PlacementPolicy& policy,
                                         TimePoint now) const;
  void AddStanding(const PlacementPolicy& policy, TimePoint now,
                   std::vector<TargetDemand>& demand) const;
  ReplicaCount Count(const std::string& target) const;
  int DesiredReplicas(const TargetDemand& demand, const ReplicaCount& count,
                      const ReplicaBounds& bounds) const;
  // Tries to load one more replica. Returns true if it sent a load order.
  bool TryLoad(const TargetDemand& demand, const CatalogueEntry& entry,
               StoreBudget& store, const PlacementPolicy& policy, TimePoint now,
               std::vector<OrderToSend>& orders);
  void ServeDemand(const TargetDemand& demand, const PlacementPolicy& policy,
                   StoreBudget& store,
                   const std::function<int(const std::string&, int)>& quota,
                   TimePoint now, std::vector<OrderToSend>& orders);
  ReplicaBounds BoundsFor(const std::string& target,
                          const PlacementPolicy& policy) const;
  const EngineState* ChooseEngine(const TargetDemand& demand,
                                  const CatalogueEntry& entry) const;
  bool CanHost(const EngineState& engine, const CatalogueEntry& entry) const;
  // True if an earlier owner may order this engine, or may have done so since
  // its last inventory.
  bool IsSharedWithEarlierOwner(const EngineState& engine) const;
  bool MayOrder(const EngineState& engine) const;
  static uint64_t UnloadingBytes(const EngineState& engine);
  uint64_t EvictableBytes(const EngineState& engine,
                          const std::string& keep_base) const;
  bool IsEvictable(const EngineState& engine, const std::string& name,
                   const Holding& holding) const;
  // As IsEvictable, but ignores the adapters of a base model.
  bool IsUnused(const std::string& name, const Holding& holding,
                TimePoint seen_at) const;
  bool HasDemand(const std::string& target) const;
  void Evict(EngineState& engine, const CatalogueEntry& entry,
             const PlacementPolicy& policy, TimePoint now,
             std::vector<OrderToSend>& orders);
  void EvictOne(EngineState& engine, const CatalogueEntry& entry,
                const PlacementPolicy& policy, TimePoint now,
                std::vector<OrderToSend>& orders);
  void UnloadIdle(const PlacementPolicy& policy, TimePoint now,
                  std::vector<OrderToSend>& orders);
  bool IsExpired(const EngineState& engine, const std::string& name,
                 const Holding& holding, const PlacementPolicy& policy,
                 TimePoint now) const;
  void Inspect(TimePoint now, std::vector<OrderToSend>& orders);
  EngineOrder MakeOrder(EngineState& engine, OrderKind kind,
                        const std::string& name, TimePoint now);
  void Unload(EngineState& engine, const std::string& name,
              const std::string& reason, TimePoint now,
              std::vector<OrderToSend>& orders);
  // Returns how long after its last use an idle model is kept and when it is
  // loaded ahead of its next use, by the learnt plan or the oracle.
  IdlePlan PlanFor(const std::string& target, Duration load_time,
                   const PlacementPolicy& policy, TimePoint now) const;
  static CheckpointTier TierOn(const EngineState& engine,
                               const std::string& name);
  void ApplyChange(EngineState& engine, const LedgerChange& change,
                   TimePoint now);
  bool EndStoreLoad(const std::string& engine, const std::string& target,
                    CheckpointTier& tier);
  Duration PredictLoad(const CatalogueEntry& entry) const;
  void Record(std::string event, const std::string& engine,
              const std::string& target, std::string reason,
              Duration took = Duration{0});

  std::string group_;
  Incarnation self_;
  FencingToken token_;
  OwnerSettings settings_;
  std::map<std::string, EngineState> engines_;
  bool unfenced_blocked_ = true;
  TimePoint unfenced_unblocked_at_;
  bool stopped_ = false;
  bool needs_store_ = false;
  uint64_t last_sequence_ = 0;
  uint64_t last_order_ = 0;
  TimePoint last_order_at_;
  std::map<std::pair<std::string, std::string>, DemandLevel> demands_;
  std::map<std::string, TimePoint> demanded_until_;
  std::map<std::string, TimePoint> failed_until_;
  std::map<std::string, CheckpointTier> load_tiers_;  // By "engine/target".
  IdlePolicy idle_policy_;
  LoadPredictor predictor_;
  std::vector<PlacementEvent> events_;
  int ended_store_loads_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_ENGINE_OWNER_H_

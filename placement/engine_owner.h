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

// How idle models leave. The learnt policy is the product; the others are
// baselines it is measured against.
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
  // For kOracle only: when a model will be called next, after a given time.
  std::function<TimePoint(const std::string& model, TimePoint after)> next_use;
};

// What the owner needs to know of the rules and the weight store.
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

// A placement event worth a line in the log and in the decision ring.
struct PlacementEvent {
  std::string event;
  std::string engine;
  std::string target;
  std::string reason;
  Duration took{0};
};

// Decides what the engines of one group load and unload, while this host
// holds the group's ownership.
//
// Safe against all that can happen to orders and answers by its ledgers; safe
// against other owners by its token. A new owner asks every engine for its
// inventory under the new token before it reserves anything there, and counts
// an engine that has not answered as if it held every model.
class EngineOwner {
 public:
  // `self` and `token` make order ids unique.
  EngineOwner(std::string group, Incarnation self, FencingToken token,
              OwnerSettings settings);

  // Replaces the list of engines. Engines that have left are forgotten.
  // Requires: only confirmed departures are missing. Not thread-safe.
  void SetEngines(const std::vector<EngineFacts>& engines);
  // Whether an earlier owner may still order engines that do not check.
  // Not thread-safe.
  void SetUnfencedBlocked(bool blocked, TimePoint now);
  // A host's demand; the level stands until replaced or kDemandLife passed.
  // Not thread-safe.
  void TakeDemand(const Demand& demand, TimePoint now);
  // An engine's answer to an order or inspection. Not thread-safe.
  void TakeInventory(const Inventory& inventory, TimePoint asked_at,
                     TimePoint now);
  // Emits due inspections and the orders that are decided now. `quota` is
  // this group's part of a data-centre-wide bound. Not thread-safe.
  void Decide(const PlacementPolicy& policy, StoreBudget& store,
              const std::function<int(const std::string&, int)>& quota,
              TimePoint now, std::vector<OrderToSend>& orders);
  // Stops giving orders, for a release. Not thread-safe.
  void Stop() { stopped_ = true; }

  // How a demand for `target` stands. Not thread-safe.
  DemandAnswer Answer(const std::string& target, const PlacementPolicy& policy,
                      const StoreBudget& store,
                      const std::function<int(const std::string&, int)>& quota,
                      TimePoint now) const;
  // True when no order can be under way any more. Not thread-safe.
  bool IsIdle(TimePoint now) const;
  // Takes what happened since the last call. Not thread-safe.
  std::vector<PlacementEvent> TakeEvents() { return std::exchange(notes_, {}); }
  const std::string& group() const { return group_; }
  FencingToken token() const { return token_; }
  // Ends the store's part of all loads; their engines go on. For an owner
  // that retires. The result is how many there were. Not thread-safe.
  int ReleaseStoreLoads();
  // True if a load waits for the store; a reason to borrow.
  bool needs_store() const { return wants_store_; }

  struct EngineState {
    EngineFacts facts;
    MemoryLedger ledger;
    TimePoint next_inspect;
    TimePoint last_answer;
    TimePoint last_asked;  // The latest question that was answered.
  };
  const std::map<std::string, EngineState>& engines() const { return engines_; }
  // The state dump. Not thread-safe.
  Json ToJson(TimePoint now) const;

 private:
  struct DemandLevel {
    Demand demand;
    TimePoint heard_at;
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
    int held = 0;     // In any state, and one for each unknown engine.
    int loading = 0;  // Ordered or loading.
    int ready = 0;
    int unknown = 0;
    int foreign = 0;  // Engines that an earlier owner may load it on.
    int slots = 0;    // Of engines where it is ready.
    int running = 0;
  };

  std::vector<TargetDemand> GatherDemand(const PlacementPolicy& policy,
                                         TimePoint now) const;
  void AddStanding(const PlacementPolicy& policy, TimePoint now,
                   std::vector<TargetDemand>& demand) const;
  ReplicaCount Count(const std::string& target) const;
  int DesiredReplicas(const TargetDemand& demand, const ReplicaCount& count,
                      const ReplicaBounds& bounds) const;
  // Tries to bring one more replica; true if an order was given.
  bool TryLoad(const TargetDemand& demand, const CatalogueEntry& entry,
               StoreBudget& store, const PlacementPolicy& policy, TimePoint now,
               std::vector<OrderToSend>& orders);
  void Serve(const TargetDemand& demand, const PlacementPolicy& policy,
             StoreBudget& store,
             const std::function<int(const std::string&, int)>& quota,
             TimePoint now, std::vector<OrderToSend>& orders);
  ReplicaBounds BoundsFor(const std::string& target,
                          const PlacementPolicy& policy) const;
  const EngineState* ChooseEngine(const TargetDemand& demand,
                                  const CatalogueEntry& entry) const;
  bool CanHost(const EngineState& engine, const CatalogueEntry& entry) const;
  // An earlier owner may order it, or may have since its last inventory.
  bool IsSharedWithEarlierOwner(const EngineState& engine) const;
  bool MayOrder(const EngineState& engine) const;
  static uint64_t LeavingBytes(const EngineState& engine);
  uint64_t EvictableBytes(const EngineState& engine,
                          const std::string& keep_base) const;
  bool IsEvictable(const EngineState& engine, const std::string& name,
                   const Holding& holding) const;
  // The same, but for adapters of a base model, which go before it.
  bool IsEvictableAlone(const std::string& name, const Holding& holding,
                        TimePoint seen_at) const;
  bool IsWanted(const std::string& target) const;
  void Evict(EngineState& engine, const CatalogueEntry& entry,
             const PlacementPolicy& policy, TimePoint now,
             std::vector<OrderToSend>& orders);
  void EvictOne(EngineState& engine, const CatalogueEntry& entry,
                const PlacementPolicy& policy, TimePoint now,
                std::vector<OrderToSend>& orders);
  void UnloadIdle(const PlacementPolicy& policy, TimePoint now,
                  std::vector<OrderToSend>& orders);
  bool IsKeepOver(const EngineState& engine, const std::string& name,
                  const Holding& holding, const PlacementPolicy& policy,
                  TimePoint now) const;
  void Inspect(TimePoint now, std::vector<OrderToSend>& orders);
  EngineOrder MakeOrder(EngineState& engine, OrderKind kind,
                        const std::string& name, TimePoint now);
  void Unload(EngineState& engine, const std::string& name,
              const std::string& reason, TimePoint now,
              std::vector<OrderToSend>& orders);
  // When a replica of an idle model is worth its memory, by the plan or the
  // oracle: how long after its last use it may go, and when it should return.
  IdlePlan PlanFor(const std::string& target, Duration load_time,
                   const PlacementPolicy& policy, TimePoint now) const;
  static CheckpointTier TierOn(const EngineState& engine,
                               const std::string& name);
  void TakeChange(EngineState& engine, const LedgerChange& change,
                  TimePoint now);
  bool EndStoreLoad(const std::string& engine, const std::string& target,
                    CheckpointTier& tier);
  Duration PredictLoad(const CatalogueEntry& entry) const;
  void Note(std::string event, const std::string& engine,
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
  bool wants_store_ = false;
  uint64_t last_sequence_ = 0;
  uint64_t last_order_ = 0;
  TimePoint last_order_at_;
  std::map<std::pair<std::string, std::string>, DemandLevel> demands_;
  std::map<std::string, TimePoint> wanted_until_;
  std::map<std::string, TimePoint> failed_until_;
  std::map<std::string, CheckpointTier> load_tiers_;  // By engine/target.
  IdlePolicy idle_policy_;
  LoadPredictor predictor_;
  std::vector<PlacementEvent> notes_;
  int ended_store_loads_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_ENGINE_OWNER_H_

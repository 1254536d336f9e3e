#ifndef APPLEHALL_PLACEMENT_FLEET_PLANNER_H_
#define APPLEHALL_PLACEMENT_FLEET_PLANNER_H_

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/policy_set.h"
#include "core/unserved_demand.h"
#include "membership/engine_list.h"
#include "placement/demand.h"
#include "placement/engine_owner.h"
#include "placement/engine_speeds.h"
#include "placement/speed_choice.h"
#include "placement/store_width.h"
#include "placement/usage_table.h"
#include "rules/rule_checker.h"

namespace applehall {

// Decides which models all listed engines load and unload while this host holds
// the lease for them.
//
// For engines that execute one model order at a time and count the orders they
// accepted. Each order states the count on which it was decided, so an engine
// refuses an order that arrives late or twice once it has accepted another:
// the planner never counts less memory as used than the engine uses. Memory is
// reserved before an order is sent and freed only when a report that was
// requested after the order ended confirms it.
class FleetPlanner {
 public:
  // `token` and `self` make order ids unique.
  FleetPlanner(Incarnation self, FencingToken token, PolicySet policies = {});

  // Both must outlive the planner. Not thread-safe.
  void SetCatalogue(const std::map<std::string, CatalogueEntry>* catalogue,
                    const std::map<std::string, EngineClass>* classes);
  // Replaces the listing; engines missing from it are removed. Not thread-safe.
  void SetServers(const EngineList& servers, TimePoint now);
  // Sets the requests per second that engines with a rate limit accept. Such an
  // engine counts as a fraction of a replica. Not thread-safe.
  void SetLimits(std::map<std::string, double> limits) {
    limits_ = std::move(limits);
    ready_capacities_.clear();
  }
  // Sets the speeds of engines relative to the median of their service; engines
  // that are missing count as 1. Without any, and without the policy
  // engine_speeds, all engines are equal. Not thread-safe.
  void SetSpeeds(std::map<std::string, double> speeds) {
    speeds_.Set(std::move(speeds));
    ready_capacities_.clear();
  }
  // Handles one host's report of waiting and running requests. Not thread-safe.
  void HandleReport(const HostReport& report, TimePoint now);
  // Handles an engine's report. Not thread-safe.
  void HandleInventory(const Inventory& inventory, TimePoint requested_at,
                       TimePoint now);
  // Handles an engine's answer to an order. Not thread-safe.
  void HandleOrderResult(const std::string& engine, const std::string& order_id,
                         OrderResult result, TimePoint now);
  // Appends due report requests and, if `may_order`, new orders to `orders`.
  // Not thread-safe.
  void Decide(bool may_order, TimePoint now, std::vector<OrderToSend>& orders);

  // Returns the status of demand for `target`, a target or the name of a queue
  // for one software version. Not thread-safe.
  DemandAnswer Answer(const std::string& target, TimePoint now) const;
  // Targets that `engine` can serve, and the version of its state, which grows
  // with each change; zero if unknown. Not thread-safe.
  std::vector<std::string> ReadyTargetsOf(const std::string& engine) const;
  uint64_t StateVersion(const std::string& engine) const;
  // Requests of all hosts in progress on `engine`, as far as reported.
  int RunningRequestCount(const std::string& engine) const {
    return usage_.RunningOnEngine(engine);
  }
  // Requests per second for the targets that are ready on `engine`; of targets
  // with several replicas, this engine's share. Not thread-safe.
  double ArrivalRate(const std::string& engine, TimePoint now) const;
  // True if an engine has seen a higher token than this planner's.
  bool is_superseded() const { return is_superseded_; }
  // True if no order awaits its answer.
  bool IsIdle() const;
  FencingToken token() const { return token_; }
  // Returns and clears the events since the last call. Not thread-safe.
  std::vector<PlacementEvent> TakeEvents() {
    return std::exchange(events_, {});
  }
  Json ToJson(TimePoint now) const;

 private:
  enum class State : uint8_t {
    kLoading,
    kReady,
    kWithdrawn,  // Gets no more requests, to be unloaded when it is unused.
    kUnloading,
  };
  static const char* StateName(State state);
  struct Holding {
    State state = State::kReady;
    std::string base;
    uint64_t bytes = 0;
    TimePoint since;  // Time of the last change of state.
  };
  struct OpenOrder {
    std::string id;
    OrderKind kind = OrderKind::kLoad;
    std::string name;
    CheckpointTier tier = CheckpointTier::kMemory;
    uint64_t after_orders = 0;  // The count of orders that it stated.
    TimePoint sent_at;
    TimePoint expected_end;
    bool is_accepted = false;
    bool is_unanswered = false;
    bool was_unanswered = false;  // It may have been accepted late.
    StoreWidth::LoadStart store_start;
  };
  // One of an engine's entries in the index of holdings.
  struct IndexedName {
    std::string name;
    bool is_copy = false;  // In host memory or on disk, not a holding.
    State state = State::kReady;
  };
  struct Engine {
    ListedServer listed;
    bool is_known = false;      // Order count and holdings are up to date.
    bool is_rejecting = false;  // Not the listed incarnation.
    uint64_t accepted_orders = 0;
    std::map<std::string, Holding> holdings;
    std::optional<OpenOrder> model_order;
    // The single call, for a model or an adapter, that awaits its answer.
    std::optional<OpenOrder> call;
    TimePoint next_report_at;  // When to request the next report.
    TimePoint report_sent_at;  // Of the open report request; else epoch.
    // Send time of the first request since the last answer; epoch if none.
    TimePoint unanswered_since;
    bool is_unresponsive = false;  // No answer for kUnresponsiveAfter.
    std::string reserved_for;
    TimePoint reserved_until;
    bool is_evicting = false;  // Unloads a model for `reserved_for`.
    // Why this engine was chosen for `reserved_for`, if speeds decided.
    std::string speed_reason;
    // Requests per second that it gets, in those of a replica of speed 1, as of
    // the last sum of usage; zero while no speeds are known.
    double arrivals = 0;
    TimePoint refused_at;  // Of the last order it refused or left unanswered.
    // Until when it counts as used for a target that took precedence over
    // models that are worth more.
    TimePoint displaced_until;
    // The accepted unload that the open load was sent after, until the engine's
    // answer to the load confirms that it is done.
    std::optional<OpenOrder> unload_before;
    int refused_loads = 0;  // Since that unload was accepted.
    TimePoint load_retry_at;
    uint64_t version = 1;
    // This engine's entries in `index_`, removed when the engine changes.
    std::vector<IndexedName> indexed;
    bool is_index_stale = true;
  };
  // What a load takes precedence over.
  enum class Precedence : uint8_t {
    kSpare,    // Nothing: it starts at once or not at all.
    kWaiting,  // Models that are worth less.
    kOverdue,  // All but models that were loaded for others just now.
  };
  // A way to load a model onto one engine.
  struct Option {
    Engine* engine = nullptr;
    CheckpointTier tier = CheckpointTier::kRemote;
    std::vector<std::string> victims;
    double cost = 0;
    double loss_cost = 0;  // The part of `cost` for the victims.
    Duration ready_in{0};
    bool displaces = false;    // The victims are worth more.
    bool evicts_busy = false;  // A victim is a replica of a busy model.
    std::string speed_reason;  // Why it is the best one, if speeds decided.
  };

  const CatalogueEntry* FindEntry(const std::string& name) const;
  const EngineClass* FindClass(const Engine& engine) const;
  uint64_t UsedBytes(const Engine& engine) const;
  CheckpointTier TierOn(const Engine& engine, const std::string& model) const;
  Duration LoadTime(const CatalogueEntry& entry, CheckpointTier tier) const;
  // The engines that hold a model or adapter, without those that are leaving.
  struct Locations {
    int ready = 0;
    int loading = 0;
    std::vector<std::string> holders;  // In any state.
    std::vector<std::string> copies;   // In host memory or on disk.
  };
  void IndexHoldings();
  void Index(const std::string& id, Engine& engine);
  void Unindex(const std::string& id, Engine& engine);
  void MarkIndexStale(Engine& engine);
  const Locations& Locate(const std::string& name) const;
  int StoreLoads() const;

  void RecordChange(Engine& engine);
  void ResetEngine(Engine& engine);
  void SumUsage(TimePoint now);
  double BlockedAdapterLoss(const Engine& engine, Duration duration) const;
  double EvictionLoss(const Engine& engine, const std::string& model,
                      TimePoint now) const;
  std::vector<std::string> ChooseVictims(const Engine& engine, uint64_t needed,
                                         Precedence precedence,
                                         TimePoint now) const;
  bool MayDisplace(TimePoint now) const;
  double AllowedLoss(const CatalogueEntry& entry, double worth) const;
  // The best option found so far; without one, the highest reason against it.
  struct Search {
    std::optional<Option> best;
    std::vector<Option> options;  // All, while speeds are known; else empty.
    Deferral deferral = Deferral::kNoEngine;

    void Reject(Deferral reason) { deferral = std::max(deferral, reason); }
  };
  std::optional<Option> MakeOption(Engine& engine, const CatalogueEntry& entry,
                                   double worth, Precedence precedence,
                                   TimePoint now, Search& search);
  Search FindOption(const CatalogueEntry& entry, double worth,
                    Precedence precedence, TimePoint now);
  void TryEngines(const CatalogueEntry& entry, double worth,
                  Precedence precedence, TimePoint now, Search& search);
  // Replaces the best option by one that is about as good on an engine whose
  // speed suits the model better.
  void ChooseOptionBySpeed(const CatalogueEntry& entry, Search& search) const;
  SpeedPreference PreferenceOf(const std::string& model) const;
  bool IsBusyModel(const std::string& model) const;
  // Updates the arrivals of all engines from the sums of usage.
  void UpdateArrivals();
  // Returns true if a busy model with further replicas would no longer have
  // enough capacity without its replica on `engine`.
  bool IsNeededReplica(const Engine& engine, const std::string& model) const;
  void TryEngine(Engine& engine, const CatalogueEntry& entry, double worth,
                 Precedence precedence, TimePoint now, Search& search);
  int PreparedStoreLoads(const std::string& except, TimePoint now) const;
  bool HasStoreCapacity(const CatalogueEntry& model, TimePoint now) const;
  Engine* FindEvictingEngine(const std::string& model, TimePoint now);
  bool MayFollowUnload(const Engine& engine, const CatalogueEntry& entry,
                       TimePoint now) const;
  void FinishUnload(Engine& engine, const OpenOrder& unload, TimePoint now);
  bool HandleRefusedLoad(Engine& engine, const OpenOrder& call,
                         OrderResult result, TimePoint now);
  // Returns why no order was sent; kNone if one was.
  Deferral PlaceModel(const CatalogueEntry& entry, double worth,
                      const std::string& reason, Precedence precedence,
                      TimePoint now, std::vector<OrderToSend>& orders);
  std::vector<Engine*> RankForAdapter(const CatalogueEntry& entry,
                                      TimePoint now);
  static bool HasRefused(const Engine& engine, TimePoint now);
  Deferral PlaceAdapterOn(Engine& engine, const CatalogueEntry& entry,
                          TimePoint now, std::vector<OrderToSend>& orders);
  // Returns why no order was sent; kNone if one was.
  Deferral PlaceAdapter(const CatalogueEntry& entry, double worth,
                        Precedence precedence, TimePoint now,
                        std::vector<OrderToSend>& orders);
  void WithdrawAdapter(Engine& engine, TimePoint now);
  Deferral RestoreWithdrawn(Engine& engine, Holding& holding, TimePoint now);
  bool EvictAdapter(Engine& engine, TimePoint now,
                    std::vector<OrderToSend>& orders);
  static int UsedAdapterSlots(const Engine& engine);
  void RecordDeferral(const std::string& target, Deferral reason);
  void RecordDemand(const HostReport& report, TimePoint now);
  void RecordServed(const std::string& target, TimePoint now);
  void LogUnserved(TimePoint now);
  const std::string& ModelOf(const CatalogueEntry& entry) const;
  bool NeedsStore(const std::string& model) const;
  void UpdateKept(TimePoint now);
  void EndWait(const std::string& target, TimePoint now);
  bool IsPromiseDue(const CatalogueEntry& entry, TimePoint now) const;
  // Demand for a target at servers of one software version.
  struct VersionedDemand {
    struct Row {
      double worth = 0;
      TimePoint reported_at;
    };
    std::string target;
    std::string version;
    std::map<std::string, Row> hosts;
    TimePoint next_attempt;
  };
  void RecordVersioned(const HostReport& report, TimePoint now);
  // Loads what no server of the demanded version has.
  void ServeVersions(TimePoint now, std::vector<OrderToSend>& orders);
  DemandAnswer AnswerVersioned(const std::string& name,
                               const VersionedDemand& demand,
                               TimePoint now) const;
  // Returns an engine of that version that holds `target` in `state`, or null.
  const Engine* FindAtVersion(const std::string& target,
                              const std::string& version, State state) const;
  bool HasWantedVersion(const Engine& engine) const {
    return !wanted_version_ || engine.listed.version == *wanted_version_;
  }
  static Duration TimeToReturn(const UnservedDemand::Wait& wait);
  void EstimateStoreTurns(TimePoint now);
  bool MayTry(const CatalogueEntry& entry, TimePoint now);
  void ServeUnserved(TimePoint now, std::vector<OrderToSend>& orders);
  void ServeWaiting(TimePoint now, std::vector<OrderToSend>& orders);
  void ServeRefused(TimePoint now, std::vector<OrderToSend>& orders);
  // Capacity of an engine in replicas: that of its speed, or less if it has a
  // rate limit.
  double ReplicaShare(const std::string& engine) const;
  // Capacity in replicas of the engines on which `name` is ready.
  double ReadyCapacity(const std::string& name,
                       const Locations& locations) const;
  // Capacity in replicas of the engines on which `name` is being loaded.
  double LoadingCapacity(const std::string& name,
                         const Locations& locations) const;
  static double Unmet(double rate, double replicas);
  static int MissingReplicas(double rate, double replicas);
  void ReplicateBusy(bool is_overloaded, TimePoint now,
                     std::vector<OrderToSend>& orders);
  void SeedCopies(TimePoint now, std::vector<OrderToSend>& orders);
  void FillFreeMemory(TimePoint now, std::vector<OrderToSend>& orders);
  const CatalogueEntry* BestForFreeMemory(const Engine& engine,
                                          TimePoint now) const;
  bool MayOrder(const Engine& engine) const;

  void SendOrder(Engine& engine, OrderKind kind, const CatalogueEntry& entry,
                 CheckpointTier tier, const std::string& reason, TimePoint now,
                 std::vector<OrderToSend>& orders);
  void ExpireCalls(TimePoint now);
  void UpdateResponsiveness(TimePoint now);
  // Interval between reports of an engine that is executing a model order.
  Duration LoadPoll() const;
  TimePoint NextReportTime(const OpenOrder& order, TimePoint now) const;
  void RequestReports(TimePoint now, std::vector<OrderToSend>& orders);
  void ApplyAccepted(Engine& engine, const OpenOrder& call);
  void RevertOrder(Engine& engine, const OpenOrder& call, TimePoint now);
  void SettleUnanswered(Engine& engine, const Inventory& inventory,
                        TimePoint requested_at, TimePoint now);
  void FinishModelOrder(Engine& engine, TimePoint now);
  void AdoptReplicas(Engine& engine, const Inventory& inventory,
                     TimePoint requested_at, TimePoint now);
  void RemoveAbsent(Engine& engine, const Inventory& inventory,
                    TimePoint requested_at);
  void UpdateStoreWidth(const OpenOrder& order, TimePoint now);
  void Record(std::string event, const std::string& engine,
              const std::string& target, std::string reason,
              Duration took = Duration{0});

  Incarnation self_;
  FencingToken token_;
  PolicySet policies_;
  const std::map<std::string, CatalogueEntry>* catalogue_ = nullptr;
  const std::map<std::string, EngineClass>* classes_ = nullptr;
  std::map<std::string, Engine> engines_;
  std::map<std::string, double> limits_;  // Requests per second by engine.
  EngineSpeeds speeds_;
  // Results of ReadyCapacity() by target, cleared whenever an input changes.
  // Each plan asks for that of each target on each engine that holds it.
  mutable absl::flat_hash_map<std::string, double> ready_capacities_;
  // Index of all holdings and copies. Only changed engines are indexed again:
  // rebuilding the index and summing all usage for each decision took 1.0 ms at
  // 256 engines instead of 0.08 ms.
  absl::flat_hash_map<std::string, Locations> index_;
  std::vector<std::string> stale_engines_;  // Engines to index again.
  // The engine that last evicted for a model. May be out of date: readers check
  // the engine's own state.
  absl::flat_hash_map<std::string, std::string> evicting_engines_;
  // Cached number of open loads from the weight store; empty if stale.
  mutable std::optional<int> store_loads_;
  // When placement of a waiting target is tried again, and when the weight
  // store can have delivered a target of which no engine has a copy.
  absl::flat_hash_map<std::string, TimePoint> next_attempts_;
  absl::flat_hash_map<std::string, TimePoint> store_ready_at_;
  // Why no load of a waiting target was ordered at the last attempt.
  absl::flat_hash_map<std::string, Deferral> deferrals_;
  // Targets that were asked for and not served since, whether their callers
  // still wait or were refused. A target counts as served once requests arrive
  // or run while it is ready.
  UnservedDemand unserved_;
  TimePoint unserved_logged_at_;
  // The waits of `unserved_` in their order, as of this decision.
  std::vector<UnservedDemand::Wait> unserved_order_;
  // What callers of an unserved target were told.
  struct Promise {
    TimePoint ready_at;       // Estimated when they were refused.
    TimePoint callers_until;  // Latest deadline of those who asked.
  };
  absl::flat_hash_map<std::string, Promise> promises_;
  // Until when models that were displaced leave others in their places, unless
  // they are loaded before.
  absl::flat_hash_map<std::string, TimePoint> displaced_;
  // Models that are kept for callers who were told to return.
  std::set<std::string> kept_;
  // Loads from the weight store that unserved models are owed: for each load of
  // another model one, or more if that was served already.
  int owed_store_loads_ = 1;
  uint64_t store_loads_sent_ = 0;
  // Overloaded models without the replica they need, at the last decision.
  int lacking_replicas_ = 0;
  TimePoint next_seed_at_;
  TimePoint next_fill_at_;
  UsageTable usage_;
  std::map<std::string, VersionedDemand> versioned_;  // By name of the queue.
  // While engines for one software version are chosen.
  std::optional<std::string> wanted_version_;
  // Whether the load being placed must not use the weight store.
  bool avoids_store_ = false;
  // Usage of a model and its adapters; summed again at most each kSumInterval.
  struct Usage {
    double rate = 0;
    double expected_rate = 0;  // When a load that begins now is done.
    double worth_rate = 0;
    double adapter_worth_rate = 0;
    int running = 0;
  };
  std::map<std::string, Usage> busy_;
  TimePoint summed_at_;
  int open_model_orders_ = 0;  // At the last decision.
  uint64_t last_order_ = 0;
  uint64_t last_sequence_ = 0;
  std::deque<TimePoint> store_load_starts_;
  StoreWidth store_width_;
  bool is_superseded_ = false;
  std::vector<PlacementEvent> events_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_FLEET_PLANNER_H_

#ifndef APPLEHALL_PLACEMENT_FLEET_PLANNER_H_
#define APPLEHALL_PLACEMENT_FLEET_PLANNER_H_

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/policy_set.h"
#include "membership/engine_list.h"
#include "placement/demand.h"
#include "placement/engine_owner.h"
#include "placement/usage_table.h"
#include "rules/rule_checker.h"

namespace applehall {

// Decides what all listed engines load and unload, while this host holds the
// lease for them.
//
// For engines that carry out one model order at a time and count the orders
// they accepted. Each order names the count it was decided on, so an order that
// is carried out late, or twice, changes nothing once another one was
// accepted: what the planner counts as held is never less than what the
// engine holds. Memory is reserved before an order is sent and is free again
// only when a report, asked for after the order ended, says so.
class FleetPlanner {
 public:
  // `token` and `self` make order ids unique.
  FleetPlanner(Incarnation self, FencingToken token, PolicySet policies = {});

  // Both must outlive the planner. Not thread-safe.
  void SetCatalogue(const std::map<std::string, CatalogueEntry>* catalogue,
                    const std::map<std::string, EngineClass>* classes);
  // Engines that are not listed any more are forgotten. Not thread-safe.
  void SetServers(const EngineList& servers, TimePoint now);
  // Requests a second that engines take which limit themselves. Such an engine
  // counts as a part of a replica. Not thread-safe.
  void SetLimits(std::map<std::string, double> limits) {
    limits_ = std::move(limits);
  }
  // What one host has waiting and running. Not thread-safe.
  void TakeReport(const HostReport& report, TimePoint now);
  // An engine's report, and its answer to an order. Not thread-safe.
  void TakeInventory(const Inventory& inventory, TimePoint asked_at,
                     TimePoint now);
  void TakeOrderResult(const std::string& engine, const std::string& order_id,
                       OrderResult result, TimePoint now);
  // Emits the reports that are due and, if `may_order`, the orders decided
  // now. Not thread-safe.
  void Decide(bool may_order, TimePoint now, std::vector<OrderToSend>& orders);

  // How a demand for `target` stands. Not thread-safe.
  DemandAnswer Answer(const std::string& target, TimePoint now) const;
  // What requests may be sent to `engine` for; its version grows with each
  // change. Not thread-safe.
  std::vector<std::string> ReadyTargetsOf(const std::string& engine) const;
  uint64_t StateVersion(const std::string& engine) const;
  // Requests of all hosts under way at `engine`, as far as reported.
  int RunningRequestCount(const std::string& engine) const {
    return usage_.RunningAt(engine);
  }
  // Requests a second for what `engine` holds, its share where others hold it
  // too. Not thread-safe.
  double ArrivalRate(const std::string& engine, TimePoint now) const;
  // An engine has seen a higher token than this planner's.
  bool is_superseded() const { return is_superseded_; }
  // No order awaits its answer.
  bool IsIdle() const;
  FencingToken token() const { return token_; }
  // Takes what happened since the last call. Not thread-safe.
  std::vector<PlacementEvent> TakeEvents() { return std::exchange(notes_, {}); }
  Json ToJson(TimePoint now) const;

 private:
  enum class State : uint8_t { kLoading, kReady, kUnloading };
  struct Holding {
    State state = State::kReady;
    std::string base;
    uint64_t bytes = 0;
    TimePoint since;  // Of the state.
  };
  struct OpenOrder {
    std::string id;
    OrderKind kind = OrderKind::kLoad;
    std::string name;
    CheckpointTier tier = CheckpointTier::kMemory;
    TimePoint sent_at;
    TimePoint expected_end;
    bool is_accepted = false;
    bool is_unanswered = false;
    int store_loads_at_start = 0;
  };
  // One line of an engine's part in the index of holdings.
  struct IndexedName {
    std::string name;
    bool is_copy = false;  // Outside accelerator memory; else it is held.
    State state = State::kReady;
  };
  struct Engine {
    ListedServer listed;
    bool is_known = false;      // Its count of orders and its holdings are.
    bool is_rejecting = false;  // It is not the incarnation that is listed.
    uint64_t accepted_orders = 0;
    std::map<std::string, Holding> holdings;
    std::optional<OpenOrder> model_order;
    // The one call that awaits its answer, of either kind of order.
    std::optional<OpenOrder> call;
    TimePoint report_at;       // When to ask for the next report.
    TimePoint report_sent_at;  // Of the report under way; epoch if none.
    // The first question since the last answer; epoch if none is open.
    TimePoint unanswered_since;
    bool is_silent = false;  // It has not answered for too long.
    std::string reserved_for;
    TimePoint reserved_until;
    bool is_making_room = false;  // Something is unloaded for `reserved_for`.
    // The accepted unload that the load under way was sent after, until the
    // engine's answer shows that it is done.
    std::optional<OpenOrder> unload_before;
    int refused_loads = 0;  // Since that unload was accepted.
    TimePoint load_again_at;
    uint64_t version = 1;
    // What `index_` says of this engine, to be taken back when it changes.
    std::vector<IndexedName> indexed;
    bool is_index_stale = true;
  };
  // A way to bring a model onto one engine.
  struct Option {
    Engine* engine = nullptr;
    CheckpointTier tier = CheckpointTier::kRemote;
    std::vector<std::string> victims;
    double cost = 0;
    Duration ready_in{0};
  };

  const CatalogueEntry* EntryOf(const std::string& name) const;
  const EngineClass* ClassOf(const Engine& engine) const;
  uint64_t UsedBytes(const Engine& engine) const;
  CheckpointTier TierOn(const Engine& engine, const std::string& model) const;
  Duration LoadTime(const CatalogueEntry& entry, CheckpointTier tier) const;
  // Where a model or adapter is, over all engines that stay.
  struct Whereabouts {
    int ready = 0;
    int loading = 0;
    std::vector<std::string> holders;  // In any state.
    std::vector<std::string> copies;   // In host memory or on disk.
  };
  void IndexHoldings();
  void Index(const std::string& id, Engine& engine);
  void Unindex(const std::string& id, Engine& engine);
  void MarkStale(Engine& engine);
  const Whereabouts& WhereIs(const std::string& name) const;
  int StoreLoads() const;

  void Changed(Engine& engine);
  void StartAnew(Engine& engine);
  void SumUsage(TimePoint now);
  double BlockedAdapterLoss(const Engine& engine, Duration duration) const;
  double LossOf(const Engine& engine, const std::string& model,
                TimePoint now) const;
  std::vector<std::string> ChooseVictims(const Engine& engine, uint64_t needed,
                                         TimePoint now) const;
  // The best way found so far, and what stood nearest to one where none is.
  struct Search {
    std::optional<Option> best;
    Deferral deferral = Deferral::kNoEngine;

    void Reject(Deferral reason) { deferral = std::max(deferral, reason); }
  };
  std::optional<Option> OptionOn(Engine& engine, const CatalogueEntry& entry,
                                 double worth, bool is_background,
                                 TimePoint now, Search& search);
  Search BestOption(const CatalogueEntry& entry, double worth,
                    bool at_once_only, TimePoint now);
  void TryEngine(Engine& engine, const CatalogueEntry& entry, double worth,
                 bool at_once_only, TimePoint now, Search& search);
  bool HasStoreRoom(const std::string& service, TimePoint now) const;
  Engine* EngineMakingRoom(const std::string& model, TimePoint now);
  bool MayLoadAfterUnload(const Engine& engine, const CatalogueEntry& entry,
                          TimePoint now) const;
  void EndUnload(Engine& engine, const OpenOrder& unload, TimePoint now);
  bool TakeRefusedLoad(Engine& engine, const OpenOrder& call,
                       OrderResult result, TimePoint now);
  // What stands in the way; kNone if an order was given.
  Deferral PlaceModel(const CatalogueEntry& entry, double worth,
                      const std::string& reason, bool at_once_only,
                      TimePoint now, std::vector<OrderToSend>& orders);
  void PlaceAdapter(const CatalogueEntry& entry, double worth, TimePoint now,
                    std::vector<OrderToSend>& orders);
  bool MakeAdapterRoom(Engine& engine, TimePoint now,
                       std::vector<OrderToSend>& orders);
  static int AdapterSlotsTaken(const Engine& engine);
  void NotePutOff(const std::string& target, Deferral reason);
  void ServeWaiting(TimePoint now, std::vector<OrderToSend>& orders);
  // How many replicas an engine is worth: one, or less if it limits itself.
  double ShareOf(const std::string& engine) const;
  // How many the engines are worth that are ready for `name`.
  double CapacityFor(const std::string& name, const Whereabouts& where) const;
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
  void GiveUpCalls(TimePoint now);
  void NoteSilence(TimePoint now);
  // Between reports of an engine that is carrying out a model order.
  Duration LoadPoll() const;
  TimePoint NextReport(const OpenOrder& order, TimePoint now) const;
  void AskForReports(TimePoint now, std::vector<OrderToSend>& orders);
  void Accept(Engine& engine, const OpenOrder& call);
  void DropCall(Engine& engine, const OpenOrder& call, TimePoint now);
  void EndModelOrder(Engine& engine, TimePoint now);
  void Adopt(Engine& engine, const Inventory& inventory, TimePoint asked_at,
             TimePoint now);
  void DropAbsent(Engine& engine, const Inventory& inventory,
                  TimePoint asked_at);
  void LearnStoreWidth(const OpenOrder& order, TimePoint now);
  void Note(std::string event, const std::string& engine,
            const std::string& target, std::string reason,
            Duration took = Duration{0});

  Incarnation self_;
  FencingToken token_;
  PolicySet policies_;
  const std::map<std::string, CatalogueEntry>* catalogue_ = nullptr;
  const std::map<std::string, EngineClass>* classes_ = nullptr;
  std::map<std::string, Engine> engines_;
  std::map<std::string, double> limits_;  // A second, by engine.
  // Of all holdings and copies. Only what changed is indexed anew: with the
  // whole index and all usage summed for each decision, one took 1.0 ms at 256
  // engines in place of 0.08 (benchmark PlanFleet).
  absl::flat_hash_map<std::string, Whereabouts> index_;
  std::vector<std::string> stale_;  // Engines to be indexed anew.
  // The engine that made room for a model last; to be checked when read.
  absl::flat_hash_map<std::string, std::string> room_made_on_;
  // Loads from the weight store under way; nothing if it must be counted.
  mutable std::optional<int> store_loads_;
  // When a waiting target is looked at again, and when the store could bring
  // one that no engine has at hand.
  absl::flat_hash_map<std::string, TimePoint> next_look_;
  absl::flat_hash_map<std::string, TimePoint> store_turn_;
  // Why a waiting target was not ordered when it was last looked at.
  absl::flat_hash_map<std::string, Deferral> put_off_;
  TimePoint seeds_at_;
  TimePoint fills_at_;
  UsageTable usage_;
  // Of each model, with its adapters; summed anew for each decision.
  struct Usage {
    double rate = 0;
    double worth_rate = 0;
    double adapter_worth_rate = 0;
    int running = 0;
  };
  std::map<std::string, Usage> busy_;
  TimePoint summed_at_;
  int open_model_orders_ = 0;  // At the last decision.
  uint64_t last_order_ = 0;
  uint64_t last_sequence_ = 0;
  std::deque<TimePoint> store_loads_begun_;
  double store_width_;
  bool is_store_width_known_ = false;  // A load was slowed by others.
  bool is_superseded_ = false;
  std::vector<PlacementEvent> notes_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_FLEET_PLANNER_H_

#ifndef APPLEHALL_PLACEMENT_MEMORY_LEDGER_H_
#define APPLEHALL_PLACEMENT_MEMORY_LEDGER_H_

#include <map>
#include <optional>
#include <string>

#include "placement/engine_types.h"

namespace applehall {

// What the owner knows of one holding.
enum class HoldingState : uint8_t {
  kOrdered,    // Load sent, outcome unknown. Counts as loaded.
  kLoading,    // Seen in an inventory.
  kReady,      // Seen in an inventory.
  kUnloading,  // Unload sent. Counts until missing from an inventory.
};

struct Holding {
  HoldingState state = HoldingState::kOrdered;
  std::string base;
  uint64_t bytes = 0;
  std::string order_id;  // The last load or unload ordered.
  Fence order_fence;
  TimePoint ordered_at;
  TimePoint settled_at;  // When an inventory first showed it ready.
  int running = 0;
  TimePoint last_used;
};

// A change to the ledger by an inventory, for logs, metrics and load
// predictions.
struct LedgerChange {
  enum class Kind : uint8_t { kReady, kGone, kLoadFailed, kAdopted };
  Kind kind = Kind::kReady;
  std::string name;
  Duration load_time{0};
  std::string detail;
};

// Conservative account of one engine's memory.
//
// The ledger may count free memory as used, never used memory as free. A
// reservation is made before the order is sent and ends only by proof: an
// inventory that was written after the order and lists its outcome; a fence
// above the order's, on an engine that checks fences; or the maximum time an
// order can be in flight, on an engine that does not.
class MemoryLedger {
 public:
  MemoryLedger() = default;
  // `order_horizon` is the maximum time an order can be in flight.
  MemoryLedger(bool checks_fence, Duration order_horizon)
      : checks_fence_(checks_fence), order_horizon_(order_horizon) {}

  // Reserves memory for a load before it is ordered. Returns false if it does
  // not fit or the ledger holds the name already. Not thread-safe.
  bool Reserve(const EngineOrder& order, TimePoint now);
  // Marks a holding before its unload is ordered. Returns false unless the
  // holding is ready. Not thread-safe.
  bool BeginUnload(const EngineOrder& order, TimePoint now);
  // Applies an engine's answer to a request sent at `requested_at`. Answers
  // older than one already applied are ignored. Not thread-safe.
  std::vector<LedgerChange> Reconcile(const Inventory& inventory,
                                      TimePoint requested_at, TimePoint now);

  // True once an inventory was applied; nothing can be reserved before.
  bool is_known() const { return incarnation_ != 0; }
  uint64_t incarnation() const { return incarnation_; }
  uint64_t free_bytes() const;
  uint64_t committed_bytes() const;
  uint64_t memory_bytes() const { return memory_bytes_; }
  // True if the outcome of an order older than `before` is unknown. Not
  // thread-safe.
  bool HasUnsettledOrder(TimePoint before) const;
  const std::map<std::string, Holding>& holdings() const { return holdings_; }
  const Holding* Find(const std::string& name) const;
  const Inventory& inventory() const { return inventory_; }

 private:
  // Removes the holdings of the engine's earlier incarnation.
  void RemoveEarlierIncarnation(uint64_t incarnation,
                                std::vector<LedgerChange>& changes);
  bool IsSettledAsAbsent(const Holding& holding, const Inventory& inventory,
                         TimePoint requested_at) const;
  bool UnloadCannotHappen(const Holding& holding, const Inventory& inventory,
                          TimePoint requested_at) const;
  void AdoptReplica(const Replica& replica, const Inventory& inventory,
                    TimePoint requested_at, TimePoint now,
                    std::vector<LedgerChange>& changes);
  void RemoveAbsent(const Inventory& inventory, TimePoint requested_at,
                    std::vector<LedgerChange>& changes);

  bool checks_fence_ = true;
  Duration order_horizon_{0};
  uint64_t incarnation_ = 0;
  uint64_t memory_bytes_ = 0;
  uint64_t kv_reserved_bytes_ = 0;
  std::map<std::string, Holding> holdings_;
  Inventory inventory_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_MEMORY_LEDGER_H_

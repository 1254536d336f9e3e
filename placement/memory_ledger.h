#ifndef APPLEHALL_PLACEMENT_MEMORY_LEDGER_H_
#define APPLEHALL_PLACEMENT_MEMORY_LEDGER_H_

#include <map>
#include <optional>
#include <string>

#include "placement/engine_types.h"

namespace applehall {

// How sure the owner is of one holding.
enum class HoldingState : uint8_t {
  kOrdered,    // Load sent; its outcome is not known. Counts as loaded.
  kLoading,    // Seen in an inventory.
  kReady,      // Seen in an inventory.
  kUnloading,  // Unload sent; counts until an inventory shows it gone.
};

struct Holding {
  HoldingState state = HoldingState::kOrdered;
  std::string base;
  uint64_t bytes = 0;
  std::string order_id;  // Of the load that is not settled yet.
  Fence order_fence;
  TimePoint ordered_at;
  TimePoint settled_at;  // When it became ready here.
  int running = 0;
  TimePoint last_used;
};

// What an inventory changed in the ledger, for logs, metrics and learning.
struct LedgerChange {
  enum class Kind : uint8_t { kReady, kGone, kLoadFailed, kAdopted };
  Kind kind = Kind::kReady;
  std::string name;
  Duration load_time{0};
  std::string detail;
};

// The memory of one engine, as its owner may count on it.
//
// The ledger errs to one side only: memory may be counted that is free, never
// the other way. A reservation is made before the order is sent and ends only
// by proof: an inventory written after the order that lists its outcome, a
// fence above the order on an engine that checks, or the longest time an
// order can be under way on an engine that does not.
class MemoryLedger {
 public:
  MemoryLedger() = default;
  // `order_horizon` is the longest time an order can be under way.
  MemoryLedger(bool checks_fence, Duration order_horizon)
      : checks_fence_(checks_fence), order_horizon_(order_horizon) {}

  // Reserves memory for a load that is about to be ordered. False if it does
  // not fit or the name is held already. Not thread-safe.
  bool Reserve(const EngineOrder& order, TimePoint now);
  // Marks an unload that is about to be ordered. False unless the holding is
  // ready. Not thread-safe.
  bool BeginUnload(const EngineOrder& order, TimePoint now);
  // Takes an engine's answer. `asked_at` is when the question was sent.
  // Answers older than one already taken are ignored. Not thread-safe.
  std::vector<LedgerChange> Reconcile(const Inventory& inventory,
                                      TimePoint asked_at, TimePoint now);

  // True once an inventory was taken; before that nothing may be reserved.
  bool is_known() const { return incarnation_ != 0; }
  uint64_t incarnation() const { return incarnation_; }
  uint64_t free_bytes() const;
  uint64_t committed_bytes() const;
  uint64_t memory_bytes() const { return memory_bytes_; }
  // Some outcome is unknown since before `before`. Not thread-safe.
  bool HasUnsettled(TimePoint before) const;
  const std::map<std::string, Holding>& holdings() const { return holdings_; }
  const Holding* Find(const std::string& name) const;
  const Inventory& inventory() const { return inventory_; }

 private:
  // Drops what the engine held before it started again.
  void DropEarlierLife(uint64_t incarnation,
                       std::vector<LedgerChange>& changes);
  bool IsSettledAsAbsent(const Holding& holding, const Inventory& inventory,
                         TimePoint asked_at) const;
  bool UnloadCannotHappen(const Holding& holding, const Inventory& inventory,
                          TimePoint asked_at) const;
  void Adopt(const Replica& replica, const Inventory& inventory,
             TimePoint asked_at, TimePoint now,
             std::vector<LedgerChange>& changes);
  void DropAbsent(const Inventory& inventory, TimePoint asked_at,
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

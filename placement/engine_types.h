#ifndef APPLEHALL_PLACEMENT_ENGINE_TYPES_H_
#define APPLEHALL_PLACEMENT_ENGINE_TYPES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "placement/ownership_table.h"

namespace applehall {

// Where an engine finds a checkpoint, from the fastest tier to the slowest.
enum class CheckpointTier : uint8_t { kMemory, kDisk, kRemote };
constexpr int kCheckpointTiers = 3;
const char* TierName(CheckpointTier tier);
CheckpointTier TierFromName(std::string_view name);

// Orders of one owner ascend in (token, sequence). An engine that checks fences
// refuses every order below the highest fence it has seen.
struct Fence {
  FencingToken token = 0;
  uint64_t sequence = 0;

  auto operator<=>(const Fence&) const = default;
};

enum class OrderKind : uint8_t { kLoad, kUnload, kInspect };
const char* OrderKindName(OrderKind kind);

// An order to an engine. kInspect changes only the engine's fence and requests
// the inventory. Orders are idempotent by id.
struct EngineOrder {
  std::string id;
  OrderKind kind = OrderKind::kInspect;
  uint64_t engine_incarnation = 0;  // Zero: any incarnation.
  Fence fence;
  std::string name;  // Model or adapter.
  std::string base;  // The base model of an adapter.
  uint64_t bytes = 0;
  // Exact number of orders that the engine must have accepted before this one.
  // An engine that checks it refuses an order that arrives late.
  std::optional<uint64_t> after_orders;
  // Latest time to send the order. Prevents a process that was paused from
  // sending an outdated decision.
  TimePoint send_by;
  // Latest time at which the order may reach the engine: the sender cancels it
  // if it has not arrived by then. Empty: no limit.
  std::optional<TimePoint> arrive_by;

  Json ToJson() const;
  static EngineOrder FromJson(const Json& json);
};

enum class ReplicaState : uint8_t { kLoading, kReady };

// One model or adapter in an engine's memory.
struct Replica {
  std::string name;
  std::string base;
  uint64_t bytes = 0;
  ReplicaState state = ReplicaState::kReady;
  int running = 0;
  TimePoint last_used;  // Engine's clock; sent as an age in the inventory.
};

enum class OrderResult : uint8_t {
  kAccepted,  // In progress; the inventory shows it.
  kDone,
  kStaleFence,
  kWrongIncarnation,
  kNoMemory,
  kBusy,
  kNoBase,
  kUnknownModel,
  kLoadFailed,
  kUnanswered,  // May have been accepted, or may still be executed later.
};
const char* OrderResultName(OrderResult result);

// The contents of an engine's memory when it answers. Unlike load reports it is
// exact when written, but may arrive late or out of order.
struct Inventory {
  std::string engine;
  uint64_t incarnation = 0;
  // For engines that report it instead of an incarnation; else the epoch.
  TimePoint started_at;
  uint64_t sequence = 0;  // Ascends with each answer of an incarnation.
  Fence highest_fence;
  uint64_t memory_bytes = 0;
  uint64_t kv_reserved_bytes = 0;  // For all slots at once.
  int slots = 0;
  // Load report; lags behind the engine.
  int running = 0;
  int queued = 0;
  std::vector<Replica> replicas;
  std::map<std::string, OrderResult> results;   // Recent orders by id.
  std::map<std::string, CheckpointTier> tiers;  // Absent: remote.
  // Set only by engines that count orders.
  uint64_t accepted_orders = 0;
  bool is_busy = false;  // A model load or unload is in progress.

  Json ToJson(TimePoint now) const;
  static Inventory FromJson(const Json& json, TimePoint now);
};

// An engine's entry in the host list.
struct EngineFacts {
  std::string name;
  std::string address;
  std::string data_centre;
  uint64_t incarnation = 0;
  bool checks_fence = true;
  bool is_leaving = false;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_ENGINE_TYPES_H_

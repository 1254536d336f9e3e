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

// Where an engine finds a checkpoint; each tier loads slower than the last.
enum class CheckpointTier : uint8_t { kMemory, kDisk, kRemote };
constexpr int kCheckpointTiers = 3;
const char* TierName(CheckpointTier tier);
CheckpointTier TierFromName(std::string_view name);

// Orders of one owner ascend in (token, sequence). An engine that checks
// refuses everything below the highest fence it has seen.
struct Fence {
  FencingToken token = 0;
  uint64_t sequence = 0;

  auto operator<=>(const Fence&) const = default;
};

enum class OrderKind : uint8_t { kLoad, kUnload, kInspect };
const char* OrderKindName(OrderKind kind);

// An order to an engine. kInspect changes nothing but the engine's fence and
// asks for the inventory. Repeating an order with the same id is harmless.
struct EngineOrder {
  std::string id;
  OrderKind kind = OrderKind::kInspect;
  uint64_t engine_incarnation = 0;  // Zero: whichever answers.
  Fence fence;
  std::string name;  // Model or adapter.
  std::string base;  // The model an adapter needs.
  uint64_t bytes = 0;
  // Orders that the engine must have accepted before this one, no more and no
  // less; where engines check it, an order that arrives late changes nothing.
  std::optional<uint64_t> after_orders;
  // Must not be put on the wire later than this. Guards against a paused
  // process that sends what it decided long ago.
  TimePoint send_by;
  // Must not reach the engine later than this, however long its way is: the
  // sender takes back what has not arrived. Nothing: whenever it arrives.
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
  TimePoint last_used;  // By the engine's clock, as an age in the inventory.
};

enum class OrderResult : uint8_t {
  kAccepted,  // Under way; the inventory shows it.
  kDone,
  kStaleFence,
  kWrongIncarnation,
  kNoMemory,
  kBusy,
  kNoBase,
  kUnknownModel,
  kLoadFailed,
  kUnanswered,  // It may have been accepted, or may be carried out later.
};
const char* OrderResultName(OrderResult result);

// What an engine holds at the moment it answers. Unlike load reports this is
// exact when written; it may still arrive late or crossed.
struct Inventory {
  std::string engine;
  uint64_t incarnation = 0;
  // Where engines tell that in place of an incarnation; the epoch if not.
  TimePoint started_at;
  uint64_t sequence = 0;  // Ascends with each answer of one incarnation.
  Fence highest_fence;
  uint64_t memory_bytes = 0;
  uint64_t kv_reserved_bytes = 0;  // For all slots at once.
  int slots = 0;
  // Lagging load report.
  int running = 0;
  int queued = 0;
  std::vector<Replica> replicas;
  std::map<std::string, OrderResult> results;   // Recent orders by id.
  std::map<std::string, CheckpointTier> tiers;  // Absent: remote.
  // Only of engines that count orders.
  uint64_t accepted_orders = 0;
  bool is_busy = false;  // A model's load or unload is under way.

  Json ToJson(TimePoint now) const;
  static Inventory FromJson(const Json& json, TimePoint now);
};

// One engine as the host list describes it.
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

#ifndef APPLEHALL_PLACEMENT_DEMAND_H_
#define APPLEHALL_PLACEMENT_DEMAND_H_

#include <optional>
#include <string>

#include "core/clock.h"

namespace applehall {

// One host's demand for a model that is cold or overloaded. Sent to the owner
// while requests wait. It states a level, not a change, so a lost or duplicated
// message is harmless.
struct Demand {
  std::string target;  // Model or adapter.
  std::string host;    // The host that sends the demand.
  int waiting = 0;
  double worth = 0;   // Sum over all waiting requests.
  Duration slack{0};  // Until the earliest deadline among them.
  bool is_background = false;
  // Software version of the servers that the requests need; nothing: any.
  std::optional<std::string> version = std::nullopt;
};

// The owner's state for a demanded target.
enum class DemandStatus : uint8_t {
  kReady,
  kLoading,
  kQueued,   // Loaded as soon as memory and the weight store allow.
  kNoPlace,  // No engine of this group can hold it.
  kFailed,   // The last load failed.
  kUnknown,  // The owner has no inventory of its engines yet.
};

constexpr const char* DemandStatusName(DemandStatus status) {
  switch (status) {
    case DemandStatus::kReady:
      return "ready";
    case DemandStatus::kLoading:
      return "loading";
    case DemandStatus::kQueued:
      return "queued";
    case DemandStatus::kNoPlace:
      return "no_place";
    case DemandStatus::kFailed:
      return "failed";
    case DemandStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// Why the owner has not ordered a load for a waiting target. Ascending: the
// higher the value, the closer the target was to being loaded.
enum class Deferral : uint8_t {
  kNone,              // An order was sent, or the target was not examined yet.
  kNoEngine,          // No responsive engine could hold it.
  kStoreFull,         // No engine has a copy, and the weight store is busy.
  kNothingToEvict,    // All models on the engines are in use or newly loaded.
  kVictimsWorthMore,  // The models to evict are worth more.
  kReserved,          // The engines are reserved for other targets.
  kEngineBusy,        // The best engine is executing another order.
};

constexpr const char* DeferralName(Deferral reason) {
  switch (reason) {
    case Deferral::kNone:
      return "none";
    case Deferral::kNoEngine:
      return "no_engine";
    case Deferral::kStoreFull:
      return "store_full";
    case Deferral::kNothingToEvict:
      return "nothing_to_drop";
    case Deferral::kVictimsWorthMore:
      return "worth_less";
    case Deferral::kReserved:
      return "reserved";
    case Deferral::kEngineBusy:
      return "engine_busy";
  }
  return "none";
}

struct DemandAnswer {
  std::string target;  // Name of the queue that demanded it.
  std::string group;
  DemandStatus status = DemandStatus::kUnknown;
  Duration expected{0};  // Estimated time until the target is ready.
  Deferral deferral = Deferral::kNone;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_DEMAND_H_

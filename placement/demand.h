#ifndef APPLEHALL_PLACEMENT_DEMAND_H_
#define APPLEHALL_PLACEMENT_DEMAND_H_

#include <string>

#include "core/clock.h"

namespace applehall {

// What one host wants of a model that is cold or too busy. Sent to the owner
// while requests wait; it states a level, so losing or doubling one is safe.
struct Demand {
  std::string target;  // Model or adapter.
  std::string host;    // Who asks.
  int waiting = 0;
  double worth = 0;   // Of all that wait.
  Duration slack{0};  // Until the earliest of them must be answered.
  bool is_background = false;
};

// What the owner makes of a demand.
enum class DemandStatus : uint8_t {
  kReady,
  kLoading,
  kQueued,   // Will be loaded when memory or the store allows.
  kNoPlace,  // No engine of this group can take it.
  kFailed,   // The last load failed.
  kUnknown,  // The owner does not know its engines yet.
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

// Why the owner has ordered nothing yet for what waits. The later a reason
// stands, the nearer a load was.
enum class Deferral : uint8_t {
  kNone,              // An order was given, or nobody looked yet.
  kNoEngine,          // No engine that answers could hold it.
  kStoreFull,         // No engine has a copy, and the store brings others.
  kNothingToEvict,    // All that the engines hold is in use or just came.
  kVictimsWorthMore,  // What would have to go is worth more.
  kReserved,          // The engines are kept for others that wait.
  kEngineBusy,        // The best engine carries out another order.
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
  std::string target;
  std::string group;
  DemandStatus status = DemandStatus::kUnknown;
  Duration expected{0};  // Until it is ready, if it will be.
  Deferral deferral = Deferral::kNone;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_DEMAND_H_

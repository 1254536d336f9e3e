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

struct DemandAnswer {
  std::string target;
  std::string group;
  DemandStatus status = DemandStatus::kUnknown;
  Duration expected{0};  // Until it is ready, if it will be.
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_DEMAND_H_

#ifndef APPLEHALL_PLACEMENT_SPEED_CHOICE_H_
#define APPLEHALL_PLACEMENT_SPEED_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// The engines that a model is loaded on if several are about equally good.
enum class SpeedPreference : uint8_t {
  kNone,  // Without requests so far: any that is not crowded.
  kFast,  // Busy models: the engine with the most free capacity.
  kSlow,  // Rarely requested models: the slowest one that is not crowded.
};

// What the choice of an engine for a load depends on.
struct SpeedCandidate {
  std::string engine;
  double cost = 0;  // The lower the better, in seconds of waiting.
  Duration ready_in{0};
  double loss_cost = 0;  // The part of `cost` for what is evicted.
  size_t victims = 0;
  bool evicts_busy = false;  // A victim is a replica of a busy model.
  bool displaces = false;    // The victims are worth more.
  bool can_start = false;    // The engine can take an order at once.
  double capacity = 1;       // Requests per second that the engine serves,
  double arrivals = 0;       // and those that it gets, both in replicas.
};

struct SpeedChoice {
  size_t index = 0;
  // Why the candidate with the lowest cost was not chosen; empty if it was.
  std::string reason;
};

// Returns the best of `candidates`. Those that are about as good as the one
// with the lowest cost differ only in capacity and arrivals, which then decide.
// Requires: at least one candidate. Thread-safe.
SpeedChoice ChooseBySpeed(const std::vector<SpeedCandidate>& candidates,
                          SpeedPreference preference);

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_SPEED_CHOICE_H_

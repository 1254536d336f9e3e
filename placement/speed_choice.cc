#include "placement/speed_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "placement/engine_speeds.h"

namespace applehall {
namespace {

// Callers wait for the load: with targets of 0.25 to 8 s to the first event, a
// second more costs them more than a faster engine saves.
constexpr Duration kEqualReadyTime = std::chrono::seconds(1);
// Additional cost of evictions that a busy model's faster engine may have. It
// is the cost of losing a tenth of the worth of the model that is loaded.
constexpr double kEqualLossCost = 0.3;
// Share of an engine's capacity in use above which its streams begin to stall
// when another model's prompts are processed beside them.
constexpr double kCrowdedLoad = 0.5;

bool IsCrowded(const SpeedCandidate& candidate) {
  return candidate.arrivals > kCrowdedLoad * candidate.capacity;
}

double FreeCapacity(const SpeedCandidate& candidate) {
  return candidate.capacity - candidate.arrivals;
}

bool IsAboutAsGood(const SpeedCandidate& candidate, const SpeedCandidate& best,
                   SpeedPreference preference) {
  if (candidate.ready_in - best.ready_in >= kEqualReadyTime) return false;
  if (best.can_start && !candidate.can_start) return false;
  if (candidate.displaces && !best.displaces) return false;
  if (candidate.loss_cost <= best.loss_cost) {
    return preference == SpeedPreference::kFast ||
           candidate.victims <= best.victims;
  }
  // For a rarely requested model nothing more is evicted than necessary, and a
  // busy one does not take another one's fast engine.
  return preference == SpeedPreference::kFast && !candidate.evicts_busy &&
         candidate.loss_cost - best.loss_cost < kEqualLossCost;
}

}  // namespace

SpeedChoice ChooseBySpeed(const std::vector<SpeedCandidate>& candidates,
                          SpeedPreference preference) {
  const auto cheapest = [&](const std::vector<size_t>& indices) {
    return *std::min_element(indices.begin(), indices.end(),
                             [&](size_t a, size_t b) {
                               return candidates[a].cost < candidates[b].cost;
                             });
  };
  std::vector<size_t> rest(candidates.size());
  for (size_t i = 0; i < rest.size(); ++i) rest[i] = i;
  const size_t best_index = cheapest(rest);
  const SpeedCandidate& best = candidates[best_index];
  std::erase_if(rest, [&](size_t i) {
    return !IsAboutAsGood(candidates[i], best, preference);
  });
  if (preference == SpeedPreference::kFast) {
    const SpeedCandidate& freest = candidates[*std::max_element(
        rest.begin(), rest.end(), [&](size_t a, size_t b) {
          return FreeCapacity(candidates[a]) < FreeCapacity(candidates[b]);
        })];
    const double min_free =
        FreeCapacity(freest) -
        freest.capacity * (1 - 1 / EngineSpeeds::kEqualRatio);
    std::erase_if(
        rest, [&](size_t i) { return FreeCapacity(candidates[i]) < min_free; });
  } else {
    const bool has_uncrowded =
        std::any_of(rest.begin(), rest.end(),
                    [&](size_t i) { return !IsCrowded(candidates[i]); });
    if (has_uncrowded) {
      std::erase_if(rest, [&](size_t i) { return IsCrowded(candidates[i]); });
    }
  }
  if (preference == SpeedPreference::kSlow) {
    double slowest = candidates[rest.front()].capacity;
    for (const size_t i : rest) {
      slowest = std::min(slowest, candidates[i].capacity);
    }
    std::erase_if(rest, [&](size_t i) {
      return candidates[i].capacity > slowest * EngineSpeeds::kEqualRatio;
    });
  }
  SpeedChoice choice{cheapest(rest), ""};
  const SpeedCandidate& chosen = candidates[choice.index];
  if (chosen.engine == best.engine) return choice;
  choice.reason =
      absl::StrCat("capacity ", chosen.capacity, " with load ", chosen.arrivals,
                   " rather than ", best.engine, " of capacity ", best.capacity,
                   " with load ", best.arrivals);
  return choice;
}

}  // namespace applehall

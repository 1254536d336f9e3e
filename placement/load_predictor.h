#ifndef APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_
#define APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_

#include <array>
#include <cstdint>

#include "placement/engine_types.h"

namespace applehall {

// Predicts load times from the checkpoint's size and tier, corrected by the
// loads observed so far.
class LoadPredictor {
 public:
  // Requires: nothing. Not thread-safe.
  Duration Predict(uint64_t bytes, CheckpointTier tier) const;
  // Records that a load of `bytes` from `tier` took `took`. Not thread-safe.
  void Observe(uint64_t bytes, CheckpointTier tier, Duration took);

 private:
  // Bytes per second by tier, before correction.
  static constexpr std::array<double, kCheckpointTiers> kAssumedRates = {
      8e9, 2e9, 5e8};
  std::array<double, kCheckpointTiers> correction_{1.0, 1.0, 1.0};
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_

#ifndef APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_
#define APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_

#include <array>
#include <cstdint>

#include "placement/engine_types.h"

namespace applehall {

// Predicts how long a load takes from the tier of its checkpoint, corrected
// by the loads seen so far.
class LoadPredictor {
 public:
  // Requires: nothing. Not thread-safe.
  Duration Predict(uint64_t bytes, CheckpointTier tier) const;
  // A load of `bytes` from `tier` took `took`. Not thread-safe.
  void Observe(uint64_t bytes, CheckpointTier tier, Duration took);

 private:
  // Bytes a second by tier, until loads are seen.
  static constexpr std::array<double, kCheckpointTiers> kAssumedRates = {
      8e9, 2e9, 5e8};
  std::array<double, kCheckpointTiers> correction_{1.0, 1.0, 1.0};
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_LOAD_PREDICTOR_H_

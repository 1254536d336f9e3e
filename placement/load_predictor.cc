#include "placement/load_predictor.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr double kSmoothing = 0.2;
constexpr double kMinCorrection = 0.05;
constexpr double kMaxCorrection = 20.0;

}  // namespace

Duration LoadPredictor::Predict(uint64_t bytes, CheckpointTier tier) const {
  const size_t index = static_cast<size_t>(tier);
  return FromSeconds(static_cast<double>(bytes) / kAssumedRates[index] *
                     correction_[index]);
}

void LoadPredictor::Observe(uint64_t bytes, CheckpointTier tier,
                            Duration took) {
  if (bytes == 0 || took <= Duration::zero()) return;
  const size_t index = static_cast<size_t>(tier);
  const double assumed = static_cast<double>(bytes) / kAssumedRates[index];
  const double seen =
      std::clamp(ToSeconds(took) / assumed, kMinCorrection, kMaxCorrection);
  correction_[index] += kSmoothing * (seen - correction_[index]);
}

}  // namespace applehall

#include "placement/engine_speeds.h"

#include <algorithm>
#include <cmath>

namespace applehall {

double EngineSpeeds::Capacity(const std::string& engine) const {
  const auto it = speeds_.find(engine);
  if (it == speeds_.end() || !std::isfinite(it->second)) return 1;
  const double speed = it->second;
  if (speed < kEqualRatio && speed * kEqualRatio > 1) return 1;
  return std::clamp(speed * speed, kMinCapacity, kMaxCapacity);
}

}  // namespace applehall

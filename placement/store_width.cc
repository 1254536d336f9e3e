#include "placement/store_width.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

constexpr double kMaxWidth = 4.0;
// Ratio to the time of a load by itself above which it was slowed by others.
constexpr double kSlowedRatio = 1.3;
// A load that got less than this was late for another reason than others beside
// it, such as an order that was carried out late or an engine in trouble.
constexpr double kLowestWidth = 0.75;
// After this time without a slowed load, one more is tried.
constexpr Duration kProbeInterval = std::chrono::seconds(60);

}  // namespace

void StoreWidth::Advance(int loads, TimePoint now) {
  if (advanced_at_ != TimePoint{} && now > advanced_at_) {
    progress_ += (now - advanced_at_) / std::max(1, loads);
  }
  advanced_at_ = std::max(advanced_at_, now);
}

StoreWidth::LoadStart StoreWidth::Begin(int loads, TimePoint now) const {
  return {progress_, now, loads + 1 >= width_};
}

void StoreWidth::RecordLoad(const LoadStart& start, Duration nominal,
                            TimePoint now) {
  if (is_fixed_ || nominal <= Duration{0}) return;
  const double ratio = ToSeconds(now - start.at) / ToSeconds(nominal);
  if (ratio >= kSlowedRatio) {
    const double share = ToSeconds(progress_ - start.progress);
    const double shown = ToSeconds(nominal) / share;
    if (shown < kLowestWidth) return;
    slowed_at_ = now;
    width_ = std::clamp(std::round(shown), 1.0, kMaxWidth);
    return;
  }
  if (!start.filled_width) return;
  if (slowed_at_ == TimePoint{}) {
    width_ = std::min(width_ * 2, kMaxWidth);
  } else if (now - slowed_at_ >= kProbeInterval) {
    width_ = std::min(width_ + 1, kMaxWidth);
    slowed_at_ = now;
  }
}

}  // namespace applehall

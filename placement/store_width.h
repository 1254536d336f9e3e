#ifndef APPLEHALL_PLACEMENT_STORE_WIDTH_H_
#define APPLEHALL_PLACEMENT_STORE_WIDTH_H_

#include "core/clock.h"

namespace applehall {

// Estimates how many concurrent loads the weight store serves at full speed.
//
// Beyond its width the store divides its throughput evenly among the loads. The
// estimate follows from each load that was slowed and from the number of loads
// beside it over its whole time; a moment with many loads, such as the start of
// the fleet, must not leave a low estimate behind.
class StoreWidth {
 public:
  // What a load has to remember from its start.
  struct LoadStart {
    Duration progress{0};
    TimePoint at;
    bool filled_width = false;  // It was the last of as many as the width.
  };

  // Starts with `initial`; a fixed one never changes.
  explicit StoreWidth(double initial, bool is_fixed = false)
      : width_(initial), is_fixed_(is_fixed) {}

  // Accounts for the time since the last call, in which `loads` were under way.
  // Requires: called whenever their number changes. Not thread-safe, as all
  // below.
  void Advance(int loads, TimePoint now);
  // Returns the start of a load beside `loads` others.
  LoadStart Begin(int loads, TimePoint now) const;
  // Updates the estimate by a load that ended and takes `nominal` by itself.
  void RecordLoad(const LoadStart& start, Duration nominal, TimePoint now);
  double width() const { return width_; }

 private:
  double width_;
  bool is_fixed_;
  // Time by which a load that got an even share of one full-speed load since
  // the beginning would have advanced.
  Duration progress_{0};
  TimePoint advanced_at_;
  TimePoint slowed_at_;  // End of the last load that was slowed; else epoch.
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_STORE_WIDTH_H_

#ifndef APPLEHALL_CORE_OVERLOAD_GAUGE_H_
#define APPLEHALL_CORE_OVERLOAD_GAUGE_H_

#include "core/clock.h"

namespace applehall {

// Decides from the delays of a periodic timer whether an event loop has more to
// do than it can. A single delay, as after a pause of the process, is no
// overload.
class OverloadGauge {
 public:
  static constexpr Duration kHighDelay = std::chrono::milliseconds(150);
  static constexpr Duration kLowDelay = std::chrono::milliseconds(50);
  // Consecutive delays that begin or end an overload.
  static constexpr int kDelaysToChange = 3;

  // Not thread-safe.
  void Record(Duration delay) {
    const bool is_contrary =
        is_overloaded_ ? delay < kLowDelay : delay > kHighDelay;
    contrary_ = is_contrary ? contrary_ + 1 : 0;
    if (contrary_ < kDelaysToChange) return;
    is_overloaded_ = !is_overloaded_;
    contrary_ = 0;
  }
  bool is_overloaded() const { return is_overloaded_; }

 private:
  bool is_overloaded_ = false;
  int contrary_ = 0;  // Consecutive delays against the present state.
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_OVERLOAD_GAUGE_H_

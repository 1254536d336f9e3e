#ifndef APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_
#define APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_

#include <algorithm>

#include "core/clock.h"

namespace applehall {

// Keeps requests from a backend server that keeps failing. Opens after
// failures in a row, lets one trial through when its backoff has passed and
// doubles the backoff if that fails.
class CircuitBreaker {
 public:
  // Requires: nothing. Not thread-safe.
  bool Allows(TimePoint now) const {
    return failures_ < kFailuresToOpen || (now >= open_until_ && !on_trial_);
  }
  // A request is being sent. Requires: Allows(now). Not thread-safe.
  void Begin() {
    if (failures_ >= kFailuresToOpen) on_trial_ = true;
  }
  void Succeed() {
    failures_ = 0;
    on_trial_ = false;
    backoff_ = kFirstBackoff;
  }
  void Fail(TimePoint now) {
    on_trial_ = false;
    if (++failures_ < kFailuresToOpen) return;
    open_until_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, kMostBackoff);
  }
  // The request ended without telling anything about the server's health.
  void EndWithoutVerdict() { on_trial_ = false; }
  bool is_open() const { return failures_ >= kFailuresToOpen; }

 private:
  static constexpr int kFailuresToOpen = 3;
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
  static constexpr Duration kMostBackoff = std::chrono::seconds(20);

  int failures_ = 0;
  bool on_trial_ = false;
  TimePoint open_until_;
  Duration backoff_ = kFirstBackoff;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_

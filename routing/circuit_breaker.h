#ifndef APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_
#define APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_

#include <algorithm>
#include <optional>

#include "core/clock.h"

namespace applehall {

// Stops sending requests to a backend server that keeps failing. Opens after
// consecutive failures, allows one trial request when its backoff has passed
// and doubles the backoff if the trial fails. Requests sent before it opened
// tell nothing about the trial: many of them may fail at one moment.
class CircuitBreaker {
 public:
  // Requires: nothing. Not thread-safe.
  bool Allows(TimePoint now) const {
    return failures_ < kFailuresToOpen || (now >= open_until_ && !on_trial_);
  }
  // Records that a request is sent. Requires: Allows(now). Not thread-safe.
  void Begin() {
    if (failures_ >= kFailuresToOpen) on_trial_ = true;
  }
  // Records an answer, to whichever request: the server is sound. Not
  // thread-safe.
  void Succeed() {
    failures_ = 0;
    on_trial_ = false;
    backoff_ = kFirstBackoff;
  }
  // Records the failure of a request that was sent at `sent_at`. Requires:
  // sent_at <= now. Not thread-safe.
  void Fail(TimePoint sent_at, TimePoint now) {
    if (IsOutdated(sent_at)) return;
    on_trial_ = false;
    if (++failures_ < kFailuresToOpen) return;
    opened_at_ = now;
    open_until_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }
  // Discards all failures: they were not the server's. Not thread-safe.
  void Reset() { *this = {}; }
  // Ends a request, sent at `sent_at`, whose outcome says nothing about the
  // server's health. Not thread-safe.
  void EndWithoutVerdict(TimePoint sent_at) {
    if (!IsOutdated(sent_at)) on_trial_ = false;
  }
  bool is_open() const { return failures_ >= kFailuresToOpen; }

 private:
  static constexpr int kFailuresToOpen = 3;
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(20);

  // Whether a request was sent before the last failure that opened the breaker.
  bool IsOutdated(TimePoint sent_at) const {
    return opened_at_ && sent_at <= *opened_at_;
  }

  int failures_ = 0;
  bool on_trial_ = false;
  std::optional<TimePoint> opened_at_;  // Last; kept when it closes.
  TimePoint open_until_;
  Duration backoff_ = kFirstBackoff;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_CIRCUIT_BREAKER_H_

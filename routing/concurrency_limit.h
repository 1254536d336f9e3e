#ifndef APPLEHALL_ROUTING_CONCURRENCY_LIMIT_H_
#define APPLEHALL_ROUTING_CONCURRENCY_LIMIT_H_

#include <algorithm>

namespace applehall {

// Limits how many requests this host has in flight at one engine: additive
// increase while the engine accepts them, multiplicative decrease when it
// reports that it is full.
class ConcurrencyLimit {
 public:
  // Sets the engine's own limit. Requires: nothing. Not thread-safe.
  void SetSlots(int slots) {
    slots_ = slots;
    limit_ = limit_ == 0 ? slots : std::min<double>(limit_, slots);
  }
  bool Allows(int in_flight) const { return in_flight + 1 <= limit_; }
  void RecordAccepted() {
    limit_ =
        std::min<double>(slots_, limit_ + kIncrease / std::max(1.0, limit_));
  }
  void RecordFull() { limit_ = std::max(1.0, limit_ * kDecrease); }
  double limit() const { return limit_; }

 private:
  static constexpr double kIncrease = 1.0;
  static constexpr double kDecrease = 0.7;

  int slots_ = 0;
  double limit_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_CONCURRENCY_LIMIT_H_

#ifndef APPLEHALL_ROUTING_RETRY_BUDGET_H_
#define APPLEHALL_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace applehall {

// Bounds retries to a share of first attempts, so that failures never
// multiply the load on what is left.
class RetryBudget {
 public:
  // Requires: nothing. Not thread-safe.
  void RecordFirstAttempt() {
    saved_ = std::min(most_saved_, saved_ + kRetriesPerAttempt);
  }
  // Where many hosts share one bound, each may save its part of it only: when
  // all engines of a service fail at once, all hosts spend what they saved.
  // Requires: `most` is not negative. Not thread-safe.
  void SetMostSaved(double most) {
    most_saved_ = std::min(most, kMostSaved);
    saved_ = std::min(saved_, most_saved_);
  }
  // Spends one retry. False if the budget is spent. Not thread-safe.
  bool TrySpend() {
    if (saved_ < 1.0) return false;
    saved_ -= 1.0;
    return true;
  }
  double saved() const { return saved_; }

 private:
  static constexpr double kRetriesPerAttempt = 0.1;
  static constexpr double kMostSaved = 10.0;

  double most_saved_ = kMostSaved;
  double saved_ = kMostSaved;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_RETRY_BUDGET_H_

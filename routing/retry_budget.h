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
    saved_ = std::min(kMostSaved, saved_ + kRetriesPerAttempt);
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

  double saved_ = kMostSaved;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_RETRY_BUDGET_H_

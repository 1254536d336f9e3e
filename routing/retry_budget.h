#ifndef APPLEHALL_ROUTING_RETRY_BUDGET_H_
#define APPLEHALL_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace applehall {

// Bounds retries to a share of first attempts, so that failures cannot multiply
// the load on the remaining servers.
class RetryBudget {
 public:
  // Requires: nothing. Not thread-safe.
  void RecordFirstAttempt() {
    saved_ = std::min(max_saved_, saved_ + kRetriesPerAttempt);
  }
  // Limits the budget to this host's part where many hosts share one bound:
  // when all engines of a service fail at once, every host spends its whole
  // budget. Requires: `max_saved` is not negative. Not thread-safe.
  void SetMaxSaved(double max_saved) {
    max_saved_ = std::min(max_saved, kMaxSaved);
    saved_ = std::min(saved_, max_saved_);
  }
  // Spends one retry; returns false if the budget is spent. Not thread-safe.
  bool TrySpend() {
    if (saved_ < 1.0) return false;
    saved_ -= 1.0;
    return true;
  }
  // Empties the budget, for a process that follows one that may have spent it
  // just now. Not thread-safe.
  void Withhold() { saved_ = 0; }
  // Fills the budget. Not thread-safe.
  void Fill() { saved_ = max_saved_; }
  double saved() const { return saved_; }

 private:
  static constexpr double kRetriesPerAttempt = 0.1;
  static constexpr double kMaxSaved = 10.0;

  double max_saved_ = kMaxSaved;
  double saved_ = kMaxSaved;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_RETRY_BUDGET_H_

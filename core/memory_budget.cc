#include "core/memory_budget.h"

namespace applehall {

bool MemoryBudget::TryAdd(size_t bytes, size_t total) {
  const size_t limit =
      total <= kSmallCharge ? limit_ : limit_ - limit_ / kSmallChargesShare;
  size_t used = used_;
  do {
    if (bytes > limit || used > limit - bytes) {
      ++refusals_;
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  RecordPeak(used + bytes);
  return true;
}

void MemoryBudget::Add(size_t bytes) { RecordPeak(used_ += bytes); }

void MemoryBudget::RecordPeak(size_t used) {
  size_t peak = peak_;
  while (used > peak && !peak_.compare_exchange_weak(peak, used)) {
  }
}

bool MemoryCharge::TryGrowTo(size_t bytes) {
  if (bytes <= bytes_) return true;
  if (budget_ && !budget_->TryAdd(bytes - bytes_, bytes)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryCharge::Set(size_t bytes) {
  if (budget_ && bytes > bytes_) budget_->Add(bytes - bytes_);
  if (budget_ && bytes < bytes_) budget_->Remove(bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace applehall

#ifndef APPLEHALL_CORE_MEMORY_BUDGET_H_
#define APPLEHALL_CORE_MEMORY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace applehall {

// Bytes that one kind of use may take up in a process, over all connections.
// Thread-safe.
class MemoryBudget {
 public:
  // Charges of at most this size may use all of the budget, larger ones leave
  // a part of it, so that long messages do not keep short ones out.
  static constexpr size_t kSmallCharge = 64 * 1024;
  static constexpr size_t kSmallChargesShare = 4;  // A fourth of the budget.

  explicit MemoryBudget(size_t limit) : limit_(limit) {}

  // Returns false, and counts a refusal, if `bytes` more do not fit for an
  // owner that then has `total`. Thread-safe.
  bool TryAdd(size_t bytes, size_t total);
  // Adds bytes that exist already, also beyond the limit. Thread-safe.
  void Add(size_t bytes);
  // Requires: they were added. Thread-safe.
  void Remove(size_t bytes) { used_ -= bytes; }

  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  size_t peak() const { return peak_; }
  bool is_full() const { return used_ >= limit_; }
  uint64_t refusals() const { return refusals_; }

 private:
  void RecordPeak(size_t used);

  const size_t limit_;
  std::atomic<size_t> used_{0};
  std::atomic<size_t> peak_{0};
  std::atomic<uint64_t> refusals_{0};
};

// What one owner has of a budget; gives it back when it goes out of scope.
// Without a budget nothing is bounded. Not thread-safe.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget)
      : budget_(std::move(budget)) {}
  ~MemoryCharge() { Release(); }
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(std::move(other.budget_)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    Release();
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  // Charges up to `bytes` in all; does nothing if it is as much already.
  // Returns false if they do not fit; what was charged before stays.
  bool TryGrowTo(size_t bytes);
  // Charges `bytes` in all, also beyond the limit.
  void Set(size_t bytes);
  void Release() { Set(0); }
  size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  size_t bytes_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_MEMORY_BUDGET_H_

#include "core/memory_budget.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

constexpr size_t kLimit = 4 * 1024 * 1024;
constexpr size_t kSmall = MemoryBudget::kSmallCharge;

// Guards against long messages that keep short ones out.
TEST(MemoryBudgetTest, LargeChargesLeaveAPartForSmallOnes) {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  MemoryCharge large(budget);
  EXPECT_FALSE(large.TryGrowTo(kLimit));
  EXPECT_TRUE(large.TryGrowTo(kLimit * 3 / 4));
  MemoryCharge next(budget);
  EXPECT_FALSE(next.TryGrowTo(kSmall + 1));
  EXPECT_TRUE(next.TryGrowTo(kSmall));
  EXPECT_EQ(budget->refusals(), 2u);
}

// Guards against charges that add up to more than the limit.
TEST(MemoryBudgetTest, ChargesStayWithinTheLimit) {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  std::vector<MemoryCharge> charges;
  for (size_t i = 0; i < kLimit / kSmall; ++i) {
    charges.emplace_back(budget);
    EXPECT_TRUE(charges.back().TryGrowTo(kSmall));
  }
  MemoryCharge next(budget);
  EXPECT_FALSE(next.TryGrowTo(1));
  EXPECT_TRUE(budget->is_full());
  charges.pop_back();
  EXPECT_TRUE(next.TryGrowTo(1));
}

// Guards against memory that is never given back, or twice.
TEST(MemoryBudgetTest, ChargesAreGivenBackOnce) {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  {
    MemoryCharge first(budget);
    first.Set(100);
    MemoryCharge second = std::move(first);
    EXPECT_EQ(budget->used(), 100u);
    second = MemoryCharge(budget);
    EXPECT_EQ(budget->used(), 0u);
    second.Set(2 * kLimit);
    EXPECT_EQ(budget->used(), 2 * kLimit);
    second.Set(10);
    EXPECT_EQ(budget->used(), 10u);
  }
  EXPECT_EQ(budget->used(), 0u);
  EXPECT_EQ(budget->peak(), 2 * kLimit);
}

}  // namespace
}  // namespace applehall

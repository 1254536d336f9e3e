#include <gtest/gtest.h>

#include "node/freshness_budget.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Guards against terms that were chosen one by one and together exceed the time
// within which a change must be in force.
TEST(NewsBudgetTest, TermsAddUpToTheBoundOfAnyDeployment) {
  for (const int bound_ms : {1000, 1500, 2000, 2500, 3000, 4000, 10000}) {
    const Duration bound = milliseconds(bound_ms);
    const FreshnessBudget budget = FreshnessBudget::Within(bound);
    const Duration lost_reader = budget.max_staleness + budget.read_timeout +
                                 budget.retry_pause + budget.apply;
    const Duration hung_read = budget.renewal_interval + budget.read_timeout +
                               budget.retry_pause + budget.apply;
    EXPECT_LE(lost_reader, bound) << bound_ms;
    EXPECT_LE(hung_read, bound) << bound_ms;
    EXPECT_LE(budget.renewal_interval + budget.heartbeat_interval +
                  budget.max_transit,
              budget.max_staleness)
        << bound_ms;
    for (const Duration term :
         {budget.renewal_interval, budget.heartbeat_interval,
          budget.max_transit, budget.max_staleness, budget.read_timeout,
          budget.retry_pause, budget.apply}) {
      EXPECT_GT(term, Duration{0}) << bound_ms;
    }
  }
}

}  // namespace
}  // namespace applehall

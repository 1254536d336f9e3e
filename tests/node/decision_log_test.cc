#include "node/decision_log.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

// Guards against long names of callers that stay in memory with each decision.
TEST(DecisionLogTest, LongNamesAreCut) {
  const std::string name(16000, 'n');
  DecisionLog log(10);
  Decision decision;
  decision.request_id = name;
  decision.target = name;
  decision.reason = name;
  log.Add(decision);
  const Json found = log.ToJson(name);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_LT(found.dump().size(), 2000u);
}

}  // namespace
}  // namespace applehall

#include "routing/crash_ledger.h"

#include <gtest/gtest.h>

#include "routing/quarantine.h"

namespace applehall {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Finding = CrashLedger::Finding;

constexpr TimePoint kNow{std::chrono::hours(500000)};

TEST(CrashLedgerTest, ThreeServersProveIt) {
  CrashLedger ledger;
  EXPECT_EQ(ledger.Record({1, "s1"}, kNow), Finding::kNothing);
  EXPECT_EQ(ledger.Record({1, "s1"}, kNow), Finding::kNothing) << "one server";
  EXPECT_EQ(ledger.Record({1, "s2"}, kNow), Finding::kSuspect);
  EXPECT_EQ(ledger.Record({1, "s3"}, kNow), Finding::kProven);
}

TEST(CrashLedgerTest, LateAnswersNeedOneMore) {
  CrashLedger ledger;
  ledger.Record({1, "s1", true}, kNow);
  ledger.Record({1, "s2", true}, kNow);
  EXPECT_EQ(ledger.Record({1, "s3", true}, kNow), Finding::kSuspect);
  EXPECT_EQ(ledger.Record({1, "s4", true}, kNow), Finding::kProven);
}

TEST(CrashLedgerTest, WholeAnswerClears) {
  CrashLedger ledger;
  ledger.Record({1, "s1"}, kNow);
  ledger.Record({1, "s2"}, kNow);
  EXPECT_TRUE(ledger.IsSuspect(1));
  ledger.Clear(1);
  EXPECT_FALSE(ledger.IsSuspect(1));
  EXPECT_EQ(ledger.Record({1, "s3"}, kNow), Finding::kNothing);
}

TEST(CrashLedgerTest, EndsLongAgoAreForgotten) {
  CrashLedger ledger;
  ledger.Record({1, "s1"}, kNow);
  ledger.Record({1, "s2"}, kNow);
  EXPECT_EQ(ledger.Record({1, "s3"}, kNow + minutes(11)), Finding::kNothing);
}

// Two requests were at the same servers. Once one is proven, what hosts still
// report of these servers speaks against no other.
TEST(CrashLedgerTest, ExplainedEndsCountAgainstNobodyElse) {
  CrashLedger ledger;
  for (const char* server : {"s1", "s2", "s3"}) {
    ledger.Record({1, server}, kNow);
  }
  ledger.Record({2, "s1"}, kNow);
  ledger.Convict(1, kNow);
  for (const char* server : {"s1", "s2", "s3"}) {
    EXPECT_EQ(ledger.Record({2, server}, kNow), Finding::kNothing) << server;
  }
}

// Hundreds of servers end in one moment, with thousands of requests: what was
// suspected before is remembered, what ended once gives way.
TEST(CrashLedgerTest, IsBoundedAndKeepsWhatIsSuspected) {
  CrashLedger ledger;
  ledger.Record({1, "s1"}, kNow);
  ledger.Record({1, "s2"}, kNow);
  for (uint64_t other = 2; other < 20'000; ++other) {
    ledger.Record({other, "s3"}, kNow + seconds(1));
  }
  EXPECT_LE(ledger.size(), 4096u);
  EXPECT_EQ(ledger.Record({1, "s4"}, kNow + seconds(2)), Finding::kProven);
}

TEST(QuarantineTableTest, HoldsUntilItsTimeAndIsBounded) {
  Quarantine quarantine;
  EXPECT_TRUE(quarantine.Add(1, kNow + seconds(5)));
  EXPECT_FALSE(quarantine.Add(1, kNow + seconds(4))) << "nothing new";
  EXPECT_TRUE(quarantine.Holds(1, kNow));
  EXPECT_FALSE(quarantine.Holds(1, kNow + seconds(5)));
  EXPECT_FALSE(quarantine.Holds(2, kNow));
  EXPECT_EQ(quarantine.TakeEnded(kNow + seconds(5)), std::vector<uint64_t>{1});
  for (uint64_t i = 1; i <= 1000; ++i) {
    quarantine.Add(i, kNow + seconds(10 + static_cast<int64_t>(i)));
  }
  EXPECT_EQ(quarantine.entries().size(), 256u);
  EXPECT_TRUE(quarantine.Holds(1000, kNow)) << "those that end last are kept";
}

}  // namespace
}  // namespace applehall

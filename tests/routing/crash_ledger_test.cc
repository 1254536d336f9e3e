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
  EXPECT_EQ(ledger.Record({1, "s1", false, kNow}, kNow), Finding::kNothing);
  EXPECT_EQ(ledger.Record({1, "s1", false, kNow}, kNow), Finding::kNothing)
      << "one server";
  EXPECT_EQ(ledger.Record({1, "s2", false, kNow}, kNow), Finding::kSuspect);
  EXPECT_EQ(ledger.Record({1, "s3", false, kNow}, kNow), Finding::kProven);
}

// A single server is left, and starts again under its name. Counted by names,
// it would end for ever.
TEST(CrashLedgerTest, ServerThatKeepsItsNameCountsForEachEnd) {
  CrashLedger ledger;
  EXPECT_EQ(ledger.Record({1, "s", false, kNow}, kNow), Finding::kNothing);
  // Another host saw the same end.
  const TimePoint a_little_later = kNow + std::chrono::milliseconds(300);
  EXPECT_EQ(ledger.Record({1, "s", false, a_little_later}, a_little_later),
            Finding::kNothing);
  const TimePoint second = kNow + seconds(4);
  EXPECT_EQ(ledger.Record({1, "s", false, second}, second), Finding::kSuspect);
  const TimePoint third = kNow + seconds(8);
  // Told late, as by a host that was cut off.
  EXPECT_EQ(ledger.Record({1, "s", false, second}, third), Finding::kSuspect);
  EXPECT_EQ(ledger.Record({1, "s", false, third}, third), Finding::kProven);
}

TEST(CrashLedgerTest, LateAnswersNeedOneMore) {
  CrashLedger ledger;
  ledger.Record({1, "s1", true, kNow}, kNow);
  ledger.Record({1, "s2", true, kNow}, kNow);
  EXPECT_EQ(ledger.Record({1, "s3", true, kNow}, kNow), Finding::kSuspect);
  EXPECT_EQ(ledger.Record({1, "s4", true, kNow}, kNow), Finding::kProven);
}

TEST(CrashLedgerTest, WholeAnswerClears) {
  CrashLedger ledger;
  ledger.Record({1, "s1", false, kNow}, kNow);
  ledger.Record({1, "s2", false, kNow}, kNow);
  EXPECT_TRUE(ledger.IsSuspect(1));
  ledger.Clear(1);
  EXPECT_FALSE(ledger.IsSuspect(1));
  EXPECT_EQ(ledger.Record({1, "s3", false, kNow}, kNow), Finding::kNothing);
}

TEST(CrashLedgerTest, EndsLongAgoAreForgotten) {
  CrashLedger ledger;
  ledger.Record({1, "s1", false, kNow}, kNow);
  ledger.Record({1, "s2", false, kNow}, kNow);
  EXPECT_EQ(
      ledger.Record({1, "s3", false, kNow + minutes(11)}, kNow + minutes(11)),
      Finding::kNothing);
}

// Two requests were at the same servers. Once one is proven, what hosts still
// report of these servers speaks against no other.
TEST(CrashLedgerTest, ExplainedEndsCountAgainstNobodyElse) {
  CrashLedger ledger;
  for (const char* server : {"s1", "s2", "s3"}) {
    ledger.Record({1, server, false, kNow}, kNow);
  }
  ledger.Record({2, "s1", false, kNow}, kNow);
  ledger.MarkProven(1, kNow);
  for (const char* server : {"s1", "s2", "s3"}) {
    EXPECT_EQ(ledger.Record({2, server, false, kNow}, kNow), Finding::kNothing)
        << server;
  }
}

// Hundreds of servers end in one moment, with thousands of requests: what was
// suspected before is remembered, what ended once gives way.
TEST(CrashLedgerTest, IsBoundedAndKeepsWhatIsSuspected) {
  CrashLedger ledger;
  ledger.Record({1, "s1", false, kNow}, kNow);
  ledger.Record({1, "s2", false, kNow}, kNow);
  for (uint64_t other = 2; other < 20'000; ++other) {
    ledger.Record({other, "s3", false, kNow + seconds(1)}, kNow + seconds(1));
  }
  EXPECT_LE(ledger.size(), 4096u);
  EXPECT_EQ(
      ledger.Record({1, "s4", false, kNow + seconds(2)}, kNow + seconds(2)),
      Finding::kProven);
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

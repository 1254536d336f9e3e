// Rows that a host owes the placement owner, lost, doubled and late.

#include "node/server_end_reports.h"

#include <gtest/gtest.h>

#include "node/server_end_inbox.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr size_t kMostRows = 256;

class ServerEndReportsTest : public testing::Test {
 protected:
  size_t Add(uint64_t fingerprint) {
    return reports_.Add({.kind = ServerEndRow::Kind::kEnd,
                         .fingerprint = fingerprint,
                         .server = "s",
                         .at = now_});
  }

  size_t Deliver(const Json& report) {
    const auto rows = inbox_.Take("h", report, now_);
    return rows ? rows->size() : 0;
  }

  TimePoint now_ = kStart;
  ServerEndReports reports_{{"h", 3}};
  ServerEndInbox inbox_;
};

// Guards against rows that are lost with a report.
TEST_F(ServerEndReportsTest, RowIsSentUntilItIsAcknowledged) {
  Add(1);
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(reports_.Take(7, now_).is_null()) << i;
    EXPECT_TRUE(reports_.Take(7, now_).is_null()) << "not with each report";
    now_ += milliseconds(500);
  }
  EXPECT_EQ(Deliver(reports_.Take(7, now_)), 1u);
  reports_.TakeAck(7, inbox_.TakeAck("h"));
  now_ += milliseconds(500);
  EXPECT_TRUE(reports_.Take(7, now_).is_null());
  EXPECT_EQ(reports_.owed(), 0u);
}

// Guards against an end that counts once for each report that brings it.
TEST_F(ServerEndReportsTest, RowThatComesAgainIsNotNew) {
  Add(1);
  const Json report = reports_.Take(7, now_);
  EXPECT_EQ(Deliver(report), 1u);
  EXPECT_EQ(Deliver(report), 0u);
  EXPECT_FALSE(inbox_.TakeAck("h").is_null()) << "its answer may be lost";
}

// Guards against an owner that starts without what the one before was told.
TEST_F(ServerEndReportsTest, NextOwnerIsToldAll) {
  Add(1);
  Deliver(reports_.Take(7, now_));
  reports_.TakeAck(7, inbox_.TakeAck("h"));
  Add(2);
  EXPECT_EQ(reports_.Take(8, now_)["rows"].size(), 2u);
  reports_.TakeAck(7, Json{{"life", 3}, {"number", 2}});
  EXPECT_EQ(reports_.owed(), 2u) << "an answer of the owner before";
  reports_.TakeAck(8, Json{{"life", 2}, {"number", 2}});
  EXPECT_EQ(reports_.owed(), 2u) << "an answer to an earlier life";
}

// Guards against reports that grow with what a cut has piled up.
TEST_F(ServerEndReportsTest, ManyRowsGoInSmallReports) {
  for (size_t i = 0; i < kMostRows; ++i) EXPECT_EQ(Add(i), 0u);
  EXPECT_EQ(Add(999), 1u) << "what no owner has and is dropped is told";
  size_t rows = 0;
  while (reports_.owed() > 0) {
    const Json report = reports_.Take(7, now_);
    EXPECT_LT(report.dump().size(), 1024u);
    rows += Deliver(report);
    reports_.TakeAck(7, inbox_.TakeAck("h"));
  }
  EXPECT_EQ(rows, kMostRows);
}

TEST_F(ServerEndReportsTest, OldRowsAreDroppedAndCounted) {
  Add(1);
  Deliver(reports_.Take(7, now_));
  reports_.TakeAck(7, inbox_.TakeAck("h"));
  Add(2);
  now_ += minutes(11);
  EXPECT_EQ(reports_.DropExpired(now_), 1u) << "the owner has the other one";
}

TEST_F(ServerEndReportsTest, MalformedReportsAreRefused) {
  for (const char* text :
       {"null", "[]", "{}", R"({"life":1})", R"({"life":1,"rows":7})",
        R"({"life":1,"rows":[[1,9,1,"s",0]]})",
        R"({"life":1,"rows":[[1,0,1,"s"]]})",
        R"({"life":1,"rows":[[-1,0,1,"s",0]]})"}) {
    EXPECT_FALSE(inbox_.Take("h", *ParseJson(text), now_)) << text;
  }
}

}  // namespace
}  // namespace applehall

// Server end rows for the placement owner, when reports and acknowledgements
// are lost, duplicated or late.

#include "node/server_end_reports.h"

#include <gtest/gtest.h>

#include "node/server_end_inbox.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr size_t kMaxRows = 256;

class ServerEndReportsTest : public testing::Test {
 protected:
  size_t Add(uint64_t fingerprint) {
    return reports_.Add({.kind = ServerEndRow::Kind::kEnd,
                         .fingerprint = fingerprint,
                         .server = "s",
                         .at = now_});
  }

  size_t Deliver(const Json& report) {
    const auto rows = inbox_.HandleReport("h", report, now_);
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
    EXPECT_FALSE(reports_.BuildReport(7, now_).is_null()) << i;
    EXPECT_TRUE(reports_.BuildReport(7, now_).is_null())
        << "not with each report";
    now_ += milliseconds(500);
  }
  EXPECT_EQ(Deliver(reports_.BuildReport(7, now_)), 1u);
  reports_.HandleAck(7, inbox_.TakeOwedAck("h"));
  now_ += milliseconds(500);
  EXPECT_TRUE(reports_.BuildReport(7, now_).is_null());
  EXPECT_EQ(reports_.owed(), 0u);
}

// Guards against an end that is counted once for each report that contains it.
TEST_F(ServerEndReportsTest, RepeatedRowIsIgnored) {
  Add(1);
  const Json report = reports_.BuildReport(7, now_);
  EXPECT_EQ(Deliver(report), 1u);
  EXPECT_EQ(Deliver(report), 0u);
  EXPECT_FALSE(inbox_.TakeOwedAck("h").is_null())
      << "the first one may be lost";
}

// Guards against a new owner that lacks the rows its predecessor acknowledged.
TEST_F(ServerEndReportsTest, NextOwnerGetsAllRows) {
  Add(1);
  Deliver(reports_.BuildReport(7, now_));
  reports_.HandleAck(7, inbox_.TakeOwedAck("h"));
  Add(2);
  EXPECT_EQ(reports_.BuildReport(8, now_)["rows"].size(), 2u);
  reports_.HandleAck(7, Json{{"life", 3}, {"number", 2}});
  EXPECT_EQ(reports_.owed(), 2u) << "an acknowledgement of the former owner";
  reports_.HandleAck(8, Json{{"life", 2}, {"number", 2}});
  EXPECT_EQ(reports_.owed(), 2u)
      << "an acknowledgement to an earlier incarnation";
}

// Guards against large reports after a long partition.
TEST_F(ServerEndReportsTest, ManyRowsAreSplitIntoSmallReports) {
  for (size_t i = 0; i < kMaxRows; ++i) EXPECT_EQ(Add(i), 0u);
  EXPECT_EQ(Add(999), 1u) << "a dropped row that no owner has is counted";
  size_t rows = 0;
  while (reports_.owed() > 0) {
    const Json report = reports_.BuildReport(7, now_);
    EXPECT_LT(report.dump().size(), 1024u);
    rows += Deliver(report);
    reports_.HandleAck(7, inbox_.TakeOwedAck("h"));
  }
  EXPECT_EQ(rows, kMaxRows);
}

TEST_F(ServerEndReportsTest, ExpiredRowsAreDroppedAndCounted) {
  Add(1);
  Deliver(reports_.BuildReport(7, now_));
  reports_.HandleAck(7, inbox_.TakeOwedAck("h"));
  Add(2);
  now_ += minutes(11);
  EXPECT_EQ(reports_.DropExpired(now_), 1u)
      << "the owner acknowledged the other one";
}

TEST_F(ServerEndReportsTest, MalformedReportsAreRejected) {
  for (const char* text :
       {"null", "[]", "{}", R"({"life":1})", R"({"life":1,"rows":7})",
        R"({"life":1,"rows":[[1,9,1,"s",0]]})",
        R"({"life":1,"rows":[[1,0,1,"s"]]})",
        R"({"life":1,"rows":[[-1,0,1,"s",0]]})"}) {
    EXPECT_FALSE(inbox_.HandleReport("h", *ParseJson(text), now_)) << text;
  }
}

}  // namespace
}  // namespace applehall

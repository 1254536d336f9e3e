#include "platform/server_limit_header.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using Kind = ReportedLimit::Kind;

ReportedLimit Read(const std::string& value, int status = 200) {
  HttpResponse head;
  head.status = status;
  head.headers["x-server-stamp"] = "s";
  head.headers["server-limit"] = value;
  return ReadServerLimit(head);
}

TEST(ServerLimitHeaderTest, DecimalsAreParsed) {
  EXPECT_EQ(Read("1.2").kind, Kind::kNamed);
  EXPECT_DOUBLE_EQ(Read("1.2").per_second, 1.2);
  EXPECT_DOUBLE_EQ(Read(" 3 ").per_second, 3);
  EXPECT_DOUBLE_EQ(Read(".5").per_second, 0.5);
  EXPECT_EQ(Read("0").kind, Kind::kNamed);
  EXPECT_DOUBLE_EQ(Read("0").per_second, 0);
  EXPECT_DOUBLE_EQ(Read("2", 503).per_second, 2);
}

TEST(ServerLimitHeaderTest, LowestOfSeveralValuesCounts) {
  EXPECT_DOUBLE_EQ(Read("3, 1.5").per_second, 1.5);
  EXPECT_DOUBLE_EQ(Read("1.5,1.5").per_second, 1.5);
}

TEST(ServerLimitHeaderTest, MalformedValueIsReported) {
  for (const char* text : {"", "-1", "+1", "nan", "inf", "1e3", "0x1", "1.2.3",
                           ".", "one", "1 2", "1,,2", "1,-2"}) {
    EXPECT_EQ(Read(text).kind, Kind::kMalformed) << text;
  }
  EXPECT_LE(Read(std::string(10000, 'x')).text.size(), 100u);
}

TEST(ServerLimitHeaderTest, HugeLimitMeansNoLimit) {
  EXPECT_EQ(Read("1000000000").kind, Kind::kNone);
  EXPECT_EQ(Read(std::string(400, '9')).kind, Kind::kNone);
}

// Guards against a limit that is dropped because a proxy's error or a response
// without a stamp does not repeat it.
TEST(ServerLimitHeaderTest, OnlyStampedSuccessRemovesLimit) {
  HttpResponse head;
  EXPECT_EQ(ReadServerLimit(head).kind, Kind::kUnknown);
  head.headers["x-server-stamp"] = "s";
  EXPECT_EQ(ReadServerLimit(head).kind, Kind::kNone);
  head.status = 500;
  EXPECT_EQ(ReadServerLimit(head).kind, Kind::kUnknown);
}

}  // namespace
}  // namespace applehall

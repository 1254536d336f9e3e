#include "core/json.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

// Guards against data of others that throws where an error is expected.
TEST(JsonTest, NumberThatNoFieldCanHoldIsAnError) {
  for (const char* text : {"1e999", "-1e999", R"({"a": [1e400]})", "{", ""}) {
    EXPECT_FALSE(ParseJson(text).ok()) << text;
  }
}

// Guards against a number that becomes another one in a smaller type.
TEST(JsonTest, NumberOutOfTheRangeOfItsFieldIsIgnored) {
  const auto read = [](const char* number) {
    return ParseJson(std::string(R"({"a": )") + number + "}");
  };
  for (const char* number : {"4294967296", "2147483648", "-2147483649", "1e18",
                             "1e300", "-1e300", "18446744073709551615"}) {
    EXPECT_EQ(FieldOr<int>(*read(number), "a", 7), 7) << number;
  }
  for (const char* number : {"-1", "1e20", "-0.5e1"}) {
    EXPECT_EQ(FieldOr<uint64_t>(*read(number), "a", 7), 7u) << number;
  }
  EXPECT_EQ(FieldOr<int64_t>(*read("9223372036854775808"), "a", 7), 7);
  EXPECT_EQ(FieldOr<int>(*read("2147483647"), "a", 7), 2147483647);
  EXPECT_EQ(FieldOr<int>(*read("2.5"), "a", 7), 2);
  EXPECT_EQ(FieldOr<double>(*read("1e300"), "a", 7), 1e300);
}

TEST(JsonTest, ReaderThatThrowsGivesAnError) {
  const auto read = ReadOrError(
      []() -> absl::StatusOr<int> { return Json("text").get<int>(); });
  EXPECT_FALSE(read.ok());
}

// Guards against a response that cannot be written since it quotes a caller.
TEST(JsonTest, BytesThatAreNotUtf8AreReplaced) {
  const std::string text = DumpJson(Json{{"model", "a\xff\xc3"}});
  EXPECT_TRUE(ParseJson(text).ok()) << text;
}

}  // namespace
}  // namespace applehall

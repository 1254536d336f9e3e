#include "core/json.h"

#include <gtest/gtest.h>

#include "core/peer_message.h"

namespace applehall {
namespace {

std::string Nested(const std::string& open, const std::string& inner,
                   const std::string& close, size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += open;
  text += inner;
  for (size_t i = 0; i < depth; ++i) text += close;
  return text;
}

std::vector<uint8_t> Bytes(const std::string& text) {
  return {text.begin(), text.end()};
}

// Guards against data of others that throws where an error is expected.
TEST(JsonTest, NumberThatNoFieldCanHoldIsAnError) {
  for (const char* text : {"1e999", "-1e999", R"({"a": [1e400]})", "{", ""}) {
    EXPECT_FALSE(ParseJson(text).ok()) << text;
  }
}

// Guards against a stack that overflows where a deeply nested value of others
// is copied, compared, written or freed.
TEST(JsonTest, ValueBeyondTheGreatestDepthIsAnError) {
  const auto lists = [](size_t depth) { return Nested("[", "", "]", depth); };
  const auto objects = [](size_t depth) {
    return Nested(R"({"a":)", "1", "}", depth);
  };
  EXPECT_TRUE(ParseJson(lists(kMaxJsonDepth)).ok());
  EXPECT_TRUE(ParseJson(objects(kMaxJsonDepth)).ok());
  for (const size_t depth : {kMaxJsonDepth + 1, size_t{400000}}) {
    EXPECT_FALSE(ParseJson(lists(depth)).ok()) << depth;
    EXPECT_FALSE(ParseJson(objects(depth)).ok()) << depth;
    EXPECT_FALSE(ParseJson(std::string(depth, '[')).ok()) << depth;
  }
  // Levels count where they are open at the same time.
  EXPECT_TRUE(ParseJson("[" + Nested("[],", "[]", "", 1000) + "]").ok());
}

// Guards against an error that leaves operators without the place.
TEST(JsonTest, ErrorOfDepthNamesLineAndColumn) {
  const auto deep =
      ParseJson("// one [\n \"[\n" + Nested("[", "", "]", kMaxJsonDepth + 1));
  ASSERT_FALSE(deep.ok());
  const auto json = ParseJson("// one [[[\n{\"a[\":\n" +
                              Nested("[", "", "]", kMaxJsonDepth + 1) + "}");
  ASSERT_FALSE(json.ok());
  const std::string message(json.status().message());
  EXPECT_NE(message.find("line 3, column 128: nested deeper than 128 levels"),
            std::string::npos)
      << message;
  EXPECT_NE(ParseJson("{\n x").status().message().find("line 2, column 2"),
            absl::string_view::npos);
}

// Guards against a builder that gives other values than the library's parser.
TEST(JsonTest, ParsedValueIsTheSameAsThatOfTheLibrary) {
  for (const char* text :
       {"null", "true", "7", "-7", "0.5", "18446744073709551615",
        "\"a\\u00e9\"", "[]", "{}",
        R"([1, [2, {"a": [], "b": {}}], null, "x", [[]]])",
        R"({"b": 1, "a": {"c": [true, false]}, "b": 2, "": -1.5e3})"}) {
    const auto json = ParseJson(text);
    ASSERT_TRUE(json.ok()) << text;
    EXPECT_EQ(json->dump(), Json::parse(text).dump());
    const auto again = ParseCbor(Json::to_cbor(*json));
    ASSERT_TRUE(again.ok()) << text << ": " << again.status().message();
    EXPECT_EQ(*again, *json);
  }
  EXPECT_EQ(ParseJson("/* x */ [1, // y\n 2]")->dump(), "[1,2]");
  EXPECT_FALSE(ParseJson("[1] 2").ok());
}

// Guards against bytes of another host that overflow the stack of the reader.
TEST(JsonTest, CborBeyondTheGreatestDepthIsAnError) {
  constexpr size_t kMany = 400000;
  for (const std::string& item :
       {std::string("\x81"), std::string("\xa1\x61\x61"), std::string("\x9f"),
        std::string("\xbf\x61\x61"), std::string("\x7f"), std::string("\x5f"),
        std::string("\xc1"), std::string("\xa1\x7f")}) {
    EXPECT_FALSE(ParseCbor(Bytes(Nested(item, "\x01", "", kMany))).ok());
    EXPECT_FALSE(
        PeerMessage::Decode(Bytes(Nested(item, "\x01", "\xff", kMany))));
  }
  EXPECT_TRUE(ParseCbor(Bytes(Nested("\x81", "\x01", "", kMaxJsonDepth))).ok());
  EXPECT_FALSE(
      ParseCbor(Bytes(Nested("\x81", "\x01", "", kMaxJsonDepth + 1))).ok());
}

// Guards against a length of another host that is taken for room to reserve.
TEST(JsonTest, CborWithMalformedHeadsIsAnError) {
  for (const std::string& text :
       {std::string(), std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff\x61"),
        std::string("\x5b\xff\xff\xff"), std::string("\x1c"),
        std::string("\x82\x01"), std::string("\x01\x01"),
        std::string("\x62\x61")}) {
    EXPECT_FALSE(ParseCbor(Bytes(text)).ok());
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

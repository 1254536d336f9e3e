#include "platform/version_record.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

std::string Entry(const std::string& version) {
  return R"({"service": "llm", "address": "10.0.0.9:80", "zone": "hall",
             "capacity": 8, "state": "ready", "version": ")" +
         version + "\"}";
}

TEST(VersionRecordTest, TextIsParsedBack) {
  const VersionRecord record{1ULL << 40,
                             {{"llm", "v1"}, {"a\"b/ü", ""}, {"", "\\x00"}}};
  const auto parsed = ParseVersionRecord(VersionRecordText(record));
  ASSERT_TRUE(parsed.ok()) << parsed.status().message();
  EXPECT_EQ(parsed->listing_next, record.listing_next);
  EXPECT_EQ(parsed->versions, record.versions);
}

// Guards against a record that is read in part: the version that is left out
// could be that of a stream.
TEST(VersionRecordTest, RecordWithOddPartsIsRejected) {
  for (const char* text :
       {"", "null", "7", "[]", "{}", R"({"listing": 3})", R"({"versions": []})",
        R"({"listing": -1, "versions": []})",
        R"({"listing": "3", "versions": []})",
        R"({"listing": 1e30, "versions": []})",
        R"({"listing": 3, "versions": {}})",
        R"({"listing": 3, "versions": [["llm", "v1"], ["llm"]]})",
        R"({"listing": 3, "versions": [["llm", 1]]})",
        R"({"listing": 3, "versions": [["llm", "v1", 0]]})",
        "{\"listing\": 3"}) {
    EXPECT_FALSE(ParseVersionRecord(text).ok()) << text;
  }
}

// Guards against a version that is missed because its server left again or came
// back at another one.
TEST(VersionRecordTest, VersionsOfReplacedAndRemovedEntriesAreAdded) {
  std::vector<StreamOrigin> versions{{"llm", "v1"}};
  AddListedVersions({{"i-1", Entry("v1"), 0},
                     {"i-1", Entry("v2"), 1},
                     {"i-1", Entry("v3"), 2},
                     {"i-1", "", 3},
                     {"i-2", "no json", 4},
                     {"i-2", "{}", 5}},
                    versions);
  const std::vector<StreamOrigin> expected{
      {"llm", "v1"}, {"llm", "v2"}, {"llm", "v3"}};
  EXPECT_EQ(versions, expected);
}

}  // namespace
}  // namespace applehall

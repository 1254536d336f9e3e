#include "platform/config_selector.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

KeyedRecord Record(LogOffset offset, const std::string& value) {
  return {"config", value, offset};
}

KeyedRecord VersionRecord(LogOffset offset, int version) {
  return Record(
      offset, R"({"routes": [], "version": )" + std::to_string(version) + "}");
}

LogOffset SelectVersion(ConfigSelector& selector,
                        const std::vector<KeyedRecord>& records) {
  const auto config = selector.SelectNewest(records);
  return config ? config->rules.version : 0;
}

// Guards against an older configuration that replaces a newer one: its record
// was read after a full read of the newest records, or was relayed late.
TEST(ConfigSelectorTest, OlderConfigurationDoesNotReplaceNewer) {
  ConfigSelector selector;
  EXPECT_EQ(SelectVersion(selector, {VersionRecord(9, 20)}), 20u);
  EXPECT_EQ(
      SelectVersion(selector, {VersionRecord(7, 14), VersionRecord(8, 17)}),
      0u);
  EXPECT_EQ(SelectVersion(selector, {VersionRecord(9, 20)}), 0u);
  EXPECT_EQ(
      SelectVersion(selector, {VersionRecord(8, 17), VersionRecord(10, 23)}),
      23u);
}

// Guards against an invalid configuration that hides the valid one before it
// in the same read.
TEST(ConfigSelectorTest, InvalidConfigurationDoesNotHideEarlierValidOne) {
  ConfigSelector selector;
  EXPECT_EQ(SelectVersion(selector,
                          {VersionRecord(1, 3), Record(2, R"({"version": 5})"),
                           Record(3, "no json")}),
            3u);
  EXPECT_EQ(
      SelectVersion(selector, {Record(4, R"({"routes": 7, "version": 9})"),
                               VersionRecord(5, 11)}),
      11u);
}

// Records of a page are sorted by key, not by offset.
TEST(ConfigSelectorTest, NewestHasHighestOffset) {
  ConfigSelector selector;
  EXPECT_EQ(
      SelectVersion(selector, {VersionRecord(5, 11), VersionRecord(4, 8)}),
      11u);
}

TEST(ConfigSelectorTest, OtherKeysAndTombstonesAreIgnored) {
  ConfigSelector selector;
  EXPECT_EQ(
      SelectVersion(selector, {{"other", R"({"routes": [], "version": 4})", 1},
                               Record(2, "")}),
      0u);
}

}  // namespace
}  // namespace applehall

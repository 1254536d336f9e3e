#include "platform/config_selector.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

KeyedRecord Record(LogOffset offset, const std::string& value) {
  return {"config", value, offset};
}

KeyedRecord Version(LogOffset offset, int version) {
  return Record(
      offset, R"({"routes": [], "version": )" + std::to_string(version) + "}");
}

LogOffset Taken(ConfigSelector& selector,
                const std::vector<KeyedRecord>& records) {
  const auto config = selector.SelectNewest(records);
  return config ? config->rules.version : 0;
}

// Guards against an older configuration that replaces a newer one: records read
// after the newest ones were read in full, or relayed late.
TEST(ConfigSelectorTest, OlderNeverReplacesNewer) {
  ConfigSelector selector;
  EXPECT_EQ(Taken(selector, {Version(9, 20)}), 20u);
  EXPECT_EQ(Taken(selector, {Version(7, 14), Version(8, 17)}), 0u);
  EXPECT_EQ(Taken(selector, {Version(9, 20)}), 0u);
  EXPECT_EQ(Taken(selector, {Version(8, 17), Version(10, 23)}), 23u);
}

// Guards against an invalid configuration that hides the valid one before it,
// where both come in one read.
TEST(ConfigSelectorTest, InvalidOneDoesNotHideTheValidOneBeforeIt) {
  ConfigSelector selector;
  EXPECT_EQ(Taken(selector, {Version(1, 3), Record(2, R"({"version": 5})"),
                             Record(3, "no json")}),
            3u);
  EXPECT_EQ(Taken(selector, {Record(4, R"({"routes": 7, "version": 9})"),
                             Version(5, 11)}),
            11u);
}

// Guards against hosts that end again and again after one deeply nested
// configuration.
TEST(ConfigSelectorTest, DeeplyNestedOneIsRejected) {
  constexpr int kNesting = 400000;
  const std::string nested =
      std::string(kNesting, '[') + std::string(kNesting, ']');
  for (const char* key : {"services", "limits", "tenants", "routes", "extra"}) {
    ConfigSelector selector;
    const std::string text =
        std::string("{\"routes\": [], \"version\": 5, \"") + key +
        "\": " + nested + "}";
    EXPECT_EQ(Taken(selector, {Version(1, 3), Record(2, text)}), 3u) << key;
  }
}

// Records of a page are sorted by key, not by offset.
TEST(ConfigSelectorTest, NewestHasHighestOffset) {
  ConfigSelector selector;
  EXPECT_EQ(Taken(selector, {Version(5, 11), Version(4, 8)}), 11u);
}

TEST(ConfigSelectorTest, OtherKeysAndTombstonesAreIgnored) {
  ConfigSelector selector;
  EXPECT_EQ(Taken(selector, {{"other", R"({"routes": [], "version": 4})", 1},
                             Record(2, "")}),
            0u);
}

}  // namespace
}  // namespace applehall

#include "platform/config_intake.h"

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

LogOffset Taken(ConfigIntake& intake, const std::vector<KeyedRecord>& records) {
  const auto config = intake.Take(records);
  return config ? config->rules.version : 0;
}

// Guards against an older configuration that replaces a newer one: its record
// was read after a full read of the newest records, or was relayed late.
TEST(ConfigIntakeTest, OlderNeverReplacesNewer) {
  ConfigIntake intake;
  EXPECT_EQ(Taken(intake, {Version(9, 20)}), 20u);
  EXPECT_EQ(Taken(intake, {Version(7, 14), Version(8, 17)}), 0u);
  EXPECT_EQ(Taken(intake, {Version(9, 20)}), 0u);
  EXPECT_EQ(Taken(intake, {Version(8, 17), Version(10, 23)}), 23u);
}

// Guards against an invalid configuration that hides the valid one before it
// in the same read.
TEST(ConfigIntakeTest, InvalidOneDoesNotHideTheValidOneBeforeIt) {
  ConfigIntake intake;
  EXPECT_EQ(Taken(intake, {Version(1, 3), Record(2, R"({"version": 5})"),
                           Record(3, "no json")}),
            3u);
  EXPECT_EQ(Taken(intake, {Record(4, R"({"routes": 7, "version": 9})"),
                           Version(5, 11)}),
            11u);
}

// Records of a page are sorted by key, not by offset.
TEST(ConfigIntakeTest, OffsetsDecideWhichIsNewest) {
  ConfigIntake intake;
  EXPECT_EQ(Taken(intake, {Version(5, 11), Version(4, 8)}), 11u);
}

TEST(ConfigIntakeTest, OtherKeysAndDroppedOnesAreNoConfiguration) {
  ConfigIntake intake;
  EXPECT_EQ(Taken(intake, {{"other", R"({"routes": [], "version": 4})", 1},
                           Record(2, "")}),
            0u);
}

}  // namespace
}  // namespace applehall

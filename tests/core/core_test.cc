#include <gtest/gtest.h>

#include "core/peer_message.h"
#include "core/settings_reader.h"
#include "core/uuid.h"
#include "main/daemon_settings.h"

namespace applehall {
namespace {

std::string ErrorOf(const std::string& text) {
  const auto settings = ParseDaemonSettings("node.json", text);
  return settings.ok() ? "ok" : std::string(settings.status().message());
}

std::string Settings(const std::string& more) {
  return R"({"host":"a","data_centre":"b","callers":"127.0.0.1:0",
    "operators":"127.0.0.1:0","peers":"127.0.0.1:0",
    "shared_key":"0123456789abcdef",
    "platform":{"log":"127.0.0.1:1","hosts":"127.0.0.1:1",
                "store":"127.0.0.1:1"})" +
         more + "}";
}

TEST(DaemonSettingsTest, ExampleIsAccepted) {
  EXPECT_EQ(ErrorOf(Settings(", // a comment\n \"log_level\": \"debug\"")),
            "ok");
}

TEST(DaemonSettingsTest, ErrorsNameFileKeyAndExpectedValue) {
  EXPECT_EQ(
      ErrorOf(Settings(",\"colour\":1")),
      "node.json: key \"colour\": expected a known key (this one is unknown)");
  EXPECT_EQ(ErrorOf(Settings(",\"engine_groups\":0")),
            "node.json: key \"engine_groups\": expected a whole number from 1 "
            "to 10000");
  EXPECT_EQ(ErrorOf(Settings(",\"limits\":{\"requests\":\"many\"}")),
            "node.json: key \"limits.requests\": expected a whole number from "
            "1 to 1000000");
  EXPECT_EQ(
      ErrorOf(R"({"host":"a","data_centre":"b","callers":"somewhere:1"})"),
      "node.json: key \"callers\": expected an address IP:PORT by IP "
      "number, found \"somewhere:1\"");
  EXPECT_NE(ErrorOf("{").find("node.json: "), std::string::npos);
}

TEST(UuidTest, TimeOfIssueIsDecoded) {
  Random random(3);
  const TimePoint now = FromUnixMillis(1'800'000'000'123);
  EXPECT_EQ(Uuid7Time(MakeUuid7(now, random)), now);
  EXPECT_EQ(Uuid7Time("door-7"), std::nullopt);
  EXPECT_EQ(Uuid7Time("0190a1b2-c3d4-4e5f-8a6b-7c8d9e0f1a2b"), std::nullopt);
}

TEST(PeerMessageTest, MalformedMessagesAndOtherVersionsAreRejected) {
  const PeerMessage message{PeerMessageType::kDemand, Json{{"x", 1}}};
  const std::vector<uint8_t> bytes = message.Encode();
  ASSERT_TRUE(PeerMessage::Decode(bytes));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(PeerMessage::Decode(
        std::vector<uint8_t>(bytes.begin(), bytes.begin() + size)));
  }
  EXPECT_FALSE(PeerMessage::Decode(
      Json::to_cbor(Json{{"v", 99}, {"type", 1}, {"body", Json::object()}})));
  EXPECT_FALSE(PeerMessage::Decode(
      Json::to_cbor(Json{{"v", 1}, {"type", 77}, {"body", Json::object()}})));
  EXPECT_FALSE(PeerMessage::Decode({0xff, 0x00, 0x9f}));
}

}  // namespace
}  // namespace applehall

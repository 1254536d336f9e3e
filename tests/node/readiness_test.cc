// What a host that is not ready says it waits for.

#include <iostream>

#include "core/event_log.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

using testing::internal::CaptureStdout;
using testing::internal::GetCapturedStdout;

class ReadinessTest : public FleetTest {
 protected:
  std::vector<std::string> Gaps() {
    return hosts_.at("a").node->ReadinessGaps();
  }
};

// Guards against a host that is not ready and does not say why.
TEST_F(ReadinessTest, HostNamesWhatItWaitsFor) {
  Start("a");
  Handle("a", Tick{});
  EXPECT_EQ(Gaps(), (std::vector<std::string>{"rule set", "server list"}));
  Handle("a", RuleSetRead{1, *ParseJson(kRules)});
  EXPECT_EQ(Gaps(), (std::vector<std::string>{"server list"}));
  const Json state = hosts_.at("a").node->StateDump();
  EXPECT_EQ(state["waiting_for"], Json::array({"server list"}));
  EXPECT_EQ(state["unknown"], Json::array({"server list"}));
  LoadConfiguration("a");
  EXPECT_TRUE(Gaps().empty());
  EXPECT_TRUE(hosts_.at("a").node->IsReady());
}

// Guards against a log that has the same line at each tick, or none, while the
// host waits.
TEST_F(ReadinessTest, ChangesOfReadinessAreLoggedOnce) {
  CaptureStdout();
  StartEventLog(LogLevel::kInfo, "a");
  Start("a");
  for (int i = 0; i < 3; ++i) Handle("a", Tick{});
  LoadConfiguration("a");
  for (int i = 0; i < 3; ++i) Handle("a", Tick{});
  StopEventLog();
  std::cout.flush();
  const std::string log = GetCapturedStdout();
  const size_t waits = log.find("event=not_ready");
  const size_t is_ready = log.find("event=ready");
  ASSERT_NE(waits, std::string::npos) << log;
  EXPECT_NE(log.find("waiting_for=\"rule set, server list\""),
            std::string::npos);
  EXPECT_EQ(log.find("event=not_ready", waits + 1), std::string::npos);
  ASSERT_NE(is_ready, std::string::npos) << log;
  EXPECT_EQ(log.find("event=ready", is_ready + 1), std::string::npos);
}

// Guards against servers that are dropped because a part of the listing could
// not be read, and against a host that is not ready with that part.
TEST_F(ReadinessTest, PartOfAListingIsServedAndRemovesNoServer) {
  Start("a");
  Handle("a", RuleSetRead{1, *ParseJson(kRules)});
  ServerListRead part;
  part.is_partial = true;
  part.listed = {Server("app-1", "app")};
  Handle("a", part);
  EXPECT_TRUE(hosts_.at("a").node->IsReady());
  EXPECT_TRUE(hosts_.at("a").node->StateDump()["fleet"]["listing_partial"]);
  LoadConfiguration("a");
  EXPECT_FALSE(hosts_.at("a").node->StateDump()["fleet"]["listing_partial"]);
  Handle("a", part);
  const Json servers = hosts_.at("a").node->StateDump()["fleet"]["servers"];
  EXPECT_EQ(servers.size(), 4u);
}

}  // namespace
}  // namespace applehall

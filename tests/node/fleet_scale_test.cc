// Load of the owner of a large fleet, and delivery of its updates to the hosts.

#include <absl/strings/str_cat.h>

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

class FleetScaleTest : public FleetTest {
 protected:
  // Adds `count` hosts, spread evenly over three data centres.
  void AddMany(int count) {
    for (int i = 0; i < count; ++i) {
      Add(absl::StrCat("h", 100 + i), absl::StrCat("hall-", i % 3));
    }
  }

  std::string OtherHost(const std::string& host) const {
    for (const auto& [name, item] : hosts_) {
      if (name != host) return name;
    }
    return "";
  }

  // Replaces the models of `engine` and reports them to the owner.
  void ReportModels(const std::string& owner, const std::string& engine,
                    const std::vector<std::string>& models) {
    models_at_[engine] = models;
    accepted_orders_ += 100;  // The report is newer than all orders.
    Handle(owner, InventoryReceived{ReportOf(engine), now_});
  }

  std::set<std::string> ReadyAt(const std::string& host,
                                const std::string& engine) const {
    const Json dump = hosts_.at(host).node->StateDump();
    std::set<std::string> ready;
    for (const Json& name : dump["engines"][engine]["ready"]) {
      ready.insert(name.get<std::string>());
    }
    return ready;
  }
};

// Guards against one encoded plan per host: with 295 hosts that left the owner
// no processor time for planning, and loads were delayed by seconds.
TEST_F(FleetScaleTest, SharedPlanIsEncodedOncePerDataCentre) {
  AddMany(60);
  Run(seconds(4));
  ASSERT_EQ(Holders().size(), 1u);
  plans_made_ = 0;
  for (int i = 0; i < 20; ++i) {
    ReportModels(Holders()[0], "llm-1", {i % 2 == 0 ? "llm/m1" : "llm/m0"});
    Run(milliseconds(100));
  }
  // Three data centres, four plans a second each, for 2 s.
  EXPECT_LE(plans_made_, 2 * 3 * 5);
  EXPECT_GE(plans_made_, 2 * 3 * 2);
}

// A plan with an engine's update is lost in a reset link. Without a resend the
// host missed the update until the engine changed again, and refused requests
// for a ready model.
TEST_F(FleetScaleTest, LostEngineUpdatesAreResent) {
  AddMany(6);
  Run(seconds(4));
  const std::string owner = Holders()[0];
  const std::string other = OtherHost(owner);
  is_losing_plans_ = true;
  ReportModels(owner, "llm-1", {"llm/m1"});
  Run(milliseconds(600));
  ASSERT_TRUE(ReadyAt(owner, "llm-1").contains("llm/m1"));
  ASSERT_FALSE(ReadyAt(other, "llm-1").contains("llm/m1"));
  is_losing_plans_ = false;
  Run(milliseconds(1300));
  EXPECT_TRUE(ReadyAt(other, "llm-1").contains("llm/m1"));
}

// Guards against an owner of many hosts that also reads the store for its data
// centre: 5 s of planning delayed its updates, and hosts there still sent
// requests to draining engines.
TEST_F(FleetScaleTest, OwnerOfManyHostsIsNoReader) {
  AddMany(60);
  Run(seconds(4));
  const std::string owner = Holders()[0];
  for (const auto& [name, host] : hosts_) {
    if (name == owner) continue;
    const Json relay = host.node->StateDump()["store_relay"];
    EXPECT_NE(relay["reader"], owner) << name;
    EXPECT_NE(relay["reader"], "") << name;
  }
}

// The store refuses a host and the owner dies. The host cannot read the lease
// of the next owner; without its reader's message it did not report its demand
// for 9 s.
TEST_F(FleetScaleTest, HostCutFromStoreGetsOwnerFromReader) {
  AddMany(9);
  Run(seconds(4));
  const std::string first = Holders()[0];
  std::string refused;
  for (auto& [name, host] : hosts_) {
    const Json relay = host.node->StateDump()["store_relay"];
    const std::string reader = relay["reader"].get<std::string>();
    if (reader.empty() || reader == name || reader == first) continue;
    refused = name;
  }
  ASSERT_FALSE(refused.empty());
  hosts_.at(refused).is_cut_from_store = true;
  hosts_.at(first).is_down = true;
  Run(seconds(4));
  ASSERT_EQ(Holders().size(), 1u);
  EXPECT_EQ(hosts_.at(refused).node->StateDump()["fleet"]["owner"],
            Holders()[0]);
}

}  // namespace
}  // namespace applehall

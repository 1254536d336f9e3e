// What the owner of many hosts spends on them, and that they know what they
// must.

#include <absl/strings/str_cat.h>

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

class FleetScaleTest : public FleetTest {
 protected:
  // `count` hosts, evenly in three data centres.
  void AddMany(int count) {
    for (int i = 0; i < count; ++i) {
      Add(absl::StrCat("h", 100 + i), absl::StrCat("hall-", i % 3));
    }
  }

  std::string AnyBut(const std::string& host) const {
    for (const auto& [name, item] : hosts_) {
      if (name != host) return name;
    }
    return "";
  }

  // `engine` holds just `models` from now on, and reports it to the owner.
  void ReportModels(const std::string& owner, const std::string& engine,
                    const std::vector<std::string>& models) {
    models_at_[engine] = models;
    accepted_orders_ += 100;  // So the report counts all that was ordered.
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

// The owner of 295 hosts put a plan together for each of them four times a
// second. It had no processor left to decide what to load, and callers waited
// seconds for models that a free engine had on its disk.
TEST_F(FleetScaleTest, PlansOfADataCentreAreMadeOnce) {
  AddMany(60);
  Run(seconds(4));
  ASSERT_EQ(Holders().size(), 1u);
  plans_made_ = 0;
  for (int i = 0; i < 20; ++i) {
    ReportModels(Holders()[0], "llm-1", {i % 2 == 0 ? "llm/m1" : "llm/m0"});
    Run(milliseconds(100));
  }
  // Three data centres, four times a second.
  EXPECT_LE(plans_made_, 2 * 3 * 5);
  EXPECT_GE(plans_made_, 2 * 3 * 2);
}

// The link to one host is reset just as the owner tells that a model has moved.
// The host went on without that news until the engine changed once more, and
// refused callers of a model that was ready.
TEST_F(FleetScaleTest, LostNewsOfAnEngineAreToldAgain) {
  AddMany(6);
  Run(seconds(4));
  const std::string owner = Holders()[0];
  const std::string other = AnyBut(owner);
  is_losing_plans_ = true;
  ReportModels(owner, "llm-1", {"llm/m1"});
  Run(milliseconds(600));
  ASSERT_TRUE(ReadyAt(owner, "llm-1").contains("llm/m1"));
  ASSERT_FALSE(ReadyAt(other, "llm-1").contains("llm/m1"));
  is_losing_plans_ = false;
  Run(milliseconds(1300));
  EXPECT_TRUE(ReadyAt(other, "llm-1").contains("llm/m1"));
}

// The owner of many hosts came to nothing but planning for 5 s. As it read the
// store for its own data centre too, hosts there sent work to engines that had
// said 4 s ago that they leave.
TEST_F(FleetScaleTest, BusyOwnerReadsForNobody) {
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

// The store turns a third of the hosts away, and the owner dies. Those hosts
// could not read who came after it: for 9 s what their callers waited for was
// loaded nowhere.
TEST_F(FleetScaleTest, RefusedHostLearnsOfTheNextOwnerFromItsReader) {
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

// One owner of a few engines under a paused clock, without a network.

#include "placement/engine_owner.h"

#include <gtest/gtest.h>

#include "tests/node/test_rules.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr int kMostReplicas = 1;

class EngineOwnerTest : public testing::Test {
 protected:
  EngineOwnerTest() {
    for (const CatalogueEntry& entry : TestCatalogue(4)) {
      catalogue_[entry.name] = entry;
    }
    policy_.bounds = &bounds_;
    policy_.catalogue = &catalogue_;
  }

  void AddEngine(const std::string& name, bool checks_fence) {
    facts_.push_back({name, name, "north", 1, checks_fence, false});
    owner_.SetEngines(facts_);
    Inventory& inventory = inventories_[name];
    inventory.engine = name;
    inventory.incarnation = 1;
    inventory.memory_bytes = 2'000'000'000;
    inventory.slots = 8;
  }

  // The engine answers now to a question that was asked `age` ago.
  void Report(const std::string& name, Duration age = Duration{0}) {
    ++inventories_[name].sequence;
    owner_.TakeInventory(inventories_[name], now_ - age, now_);
  }

  void Restart(const std::string& name) {
    ++inventories_[name].incarnation;
    inventories_[name].replicas.clear();
    Report(name);
  }

  // The loads that are ordered for one request that waits for `model`.
  std::vector<OrderToSend> LoadsFor(const std::string& model) {
    owner_.TakeDemand({model, "entry-1", 1, 1.0, seconds(20), false}, now_);
    std::vector<OrderToSend> orders;
    owner_.Decide(
        policy_, store_, [](const std::string&, int) { return kMostReplicas; },
        now_, orders);
    std::erase_if(orders, [](const OrderToSend& order) {
      return order.order.kind != OrderKind::kLoad;
    });
    now_ += milliseconds(50);
    return orders;
  }

  DemandStatus StatusOf(const std::string& model) const {
    return owner_
        .Answer(
            model, policy_, store_,
            [](const std::string&, int) { return kMostReplicas; }, now_)
        .status;
  }

  TimePoint now_ = kStart;
  std::map<std::string, CatalogueEntry> catalogue_;
  ReplicaBoundsTable bounds_;
  PlacementPolicy policy_;
  StoreBudget store_{/*rate=*/10, /*slots=*/1, kStart};
  EngineOwner owner_{"north/0", {"entry-1", 1}, 7, OwnerSettings{}};
  std::vector<EngineFacts> facts_;
  std::map<std::string, Inventory> inventories_;
};

// Guards against a slot of the weight store that is never given back: with all
// of them lost nothing cold is loaded any more.
TEST_F(EngineOwnerTest, LoadThatEndsWithItsEngineGivesItsStoreSlotBack) {
  AddEngine("e1", /*checks_fence=*/true);
  Report("e1");
  ASSERT_EQ(LoadsFor("model-0").size(), 1u);
  EXPECT_EQ(store_.slots_in_use(), 1);
  now_ += seconds(1);
  Restart("e1");
  EXPECT_EQ(LoadsFor("model-1").size(), 1u);
}

// Guards against one replica too many: the owner before is frozen, and orders
// the model at an engine that obeys it as soon as it wakes.
TEST_F(EngineOwnerTest, BoundLeavesRoomForWhatAnEarlierOwnerMayStillLoad) {
  AddEngine("fenced", /*checks_fence=*/true);
  AddEngine("unfenced", /*checks_fence=*/false);
  owner_.SetUnfencedBlocked(true, now_);
  Report("fenced");
  Report("unfenced");
  EXPECT_TRUE(LoadsFor("model-0").empty());
  EXPECT_EQ(StatusOf("model-0"), DemandStatus::kNoPlace)
      << "its callers are told at once";
  owner_.SetUnfencedBlocked(false, now_);
  EXPECT_TRUE(LoadsFor("model-0").empty())
      << "what it ordered last may not be in the inventory";
  Report("unfenced", seconds(1));
  EXPECT_TRUE(LoadsFor("model-0").empty()) << "an answer from before";
  Report("unfenced");
  EXPECT_EQ(LoadsFor("model-0").size(), 1u);
}

// Guards against engines that are kept idle by an owner that is gone.
TEST_F(EngineOwnerTest, FencedEnginesServeWhatTheBoundLeavesRoomFor) {
  AddEngine("fenced", /*checks_fence=*/true);
  owner_.SetUnfencedBlocked(true, now_);
  Report("fenced");
  EXPECT_EQ(LoadsFor("model-0").size(), 1u);
}

}  // namespace
}  // namespace applehall

// Tests one EngineOwner with a few engines, a manual clock and no network.

#include "placement/engine_owner.h"

#include <gtest/gtest.h>

#include "tests/node/test_rules.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr int kMaxReplicas = 1;

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

  // Delivers the engine's answer to a request that was sent `age` ago.
  void Report(const std::string& name, Duration age = Duration{0}) {
    ++inventories_[name].sequence;
    owner_.HandleInventory(inventories_[name], now_ - age, now_);
  }

  void Restart(const std::string& name) {
    ++inventories_[name].incarnation;
    inventories_[name].replicas.clear();
    Report(name);
  }

  // Returns the load orders for one request that waits for `model`.
  std::vector<OrderToSend> LoadsFor(const std::string& model) {
    owner_.HandleDemand({model, "entry-1", 1, 1.0, seconds(20), false}, now_);
    std::vector<OrderToSend> orders;
    owner_.Decide(
        policy_, store_, [](const std::string&, int) { return kMaxReplicas; },
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
            [](const std::string&, int) { return kMaxReplicas; }, now_)
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

// Guards against leaking a slot of the weight store when an engine restarts
// during a load. Without slots no cold model could be loaded.
TEST_F(EngineOwnerTest, EngineRestartReleasesStoreSlotOfItsLoad) {
  AddEngine("e1", /*checks_fence=*/true);
  Report("e1");
  ASSERT_EQ(LoadsFor("model-0").size(), 1u);
  EXPECT_EQ(store_.slots_in_use(), 1);
  now_ += seconds(1);
  Restart("e1");
  EXPECT_EQ(LoadsFor("model-1").size(), 1u);
}

// Guards against exceeding the replica bound: a paused earlier owner may resume
// and order the model on an engine that does not check fences.
TEST_F(EngineOwnerTest, ReplicaBoundCountsPossibleLoadsOfEarlierOwner) {
  AddEngine("fenced", /*checks_fence=*/true);
  AddEngine("unfenced", /*checks_fence=*/false);
  owner_.SetUnfencedBlocked(true, now_);
  Report("fenced");
  Report("unfenced");
  EXPECT_TRUE(LoadsFor("model-0").empty());
  EXPECT_EQ(StatusOf("model-0"), DemandStatus::kNoPlace)
      << "callers must be refused at once";
  owner_.SetUnfencedBlocked(false, now_);
  EXPECT_TRUE(LoadsFor("model-0").empty())
      << "the inventory may lack the earlier owner's last order";
  Report("unfenced", seconds(1));
  EXPECT_TRUE(LoadsFor("model-0").empty()) << "requested before the release";
  Report("unfenced");
  EXPECT_EQ(LoadsFor("model-0").size(), 1u);
}

// Guards against idle engines while an earlier owner may still be running: it
// cannot order engines that check fences.
TEST_F(EngineOwnerTest, FencedEngineIsOrderedWhileEarlierOwnerMayRun) {
  AddEngine("fenced", /*checks_fence=*/true);
  owner_.SetUnfencedBlocked(true, now_);
  Report("fenced");
  EXPECT_EQ(LoadsFor("model-0").size(), 1u);
}

}  // namespace
}  // namespace applehall

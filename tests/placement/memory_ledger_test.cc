#include "placement/memory_ledger.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};

class MemoryLedgerTest : public testing::Test {
 protected:
  MemoryLedgerTest() { ResetLedger(/*checks_fence=*/true); }

  void ResetLedger(bool checks_fence) {
    ledger_ = MemoryLedger(checks_fence, seconds(10));
    inventory_ = {};
    inventory_.engine = "e";
    inventory_.incarnation = 1;
    inventory_.memory_bytes = 1000;
    inventory_.kv_reserved_bytes = 100;
    Report();
  }

  // Applies the engine's answer to a request sent now.
  void Report() { ReportRequestedAt(now_); }
  void ReportRequestedAt(TimePoint requested_at) {
    ++inventory_.sequence;
    changes_ = ledger_.Reconcile(inventory_, requested_at, now_);
  }

  EngineOrder Load(const std::string& name, uint64_t bytes) {
    EngineOrder order;
    order.id = "o" + std::to_string(++sequence_);
    order.kind = OrderKind::kLoad;
    order.fence = {5, sequence_};
    order.name = name;
    order.bytes = bytes;
    return order;
  }

  void AddReplica(const std::string& name, uint64_t bytes,
                  ReplicaState state = ReplicaState::kReady) {
    Replica replica;
    replica.name = name;
    replica.bytes = bytes;
    replica.state = state;
    inventory_.replicas.push_back(replica);
  }

  MemoryLedger ledger_;
  Inventory inventory_;
  TimePoint now_ = kStart;
  uint64_t sequence_ = 0;
  std::vector<LedgerChange> changes_;
};

TEST_F(MemoryLedgerTest, ReserveFailsBeforeFirstInventory) {
  MemoryLedger fresh(true, seconds(10));
  EXPECT_FALSE(fresh.Reserve(Load("a", 1), now_));
}

TEST_F(MemoryLedgerTest, KvCacheAndReservationsReduceFreeMemory) {
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  EXPECT_TRUE(ledger_.Reserve(Load("a", 600), now_));
  EXPECT_FALSE(ledger_.Reserve(Load("b", 301), now_));
  EXPECT_TRUE(ledger_.Reserve(Load("b", 300), now_));
  EXPECT_FALSE(ledger_.Reserve(Load("b", 0), now_)) << "already reserved";
}

// Guards against filling memory twice: the answer to a load order is lost, and
// an inventory that was written before the order arrived lacks the model.
TEST_F(MemoryLedgerTest, ReportOlderThanOrderKeepsReservation) {
  ledger_.Reserve(Load("a", 600), now_);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  now_ += seconds(60);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "the order may still be in flight";
}

// An engine that has seen a fence above the order will always refuse it.
TEST_F(MemoryLedgerTest, HigherFenceSettlesLostOrder) {
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.highest_fence = {5, sequence_ + 1};
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_EQ(changes_[0].kind, LedgerChange::Kind::kLoadFailed);
}

// An engine that does not check fences never refuses a lost order, so only the
// horizon settles it.
TEST_F(MemoryLedgerTest, HorizonSettlesLostOrderOfUnfencedEngine) {
  ResetLedger(/*checks_fence=*/false);
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.highest_fence = {9, 9};
  now_ += seconds(9);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  now_ += seconds(2);
  ReportRequestedAt(now_ - seconds(3));
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "requested before the horizon";
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

// Two answers arrive out of order. The older one shows the memory before the
// load.
TEST_F(MemoryLedgerTest, OutOfOrderAnswerIsIgnored) {
  ledger_.Reserve(Load("a", 600), now_);
  Inventory older = inventory_;
  older.sequence = ++inventory_.sequence;
  older.highest_fence = {5, sequence_ + 1};
  AddReplica("a", 600);
  Report();
  ledger_.Reconcile(older, now_, now_);
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  ASSERT_NE(ledger_.Find("a"), nullptr);
  EXPECT_EQ(ledger_.Find("a")->state, HoldingState::kReady);
}

TEST_F(MemoryLedgerTest, UnloadFreesMemoryOnlyWhenConfirmed) {
  AddReplica("a", 600);
  Report();
  EngineOrder unload = Load("a", 0);
  unload.kind = OrderKind::kUnload;
  EXPECT_TRUE(ledger_.BeginUnload(unload, now_));
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "still in the inventory";
  inventory_.replicas.clear();
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

// The engine refuses an unload because a request arrived first.
TEST_F(MemoryLedgerTest, RefusedUnloadRestoresReadyState) {
  AddReplica("a", 600);
  Report();
  EngineOrder unload = Load("a", 0);
  unload.kind = OrderKind::kUnload;
  ledger_.BeginUnload(unload, now_);
  inventory_.results[unload.id] = OrderResult::kBusy;
  Report();
  EXPECT_EQ(ledger_.Find("a")->state, HoldingState::kReady);
}

// An earlier owner crashed during a load. The new owner must count its memory.
TEST_F(MemoryLedgerTest, LoadOfEarlierOwnerIsAdopted) {
  AddReplica("a", 600, ReplicaState::kLoading);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_EQ(changes_[0].kind, LedgerChange::Kind::kAdopted);
}

TEST_F(MemoryLedgerTest, NewIncarnationRemovesHoldings) {
  AddReplica("a", 600);
  Report();
  inventory_.incarnation = 2;
  inventory_.sequence = 0;
  inventory_.replicas.clear();
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  Inventory outdated = inventory_;
  outdated.incarnation = 1;
  outdated.sequence = 99;
  EXPECT_TRUE(ledger_.Reconcile(outdated, now_, now_).empty());
}

// Guards against removing a load order that is in flight when an engine without
// fence checks restarts. The engine still executes it, so its memory would be
// filled twice.
TEST_F(MemoryLedgerTest, RestartOfUnfencedEngineKeepsOrderInFlight) {
  ResetLedger(/*checks_fence=*/false);
  AddReplica("old", 300);
  Report();
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.incarnation = 2;
  inventory_.replicas.clear();
  Report();
  EXPECT_EQ(ledger_.Find("old"), nullptr);
  ASSERT_NE(ledger_.Find("a"), nullptr);
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  now_ += seconds(11);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u) << "no order is in flight for so long";
}

// An engine that checks fences refuses orders for its earlier incarnation.
TEST_F(MemoryLedgerTest, RestartOfFencedEngineEndsOrderInFlight) {
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.incarnation = 2;
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

}  // namespace
}  // namespace applehall

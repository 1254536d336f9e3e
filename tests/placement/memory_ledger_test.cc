#include "placement/memory_ledger.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};

class MemoryLedgerTest : public testing::Test {
 protected:
  MemoryLedgerTest() { Use(/*checks_fence=*/true); }

  void Use(bool checks_fence) {
    ledger_ = MemoryLedger(checks_fence, seconds(10));
    inventory_ = {};
    inventory_.engine = "e";
    inventory_.incarnation = 1;
    inventory_.memory_bytes = 1000;
    inventory_.kv_reserved_bytes = 100;
    Report();
  }

  // The engine answers now to a question asked now.
  void Report() { ReportAskedAt(now_); }
  void ReportAskedAt(TimePoint asked_at) {
    ++inventory_.sequence;
    changes_ = ledger_.Reconcile(inventory_, asked_at, now_);
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

  void EngineHolds(const std::string& name, uint64_t bytes,
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

TEST_F(MemoryLedgerTest, NothingIsReservedBeforeTheFirstInventory) {
  MemoryLedger fresh(true, seconds(10));
  EXPECT_FALSE(fresh.Reserve(Load("a", 1), now_));
}

TEST_F(MemoryLedgerTest, KvCacheAndReservationsCount) {
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  EXPECT_TRUE(ledger_.Reserve(Load("a", 600), now_));
  EXPECT_FALSE(ledger_.Reserve(Load("b", 301), now_));
  EXPECT_TRUE(ledger_.Reserve(Load("b", 300), now_));
  EXPECT_FALSE(ledger_.Reserve(Load("b", 0), now_)) << "held already";
}

// The answer to a load order is lost. An inventory that was written before
// the order arrived does not show the model. Memory freed on its word would
// be filled twice.
TEST_F(MemoryLedgerTest, ReportOlderThanTheOrderProvesNothing) {
  ledger_.Reserve(Load("a", 600), now_);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  now_ += seconds(60);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "the order may still be on its way";
}

// The engine has seen a fence above the order: the order is void for ever.
TEST_F(MemoryLedgerTest, HigherFenceSettlesALostOrder) {
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.highest_fence = {5, sequence_ + 1};
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_EQ(changes_[0].kind, LedgerChange::Kind::kLoadFailed);
}

// An engine that does not check remembers no fence; only time settles.
TEST_F(MemoryLedgerTest, UnfencedEngineNeedsTheHorizon) {
  Use(/*checks_fence=*/false);
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.highest_fence = {9, 9};
  now_ += seconds(9);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  now_ += seconds(2);
  ReportAskedAt(now_ - seconds(3));
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "asked before the horizon";
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

// Two answers cross on the wire. The older one shows the memory from before
// the load.
TEST_F(MemoryLedgerTest, CrossedAnswersChangeNothing) {
  ledger_.Reserve(Load("a", 600), now_);
  Inventory older = inventory_;
  older.sequence = ++inventory_.sequence;
  older.highest_fence = {5, sequence_ + 1};
  EngineHolds("a", 600);
  Report();
  ledger_.Reconcile(older, now_, now_);
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  ASSERT_NE(ledger_.Find("a"), nullptr);
  EXPECT_EQ(ledger_.Find("a")->state, HoldingState::kReady);
}

TEST_F(MemoryLedgerTest, UnloadedMemoryIsFreeOnlyWhenSeenGone) {
  EngineHolds("a", 600);
  Report();
  EngineOrder unload = Load("a", 0);
  unload.kind = OrderKind::kUnload;
  EXPECT_TRUE(ledger_.BeginUnload(unload, now_));
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u) << "still there";
  inventory_.replicas.clear();
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

// The engine refuses an unload because a request came first.
TEST_F(MemoryLedgerTest, RefusedUnloadIsReadyAgain) {
  EngineHolds("a", 600);
  Report();
  EngineOrder unload = Load("a", 0);
  unload.kind = OrderKind::kUnload;
  ledger_.BeginUnload(unload, now_);
  inventory_.results[unload.id] = OrderResult::kBusy;
  Report();
  EXPECT_EQ(ledger_.Find("a")->state, HoldingState::kReady);
}

// A former owner died while its load ran. The new one finds it and counts it.
TEST_F(MemoryLedgerTest, LoadOfAFormerOwnerIsAdopted) {
  EngineHolds("a", 600, ReplicaState::kLoading);
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 300u);
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_EQ(changes_[0].kind, LedgerChange::Kind::kAdopted);
}

TEST_F(MemoryLedgerTest, NextIncarnationIsEmpty) {
  EngineHolds("a", 600);
  Report();
  inventory_.incarnation = 2;
  inventory_.sequence = 0;
  inventory_.replicas.clear();
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
  Inventory ghost = inventory_;
  ghost.incarnation = 1;
  ghost.sequence = 99;
  EXPECT_TRUE(ledger_.Reconcile(ghost, now_, now_).empty());
}

// Guards against a load that is forgotten while it is under way to an engine
// that obeys it after its restart: its memory would be filled twice.
TEST_F(MemoryLedgerTest, OrderUnderWayOutlivesTheRestartOfAnUnfencedEngine) {
  Use(/*checks_fence=*/false);
  EngineHolds("old", 300);
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
  EXPECT_EQ(ledger_.free_bytes(), 900u) << "no order is under way so long";
}

// A checking engine refuses orders for its earlier life.
TEST_F(MemoryLedgerTest, OrderUnderWayEndsWithTheRestartOfAFencedEngine) {
  ledger_.Reserve(Load("a", 600), now_);
  inventory_.incarnation = 2;
  Report();
  EXPECT_EQ(ledger_.free_bytes(), 900u);
}

}  // namespace
}  // namespace applehall

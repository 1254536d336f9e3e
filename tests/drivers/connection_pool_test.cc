#include "drivers/connection_pool.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

class ConnectionPoolTest : public testing::Test {
 protected:
  struct TestConnection : PooledConnection {
    void Close() override { is_closed = true; }
    bool is_closed = false;
  };

  std::shared_ptr<TestConnection> AddWaiting(size_t charged = 0) {
    EXPECT_TRUE(pool_.TryAdd());
    auto connection = std::make_shared<TestConnection>();
    connection->charge = MemoryCharge(budget_);
    connection->charge.Set(charged);
    connection->body_since = now_;
    pool_.BeginWaiting(connection);
    return connection;
  }

  TimePoint now_ = FromUnixMillis(1000000);
  std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(1000);
  ConnectionPool pool_{2};
};

// Guards against idle connections that keep new callers out.
TEST_F(ConnectionPoolTest, LongestWaitingGivesWay) {
  const auto first = AddWaiting();
  const auto second = AddWaiting();
  EXPECT_TRUE(pool_.TryAdd());
  EXPECT_TRUE(first->is_closed);
  EXPECT_FALSE(second->is_closed);
  EXPECT_EQ(pool_.displaced(), 1u);
}

// Guards against connections that are closed while there is room.
TEST_F(ConnectionPoolTest, NoneGivesWayWhileThereIsRoom) {
  const auto first = AddWaiting();
  EXPECT_TRUE(pool_.TryAdd());
  EXPECT_FALSE(first->is_closed);
}

// Guards against a request that was read whole and is closed for a new caller.
TEST_F(ConnectionPoolTest, OpenRequestsDoNotGiveWay) {
  const auto first = AddWaiting();
  const auto second = AddWaiting();
  pool_.EndWaiting(*first);
  pool_.EndWaiting(*second);
  EXPECT_FALSE(pool_.TryAdd());
  EXPECT_FALSE(first->is_closed || second->is_closed);
}

// Guards against bodies that never end and hold the memory of all requests, and
// against those that have just begun and would never end if each gave way.
TEST_F(ConnectionPoolTest, LongUnfinishedBodyGivesItsMemoryBack) {
  const auto idle = AddWaiting();
  const auto slow = AddWaiting(/*charged=*/700);
  const PooledConnection& other = *idle;
  EXPECT_FALSE(pool_.CloseLongestUnfinished(other, now_));
  now_ += std::chrono::seconds(2);
  EXPECT_FALSE(pool_.CloseLongestUnfinished(*slow, now_));
  EXPECT_TRUE(pool_.CloseLongestUnfinished(other, now_));
  EXPECT_TRUE(slow->is_closed);
  EXPECT_FALSE(idle->is_closed);
  EXPECT_EQ(budget_->used(), 0u);
}

}  // namespace
}  // namespace applehall

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

  std::shared_ptr<TestConnection> AddWaiting() {
    EXPECT_TRUE(pool_.TryAdd());
    auto connection = std::make_shared<TestConnection>();
    pool_.BeginWaiting(connection);
    return connection;
  }

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

}  // namespace
}  // namespace applehall

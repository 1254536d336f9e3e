#include "drivers/turn_queue.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <vector>

namespace applehall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against a caller's disconnect that is handled only after a whole burst
// of messages from other hosts.
TEST(TurnQueueTest, SocketIsNoticedAmidABurst) {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket caller(io);
  caller.connect(acceptor.local_endpoint());
  tcp::socket host_side = acceptor.accept();
  int taken = 0;
  int taken_at_close = -1;
  host_side.async_wait(
      tcp::socket::wait_read,
      [&](const boost::system::error_code&) { taken_at_close = taken; });
  TurnQueue<int> queue(io, 1000, [&](int) {
    // The caller disconnects while the first message is handled.
    if (taken++ == 0) caller.close();
  });
  for (int i = 0; i < 500; ++i) EXPECT_TRUE(queue.Push(i));
  io.run();
  EXPECT_EQ(taken, 500);
  EXPECT_GT(taken_at_close, 0);
  EXPECT_LT(taken_at_close, 500) << "handled after all messages";
}

TEST(TurnQueueTest, KeepsOrderAndDropsTheOldestWithoutRoom) {
  asio::io_context io;
  std::vector<int> taken;
  TurnQueue<int> queue(io, 2, [&](int item) { taken.push_back(item); });
  EXPECT_TRUE(queue.Push(1));
  EXPECT_TRUE(queue.Push(2));
  EXPECT_FALSE(queue.Push(3));
  EXPECT_EQ(queue.size(), 2u);
  io.run();
  EXPECT_EQ(taken, (std::vector<int>{2, 3}));
}

TEST(TurnQueueTest, ItemMayAddAnother) {
  asio::io_context io;
  int taken = 0;
  TurnQueue<int>* added_to = nullptr;
  TurnQueue<int> queue(io, 4, [&](int item) {
    ++taken;
    if (item > 0) added_to->Push(item - 1);
  });
  added_to = &queue;
  queue.Push(3);
  io.run();
  EXPECT_EQ(taken, 4);
}

}  // namespace
}  // namespace applehall

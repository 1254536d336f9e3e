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
TEST(TurnQueueTest, SocketEventIsHandledDuringBurst) {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket caller(io);
  caller.connect(acceptor.local_endpoint());
  tcp::socket host_side = acceptor.accept();
  int handled = 0;
  int handled_at_close = -1;
  host_side.async_wait(
      tcp::socket::wait_read,
      [&](const boost::system::error_code&) { handled_at_close = handled; });
  TurnQueue<int> queue(io, 1000, [&](int) {
    // The caller disconnects while the first message is handled.
    if (handled++ == 0) caller.close();
  });
  for (int i = 0; i < 500; ++i) EXPECT_TRUE(queue.Push(i));
  io.run();
  EXPECT_EQ(handled, 500);
  EXPECT_GT(handled_at_close, 0);
  EXPECT_LT(handled_at_close, 500) << "handled after all messages";
}

TEST(TurnQueueTest, FullQueueKeepsOrderAndDropsOldest) {
  asio::io_context io;
  std::vector<int> handled;
  TurnQueue<int> queue(io, 2, [&](int item) { handled.push_back(item); });
  EXPECT_TRUE(queue.Push(1));
  EXPECT_TRUE(queue.Push(2));
  EXPECT_FALSE(queue.Push(3));
  EXPECT_EQ(queue.size(), 2u);
  io.run();
  EXPECT_EQ(handled, (std::vector<int>{2, 3}));
}

TEST(TurnQueueTest, HandlerMayPushItems) {
  asio::io_context io;
  int handled = 0;
  TurnQueue<int>* queue_pointer = nullptr;
  TurnQueue<int> queue(io, 4, [&](int item) {
    ++handled;
    if (item > 0) queue_pointer->Push(item - 1);
  });
  queue_pointer = &queue;
  queue.Push(3);
  io.run();
  EXPECT_EQ(handled, 4);
}

}  // namespace
}  // namespace applehall

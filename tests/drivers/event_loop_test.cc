#include "drivers/event_loop.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <functional>
#include <future>
#include <new>
#include <stdexcept>

#include "drivers/background_task.h"
#include "drivers/io_thread.h"

namespace applehall {
namespace {

namespace asio = boost::asio;

// Guards against an exception of one handler that ends all others, and with
// them the process.
TEST(EventLoopTest, OtherHandlersRunAfterAnException) {
  asio::io_context io;
  int handled = 0;
  const uint64_t before = BackgroundFailures();
  asio::post(io, [] { throw std::runtime_error("a handler"); });
  asio::post(io, [&] { ++handled; });
  asio::post(io, [] { throw std::bad_alloc(); });
  asio::post(io, [] { throw 1; });
  asio::post(io, [&] { ++handled; });
  RunEventLoop(io, "loop");
  EXPECT_EQ(handled, 2);
  EXPECT_EQ(BackgroundFailures() - before, 3u);
}

// Guards against a loop that a handler which always throws ends or stops.
TEST(EventLoopTest, RepeatedExceptionsDoNotStopTheLoop) {
  asio::io_context io;
  int calls = 0;
  const uint64_t before = BackgroundFailures();
  std::function<void()> repeat = [&] {
    if (++calls < 20) asio::post(io, repeat);
    throw std::runtime_error("a handler");
  };
  asio::post(io, repeat);
  RunEventLoop(io, "loop");
  EXPECT_EQ(calls, 20);
  EXPECT_EQ(BackgroundFailures() - before, 20u);
}

// Guards against work of another thread whose exception ends the process.
TEST(EventLoopTest, IoThreadRunsWorkAfterAnException) {
  IoThread thread(8);
  std::promise<void> is_done;
  thread.Start();
  EXPECT_TRUE(thread.TryPost([] { throw std::runtime_error("work"); }));
  EXPECT_TRUE(thread.TryPost([&] { is_done.set_value(); }));
  EXPECT_EQ(is_done.get_future().wait_for(std::chrono::seconds(20)),
            std::future_status::ready);
}

}  // namespace
}  // namespace applehall

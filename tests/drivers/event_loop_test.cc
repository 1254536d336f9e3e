#include <gtest/gtest.h>

#include <future>
#include <stdexcept>

#include "drivers/io_thread.h"

namespace applehall {
namespace {

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

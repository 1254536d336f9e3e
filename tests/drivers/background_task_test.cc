#include "drivers/background_task.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <stdexcept>

namespace applehall {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> Throw() {
  throw std::out_of_range("a number");
  co_return;
}

// Guards against a duty that ends unseen for as long as its process runs.
TEST(BackgroundTaskTest, DutyStartsAgainAfterAnException) {
  asio::io_context io;
  int starts = 0;
  const uint64_t before = BackgroundFailures();
  StartDuty(io, "duty", [&]() -> asio::awaitable<void> {
    if (++starts <= 2) co_await Throw();
  });
  io.run();
  EXPECT_EQ(starts, 3);
  EXPECT_EQ(BackgroundFailures() - before, 2u);
}

// Guards against a caller of a task that waits for its outcome for ever.
TEST(BackgroundTaskTest, FailedTaskHasAnOutcome) {
  asio::io_context io;
  int failures = 0;
  const uint64_t before = BackgroundFailures();
  StartTask(io, "task", Throw(), [&] { ++failures; });
  StartTask(
      io, "sound task", []() -> asio::awaitable<void> { co_return; }(),
      [&] { ++failures; });
  io.run();
  EXPECT_EQ(failures, 1);
  EXPECT_EQ(BackgroundFailures() - before, 1u);
}

}  // namespace
}  // namespace applehall

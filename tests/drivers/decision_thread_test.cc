#include "drivers/decision_thread.h"

#include <gtest/gtest.h>

#include <future>
#include <stdexcept>

#include "drivers/background_task.h"

namespace applehall {
namespace {

// Guards against an exception of one event or query that ends the process.
TEST(DecisionThreadTest, EventsAreHandledAfterAnException) {
  DecisionThread thread(NodeSettings{}, [](const Action &) {});
  const uint64_t before = BackgroundFailures();
  std::promise<void> is_done;
  thread.Start();
  EXPECT_TRUE(
      thread.TryQuery([](const Node &) { throw std::runtime_error("query"); }));
  EXPECT_TRUE(thread.TryQuery([&](const Node &) { is_done.set_value(); }));
  EXPECT_EQ(is_done.get_future().wait_for(std::chrono::seconds(20)),
            std::future_status::ready);
  EXPECT_EQ(BackgroundFailures() - before, 1u);
  thread.Stop();
}

}  // namespace
}  // namespace applehall

#include "admission/admission_queue.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{hours(500000)};

WaitingRequest Make(RequestHandle handle, const std::string& caller,
                    Duration deadline, double worth = 1.0) {
  WaitingRequest request;
  request.handle = handle;
  request.caller = caller;
  request.deadline = kNow + deadline;
  request.worth = worth;
  request.is_background = deadline >= std::chrono::minutes(10);
  return request;
}

// A single request that arrives after another caller's burst must not wait
// behind all of it.
TEST(AdmissionQueueTest, BurstDoesNotPushOutAnotherCaller) {
  AdmissionQueue queue;
  for (RequestHandle i = 1; i <= 100; ++i) {
    queue.Add(Make(i, "burst", seconds(10)), 1000);
  }
  queue.Add(Make(200, "other", seconds(10)), 1000);
  int before = 0;
  while (*queue.Best(kNow, true) != 200) {
    queue.Remove(*queue.Best(kNow, true));
    ++before;
  }
  EXPECT_LE(before, 2);
}

// One caller's burst has filled the queue. Another caller's request displaces
// the last of the burst.
TEST(AdmissionQueueTest, FullQueueDisplacesBurstForAnotherCaller) {
  AdmissionQueue queue;
  for (RequestHandle i = 1; i <= 10; ++i) {
    EXPECT_FALSE(queue.Add(Make(i, "burst", seconds(10)), 10));
  }
  EXPECT_EQ(queue.Add(Make(11, "burst", seconds(10)), 10), RequestHandle{11});
  EXPECT_EQ(queue.Add(Make(12, "other", seconds(10)), 10), RequestHandle{10});
  EXPECT_TRUE(queue.Contains(12));
}

// Background work with a distant deadline yields to other requests and is still
// served before its deadline.
TEST(AdmissionQueueTest, BackgroundYieldsUntilItIsUrgent) {
  AdmissionQueue queue;
  queue.Add(Make(1, "night", hours(1)), 10);
  queue.Add(Make(2, "web", seconds(5)), 10);
  EXPECT_EQ(queue.Best(kNow, true), RequestHandle{2});
  queue.Remove(2);
  EXPECT_EQ(queue.Best(kNow, false), std::nullopt) << "no idle capacity";
  EXPECT_EQ(queue.Best(kNow, true), RequestHandle{1});
  const TimePoint late = kNow + hours(1) - seconds(30);
  EXPECT_EQ(queue.Best(late, false), RequestHandle{1});
}

TEST(AdmissionQueueTest, OrdersByWorthAndSlack) {
  AdmissionQueue queue;
  queue.Add(Make(1, "a", seconds(10)), 10);
  queue.Add(Make(2, "b", seconds(10), 100.0), 10);
  queue.Add(Make(3, "c", seconds(1)), 10);
  EXPECT_EQ(queue.Best(kNow, true), RequestHandle{3});
  queue.Remove(3);
  EXPECT_EQ(queue.Best(kNow, true), RequestHandle{2});
}

}  // namespace
}  // namespace applehall

// Servers that fail many requests at one moment.

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

class FailureBurstTest : public FleetTest {
 protected:
  using Trials = std::map<std::string, int>;

  // Slots of the servers of "app" together.
  static constexpr int kSlots = 16;
  // Just beyond the first pause of a circuit breaker.
  static constexpr Duration kFirstPause = milliseconds(600);

  void SetUp() override {
    Add("a");
    Run(seconds(3));
    hosts_.at("a").done.clear();
  }

  // Sends requests that fill all slots and returns their attempts.
  std::vector<DispatchRequest> FillSlots() {
    for (int i = 0; i < kSlots; ++i) Arrive("a", ++last_handle_, "/again/x");
    return TakeSent();
  }

  std::vector<DispatchRequest> TakeSent() {
    const auto sent = ActionsOf<DispatchRequest>("a");
    hosts_.at("a").done.clear();
    return sent;
  }

  // Returns how many attempts were sent to each server since the last call.
  Trials TakeTrials() {
    Trials trials;
    for (const DispatchRequest& one : TakeSent()) ++trials[one.backend];
    return trials;
  }

  void Fail(const DispatchRequest& sent) {
    Handle("a", MakeAttemptEnd(sent, AttemptResult::kBroken, "broken off"));
  }

  // Fails as many attempts at each server as open its circuit breaker, and
  // returns the others.
  std::vector<DispatchRequest> OpenBreakers(
      const std::vector<DispatchRequest>& sent) {
    constexpr int kFailuresToOpen = 3;
    std::map<std::string, int> failed;
    std::vector<DispatchRequest> rest;
    for (const DispatchRequest& one : sent) {
      if (failed[one.backend]++ < kFailuresToOpen) {
        Fail(one);
      } else {
        rest.push_back(one);
      }
    }
    return rest;
  }

  const Trials one_each_{{"app-1", 1}, {"app-2", 1}};
  RequestHandle last_handle_ = 1000;
};

// Guards against a server that no request is sent to for many seconds, because
// each attempt that failed at one moment doubled the pause before its trial.
TEST_F(FailureBurstTest, ServersAreTriedAfterOnePauseForAllFailures) {
  const std::vector<DispatchRequest> sent = FillSlots();
  ASSERT_EQ(sent.size(), kSlots);
  for (const DispatchRequest& one : sent) Fail(one);
  Arrive("a", ++last_handle_, "/again/x");
  Run(kFirstPause);
  EXPECT_EQ(TakeTrials(), one_each_);
}

// Guards against the same for attempts that fail later than those that opened
// the circuit breaker, while the servers are still avoided.
TEST_F(FailureBurstTest, LaterFailuresOfEarlierAttemptsDoNotProlongThePause) {
  const std::vector<DispatchRequest> rest = OpenBreakers(FillSlots());
  ASSERT_FALSE(rest.empty());
  Run(milliseconds(400));
  for (const DispatchRequest& one : rest) Fail(one);
  Arrive("a", ++last_handle_, "/again/x");
  Run(milliseconds(200));
  EXPECT_EQ(TakeTrials(), one_each_);
}

// Guards against several trials at a time at a server that fails: the end of an
// attempt from before was taken for the end of the trial.
TEST_F(FailureBurstTest, AnEndOfAnEarlierAttemptDoesNotEndTheTrial) {
  const std::vector<DispatchRequest> rest = OpenBreakers(FillSlots());
  ASSERT_FALSE(rest.empty());
  Run(kFirstPause);
  for (const DispatchRequest& one : rest) {
    Handle("a", CallerDisconnected{one.handle});
  }
  for (int i = 0; i < kSlots; ++i) Arrive("a", ++last_handle_, "/again/x");
  Run(milliseconds(25));
  EXPECT_EQ(TakeTrials(), one_each_);
}

// Guards against servers that are avoided although they are sound again: what
// waits is sent once a trial is answered.
TEST_F(FailureBurstTest, WhatWaitsIsServedOnceATrialIsAnswered) {
  for (const DispatchRequest& one : FillSlots()) Fail(one);
  for (int i = 0; i < kSlots; ++i) Arrive("a", ++last_handle_, "/again/x");
  Run(kFirstPause);
  std::set<RequestHandle> served;
  for (int i = 0; i < kSlots; ++i) {
    for (const DispatchRequest& one : TakeSent()) {
      served.insert(one.handle);
      Handle("a", MakeAttemptEnd(one, AttemptResult::kCompleted, ""));
    }
  }
  EXPECT_GE(served.size(), kSlots);
}

// Guards against a server that fails and is tried as often as at first: each
// trial that fails doubles the pause.
TEST_F(FailureBurstTest, EachFailedTrialDoublesThePause) {
  for (const DispatchRequest& one : FillSlots()) Fail(one);
  Arrive("a", ++last_handle_, "/again/x");
  Run(kFirstPause);
  std::vector<DispatchRequest> trials = TakeSent();
  ASSERT_EQ(trials.size(), one_each_.size());
  for (const DispatchRequest& one : trials) Fail(one);
  Run(milliseconds(900));
  Arrive("a", ++last_handle_, "/again/x");
  Arrive("a", ++last_handle_, "/again/x");
  EXPECT_TRUE(TakeSent().empty());
  Run(milliseconds(200));
  EXPECT_EQ(TakeTrials(), one_each_);
}

}  // namespace
}  // namespace applehall

// Requests that arrive while a host stops as planned: answered, or refused
// without being sent.

#include <absl/strings/str_cat.h>

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

// From the fixture's settings.
constexpr Duration kMinDrain = seconds(1);
constexpr Duration kMaxDrain = seconds(6);
constexpr Duration kInterval = milliseconds(50);

class PlannedStopTest : public FleetTest {
 protected:
  PlannedStopTest() {
    for (const char* name : {"a", "b"}) Add(name);
    Run(seconds(3));
    Handle("a", DrainRequested{});
    stopped_at_ = now_;
  }

  // Requests of callers and of another host arrive over `duration`.
  void ArriveFor(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      for (const char* path : {"/once/x", "/again/x", "/stream/x"}) {
        for (const bool is_forwarded : {false, true}) {
          RequestArrived request;
          request.handle = ++last_handle_;
          request.request_id = absl::StrCat("r", last_handle_);
          request.facts.path = path;
          request.facts.model = "m0";
          request.facts.caller = "c";
          request.is_forwarded = is_forwarded;
          arrived_at_[last_handle_] = now_;
          Handle("a", request);
        }
      }
      Run(kInterval);
    }
  }
  std::map<RequestHandle, Refusal> Refused() const {
    std::map<RequestHandle, Refusal> refused;
    for (const RefuseRequest& one : ActionsOf<RefuseRequest>("a")) {
      refused[one.handle] = one.refusal;
    }
    return refused;
  }

  TimePoint stopped_at_;
  RequestHandle last_handle_ = 0;
  std::map<RequestHandle, TimePoint> arrived_at_;
};

// Guards against requests that are taken late in the grace, sent on and cut
// when the process ends.
TEST_F(PlannedStopTest, LateRequestsAreRefusedUnsent) {
  ArriveFor(kMinDrain / 2);
  Handle("a", DrainRequested{});
  ArriveFor(kMaxDrain + seconds(2));
  int sent = 0;
  for (const DispatchRequest& one : ActionsOf<DispatchRequest>("a")) {
    EXPECT_LT(arrived_at_.at(one.handle), stopped_at_ + kMinDrain)
        << one.handle;
    ++sent;
  }
  EXPECT_GT(sent, 0);
  const auto refused = Refused();
  for (const auto& [handle, at] : arrived_at_) {
    ASSERT_TRUE(refused.contains(handle)) << handle;
    if (at < stopped_at_ + kMinDrain) continue;
    EXPECT_EQ(refused.at(handle).verdict, Verdict::kNotRun) << handle;
  }
}

// Guards against requests that the host has sent on and that end without an
// answer when it exits.
TEST_F(PlannedStopTest, SentRequestsAreAnsweredBeforeTheExit) {
  ArriveFor(kMaxDrain);
  Run(milliseconds(100));
  EXPECT_EQ(ActionsOf<Drained>("a").size(), 1u);
  const auto refused = Refused();
  const auto sent = ActionsOf<DispatchRequest>("a");
  EXPECT_GT(sent.size(), 0u);
  for (const DispatchRequest& one : sent) {
    ASSERT_TRUE(refused.contains(one.handle)) << one.handle;
    EXPECT_EQ(refused.at(one.handle).verdict, Verdict::kMayHaveRun)
        << one.handle;
  }
}

}  // namespace
}  // namespace applehall

#include "admission/permit_ledger.h"

#include <gtest/gtest.h>

#include <optional>

#include "admission/permit_gate.h"
#include "core/random.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "i-1";

class PermitLedgerTest : public testing::Test {
 protected:
  void SetUp() override {
    ledger_.RecordHostContact("a", now_);
    ledger_.SetLimit(kServer, 1, now_);
  }

  uint64_t RequestPermit(Duration max_wait, double worth = 1,
                         const std::string& caller = "c") {
    HostPermitRequest request;
    request.host = "a";
    request.id = ++last_id_;
    request.server = kServer;
    request.caller = caller;
    request.worth = worth;
    request.max_wait = max_wait;
    ledger_.RequestPermit(request, now_);
    Collect();
    return request.id;
  }
  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += milliseconds(25);
      ledger_.RecordHostContact("a", now_);
      ledger_.Serve(now_);
      Collect();
    }
  }
  void Collect() {
    for (const PermitAnswer& answer : ledger_.TakeAnswers()) {
      answers_[answer.id] = answer;
      order_.push_back(answer.id);
    }
  }
  std::optional<bool> Granted(uint64_t id) const {
    const auto it = answers_.find(id);
    if (it == answers_.end()) return std::nullopt;
    return it->second.is_granted;
  }

  TimePoint now_{std::chrono::hours(500000)};
  PermitLedger ledger_{1};
  uint64_t last_id_ = 0;
  std::map<uint64_t, PermitAnswer> answers_;
  std::vector<uint64_t> order_;
};

// Guards against requests that wait for a permit that comes too late, while
// their callers could have gone elsewhere.
TEST_F(PermitLedgerTest, RequestThatCannotBeServedInTimeIsRefusedAtOnce) {
  const uint64_t first = RequestPermit(milliseconds(1500));
  const uint64_t second = RequestPermit(milliseconds(1500));
  EXPECT_FALSE(Granted(first).has_value());
  EXPECT_EQ(Granted(second), false);
  EXPECT_GE(answers_[second].retry_after, milliseconds(1500));
  EXPECT_LE(answers_[second].retry_after, milliseconds(2500));
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(first), true);
}

TEST_F(PermitLedgerTest, RequestWithoutMaxWaitIsAnsweredAtOnce) {
  const uint64_t id = RequestPermit(Duration{0});
  EXPECT_EQ(Granted(id), false);
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(RequestPermit(Duration{0})), true);
}

// Permits go to the request with the highest worth, regardless of arrival
// order.
TEST_F(PermitLedgerTest, HigherWorthIsGrantedFirst) {
  const uint64_t low = RequestPermit(milliseconds(1500), 1);
  const uint64_t high = RequestPermit(milliseconds(1500), 30);
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(high), true);
  EXPECT_EQ(Granted(low), false);
}

// Guards against one caller that fills the queue of a limited server.
TEST_F(PermitLedgerTest, BurstOfOneCallerDoesNotBlockOthers) {
  ledger_.SetLimit(kServer, 2, now_);
  for (int i = 0; i < 50; ++i) RequestPermit(seconds(4), 1, "greedy");
  const uint64_t other = RequestPermit(seconds(4), 1, "other");
  Run(seconds(2));
  EXPECT_EQ(Granted(other), true);
}

TEST_F(PermitLedgerTest, LiftedLimitGrantsAllWaitingRequests) {
  const uint64_t first = RequestPermit(milliseconds(1500));
  ledger_.Lift(kServer, now_);
  Collect();
  EXPECT_EQ(Granted(first), true);
  EXPECT_EQ(Granted(RequestPermit(Duration{0})), true);
}

// Guards against an owner that grants permits which unreachable hosts use
// without asking.
TEST_F(PermitLedgerTest, PartOfUnreachableHostsIsSetAside) {
  PermitLedger ledger(2);
  ledger.RecordHostContact("a", now_);
  ledger.RecordHostContact("b", now_);
  ledger.SetLimit(kServer, 10, now_);
  int granted = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += milliseconds(25);
    ledger.RecordHostContact("a", now_);
    ledger.RequestPermit(
        {"a", static_cast<uint64_t>(i), kServer, "c", 1, false, {}}, now_);
    for (const PermitAnswer& answer : ledger.TakeAnswers()) {
      if (now_ >= TimePoint{std::chrono::hours(500000)} + seconds(2)) {
        granted += answer.is_granted ? 1 : 0;
      }
    }
  }
  // Eight seconds at three quarters of the limit of 10.
  EXPECT_LE(granted, 8 * 7.5 + 3);
  EXPECT_GE(granted, 8 * 7.5 * 0.9);
}

// Guards against isolated hosts that each send what one host may, with up to
// 300 hosts that get a request now and then.
TEST(PermitGateTest, IsolatedHostsTogetherSendHalfTheLimit) {
  for (const int hosts : {8, 87, 300}) {
    for (const double limit : {1.0, 40.0}) {
      std::vector<PermitGate> gates(hosts);
      Random random(3);
      TimePoint now{std::chrono::hours(500000)};
      int sent = 0;
      constexpr int kSeconds = 60;
      for (int step = 0; step < kSeconds * 100; ++step) {
        now += milliseconds(10);
        for (int i = 0; i < 3; ++i) {
          PermitGate& gate = gates[random.Below(gates.size())];
          sent +=
              gate.TrySendIsolated(kServer, limit, hosts, random.Unit(), now);
        }
      }
      const double expected = kIsolatedShare * limit * kSeconds;
      EXPECT_LE(sent, expected * 1.3 + 6) << hosts << " " << limit;
      EXPECT_GE(sent, expected * 0.5 - 6) << hosts << " " << limit;
    }
  }
}

TEST(PermitGateTest, SparePermitsExpire) {
  PermitGate gate;
  const TimePoint now{std::chrono::hours(500000)};
  gate.AddSpare(kServer, now + milliseconds(100));
  gate.AddSpare(kServer, now + milliseconds(300));
  EXPECT_TRUE(gate.TakeSpare(kServer, now + milliseconds(200)));
  EXPECT_FALSE(gate.TakeSpare(kServer, now + milliseconds(200)));
}

}  // namespace
}  // namespace applehall

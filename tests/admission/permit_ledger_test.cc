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
    ledger_.NoteHost("a", now_);
    ledger_.SetLimit(kServer, 1, now_);
  }

  uint64_t Ask(Duration patience, double worth = 1,
               const std::string& caller = "c") {
    HostPermitRequest ask;
    ask.host = "a";
    ask.id = ++last_id_;
    ask.server = kServer;
    ask.caller = caller;
    ask.worth = worth;
    ask.patience = patience;
    ledger_.Ask(ask, now_);
    Collect();
    return ask.id;
  }
  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += milliseconds(25);
      ledger_.NoteHost("a", now_);
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

// Guards against requests that wait for a turn which comes too late: their
// callers could have gone elsewhere.
TEST_F(PermitLedgerTest, WhatCannotComeInTimeIsRefusedAtOnce) {
  const uint64_t first = Ask(milliseconds(1500));
  const uint64_t second = Ask(milliseconds(1500));
  EXPECT_FALSE(Granted(first).has_value());
  EXPECT_EQ(Granted(second), false);
  EXPECT_GE(answers_[second].retry_after, milliseconds(1500));
  EXPECT_LE(answers_[second].retry_after, milliseconds(2500));
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(first), true);
}

TEST_F(PermitLedgerTest, WhoHasAnotherWayIsToldAtOnce) {
  const uint64_t id = Ask(Duration{0});
  EXPECT_EQ(Granted(id), false);
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(Ask(Duration{0})), true);
}

// A scarce place goes to what is worth most, whenever it came.
TEST_F(PermitLedgerTest, WorthGoesFirst) {
  const uint64_t low = Ask(milliseconds(1500), 1);
  const uint64_t high = Ask(milliseconds(1500), 30);
  Run(milliseconds(1200));
  EXPECT_EQ(Granted(high), true);
  EXPECT_EQ(Granted(low), false);
}

// Guards against a team that fills the queue of a limited server alone.
TEST_F(PermitLedgerTest, BurstOfOneCallerLeavesRoomForOthers) {
  ledger_.SetLimit(kServer, 2, now_);
  for (int i = 0; i < 50; ++i) Ask(seconds(4), 1, "greedy");
  const uint64_t other = Ask(seconds(4), 1, "other");
  Run(seconds(2));
  EXPECT_EQ(Granted(other), true);
}

TEST_F(PermitLedgerTest, LiftedLimitGrantsAllThatWaits) {
  const uint64_t first = Ask(milliseconds(1500));
  ledger_.Lift(kServer, now_);
  Collect();
  EXPECT_EQ(Granted(first), true);
  EXPECT_EQ(Granted(Ask(Duration{0})), true);
}

// Guards against an owner that gives out what silent hosts send by themselves.
TEST_F(PermitLedgerTest, PartOfSilentHostsIsSetAside) {
  PermitLedger ledger(2);
  ledger.NoteHost("a", now_);
  ledger.NoteHost("b", now_);
  ledger.SetLimit(kServer, 10, now_);
  int granted = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += milliseconds(25);
    ledger.NoteHost("a", now_);
    ledger.Ask({"a", static_cast<uint64_t>(i), kServer, "c", 1, false, {}},
               now_);
    for (const PermitAnswer& answer : ledger.TakeAnswers()) {
      if (now_ >= TimePoint{std::chrono::hours(500000)} + seconds(2)) {
        granted += answer.is_granted ? 1 : 0;
      }
    }
  }
  // Eight seconds at three quarters of ten.
  EXPECT_LE(granted, 8 * 7.5 + 3);
  EXPECT_GE(granted, 8 * 7.5 * 0.9);
}

// Guards against hosts that cannot ask and each send what one host may: 300 of
// them, with a request each now and then.
TEST(PermitGateTest, HostsAloneTogetherSendHalfTheLimit) {
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

TEST(PermitGateTest, SparePermitsLapse) {
  PermitGate gate;
  const TimePoint now{std::chrono::hours(500000)};
  gate.AddSpare(kServer, now + milliseconds(100));
  gate.AddSpare(kServer, now + milliseconds(300));
  EXPECT_TRUE(gate.TakeSpare(kServer, now + milliseconds(200)));
  EXPECT_FALSE(gate.TakeSpare(kServer, now + milliseconds(200)));
}

}  // namespace
}  // namespace applehall

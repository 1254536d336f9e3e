#include <gtest/gtest.h>

#include <algorithm>

#include "tests/node/cut_off_fixture.h"

namespace applehall {
namespace {

// Of the first attempts, from one second after a cut.
constexpr double kMinServed = 0.95;
constexpr Duration kTimeToRecover = seconds(1);
constexpr CutForm kForms[] = {CutForm::kHang, CutForm::kReset,
                              CutForm::kKeptLive};
constexpr Duration kLongestCall = seconds(2);

class CutOffHostTest : public CutOffFixture {
 protected:
  void AddHosts() {
    for (const char* name : {"a1", "a2", "a3"}) Add(name, "hall");
    for (const char* name : {"b1", "b2"}) Add(name, "yard");
    RunCalls(seconds(8));
  }

  std::set<std::string> Names() const {
    std::set<std::string> names;
    for (const auto& [name, host] : hosts_) names.insert(name);
    return names;
  }

  // Cuts the hosts for `lasts` and checks the calls of all hosts.
  void CutAndCheck(const std::set<std::string>& cut, CutForm form,
                   Duration lasts) {
    const TimePoint began = now_;
    for (const std::string& name : cut) CutOff(name, form);
    RunCalls(lasts);
    for (const std::string& name : cut) Heal(name);
    const TimePoint ended = now_;
    RunCalls(seconds(4));
    CheckServed(Names(), "during the cut", began + kTimeToRecover, ended);
    CheckServed(Names(), "after the cut", ended + milliseconds(500),
                now_ - kLongestCall);
    CheckRuns();
  }

  // Checks the first attempts at each of `names`.
  void CheckServed(const std::set<std::string>& names, const std::string& when,
                   TimePoint from, TimePoint to) {
    for (const std::string& name : names) {
      EXPECT_GE(Count({name}, from, to).Share(), kMinServed)
          << "at " << name << " " << when;
    }
  }

  void CheckRuns() {
    EXPECT_EQ(false_refusals_, 0);
    for (const auto& [id, runs] : runs_) {
      EXPECT_TRUE(runs <= 1 || repeatable_.at(id)) << id << " ran twice";
    }
  }
};

// Guards against callers of a host without servers that are served worse than
// the others' while its links hang, are reset, or keep only open connections.
TEST_F(CutOffHostTest, CallersAreServedThroughOtherHosts) {
  AddHosts();
  for (const CutForm form : kForms) {
    SCOPED_TRACE(static_cast<int>(form));
    CutAndCheck({"a2", "b1"}, form, seconds(8));
  }
}

// Guards against requests forwarded to a host whose port for them another
// process has.
TEST_F(CutOffHostTest, HostWithoutForwardListenerIsNoHelper) {
  AddHosts();
  const auto forwards_to_a3 = [this] {
    return std::count_if(ids_.begin(), ids_.end(), [this](const auto& item) {
      const auto& [host, handle] = item.first;
      return host == "a3" && !calls_.contains(handle);
    });
  };
  Handle("a3", ForwardListenerChanged{false});
  RunCalls(seconds(2));
  CutOff("a2", CutForm::kReset);
  RunCalls(seconds(6));
  EXPECT_GT(forwards_, 0);
  EXPECT_EQ(forwards_to_a3(), 0);
  Handle("a3", ForwardListenerChanged{true});
  RunCalls(seconds(6));
  EXPECT_GT(forwards_to_a3(), 0);
}

// Guards against help from hosts of the own data centre only.
TEST_F(CutOffHostTest, CallersAreServedWhenTheWholeDataCentreIsCut) {
  AddHosts();
  for (const CutForm form : kForms) {
    SCOPED_TRACE(static_cast<int>(form));
    CutAndCheck({"a1", "a2", "a3"}, form, seconds(8));
  }
}

// Guards against a placement owner that keeps the lease while it reaches no
// server, and announces all of them as unresponsive.
TEST_F(CutOffHostTest, CallersAreServedWhenTheOwnerIsCut) {
  AddHosts();
  for (const CutForm form : kForms) {
    SCOPED_TRACE(static_cast<int>(form));
    ASSERT_EQ(Holders().size(), 1U);
    CutAndCheck({Holders().front()}, form, seconds(8));
  }
}

// Guards against a host that gets no helpers after the owner was cut off too,
// where no relay of the store names the next one.
TEST_F(CutOffHostTest, CutHostsFindTheNextOwner) {
  policies_ = *PolicySet::Without("store_relay");
  AddHosts();
  for (const CutForm form : kForms) {
    SCOPED_TRACE(static_cast<int>(form));
    ASSERT_EQ(Holders().size(), 1U);
    const std::string owner = Holders().front();
    std::set<std::string> cut = Names();
    cut.erase(owner);
    for (const std::string& name : cut) CutOff(name, form);
    RunCalls(seconds(3));
    // The only host that reaches the servers now was no helper before.
    CutOff(owner, form);
    Heal(*cut.rbegin());
    const TimePoint began = now_;
    RunCalls(seconds(8));
    CheckServed(Names(), "after the owner was cut", began + seconds(3),
                now_ - kLongestCall);
    for (const std::string& name : Names()) Heal(name);
    RunCalls(seconds(6));
  }
}

// Guards against state of one cut that harms callers in the next one.
TEST_F(CutOffHostTest, CallersAreServedInCutsThatOverlap) {
  AddHosts();
  for (const CutForm form : kForms) {
    SCOPED_TRACE(static_cast<int>(form));
    const TimePoint began = now_;
    CutOff("a1", form);
    RunCalls(seconds(3));
    CutOff("a2", form);
    CutOff("b1", CutForm::kHang);
    RunCalls(seconds(3));
    Heal("a1");
    const TimePoint healed = now_;
    RunCalls(seconds(3));
    CheckServed({"a1"}, "first cut", began + kTimeToRecover, healed);
    CheckServed({"a2", "b1"}, "second cut", began + seconds(3) + kTimeToRecover,
                now_ - kLongestCall);
    CutOff("a1", CutForm::kReset);
    RunCalls(seconds(3));
    CheckServed({"a1", "a2", "b1"}, "third cut", began + seconds(10),
                now_ - kLongestCall);
    for (const char* name : {"a1", "a2", "b1"}) Heal(name);
    RunCalls(seconds(4));
    CheckServed({"a1", "a2", "b1"}, "after the cuts", now_ - seconds(3),
                now_ - kLongestCall);
    CheckServed({"a3", "b2"}, "all the time", began, now_ - kLongestCall);
    CheckRuns();
  }
}

// Guards against a host that takes its own reset connections for ends of
// servers, and puts the contents of its callers into quarantine at all hosts.
TEST_F(CutOffHostTest, CutHostReportsNoEndedServers) {
  AddHosts();
  RunCalls(milliseconds(25));  // One call of each host is under way.
  for (const char* name : {"a1", "a2", "b1"}) CutOff(name, CutForm::kReset);
  RunCalls(seconds(6));
  EXPECT_EQ(SumOf("servers_ended_total"), 0);
  EXPECT_EQ(SumOf("quarantines_total"), 0);
}

// Guards against callers that are kept waiting, or passed from host to host,
// while no host reaches the servers.
TEST_F(CutOffHostTest, CallersAreRefusedAtOnceWhenAllServersAreDown) {
  AddHosts();
  const TimePoint began = now_;
  down_ = {"app-1", "app-2", "llm-1", "llm-2"};
  RunCalls(seconds(10));
  int late = 0;
  for (const auto& [handle, call] : calls_) {
    if (call.at < began + seconds(2) || call.at > now_ - kLongestCall) continue;
    const bool is_prompt =
        call.refused_after && *call.refused_after < milliseconds(300);
    late += is_prompt ? 0 : 1;
  }
  EXPECT_EQ(late, 0);
  EXPECT_LE(forwards_, 20);
  EXPECT_EQ(SumOf("servers_ended_total"), 0);
  down_.clear();
  const TimePoint back = now_;
  RunCalls(seconds(4));
  CheckServed(Names(), "after the outage", back + seconds(1),
              now_ - kLongestCall);
}

// Guards against a second of silence of sound servers that is taken for their
// end or for a cut, and doubles their load.
TEST_F(CutOffHostTest, SilentServersGetNoRepeatsAndNoEnds) {
  AddHosts();
  for (int i = 0; i < 3; ++i) {
    const int arrivals = arrivals_;
    const size_t calls = calls_.size();
    silent_until_ = now_ + seconds(1);
    RunCalls(seconds(4));
    EXPECT_LE(arrivals_ - arrivals, static_cast<int>(calls_.size() - calls));
  }
  EXPECT_EQ(forwards_, 0);
  EXPECT_EQ(SumOf("servers_ended_total"), 0);
  EXPECT_EQ(SumOf("quarantines_total"), 0);
  CheckRuns();
}

}  // namespace
}  // namespace applehall

// Quotas in a data centre that reaches no owner.

#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

constexpr double kLimit = 20000;  // Tokens a second.
constexpr double kCost = 1000;
constexpr int kHostsPerCentre = 6;

class QuotaCentreTest : public FleetTest {
 protected:
  void SetUp() override {
    for (int i = 0; i < 2 * kHostsPerCentre; ++i) {
      const bool is_first = i < kHostsPerCentre;
      Add((is_first ? "a" : "b") + std::to_string(i),
          is_first ? "hall-a" : "hall-b");
    }
    auto book = std::make_shared<TeamRegistry>();
    Team team;
    team.name = "studs";
    team.unit = QuotaUnit::kTokens;
    team.default_tokens = kCost;
    team.quota = {kLimit, kLimit};
    book->Add(team, {"key"});
    for (const auto& [name, host] : hosts_) {
      Handle(name, RuleSetRead{2, *ParseJson(kRules), book});
    }
    Run(seconds(4));
  }

  void SendRequest(const std::string& host) {
    RequestArrived request;
    request.handle = ++last_handle_;
    request.request_id = "r" + std::to_string(last_handle_);
    request.facts.path = "/once/x";
    request.api_key = ApiKeyDigest::FromKey("key");
    Handle(host, request);
  }

  // Sends `per_step` requests each 100 ms, each to one of `at` at random.
  void SendRequestsFor(Duration duration, int per_step,
                       const std::vector<std::string>& at) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      for (int i = 0; i < per_step; ++i)
        SendRequest(at[random_.Below(at.size())]);
      Run(milliseconds(100));
    }
  }

  std::vector<std::string> HostsOf(const std::string& centre) const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
      if (name[0] == centre[0]) names.push_back(name);
    }
    return names;
  }

  int CountRefused() const {
    int count = 0;
    for (const auto& [name, host] : hosts_) {
      for (const RefuseRequest& one : ActionsOf<RefuseRequest>(name)) {
        if (one.refusal.reason == RefusalReason::kQuotaUsedUp) ++count;
      }
    }
    return count;
  }

  // Cuts the data centre without the owner off from the store and the owner.
  std::string CutCentreWithoutOwner() {
    const std::string owner = Holders().at(0);
    cut_ = owner[0] == 'a' ? "b" : "a";
    for (auto& [name, host] : hosts_) {
      host.is_cut_from_store = name[0] == cut_[0];
    }
    return cut_;
  }

  bool IsCut(const std::string& from, const std::string& to) const override {
    return !cut_.empty() && (from[0] == cut_[0]) != (to[0] == cut_[0]);
  }

  std::string cut_;
  Random random_{7};
  RequestHandle last_handle_ = 0;
};

// Guards against refusals within the quota in a data centre that is cut off:
// with a fixed small part for each host, a team that sends most requests to two
// hosts is refused there.
TEST_F(QuotaCentreTest, IsolatedDataCentreSharesItsPartAmongItsHosts) {
  std::vector<std::string> all = HostsOf("a");
  for (const std::string& name : HostsOf("b")) all.push_back(name);
  SendRequestsFor(seconds(8), 1, all);
  EXPECT_EQ(CountRefused(), 0);
  const std::string cut = CutCentreWithoutOwner();
  Run(milliseconds(2000));
  // All callers use two of its hosts now.
  const std::vector<std::string> hosts = HostsOf(cut);
  SendRequestsFor(seconds(5), 1, {hosts[1], hosts[2]});
  // 50 requests of 1,000 tokens in 5 s, of a part of some 10,000 a second.
  EXPECT_LE(CountRefused(), 5);
}

// Guards against a team that exceeds the data centre's part of its quota while
// the data centre is cut off.
TEST_F(QuotaCentreTest, IsolatedDataCentreGrantsNoMoreThanItsPart) {
  std::vector<std::string> all = HostsOf("a");
  for (const std::string& name : HostsOf("b")) all.push_back(name);
  SendRequestsFor(seconds(8), 1, all);
  const std::string cut = CutCentreWithoutOwner();
  Run(milliseconds(2000));
  const std::vector<std::string> hosts = HostsOf(cut);
  SendRequestsFor(seconds(8), 6, hosts);
  const int requested = 8 * 10 * 6;
  const int part = static_cast<int>(0.6 * kLimit / kCost) * 8;
  const int burst = static_cast<int>(kLimit / kCost);
  EXPECT_GE(CountRefused(), requested - part - burst - kHostsPerCentre);
}

}  // namespace
}  // namespace applehall

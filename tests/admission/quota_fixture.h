// Quota gates of many hosts and the ledger of one owner, under a paused clock.
// Reports and shares arrive late, or not at all at hosts that are cut off.

#ifndef APPLEHALL_TESTS_ADMISSION_QUOTA_FIXTURE_H_
#define APPLEHALL_TESTS_ADMISSION_QUOTA_FIXTURE_H_

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "admission/quota_gate.h"
#include "admission/quota_ledger.h"
#include "core/random.h"

namespace applehall {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Overage that a deployment's rules allow a team in one window.
inline constexpr Duration kQuotaWindow = seconds(8);
inline constexpr double kQuotaOverage = 0.1;
inline constexpr double kQuotaSlack = 11000;

class QuotaFleet {
 public:
  QuotaFleet(int hosts, uint64_t seed, QuotaSplit split = QuotaSplit::kByDemand,
             QuotaTolerance tolerance = {kQuotaSlack})
      : random_(seed), split_(split), tolerance_(tolerance) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back({std::make_unique<QuotaGate>(tolerance_, split_),
                        milliseconds(500) * i / hosts});
    }
    StartOwner();
  }

  // Adds a team with a limit, whose callers together use `usual` tokens a
  // second in requests of `cost`.
  void AddTeam(const std::string& name, double limit, double usual, double cost,
               int callers) {
    Team team;
    team.name = name;
    team.unit = QuotaUnit::kTokens;
    team.quota = {limit, limit};
    teams_[name] = {team, usual, cost, {}};
    for (int i = 0; i < callers; ++i) {
      teams_[name].callers.push_back(random_.Below(hosts_.size()));
    }
    PublishTeams();
  }
  void SetLimit(const std::string& name, double limit) {
    teams_[name].team.quota = {limit, limit};
    PublishTeams();
  }
  void SetDemand(const std::string& name, double tokens_per_second) {
    teams_[name].demand = tokens_per_second;
  }

  void Cut(size_t host, bool is_cut) { hosts_[host].is_cut = is_cut; }
  void CutShare(double share, bool is_cut) {
    const auto count = static_cast<size_t>(share * hosts_.size());
    for (size_t i = 0; i < count; ++i) Cut(i, is_cut);
  }
  void Restart(size_t host) {
    hosts_[host].gate = std::make_unique<QuotaGate>(tolerance_, split_);
    ++hosts_[host].incarnation;
  }
  void RestartAll() {
    for (size_t i = 0; i < hosts_.size(); ++i) Restart(i);
  }
  // Removes the owner; another one starts after `gap`.
  void ReplaceOwner(Duration gap) {
    ledger_.reset();
    owner_starts_at_ = now_ + gap;
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += kStep;
      if (!ledger_ && now_ >= owner_starts_at_) StartOwner();
      Deliver();
      RunOwner();
      RunHosts();
      for (auto& [name, load] : teams_) RunCallers(name, load);
    }
  }

  // Returns the maximum that a team was admitted in any window, as a share of
  // what its rules allow. Requests before `from` do not count.
  double WorstWindow(const std::string& name, double limit,
                     TimePoint from = {}) const {
    const double allowed =
        (limit * ToSeconds(kQuotaWindow) + limit) * (1 + kQuotaOverage) +
        kQuotaSlack;
    double sum = 0;
    double max_sum = 0;
    std::deque<std::pair<TimePoint, double>> window;
    for (const auto& [at, cost] : admitted_.at(name)) {
      if (at < from) continue;
      window.push_back({at, cost});
      sum += cost;
      while (at - window.front().first > kQuotaWindow) {
        sum -= window.front().second;
        window.pop_front();
      }
      max_sum = std::max(max_sum, sum);
    }
    return max_sum / allowed;
  }

  struct Count {
    double requested = 0;
    double admitted = 0;
    double ServedShare() const {
      return requested > 0 ? admitted / requested : 1;
    }
  };
  // Returns the counts since the last call.
  Count TakeCount(const std::string& name) {
    return std::exchange(counts_[name], {});
  }
  // Returns the times at which a team's requests were admitted.
  std::vector<TimePoint> AdmittedAt(const std::string& name) const {
    std::vector<TimePoint> times;
    for (const auto& [at, cost] : admitted_.at(name)) times.push_back(at);
    return times;
  }
  TimePoint now() const { return now_; }
  size_t size() const { return hosts_.size(); }
  Random& random() { return random_; }

 private:
  static constexpr Duration kStep = milliseconds(25);
  static constexpr Duration kDelay = milliseconds(30);
  static constexpr Duration kReportInterval = milliseconds(500);
  static constexpr Duration kPlanInterval = milliseconds(250);

  struct Host {
    std::unique_ptr<QuotaGate> gate;
    Duration phase{0};
    TimePoint reported_at;
    bool is_cut = false;
    uint64_t incarnation = 1;
  };
  struct Load {
    Team team;
    double demand = 0;  // Tokens a second.
    double cost = 0;
    std::vector<size_t> callers;  // Index of each caller's host.
  };
  struct Message {
    TimePoint due;
    size_t host = 0;
    uint64_t incarnation = 0;
    bool is_report = false;
    QuotaUsage usage;
    std::shared_ptr<const QuotaShares> shares;
  };

  void PublishTeams() {
    auto book = std::make_shared<TeamRegistry>();
    for (const auto& [name, load] : teams_) book->Add(load.team, {});
    book_ = book;
  }

  void StartOwner() {
    ledger_ = std::make_unique<QuotaLedger>(QuotaLedger::Settings{
        .tolerance = tolerance_, .expected_hosts = static_cast<int>(size())});
    ledger_->SetTeams(book_ ? book_ : std::make_shared<TeamRegistry>(), now_);
    planned_at_ = {};
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().due <= now_) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      Host& host = hosts_[message.host];
      if (host.is_cut || host.incarnation != message.incarnation) continue;
      if (!message.is_report) {
        host.gate->ApplyShares(*message.shares, static_cast<int>(size()), now_);
      } else if (ledger_) {
        ledger_->ApplyUsage(absl::StrCat("h", message.host), "hall",
                            message.incarnation, message.usage, now_);
      }
    }
  }

  void RunOwner() {
    if (!ledger_ || now_ - planned_at_ < kPlanInterval) return;
    planned_at_ = now_;
    ledger_->SetTeams(book_, now_);
    const auto shares =
        std::make_shared<const QuotaShares>(ledger_->Shares(now_));
    if (!ledger_->IsReady(now_)) return;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      messages_.push_back(
          {now_ + kDelay, i, hosts_[i].incarnation, false, {}, shares});
    }
  }

  void RunHosts() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      if (host.reported_at == TimePoint{}) {
        host.reported_at = now_ - host.phase;
      }
      if (now_ - host.reported_at < kReportInterval || host.is_cut) continue;
      host.reported_at = now_;
      messages_.push_back({now_ + kDelay, i, host.incarnation, true,
                           host.gate->Usage(now_), nullptr});
    }
  }

  void RunCallers(const std::string& name, Load& load) {
    double tokens = load.demand * ToSeconds(kStep);
    // Requests arrive one by one, at irregular times and of varying cost.
    while (tokens > 0) {
      const double cost = load.cost * (0.2 + 1.6 * random_.Unit());
      if (random_.Unit() * cost < tokens) SendRequest(name, load, cost);
      tokens -= cost;
    }
  }

  void SendRequest(const std::string& name, const Load& load, double cost) {
    const size_t host = load.callers[random_.Below(load.callers.size())];
    counts_[name].requested += cost;
    const QuotaDecision decision =
        hosts_[host].gate->Decide(load.team, cost, random_.Unit(), now_);
    if (!decision.is_admitted) return;
    counts_[name].admitted += cost;
    admitted_[name].push_back({now_, cost});
  }

  Random random_;
  QuotaSplit split_;
  QuotaTolerance tolerance_;
  std::vector<Host> hosts_;
  std::map<std::string, Load> teams_;
  std::shared_ptr<const TeamRegistry> book_;
  std::unique_ptr<QuotaLedger> ledger_;
  TimePoint owner_starts_at_;
  TimePoint planned_at_;
  std::deque<Message> messages_;
  std::map<std::string, std::vector<std::pair<TimePoint, double>>> admitted_;
  std::map<std::string, Count> counts_;
  TimePoint now_{std::chrono::hours(500000)};
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_ADMISSION_QUOTA_FIXTURE_H_

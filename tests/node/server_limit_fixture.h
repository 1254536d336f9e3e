// Hosts of a fleet before backend servers that name limits in their answers.

#ifndef APPLEHALL_TESTS_NODE_SERVER_LIMIT_FIXTURE_H_
#define APPLEHALL_TESTS_NODE_SERVER_LIMIT_FIXTURE_H_

#include <absl/strings/str_cat.h>

#include "core/random.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {

class ServerLimitFixture : public FleetTest {
 protected:
  static constexpr Duration kWindow = seconds(4);
  static constexpr Duration kLearning = seconds(3);  // After the first naming.
  static constexpr Duration kTelling = milliseconds(500);

  // One request as a server got it.
  struct Arrival {
    TimePoint at;
    std::string host;
  };

  // A server names `per_second` in all its answers; below zero: none.
  void Name(const std::string& server, double per_second) {
    if (per_second < 0) {
      limits_.erase(server);
      return;
    }
    limits_[server] = per_second;
  }

  RequestHandle Ask(const std::string& host, const std::string& path,
                    const std::string& model = "") {
    const RequestHandle handle = ++last_handle_;
    asked_at_[handle] = now_;
    Arrive(host, handle, path, model);
    return handle;
  }

  // `per_second` requests, at hosts and moments drawn at random.
  void AskFor(Duration duration, double per_second, const std::string& path,
              const std::string& model = "") {
    const std::vector<std::string> hosts = LiveHosts();
    for (const TimePoint end = now_ + duration; now_ < end;) {
      for (double due = per_second * 0.025; due > 0; due -= 1) {
        if (random_.Unit() >= due) continue;
        Ask(hosts[random_.Below(hosts.size())], path, model);
      }
      Step();
    }
  }

  std::vector<std::string> LiveHosts() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
      if (!host.is_down) names.push_back(name);
    }
    return names;
  }

  void Step() {
    Run(milliseconds(25));
    for (auto& [name, host] : hosts_) Serve(name);
    const auto due = running_.upper_bound(now_);
    const std::multimap<TimePoint, Answer> ended(running_.begin(), due);
    running_.erase(running_.begin(), due);
    for (const auto& [at, answer] : ended) {
      const AttemptResult result =
          is_failing_ ? AttemptResult::kBroken : AttemptResult::kCompleted;
      AttemptEnded end = MakeAttemptEnd(answer.sent, result, "");
      end.limit = answer.word;
      Handle(answer.host, end);
    }
  }

  ReportedLimit WordOf(const std::string& server) const {
    const auto named = limits_.find(server);
    if (named == limits_.end()) return {ReportedLimit::Kind::kNone, 0, {}};
    return {ReportedLimit::Kind::kNamed, named->second, {}};
  }

  void Serve(const std::string& name) {
    const std::vector<Action> done = std::move(hosts_.at(name).done);
    hosts_.at(name).done.clear();
    for (const Action& action : done) {
      if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
        refusals_.push_back(
            {now_, refused->refusal, now_ - asked_at_[refused->handle]});
      }
      const auto* sent = std::get_if<DispatchRequest>(&action);
      if (sent == nullptr) continue;
      arrivals_[sent->backend].push_back({now_, name});
      const ReportedLimit word = WordOf(sent->backend);
      const auto key = std::pair(sent->backend, name);
      const bool is_named = word.kind == ReportedLimit::Kind::kNamed;
      if (is_named) told_.try_emplace(key, now_ + service_time_);
      running_.emplace(now_ + service_time_, Answer{name, *sent, word});
    }
  }

  // The most requests that `server` got in a window after `from`, of hosts that
  // had passed an answer with its limit on for long enough.
  int WorstWindow(const std::string& server, TimePoint from) const {
    const auto found = arrivals_.find(server);
    if (found == arrivals_.end()) return 0;
    std::vector<TimePoint> counted;
    for (const Arrival& arrival : found->second) {
      const auto told = told_.find({server, arrival.host});
      const bool is_told =
          told != told_.end() && arrival.at >= told->second + kTelling;
      if (is_told && arrival.at >= from) counted.push_back(arrival.at);
    }
    size_t most = 0;
    size_t first = 0;
    for (size_t i = 0; i < counted.size(); ++i) {
      while (counted[i] - counted[first] > kWindow) ++first;
      most = std::max(most, i - first + 1);
    }
    return static_cast<int>(most);
  }

  static int Allowed(double per_second) {
    return static_cast<int>(per_second * ToSeconds(kWindow) * 1.5 + 5);
  }

  int ArrivedAt(const std::string& server, TimePoint from, TimePoint to) const {
    const auto found = arrivals_.find(server);
    if (found == arrivals_.end()) return 0;
    return static_cast<int>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const Arrival& arrival) {
                        return arrival.at >= from && arrival.at < to;
                      }));
  }

  struct Answer {
    std::string host;
    DispatchRequest sent;
    ReportedLimit word;
  };
  struct Refused {
    TimePoint at;
    Refusal refusal;
    Duration waited{0};
  };

  Random random_{20261203};
  RequestHandle last_handle_ = 1000;
  std::map<RequestHandle, TimePoint> asked_at_;
  bool is_failing_ = false;
  Duration service_time_ = milliseconds(100);
  std::map<std::string, double> limits_;
  std::map<std::string, std::vector<Arrival>> arrivals_;  // By server.
  std::map<std::pair<std::string, std::string>, TimePoint> told_;
  std::multimap<TimePoint, Answer> running_;
  std::vector<Refused> refusals_;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_SERVER_LIMIT_FIXTURE_H_

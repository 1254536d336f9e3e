#include "placement/usage_table.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

// Reports expire after this time: the host has stopped or is unreachable. Hosts
// report twice per second.
constexpr Duration kReportTtl = std::chrono::seconds(2);
// Short enough to follow demand that moves to other models within seconds, long
// enough to cover a model that is requested every few seconds.
constexpr Duration kRateWindow = std::chrono::seconds(4);
// Shows a rise of demand within two reports of all hosts.
constexpr Duration kRecentWindow = std::chrono::seconds(1);
// Rises below this many standard deviations of the recent count are chance.
constexpr double kMinRise = 2.0;
constexpr double kRiseAhead = 2.0 / 3;
// Demand that doubles in 4 s rises by a quarter in the second ahead. A steeper
// rise of a few requests is mostly chance.
constexpr double kMaxRise = 1.25;
// Targets with a lower rate are removed.
constexpr double kMinRate = 0.001;

bool IsRow(const Json& row, size_t size) {
  if (!row.is_array() || row.size() != size || !row[0].is_string()) {
    return false;
  }
  return row.back().is_number();
}

}  // namespace

Json HostReport::ToJson() const {
  Json json{{"w", Json::array()}, {"a", Json::array()}, {"r", Json::array()}};
  for (const Waiting& row : waiting) {
    json["w"].push_back(
        Json::array({row.target, row.count, row.worth, ToMillis(row.slack)}));
  }
  for (const Arrivals& row : arrivals) {
    json["a"].push_back(Json::array({row.target, row.count, row.worth}));
  }
  for (const Running& row : running) {
    json["r"].push_back(Json::array({row.engine, row.target, row.count}));
  }
  for (const Versioned& row : versioned) {
    json["v"].push_back(
        Json::array({row.name, row.target, row.version, row.count, row.worth}));
  }
  for (const Unserved& row : unserved) {
    json["u"].push_back(
        Json::array({row.target, ToMillis(row.age), ToMillis(row.asked_ago),
                     row.requests, row.worth}));
  }
  return json;
}

HostReport HostReport::FromJson(const std::string& host, const Json& json) {
  HostReport report;
  report.host = host;
  if (!json.is_object()) return report;
  for (const Json& row : json.value("w", Json::array())) {
    if (!IsRow(row, 4) || !row[1].is_number() || !row[2].is_number()) continue;
    report.waiting.push_back(
        {row[0].get<std::string>(), row[1].get<int>(), row[2].get<double>(),
         std::chrono::milliseconds(row[3].get<int64_t>())});
  }
  for (const Json& row : json.value("a", Json::array())) {
    if (!IsRow(row, 3) || !row[1].is_number()) continue;
    report.arrivals.push_back(
        {row[0].get<std::string>(), row[1].get<int>(), row[2].get<double>()});
  }
  for (const Json& row : json.value("r", Json::array())) {
    if (!IsRow(row, 3) || !row[1].is_string()) continue;
    report.running.push_back({row[0].get<std::string>(),
                              row[1].get<std::string>(), row[2].get<int>()});
  }
  for (const Json& row : json.value("v", Json::array())) {
    if (!IsRow(row, 5) || !row[1].is_string() || !row[2].is_string() ||
        !row[3].is_number_integer()) {
      continue;
    }
    report.versioned.push_back(
        {row[0].get<std::string>(), row[1].get<std::string>(),
         row[2].get<std::string>(), row[3].get<int>(), row[4].get<double>()});
  }
  for (const Json& row : json.value("u", Json::array())) {
    if (!IsRow(row, 5) || !row[1].is_number_integer() ||
        !row[2].is_number_integer() || !row[3].is_number_integer()) {
      continue;
    }
    const std::chrono::milliseconds age(row[1].get<int64_t>());
    const std::chrono::milliseconds asked_ago(row[2].get<int64_t>());
    if (asked_ago.count() < 0 || asked_ago > age) continue;
    report.unserved.push_back({row[0].get<std::string>(), age, asked_ago,
                               row[3].get<int>(), row[4].get<double>()});
  }
  return report;
}

double UsageTable::RecentDecay(TimePoint from, TimePoint now) {
  return std::exp(-ToSeconds(now - from) / ToSeconds(kRecentWindow));
}

double UsageTable::Decay(TimePoint from, TimePoint now) {
  return std::exp(-ToSeconds(now - from) / ToSeconds(kRateWindow));
}

void UsageTable::Add(const HostReport& report, int sign) {
  for (const HostReport::Waiting& row : report.waiting) {
    if (row.count <= 0) continue;
    Level& level = waiting_[row.target];
    level.count += sign * row.count;
    level.worth += sign * row.worth;
    if (level.count <= 0) waiting_.erase(row.target);
  }
  for (const HostReport::Running& row : report.running) {
    running_on_[{row.engine, row.target}] += sign * row.count;
    running_[row.target] += sign * row.count;
    engine_totals_[row.engine] += sign * row.count;
    if (sign > 0) continue;
    if (engine_totals_[row.engine] <= 0) engine_totals_.erase(row.engine);
    if (running_on_[{row.engine, row.target}] <= 0) {
      running_on_.erase({row.engine, row.target});
    }
    if (running_[row.target] <= 0) running_.erase(row.target);
  }
}

void UsageTable::ApplyReport(const HostReport& report, TimePoint now) {
  HostLevel& level = hosts_[report.host];
  Add(level.report, -1);
  level = {report, now};
  Add(level.report, 1);
  for (const HostReport::Arrivals& row : report.arrivals) {
    Flow& flow = flows_[row.target];
    const double decay = Decay(flow.updated_at, now);
    flow.rate = flow.rate * decay + row.count / ToSeconds(kRateWindow);
    flow.recent_rate = flow.recent_rate * RecentDecay(flow.updated_at, now) +
                       row.count / ToSeconds(kRecentWindow);
    flow.worth_rate =
        flow.worth_rate * decay + row.worth / ToSeconds(kRateWindow);
    flow.updated_at = now;
  }
}

void UsageTable::Expire(TimePoint now) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const auto next = std::next(it);
    if (now - it->second.received_at > kReportTtl) {
      Add(it->second.report, -1);
      hosts_.erase(it);
    }
    it = next;
  }
  std::erase_if(flows_, [now](const auto& entry) {
    return entry.second.rate * Decay(entry.second.updated_at, now) < kMinRate;
  });
}

std::vector<UsageTable::Demand> UsageTable::Waiting() const {
  std::vector<Demand> demands;
  for (const auto& [target, level] : waiting_) {
    demands.push_back({target, level.count, level.worth});
  }
  std::stable_sort(
      demands.begin(), demands.end(),
      [](const Demand& a, const Demand& b) { return a.worth > b.worth; });
  return demands;
}

bool UsageTable::HasWaiting(const std::string& target) const {
  return waiting_.contains(target);
}

int UsageTable::RunningOn(const std::string& engine,
                          const std::string& target) const {
  const auto it = running_on_.find(EngineTarget{engine, target});
  return it == running_on_.end() ? 0 : it->second;
}

int UsageTable::RunningForTarget(const std::string& target) const {
  const auto it = running_.find(target);
  return it == running_.end() ? 0 : it->second;
}

int UsageTable::RunningOnEngine(const std::string& engine) const {
  const auto it = engine_totals_.find(engine);
  return it == engine_totals_.end() ? 0 : it->second;
}

double UsageTable::Rate(const std::string& target, TimePoint now) const {
  const auto it = flows_.find(target);
  return it == flows_.end()
             ? 0
             : it->second.rate * Decay(it->second.updated_at, now);
}

// While demand rises steadily, the rate over a window lags behind it by the
// length of the window, so the difference of the rates shows its rise in the 3
// s between both windows. Two thirds of it lead to the rate a second ahead;
// more would overshoot a sudden rise by more than a quarter.
double UsageTable::ExpectedRate(const std::string& target,
                                TimePoint now) const {
  const auto it = flows_.find(target);
  if (it == flows_.end()) return 0;
  const Flow& flow = it->second;
  const double rate = flow.rate * Decay(flow.updated_at, now);
  const double recent = flow.recent_rate * RecentDecay(flow.updated_at, now);
  const double rise = recent - rate;
  // The variance of a rate of Poisson arrivals over an exponential window.
  const double deviation =
      std::sqrt(std::max(0.0, rate) / (2 * ToSeconds(kRecentWindow)));
  if (rise <= kMinRise * deviation) return rate;
  return std::min(recent + kRiseAhead * rise, kMaxRise * recent);
}

double UsageTable::WorthRate(const std::string& target, TimePoint now) const {
  const auto it = flows_.find(target);
  return it == flows_.end()
             ? 0
             : it->second.worth_rate * Decay(it->second.updated_at, now);
}

std::vector<std::string> UsageTable::Targets() const {
  std::vector<std::string> targets;
  for (const auto& [target, flow] : flows_) targets.push_back(target);
  return targets;
}

}  // namespace applehall

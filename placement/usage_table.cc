#include "placement/usage_table.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

// A host that says nothing for this long is gone or cut off; hosts report
// twice a second.
constexpr Duration kReportLife = std::chrono::seconds(2);
// Rates follow demand that moves to other models within seconds, and still
// see a model that is asked for every few seconds.
constexpr Duration kRateWindow = std::chrono::seconds(4);
// Below this a target counts as never asked for.
constexpr double kLeastRate = 0.001;

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
  return report;
}

double UsageTable::Decay(TimePoint from, TimePoint now) {
  return std::exp(-ToSeconds(now - from) / ToSeconds(kRateWindow));
}

void UsageTable::Take(const HostReport& report, TimePoint now) {
  hosts_[report.host] = {report, now};
  for (const HostReport::Arrivals& row : report.arrivals) {
    Flow& flow = flows_[row.target];
    const double decay = Decay(flow.at, now);
    flow.rate = flow.rate * decay + row.count / ToSeconds(kRateWindow);
    flow.worth_rate =
        flow.worth_rate * decay + row.worth / ToSeconds(kRateWindow);
    flow.at = now;
  }
}

void UsageTable::Expire(TimePoint now) {
  std::erase_if(hosts_, [now](const auto& entry) {
    return now - entry.second.heard_at > kReportLife;
  });
  std::erase_if(flows_, [now](const auto& entry) {
    return entry.second.rate * Decay(entry.second.at, now) < kLeastRate;
  });
}

std::vector<UsageTable::Demand> UsageTable::Waiting() const {
  std::map<std::string, Demand> by_target;
  for (const auto& [host, level] : hosts_) {
    for (const HostReport::Waiting& row : level.report.waiting) {
      if (row.count <= 0) continue;
      Demand& sum = by_target[row.target];
      sum.slack = sum.waiting == 0 ? row.slack : std::min(sum.slack, row.slack);
      sum.target = row.target;
      sum.waiting += row.count;
      sum.worth += row.worth;
    }
  }
  std::vector<Demand> demands;
  for (auto& [target, sum] : by_target) demands.push_back(std::move(sum));
  std::stable_sort(
      demands.begin(), demands.end(),
      [](const Demand& a, const Demand& b) { return a.worth > b.worth; });
  return demands;
}

bool UsageTable::IsWaitedFor(const std::string& target) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    const auto& rows = entry.second.report.waiting;
    return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
      return row.target == target && row.count > 0;
    });
  });
}

int UsageTable::RunningOn(const std::string& engine,
                          const std::string& target) const {
  int count = 0;
  for (const auto& [host, level] : hosts_) {
    for (const HostReport::Running& row : level.report.running) {
      if (row.engine == engine && row.target == target) count += row.count;
    }
  }
  return count;
}

int UsageTable::Running(const std::string& target) const {
  int count = 0;
  for (const auto& [host, level] : hosts_) {
    for (const HostReport::Running& row : level.report.running) {
      if (row.target == target) count += row.count;
    }
  }
  return count;
}

double UsageTable::Rate(const std::string& target, TimePoint now) const {
  const auto it = flows_.find(target);
  return it == flows_.end() ? 0 : it->second.rate * Decay(it->second.at, now);
}

double UsageTable::WorthRate(const std::string& target, TimePoint now) const {
  const auto it = flows_.find(target);
  return it == flows_.end() ? 0
                            : it->second.worth_rate * Decay(it->second.at, now);
}

std::vector<std::string> UsageTable::Targets() const {
  std::vector<std::string> targets;
  for (const auto& [target, flow] : flows_) targets.push_back(target);
  return targets;
}

}  // namespace applehall

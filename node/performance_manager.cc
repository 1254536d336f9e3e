#include "node/performance_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace applehall {
namespace {

// Bounds a plan to about 2.5 KB of these rows, so that hosts of a deployment
// with 10,000 engines receive 5 KB a second.
constexpr size_t kMaxPlanRows = 128;
// Changes below this share do not change a choice.
constexpr double kMinChange = 0.15;
// A rate below this differs from none by 2 % of what an engine reads.
constexpr double kMinRate = 500;
constexpr double kMinSpeedChange = 0.1;
// Rows are sent again after this time: a host may have missed them.
constexpr Duration kRepeatInterval = std::chrono::seconds(4);
constexpr double kPercent = 100;
// Demand moves to other models in about this time. Until then the last rates
// are better than none while no owner is reachable.
constexpr Duration kRateTtl = std::chrono::seconds(8);

double ChangeOf(const EnginePerformance& from, const EnginePerformance& to) {
  const double rate =
      std::abs(to.prompt_tokens_per_second - from.prompt_tokens_per_second) /
      std::max(kMinRate, from.prompt_tokens_per_second);
  const double speed = std::abs(to.speed - from.speed) / from.speed;
  return std::max(rate, speed * kMinChange / kMinSpeedChange);
}

}  // namespace

void PerformanceManager::RecordPrompt(const std::string& server,
                                      double tokens) {
  PerformanceSample& sample = samples_[server];
  ++sample.requests;
  sample.prompt_tokens += tokens;
  context_.view.RecordPrompt(server, tokens, context_.now);
}

void PerformanceManager::RecordInterval(const std::string& server,
                                        Duration interval) {
  if (interval <= Duration::zero()) return;
  PerformanceSample& sample = samples_[server];
  const double count = ++sample.intervals;
  const double log = std::log(ToSeconds(interval));
  const double mean = count > 1 ? std::log(ToSeconds(sample.interval)) : log;
  sample.interval = FromSeconds(std::exp(mean + (log - mean) / count));
}

// Measures calls that had to wait there as well: a slow server that passes for
// a fast one has a queue all the time.
void PerformanceManager::RecordCall(const std::string& server, Duration took,
                                    const ReportedLoad& load) {
  const double rounds =
      1.0 + static_cast<double>(load.waiting) / std::max(1, load.slots);
  const double slowdown = load.slowdown.value_or(1);
  RecordInterval(server, FromSeconds(ToSeconds(took) / (rounds * slowdown)));
}

// The former owner's rates would never decay here, and what this host sent in
// an earlier time as owner is not what the hosts have now. Speeds stay until
// they are measured again.
void PerformanceManager::StartPlanning() {
  table_ = std::make_unique<PerformanceTable>();
  sent_.clear();
  HandleSilence();
}

Json PerformanceManager::TakeReportRows() {
  return SamplesToJson(std::exchange(samples_, {}));
}

void PerformanceManager::HandleReport(const Json& rows,
                                      const EngineList& servers) {
  for (const auto& [id, sample] : SamplesFromJson(rows)) {
    const auto server = servers.find(id);
    if (server == servers.end()) continue;
    table_->Add(id, server->second.service, sample, context_.now);
  }
}

void PerformanceManager::RunOwner(const EngineList& servers) {
  for (const auto& [id, sample] : std::exchange(samples_, {})) {
    const auto server = servers.find(id);
    if (server == servers.end()) continue;
    table_->Add(id, server->second.service, sample, context_.now);
  }
  table_->UpdateSpeeds();
  for (const std::string& id : table_->Servers()) {
    EnginePerformance& known = known_[id];
    const double former_speed = known.speed;
    known = table_->Find(id, context_.now);
    if (!table_->IsMeasured(id)) known.speed = former_speed;
    Apply(id);
  }
}

Json PerformanceManager::TakePlanRows(const std::string& data_centre) {
  std::map<std::string, SentRow>& sent = sent_[data_centre];
  std::vector<std::pair<double, const std::string*>> changed;
  for (const auto& [id, performance] : known_) {
    const auto [row, is_new] = sent.try_emplace(id);
    const double change = ChangeOf(row->second.performance, performance);
    const bool is_due =
        is_new || context_.now - row->second.at >= kRepeatInterval;
    if (change >= kMinChange || is_due) changed.emplace_back(change, &id);
  }
  std::stable_sort(
      changed.begin(), changed.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  if (changed.size() > kMaxPlanRows) changed.resize(kMaxPlanRows);
  Json rows = Json::array();
  for (const auto& [change, id] : changed) {
    const EnginePerformance& performance = known_.at(*id);
    sent[*id] = {performance, context_.now};
    rows.push_back(
        Json::array({*id, std::llround(performance.prompt_tokens_per_second),
                     std::llround(performance.speed * kPercent)}));
  }
  return rows;
}

void PerformanceManager::HandlePlan(const Json& rows) {
  if (!rows.is_array()) return;
  stated_at_ = context_.now;
  for (const Json& row : rows) {
    const bool is_row = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_number_integer() &&
                        row[2].is_number_integer() &&
                        row[1].get<int64_t>() >= 0 && row[2].get<int64_t>() > 0;
    if (!is_row) continue;
    const std::string id = row[0].get<std::string>();
    known_[id] = {row[2].get<double>() / kPercent, row[1].get<double>()};
    Apply(id);
  }
}

void PerformanceManager::RunFollower() {
  if (context_.now - stated_at_ > kRateTtl) HandleSilence();
}

void PerformanceManager::HandleSilence() {
  for (auto& [id, performance] : known_) {
    if (performance.prompt_tokens_per_second == 0) continue;
    performance.prompt_tokens_per_second = 0;
    Apply(id);
  }
}

void PerformanceManager::Apply(const std::string& server) const {
  const auto known = known_.find(server);
  if (known == known_.end()) return;
  context_.view.SetPerformance(server, known->second);
}

void PerformanceManager::Remove(const std::string& server) {
  known_.erase(server);
  samples_.erase(server);
  if (table_) table_->Remove(server);
  for (auto& [centre, sent] : sent_) sent.erase(server);
}

}  // namespace applehall

#include "routing/performance_table.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(2);
// Samples that a mean covers: a server that turns slow shows after as many
// answers, a few seconds where it is in use.
constexpr double kMeanSamples = 20;
// Bounds of a speed, against rows that make no sense.
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 5;

double Decay(TimePoint from, TimePoint now) {
  return std::exp(-ToSeconds(now - from) / ToSeconds(kRateWindow));
}

}  // namespace

Json SamplesToJson(const PerformanceSamples& samples) {
  Json rows = Json::array();
  for (const auto& [server, sample] : samples) {
    const auto interval =
        std::chrono::duration_cast<std::chrono::microseconds>(sample.interval);
    rows.push_back(Json::array({server, sample.requests,
                                std::llround(sample.prompt_tokens),
                                sample.intervals, interval.count()}));
  }
  return rows;
}

PerformanceSamples SamplesFromJson(const Json& rows) {
  PerformanceSamples samples;
  if (!rows.is_array()) return samples;
  for (const Json& row : rows) {
    const bool is_row =
        row.is_array() && row.size() == 5 && row[0].is_string() &&
        std::all_of(row.begin() + 1, row.end(), [](const Json& number) {
          return number.is_number_integer() && number.get<int64_t>() >= 0;
        });
    if (!is_row) continue;
    PerformanceSample& sample = samples[row[0].get<std::string>()];
    sample.requests = row[1].get<int>();
    sample.prompt_tokens = row[2].get<double>();
    sample.intervals = row[3].get<int>();
    sample.interval = std::chrono::microseconds(row[4].get<int64_t>());
  }
  return samples;
}

void PerformanceTable::Add(const std::string& server,
                           const std::string& service,
                           const PerformanceSample& sample, TimePoint now) {
  Entry& entry = entries_[server];
  entry.service = service;
  entry.tokens_per_second *= Decay(entry.updated_at, now);
  entry.tokens_per_second += sample.prompt_tokens / ToSeconds(kRateWindow);
  entry.updated_at = now;
  if (sample.intervals <= 0 || sample.interval <= Duration::zero()) return;
  const double weight =
      sample.intervals /
      std::min(kMeanSamples, entry.samples + sample.intervals);
  entry.samples = std::min(kMeanSamples, entry.samples + sample.intervals);
  entry.log_interval +=
      std::min(1.0, weight) *
      (std::log(ToSeconds(sample.interval)) - entry.log_interval);
}

void PerformanceTable::Remove(const std::string& server) {
  entries_.erase(server);
}

void PerformanceTable::UpdateSpeeds() {
  std::map<std::string, std::vector<double>> intervals;  // By service.
  for (const auto& [server, entry] : entries_) {
    if (entry.samples > 0) {
      intervals[entry.service].push_back(entry.log_interval);
    }
  }
  for (auto& [service, values] : intervals) {
    const auto middle = values.begin() + values.size() / 2;
    std::nth_element(values.begin(), middle, values.end());
  }
  for (auto& [server, entry] : entries_) {
    if (entry.samples <= 0) continue;
    const std::vector<double>& values = intervals[entry.service];
    const double difference = values[values.size() / 2] - entry.log_interval;
    // One sample may be of a moment or a model that is out of the ordinary.
    const double trust = entry.samples / (entry.samples + 1);
    entry.speed =
        std::clamp(std::exp(difference * trust), kMinSpeed, kMaxSpeed);
  }
}

bool PerformanceTable::IsMeasured(const std::string& server) const {
  const auto it = entries_.find(server);
  return it != entries_.end() && it->second.samples > 0;
}

EnginePerformance PerformanceTable::Find(const std::string& server,
                                         TimePoint now) const {
  const auto it = entries_.find(server);
  if (it == entries_.end()) return {};
  const Entry& entry = it->second;
  return {entry.speed, entry.tokens_per_second * Decay(entry.updated_at, now)};
}

std::map<std::string, double> PerformanceTable::Speeds() const {
  std::map<std::string, double> speeds;
  for (const auto& [server, entry] : entries_) {
    if (entry.samples > 0) speeds[server] = entry.speed;
  }
  return speeds;
}

std::vector<std::string> PerformanceTable::Servers() const {
  std::vector<std::string> servers;
  servers.reserve(entries_.size());
  for (const auto& [server, entry] : entries_) servers.push_back(server);
  return servers;
}

}  // namespace applehall

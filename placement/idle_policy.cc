#include "placement/idle_policy.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

// Shorter gaps belong to one burst and do not count as idle times.
constexpr Duration kMinGap = std::chrono::seconds(2);
constexpr double kBucketGrowth = 1.4142135623730951;
// Decay of old gaps per new one, to adapt when a model's usage changes.
constexpr float kGapDecay = 0.97F;
// Minimum cold start, even from host memory: the load must be ordered, detected
// as ready and reported to the hosts.
constexpr Duration kMinColdStart = std::chrono::seconds(1);
constexpr float kMinHistoryWeight = 2.0F;
// Minimum number of idle times of all models before plans are made, and the
// weight of the prior in idle times of the model itself.
constexpr float kMinPoolWeight = 10.0F;
constexpr float kPriorWeight = 1.0F;
// Idle seconds that equal one second of cold start at weight 0.5.
constexpr double kColdStartCost = 20.0;

}  // namespace

int IdlePolicy::BucketOf(Duration gap) {
  const double ratio = ToSeconds(gap) / ToSeconds(kMinGap);
  if (ratio <= 1.0) return 0;
  const int bucket =
      static_cast<int>(std::log(ratio) / std::log(kBucketGrowth));
  return std::min(bucket, kBuckets - 1);
}

Duration IdlePolicy::BucketEnd(int bucket) {
  return FromSeconds(ToSeconds(kMinGap) * std::pow(kBucketGrowth, bucket + 1));
}

Duration IdlePolicy::BucketMiddle(int bucket) {
  return FromSeconds(ToSeconds(kMinGap) *
                     std::pow(kBucketGrowth, bucket + 0.5));
}

void IdlePolicy::RecordUse(const std::string& model, TimePoint when) {
  History& history = histories_[model];
  if (when <= history.last_use) return;
  const bool is_first = history.last_use == TimePoint{};
  const Duration gap = when - history.last_use;
  history.last_use = when;
  if (is_first || gap < kMinGap) return;
  for (float& weight : history.gaps) weight *= kGapDecay;
  history.total = history.total * kGapDecay + 1.0F;
  history.gaps[BucketOf(gap)] += 1.0F;
  history.has_plan = false;
  pool_.gaps[BucketOf(gap)] += 1.0F;
  pool_.total += 1.0F;
}

TimePoint IdlePolicy::LastUse(const std::string& model) const {
  const auto it = histories_.find(model);
  return it == histories_.end() ? TimePoint{} : it->second.last_use;
}

double IdlePolicy::UseProbability(const std::string& model, Duration idle,
                                  Duration span) const {
  const auto it = histories_.find(model);
  if (it == histories_.end() || it->second.total < kMinHistoryWeight) {
    return 0.5;
  }
  float still_open = 0.0F;
  float within = 0.0F;
  for (int i = 0; i < kBuckets; ++i) {
    if (BucketEnd(i) <= idle) continue;
    still_open += it->second.gaps[i];
    if (BucketMiddle(i) <= idle + span) within += it->second.gaps[i];
  }
  // Smoothing: adds half an unobserved gap that never ends.
  return within / (still_open + 0.5F);
}

IdlePlan IdlePolicy::PlanFor(const std::string& model, Duration load_time,
                             IdleWeights weights) const {
  const auto it = histories_.find(model);
  if (it == histories_.end() || pool_.total < kMinPoolWeight) {
    return {default_keep_, Duration{0}, Duration{0}};
  }
  History& history = it->second;
  const double weight = std::clamp(weights.cold_start_weight, 0.01, 0.99);
  if (!history.has_plan || history.plan_load != load_time ||
      history.plan_weight != weight) {
    history.plan = MakePlan(WithPrior(history), load_time, weight);
    history.plan_load = load_time;
    history.plan_weight = weight;
    history.has_plan = true;
  }
  return history.plan;
}

IdlePolicy::History IdlePolicy::WithPrior(const History& history) const {
  History mixed = history;
  for (int i = 0; i < kBuckets; ++i) {
    mixed.gaps[i] += kPriorWeight * pool_.gaps[i] / pool_.total;
  }
  mixed.total += kPriorWeight;
  return mixed;
}

std::vector<std::string> IdlePolicy::KnownModels() const {
  std::vector<std::string> names;
  names.reserve(histories_.size());
  for (const auto& [name, history] : histories_) names.push_back(name);
  return names;
}

IdlePlan IdlePolicy::MakePlan(const History& history, Duration load_time,
                              double weight) const {
  IdlePlan plan;
  const double cold_cost = ToSeconds(std::max(load_time, kMinColdStart)) *
                           kColdStartCost * weight / (1.0 - weight);

  // Cost of keeping the model until the end of each bucket: idle seconds for
  // all gaps, plus a cold start for gaps that end later.
  double best_cost = cold_cost * history.total;
  plan.keep_for = Duration{0};
  double held = 0.0;
  float ended = 0.0F;
  for (int i = 0; i < kBuckets; ++i) {
    held += history.gaps[i] * ToSeconds(BucketMiddle(i));
    ended += history.gaps[i];
    const float open = history.total - ended;
    const double cost = held + open * (ToSeconds(BucketEnd(i)) + cold_cost);
    if (cost < best_cost) {
      best_cost = cost;
      plan.keep_for = BucketEnd(i);
    }
  }

  // Cost of unloading at once and prewarming for the buckets [from, to].
  for (int from = 1; from < kBuckets; ++from) {
    const Duration start = BucketEnd(from - 1);
    if (start <= load_time * 2) continue;
    float early = 0.0F;
    for (int i = 0; i < from; ++i) early += history.gaps[i];
    double held_ahead = 0.0;
    float met = 0.0F;
    for (int to = from; to < kBuckets; ++to) {
      held_ahead += history.gaps[to] * ToSeconds(BucketMiddle(to) - start);
      met += history.gaps[to];
      const float late = history.total - early - met;
      const double cost = held_ahead + early * cold_cost +
                          late * (ToSeconds(BucketEnd(to) - start) + cold_cost);
      if (cost >= best_cost) continue;
      best_cost = cost;
      plan = {Duration{0}, start, BucketEnd(to)};
    }
  }
  return plan;
}

}  // namespace applehall

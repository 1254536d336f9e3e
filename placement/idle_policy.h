#ifndef APPLEHALL_PLACEMENT_IDLE_POLICY_H_
#define APPLEHALL_PLACEMENT_IDLE_POLICY_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// How long an idle model stays loaded, and when it is loaded ahead of its next
// request. All times are counted from its last request.
struct IdlePlan {
  Duration keep_for{0};
  // Zero: not loaded ahead. Otherwise the model is unloaded after `keep_for`,
  // loaded again by `prewarm_at` and kept until `prewarm_until`.
  Duration prewarm_at{0};
  Duration prewarm_until{0};
};

// Weight of cold-start time against idle memory.
struct IdleWeights {
  // From 0 (save accelerator memory) to 1 (avoid cold starts).
  double cold_start_weight = 0.5;
};

// Estimates the distribution of each model's idle times from its arrivals and
// chooses the plan with the lowest expected cost: seconds held idle plus
// weighted seconds of cold start.
//
// Idle times are counted in buckets that grow by half an octave, so the
// relative precision is the same for a model called each minute and one called
// each night.
class IdlePolicy {
 public:
  explicit IdlePolicy(Duration default_keep) : default_keep_(default_keep) {}

  // Records a request for `model` at `when`. Not thread-safe.
  void RecordUse(const std::string& model, TimePoint when);

  // Returns the cheapest plan for a model that takes `load_time` to load. Not
  // thread-safe.
  IdlePlan PlanFor(const std::string& model, Duration load_time,
                   IdleWeights weights) const;
  // Time of the last use; epoch if none. Not thread-safe.
  TimePoint LastUse(const std::string& model) const;
  // Probability that the next request arrives within `span`, given that the
  // model has been idle for `idle`. Not thread-safe.
  double UseProbability(const std::string& model, Duration idle,
                        Duration span) const;
  // Names of all models with a recorded use, sorted. Not thread-safe.
  std::vector<std::string> KnownModels() const;
  size_t model_count() const { return histories_.size(); }

 private:
  static constexpr int kBuckets = 28;
  struct History {
    TimePoint last_use;
    std::array<float, kBuckets> gaps{};
    float total = 0;
    // Cached plan and its inputs; invalidated by each new gap.
    bool has_plan = false;
    Duration plan_load{0};
    double plan_weight = 0;
    IdlePlan plan;
  };

  // Returns the model's gaps plus those of all models as a prior, whose share
  // shrinks as the model's own gaps accumulate.
  History WithPrior(const History& history) const;
  IdlePlan MakePlan(const History& history, Duration load_time,
                    double weight) const;

  static int BucketOf(Duration gap);
  static Duration BucketEnd(int bucket);
  static Duration BucketMiddle(int bucket);

  Duration default_keep_;
  History pool_;  // Gaps of all models.
  mutable std::map<std::string, History> histories_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_IDLE_POLICY_H_

#ifndef APPLEHALL_ROUTING_ENGINE_VIEW_H_
#define APPLEHALL_ROUTING_ENGINE_VIEW_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/policy_set.h"
#include "core/random.h"
#include "routing/circuit_breaker.h"
#include "routing/concurrency_limit.h"
#include "routing/engine_digest.h"

namespace applehall {

// One host's view of the engines of its data centre, and its choice among
// those that hold a model.
//
// Load reports lag, so the choice never trusts them alone: the host adds what
// it has itself in flight there, compares only two candidates instead of
// sending everybody to the engine that last looked idle, and starts from the
// candidate that the prompt's prefix points to.
class EngineView {
 public:
  explicit EngineView(uint64_t seed, PolicySet policies = {})
      : random_(seed), policies_(policies) {}

  // Takes a digest; false if it is not newer than what is known. Not
  // thread-safe.
  bool Merge(const EngineDigest& digest, TimePoint now);
  // Takes a load without the rest; false unless the rest it belongs to is
  // known here. Not thread-safe.
  bool MergeLoad(const EngineDigest& digest, TimePoint now);
  // No new work goes there from now on; the host list says it leaves or left.
  // Not thread-safe.
  void SetLeaving(const std::string& engine, bool leaving);
  void Forget(const std::string& engine);

  // An engine that is ready for `target` and may take one more; null if none.
  // `prefix_hash` zero means no affinity. Not thread-safe.
  const EngineDigest* Choose(const std::string& target, uint64_t prefix_hash,
                             TimePoint now) {
    return Choose(target, prefix_hash, {}, now);
  }
  // What speaks for or against engines beside their load.
  struct Preference {
    std::string avoid;        // An engine that failed this request already.
    std::string data_centre;  // Others are further away.
    // Engines with more requests for each slot take no further one; zero: any.
    double most_load = 0;
    // How long an engine takes for a request like this; zero: not known.
    Duration service_time{0};
    // Drawn once for each request, from 0 to 1: an engine that is asked for
    // more than it can run takes those that drew less than the share it can.
    double luck = 0;
  };
  const EngineDigest* Choose(const std::string& target, uint64_t prefix_hash,
                             const Preference& preference, TimePoint now);
  // All that may serve `target` have no room for one like this: it would only
  // wait there. Not thread-safe.
  bool IsSaturated(const std::string& target, const Preference& preference,
                   TimePoint now) const;
  // No request goes there before `until`: it takes no more than it named. Not
  // thread-safe.
  void Hold(const std::string& engine, TimePoint until);
  // When the first of the engines that may serve `target` is no longer held;
  // nothing if one is not held, or none is healthy. Not thread-safe.
  std::optional<TimePoint> HeldUntil(const std::string& target,
                                     TimePoint now) const;
  // How many requests of all hosts were under way at `engine` a moment ago, and
  // how many a second ask for what it holds; zero if not told. Not thread-safe.
  void SetLoad(const std::string& engine, int running, double arrivals);
  // A request goes to / ended at `engine`. Not thread-safe.
  void BeginRequest(const std::string& engine, const std::string& target = "");
  enum class RequestEnd : uint8_t { kOk, kFull, kFailed, kModelAbsent, kOther };
  void EndRequest(const std::string& engine, const std::string& target,
                  RequestEnd end, TimePoint now);

  // Engines ready for `target`, leaving ones left out. Not thread-safe.
  int ReadyReplicas(const std::string& target) const;
  const EngineDigest* Find(const std::string& engine) const;
  int InFlight(const std::string& engine) const;
  // Requests under way, by engine and target. Not thread-safe.
  struct Running {
    std::string engine;
    std::string target;
    int count = 0;
  };
  std::vector<Running> RunningRequests() const;
  std::vector<const EngineDigest*> All() const;
  std::vector<std::string> ReadyTargets() const;
  // Grows whenever what is ready somewhere changes.
  uint64_t ready_version() const { return ready_version_; }
  Json ToJson(TimePoint now) const;

 private:
  struct EngineEntry {
    EngineDigest digest;
    TimePoint heard_at;
    int in_flight = 0;
    std::map<std::string, int> in_flight_by_target = {};
    // Of `in_flight`, those begun after the last report: not in it yet.
    int since_report = 0;
    double arrivals = 0;  // A second, of all hosts, served or not.
    bool is_leaving = false;
    TimePoint held_until;
    CircuitBreaker breaker;
    ConcurrencyLimit limit;
  };
  struct RingPoint {
    uint64_t hash = 0;
    std::string engine;
    bool operator<(const RingPoint& other) const { return hash < other.hash; }
  };
  using Ring = std::vector<RingPoint>;  // Sorted: engines ready for a target.

  void IndexTargets(const EngineDigest& before, const EngineDigest& after);
  bool MayTake(const EngineEntry& entry, TimePoint now) const;
  static double Load(const EngineEntry& entry);
  bool HasRoom(const EngineEntry& entry, const Preference& preference) const;
  void Drop(const std::string& target, const std::string& engine);

  // Ordered, so that every run of the same events is the same.
  std::map<std::string, EngineEntry> engines_;
  absl::flat_hash_map<std::string, Ring> by_target_;
  uint64_t ready_version_ = 0;
  Random random_;
  PolicySet policies_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_ENGINE_VIEW_H_

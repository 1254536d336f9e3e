#ifndef APPLEHALL_ROUTING_ENGINE_VIEW_H_
#define APPLEHALL_ROUTING_ENGINE_VIEW_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/server_load.h"
#include "core/policy_set.h"
#include "core/random.h"
#include "routing/circuit_breaker.h"
#include "routing/completion_estimate.h"
#include "routing/concurrency_limit.h"
#include "routing/engine_digest.h"
#include "routing/engine_performance.h"

namespace applehall {

// One host's view of the engines of its data centre; selects among those that
// hold a model.
//
// Reported loads lag, so the choice does not rely on them alone: it adds this
// host's own requests in flight, compares two random candidates instead of
// sending every request to the engine with the lowest reported load, and
// prefers the engine that the prompt's prefix hashes to.
class EngineView {
 public:
  explicit EngineView(uint64_t seed, PolicySet policies = {})
      : random_(seed), policies_(policies) {}

  // Merges a digest; returns false if it is not newer than the known one. Not
  // thread-safe.
  bool Merge(const EngineDigest& digest, TimePoint now);
  // Merges a load-only digest; returns false unless the base that it refers to
  // is known here. Not thread-safe.
  bool MergeLoad(const EngineDigest& digest, TimePoint now);
  // Marks an engine that leaves or has left according to the host list; it gets
  // no new requests. Not thread-safe.
  void SetLeaving(const std::string& engine, bool leaving);
  void Remove(const std::string& engine);

  // Returns an engine that is ready for `target` and may accept one more
  // request; null if none. `prefix_hash` zero means no affinity. Not
  // thread-safe.
  const EngineDigest* Choose(const std::string& target, uint64_t prefix_hash,
                             TimePoint now) {
    return Choose(target, prefix_hash, {}, now);
  }
  // Criteria of the choice other than the engines' load.
  struct Preference {
    std::string avoid;        // An engine that has already failed this request.
    std::string data_centre;  // Engines elsewhere are further away.
    // Engines with more requests per slot are not chosen; zero: no bound.
    double max_load = 0;
    // Expected service time of the request; zero: not known.
    Duration service_time{0};
    // Drawn uniformly from 0 to 1, once for each request. An engine with more
    // demand than it can run accepts requests whose draw is below the share
    // that it can run.
    double draw = 0;
    // The software version of the engine; nothing: any.
    std::optional<std::string> version = std::nullopt;
    // Whether the request begins a stream that may be resumed elsewhere.
    bool begins_stream = false;
    // What the caller expects. Where the load of servers cannot be told from
    // requests per slot, they are compared by the predicted completion.
    std::optional<CompletionTargets> targets = std::nullopt;
    double prompt_tokens = 0;  // Of a stream; zero: unknown.
    bool is_call = false;      // To a plain service, which sends no stream.
    // IsSaturated() only: an engine at this host's limit lacks capacity, too.
    bool counts_limit = false;
  };
  const EngineDigest* Choose(const std::string& target, uint64_t prefix_hash,
                             const Preference& preference, TimePoint now);
  // Returns the predicted completion of a request at `engine`; nothing where
  // choices do not use estimates. Not thread-safe.
  std::optional<CompletionEstimate> Estimate(const std::string& engine,
                                             const Preference& preference,
                                             TimePoint now) const;
  // Returns whether every engine that may serve `target` lacks capacity for
  // this request, which would only wait there. Not thread-safe.
  bool IsSaturated(const std::string& target, const Preference& preference,
                   TimePoint now) const;
  // Sends no request to `engine` before `until`, because its announced limit is
  // used up. Not thread-safe.
  void Hold(const std::string& engine, TimePoint until);
  // Discards the failures of `engine`: they were faults of this host's links.
  // Not thread-safe.
  void ForgetFailures(const std::string& engine);
  // Marks `engine` as brittle, because a rejection may crash it: it is not
  // filled to its last slot, and this host uses its part of the slots if
  // `hosts` hosts share them. Zero hosts: it is not brittle. Not thread-safe.
  void SetBrittle(const std::string& engine, int hosts);
  // Returns when the first engine that may serve `target` is no longer held;
  // nullopt if one is not held or none is healthy. Not thread-safe.
  std::optional<TimePoint> HeldUntil(const std::string& target,
                                     const Preference& preference,
                                     TimePoint now) const;
  // Sets the number of running requests of all hosts at `engine` as of the last
  // report, and the arrivals per second for its models; zero if not reported.
  // Not thread-safe.
  void SetLoad(const std::string& engine, int running, double arrivals);
  // Sets what is known of an engine's performance. Not thread-safe.
  void SetPerformance(const std::string& engine,
                      const EnginePerformance& performance);
  // Records the load that a server stated in an answer. Not thread-safe.
  void ReportLoad(const std::string& engine, const ReportedLoad& load,
                  TimePoint now);
  // Returns whether choices among servers like this one use estimates, which
  // need its measured performance. Not thread-safe.
  bool NeedsPerformance(const std::string& engine) const;
  // Returns whether that holds for any server that is ready for `target`. Not
  // thread-safe.
  bool TargetNeedsPerformance(const std::string& target) const;
  // Returns the slots of the servers that are ready for `target` and not
  // leaving. Not thread-safe.
  int ReadySlots(const std::string& target) const;
  // Records that this host has sent a prompt of `tokens` to `engine`. Not
  // thread-safe.
  void RecordPrompt(const std::string& engine, double tokens, TimePoint now);
  // Returns the engine's speed relative to its service's median; 1 if it is not
  // measured. Not thread-safe.
  double Speed(const std::string& engine) const;
  // Records that a request is sent to `engine`. Not thread-safe.
  void BeginRequest(const std::string& engine, const std::string& target = "");
  enum class RequestEnd : uint8_t { kOk, kFull, kFailed, kModelAbsent, kOther };
  // Records the end of a request at `engine` that was begun at `sent_at`.
  // Requires: sent_at <= now. Not thread-safe.
  void EndRequest(const std::string& engine, const std::string& target,
                  RequestEnd end, TimePoint sent_at, TimePoint now);

  // Number of engines ready for `target`, without leaving ones. Not
  // thread-safe.
  int ReadyReplicas(const std::string& target) const;
  // The same, of one software version. Not thread-safe.
  int ReadyReplicas(const std::string& target,
                    const std::string& version) const;
  const EngineDigest* Find(const std::string& engine) const;
  // As Find(), but null for an engine that leaves: an engine that was chosen
  // earlier may have left since. Not thread-safe.
  const EngineDigest* FindStaying(const std::string& engine) const;
  int InFlight(const std::string& engine) const;
  // Requests in flight by engine and target. Not thread-safe.
  struct Running {
    std::string engine;
    std::string target;
    int count = 0;
  };
  std::vector<Running> RunningRequests() const;
  std::vector<const EngineDigest*> All() const;
  std::vector<std::string> ReadyTargets() const;
  // Increases with every change of the ready targets of any engine.
  uint64_t ready_version() const { return ready_version_; }
  Json ToJson(TimePoint now) const;

 private:
  struct EngineEntry {
    EngineDigest digest;
    TimePoint reported_at;
    int in_flight = 0;
    std::map<std::string, int> in_flight_by_target = {};
    // Requests of `in_flight` begun after the last report, which does not
    // include them yet.
    int begun_since_report = 0;
    double arrivals = 0;  // Per second, of all hosts, served or not.
    bool is_leaving = false;
    int brittle_hosts = 0;  // Hosts that share its slots; 0: not brittle.
    TimePoint held_until;
    CircuitBreaker breaker;
    ConcurrencyLimit limit;
    EnginePerformance performance = {};
    ReportedLoad load = {};  // As last reported by the server itself.
    TimePoint load_at = {};
    int begun_since_load = 0;
    // Prompt tokens that this host has sent and the engine has not read yet, as
    // of `unread_at`.
    double unread_tokens = 0;
    TimePoint unread_at = {};
  };
  struct RingPoint {
    uint64_t hash = 0;
    std::string engine;
    bool operator<(const RingPoint& other) const { return hash < other.hash; }
  };
  using Ring = std::vector<RingPoint>;  // Engines ready for a target, sorted.

  void IndexTargets(const EngineDigest& before, const EngineDigest& after);
  bool CanAccept(const EngineEntry& entry, TimePoint now) const;
  static double Load(const EngineEntry& entry);
  // Whether the engine's software may serve the request.
  static bool HasVersion(const EngineEntry& entry, const Preference& preference,
                         TimePoint now);
  bool HasCapacity(const EngineEntry& entry,
                   const Preference& preference) const;
  // Whether requests per slot do not show how loaded the engine is.
  static bool NeedsEstimate(const EngineEntry& entry,
                            const Preference& preference);
  // The state of `entry` for an estimate.
  static ServerCondition ConditionOf(const EngineEntry& entry, TimePoint now);
  static CompletionEstimate EstimateFor(const EngineEntry& entry,
                                        const Preference& preference,
                                        TimePoint now);
  // Chooses among the engines of `ring` by predicted completion; `first` is the
  // position of the engine that the prompt's prefix hashes to.
  template <typename IsWanted>
  const EngineDigest* ChooseByEstimate(const Ring& ring, size_t first,
                                       bool has_prefix,
                                       const Preference& preference,
                                       TimePoint now,
                                       const IsWanted& is_wanted);
  void RemoveReady(const std::string& target, const std::string& engine);
  int CountReady(const std::string& target,
                 const std::optional<std::string>& version) const;

  // Ordered, so that runs with the same events are identical.
  std::map<std::string, EngineEntry> engines_;
  absl::flat_hash_map<std::string, Ring> by_target_;
  uint64_t ready_version_ = 0;
  Random random_;
  PolicySet policies_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_ENGINE_VIEW_H_

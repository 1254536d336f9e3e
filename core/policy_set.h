#ifndef APPLEHALL_CORE_POLICY_SET_H_
#define APPLEHALL_CORE_POLICY_SET_H_

#include <absl/status/statusor.h>

#include <bitset>
#include <string_view>

namespace applehall {

// Policies that can be disabled one by one, to measure the effect of each with
// the real program; docs/further.md lists the effects. None of them guards
// correctness: without it requests are answered later or refused more often,
// never wrongly.
enum class Policy : uint8_t {
  // Placement.
  kOverloadReplicas,  // Adds replicas of overloaded models.
  kSecondReplica,     // Adds a spare replica of models in frequent demand.
  kLastPair,          // Keeps the last two replicas of such a model.
  kSeeding,           // Loads copies ahead of requests.
  kStoreWidth,        // Limits concurrent loads by the learnt store width.
  kReservations,      // Reserves freed memory for the model it was freed for.
  kAdapterAffinity,   // Places an adapter on the same engine each time.
  kBlockedAdapters,   // Loads avoid engines whose adapters are in demand.
  kServiceTurns,      // Targets that are asked for in vain get a turn.
  kSilence,           // Treats engines that do not answer as not serving.
  kHandOver,          // An owner that cannot confirm its lease releases it.
  kEngineSpeeds,      // Capacity and choice of engines follow their speeds.
  // Routing.
  kPrefixAffinity,  // Routes prompts with a common prefix to one engine.
  kTwoChoices,      // Picks the less loaded of two candidate engines.
  kNearFirst,       // Prefers engines of the own data centre.
  kEngineShares,    // Hosts send only the share of load that an engine can run.
  kCircuitBreaker,  // Sends only single probes to engines that keep failing.
  kEstimates,  // Compares engines by predicted completion where slots mislead.
  // Waiting.
  kEarlyRefusal,    // Refuses requests at once that cannot start in time.
  kShortQueues,     // Refuses requests that would be late behind full engines.
  kReturnSchedule,  // Retry-After follows the capacity left by earlier retries.
  kLateWorth,       // Late requests weigh less in placement.
  kStoreRelay,      // One host reads the store for its data centre.
  kFreeMemory,      // Fills free memory with models ahead of requests.
  // Teams' quotas.
  kQuotaShares,  // Hosts admit one share of demand, not parts of a quota.
  kQuotaUsage,   // Parts of a quota follow the demand at each host.
  kCount,
};

// The set of enabled policies; all are enabled by default.
class PolicySet {
 public:
  // Requires: nothing. Thread-safe.
  bool Has(Policy policy) const {
    return !off_.test(static_cast<size_t>(policy));
  }
  // Returns all policies but those listed in `names`, separated by commas. The
  // error for an unknown name contains it. Requires: nothing. Thread-safe.
  static absl::StatusOr<PolicySet> Without(std::string_view names);

 private:
  std::bitset<static_cast<size_t>(Policy::kCount)> off_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_POLICY_SET_H_

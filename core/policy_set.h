#ifndef APPLEHALL_CORE_POLICY_SET_H_
#define APPLEHALL_CORE_POLICY_SET_H_

#include <absl/status/statusor.h>

#include <bitset>
#include <string_view>

namespace applehall {

// Policies that may be switched off one by one, to measure what each is worth
// with the real program. None of them guards a promise: without it answers come
// later or fewer, never wrongly. docs/further.md has what was measured so far.
enum class Policy : uint8_t {
  // Placement.
  kOverloadReplicas,  // Further replicas of models that are asked for too much.
  kSecondReplica,     // A spare one of any model that is asked for often.
  kLastPair,          // The last two replicas of such a model stay.
  kSeeding,           // Copies ahead of requests.
  kStoreWidth,        // Loads at once by how wide the store shows to be.
  kReservations,      // An engine is kept for the model that room was made for.
  kAdapterAffinity,   // An adapter goes to the same engine each time.
  kBlockedAdapters,   // A load avoids engines with adapters that are asked for.
  kSilence,           // Engines that do not answer are not believed to serve.
  kHandOver,          // An owner that cannot prove its lease gives it up.
  // Routing.
  kPrefixAffinity,  // Prompts with a shared start meet at one engine.
  kTwoChoices,      // The less busy of two engines.
  kNearFirst,       // Engines of the own data centre first.
  kEngineShares,  // Each host lets through what an engine can run of its load.
  kCircuitBreaker,  // Engines that keep failing get single trials only.
  // Waiting.
  kEarlyRefusal,  // What cannot start in time is refused at once.
  kShortQueues,   // What would be late behind full engines is refused.
  kLateWorth,     // Requests that will be late weigh less in placement.
  kStoreRelay,    // One host reads the store for its data centre.
  kFreeMemory,    // Free memory is filled with models ahead of requests.
  // Teams' quotas.
  kQuotaShares,  // Hosts admit one share of what is asked, not parts of a
                 // quota.
  kQuotaUsage,   // Parts of a quota follow what hosts are asked for.
  kCount,
};

// Which policies are in force; all unless told otherwise.
class PolicySet {
 public:
  // Requires: nothing. Thread-safe.
  bool Has(Policy policy) const {
    return !off_.test(static_cast<size_t>(policy));
  }
  // All but those that `names` lists, separated by commas; an error names the
  // one that is unknown. Requires: nothing. Thread-safe.
  static absl::StatusOr<PolicySet> Without(std::string_view names);

 private:
  std::bitset<static_cast<size_t>(Policy::kCount)> off_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_POLICY_SET_H_

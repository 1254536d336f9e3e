#ifndef APPLEHALL_CLAIMS_CLAIM_GUARD_H_
#define APPLEHALL_CLAIMS_CLAIM_GUARD_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_queue.h"
#include "claims/claim_fold.h"
#include "placement/ownership_table.h"

namespace applehall {

struct ClaimSettings {
  ClaimWindow window;
  // Time for which claims are batched before they are appended.
  Duration linger = std::chrono::milliseconds(5);
  // An append without an answer is retried after this time, with the same claim
  // ids.
  Duration append_timeout = std::chrono::seconds(2);
  size_t max_batch_size = 256;
};

// Ensures that a request that may not be repeated runs at most once over all
// hosts.
//
// A claim for the request's key is appended to the log before the request is
// sent; the request runs only after its own claim has been read back as the
// winner. Answers to appends decide nothing, so a lost answer is harmless.
class ClaimGuard {
 public:
  // Requires: `self` is unique among all processes ever run, as claim ids
  // contain it.
  ClaimGuard(Incarnation self, ClaimSettings settings);

  enum class BeginResult : uint8_t {
    kPending,  // TakeGranted() or TakeRefused() returns the result later.
    kDuplicate,
    kKeyMalformed,
    kKeyTooOld,
    kKeyInFuture,
    kNotReady,  // The claims stream has not been read yet.
  };
  struct ClaimResult {
    RequestHandle handle = 0;
    ClaimFold::KeyStatus status = ClaimFold::KeyStatus::kFree;
  };

  // Starts a claim for `key`, a version 7 UUID. Not thread-safe.
  BeginResult Begin(RequestHandle handle, const std::string& key,
                    TimePoint now);
  // Releases the claim of a request that was cancelled before it was sent,
  // whether the claim is unwritten, pending or granted. Not thread-safe.
  void Abandon(RequestHandle handle, TimePoint now);
  // Ends the claim of a granted request with its verdict. Not thread-safe.
  void End(RequestHandle handle, Verdict verdict, TimePoint now);
  // Applies a batch of the claims stream. Not thread-safe.
  void Apply(const LogBatch& batch, TimePoint now);
  // Schedules another append after one that failed or whose result is unknown.
  // Not thread-safe.
  void HandleAppendFailure(const std::string& record_id, TimePoint now);

  // Returns the record to append now, if one is due. Not thread-safe.
  std::optional<Json> NextRecord(TimePoint now);
  // Removes and returns the requests that may run now. Not thread-safe.
  std::vector<RequestHandle> TakeGranted();
  // Removes and returns the requests that lost their key. Not thread-safe.
  std::vector<ClaimResult> TakeRefused();
  // Time at which NextRecord() is due; nullopt if nothing waits for it. Not
  // thread-safe.
  std::optional<TimePoint> NextDue() const;
  const ClaimFold& fold() const { return fold_; }
  Json ToJson() const;

 private:
  struct PendingClaim {
    RequestHandle handle = 0;  // Zero once abandoned.
    Claim claim;
    bool is_written = false;  // Part of an appended batch.
    bool is_granted = false;
  };

  void ApplyOutcome(const ClaimFold::Outcome& outcome, TimePoint now);

  std::string NextId(char kind);

  Incarnation self_;
  ClaimSettings settings_;
  uint64_t id_count_ = 0;
  ClaimFold fold_;
  std::map<std::string, PendingClaim> pending_claims_;  // By claim id.
  std::map<RequestHandle, std::string> claim_ids_;
  std::vector<ClaimEnd> unsent_ends_;  // To be appended.
  std::vector<ClaimEnd> sent_ends_;    // In the pending batch.
  std::string batch_id_;               // Empty: no append is pending.
  TimePoint batch_sent_at_;
  std::optional<TimePoint> oldest_unwritten_;
  std::vector<RequestHandle> granted_;
  std::vector<ClaimResult> refused_;
};

}  // namespace applehall

#endif  // APPLEHALL_CLAIMS_CLAIM_GUARD_H_

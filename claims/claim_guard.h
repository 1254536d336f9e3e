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
  // How long claims gather before they are appended together.
  Duration linger = std::chrono::milliseconds(5);
  // An append not answered for this long is repeated under the same ids.
  Duration append_timeout = std::chrono::seconds(2);
  size_t most_in_batch = 256;
};

// Lets a request that may not be repeated run at most once, over all hosts.
//
// A claim for its key goes to the log before anything is sent; the request
// runs only after its own claim was read back as the winner. Answers of the
// log are never trusted for that, so a lost one changes nothing.
class ClaimGuard {
 public:
  // No other process may ever have the same `self`: claim ids are made of it.
  ClaimGuard(Incarnation self, ClaimSettings settings);

  enum class BeginResult : uint8_t {
    kPending,  // Wait for TakeGranted() or TakeRefused().
    kDuplicate,
    kKeyMalformed,
    kKeyTooOld,
    kKeyInFuture,
    kNotReady,  // The claims stream was not read yet.
  };
  struct ClaimResult {
    RequestHandle handle = 0;
    ClaimFold::KeyStatus status = ClaimFold::KeyStatus::kFree;
  };

  // Starts a claim for `key`, a version 7 UUID. Not thread-safe.
  BeginResult Begin(RequestHandle handle, const std::string& key,
                    TimePoint now);
  // The request was given up before it ran; nothing was sent. The claim is
  // given back wherever it stands. Not thread-safe.
  void Abandon(RequestHandle handle, TimePoint now);
  // What became of a granted run. Not thread-safe.
  void End(RequestHandle handle, Verdict verdict, TimePoint now);
  // Takes a batch of the claims stream. Not thread-safe.
  void Apply(const LogBatch& batch, TimePoint now);
  // An append failed for certain, or nobody knows. Not thread-safe.
  void HandleAppendFailure(const std::string& record_id, TimePoint now);

  // The record to append now, if one is due. Not thread-safe.
  std::optional<Json> NextRecord(TimePoint now);
  // Requests that may run now / that lost their key. Not thread-safe.
  std::vector<RequestHandle> TakeGranted();
  std::vector<ClaimResult> TakeRefused();
  // When NextRecord() is due at the latest. Not thread-safe.
  std::optional<TimePoint> NextDue() const;
  const ClaimFold& fold() const { return fold_; }
  Json ToJson() const;

 private:
  struct Wish {
    RequestHandle handle = 0;  // Zero once abandoned.
    Claim claim;
    bool is_written = false;  // Part of the batch under way.
    bool is_granted = false;
  };

  void Judge(const ClaimFold::Judgement& judgement, TimePoint now);

  std::string NextId(char kind);

  Incarnation self_;
  ClaimSettings settings_;
  uint64_t id_count_ = 0;
  ClaimFold fold_;
  std::map<std::string, Wish> wishes_;  // By claim id.
  std::map<RequestHandle, std::string> claim_of_;
  std::vector<ClaimEnd> ends_;       // To be appended.
  std::vector<ClaimEnd> ends_sent_;  // In the batch under way.
  std::string batch_id_;             // Empty: no append under way.
  TimePoint batch_sent_at_;
  std::optional<TimePoint> oldest_unwritten_;
  std::vector<RequestHandle> granted_;
  std::vector<ClaimResult> refused_;
};

}  // namespace applehall

#endif  // APPLEHALL_CLAIMS_CLAIM_GUARD_H_

#ifndef APPLEHALL_CLAIMS_CLAIM_FOLD_H_
#define APPLEHALL_CLAIMS_CLAIM_FOLD_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"
#include "core/verdict.h"

namespace applehall {

// A host's claim to run the request with an idempotency key.
struct Claim {
  std::string key;
  std::string claim_id;  // Unique per claim.
  std::string host;
  TimePoint issued_at;  // Creation time of the key, encoded in the key.
};

// The end of a claim, with the verdict on its run.
struct ClaimEnd {
  std::string key;
  std::string claim_id;
  Verdict verdict = Verdict::kMayHaveRun;
};

// Returns the body of a record with several claims and ends. Thread-safe.
Json ClaimsRecord(const std::string& id, const std::vector<Claim>& claims,
                  const std::vector<ClaimEnd>& ends);

struct ClaimWindow {
  // A key older than this is refused, so it need not be stored longer.
  Duration retention = std::chrono::minutes(30);
  // Maximum skew between the clocks of callers, hosts and the log service.
  Duration clock_skew = std::chrono::seconds(5);
};

// The winning claim of each key: the fold of one claims stream.
//
// The first claim of a key on the log wins. A key is removed only when its
// request is known not to have run, or when the key is so old that every host
// refuses it; so a removal never allows a second run.
class ClaimFold {
 public:
  explicit ClaimFold(ClaimWindow window) : window_(window) {}

  struct Outcome {
    std::string claim_id;
    std::string key;
    bool is_winner = false;
  };

  // Applies a batch and returns the outcome of each claim in it. Records
  // already applied are ignored. Not thread-safe.
  std::vector<Outcome> Apply(const LogBatch& batch, TimePoint now);

  enum class KeyStatus : uint8_t {
    kFree,
    kRunning,
    kRan,
    kMayHaveRun,
    kTooOld,
    kIssuedInFuture,
  };
  // Returns the status of a key issued at `issued_at`. Not thread-safe.
  KeyStatus Lookup(const std::string& key, TimePoint issued_at,
                   TimePoint now) const;
  // Returns the time before which issued keys are refused. Not thread-safe.
  TimePoint MinIssueTime(TimePoint now) const;
  LogOffset next_offset() const { return next_offset_; }
  // False until the stream has been read once.
  bool is_read() const { return is_read_; }
  size_t key_count() const { return keys_.size(); }

 private:
  struct KeyEntry {
    std::string claim_id;
    TimePoint issued_at;
    KeyStatus status = KeyStatus::kRunning;
  };

  void ApplyRecord(const LogRecord& record, std::vector<Outcome>& out);
  void ApplyClaim(const Json& item, std::vector<Outcome>& out);
  void ApplyEnd(const Json& item, TimePoint time);
  void Prune(TimePoint now);

  ClaimWindow window_;
  LogOffset next_offset_ = 1;
  bool is_read_ = false;
  // Claims before this time may have expired before they were read.
  TimePoint unread_before_;
  absl::flat_hash_map<std::string, KeyEntry> keys_;
  std::multimap<TimePoint, std::string> keys_by_issue_time_;
  // Released claims with the time of their release; a duplicate record of one
  // must not win its key again.
  std::map<std::string, TimePoint> released_;
};

}  // namespace applehall

#endif  // APPLEHALL_CLAIMS_CLAIM_FOLD_H_

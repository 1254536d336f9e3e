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

// One host's wish to run the request with an idempotency key.
struct Claim {
  std::string key;
  std::string claim_id;  // Unique for each wish.
  std::string host;
  TimePoint issued_at;  // When the key was made, as the key itself says.
};

// What became of a claimed run.
struct ClaimEnd {
  std::string key;
  std::string claim_id;
  Verdict verdict = Verdict::kMayHaveRun;
};

// Body of a claims record: several claims and ends at once.
Json ClaimsRecord(const std::string& id, const std::vector<Claim>& claims,
                  const std::vector<ClaimEnd>& ends);

struct ClaimWindow {
  // A key older than this is refused, so it need not be remembered longer.
  Duration retention = std::chrono::minutes(30);
  // The most by which clocks of callers, hosts and log service differ.
  Duration clock_skew = std::chrono::seconds(5);
};

// Who won each key: the fold of one claims stream.
//
// The first claim of a key on the log wins. A key leaves the fold only when
// its run is proven not to have happened, or when it is so old that every
// host refuses it; so forgetting never allows a second run.
class ClaimFold {
 public:
  explicit ClaimFold(ClaimWindow window) : window_(window) {}

  struct Judgement {
    std::string claim_id;
    std::string key;
    bool is_winner = false;
  };

  // Takes a batch; the result judges each claim in it. Records already folded
  // are ignored. Not thread-safe.
  std::vector<Judgement> Apply(const LogBatch& batch, TimePoint now);

  enum class KeyStatus : uint8_t {
    kFree,
    kRunning,
    kRan,
    kMayHaveRun,
    kTooOld,
    kIssuedInFuture,
  };
  // What is known of a key issued at `issued_at`. Not thread-safe.
  KeyStatus Lookup(const std::string& key, TimePoint issued_at,
                   TimePoint now) const;
  // Keys issued before this are refused. Not thread-safe.
  TimePoint Floor(TimePoint now) const;
  LogOffset next_offset() const { return next_offset_; }
  // False until the stream was read once.
  bool is_read() const { return is_read_; }
  size_t key_count() const { return keys_.size(); }

 private:
  struct KeyEntry {
    std::string claim_id;
    TimePoint issued_at;
    KeyStatus status = KeyStatus::kRunning;
  };

  void ApplyRecord(const LogRecord& record, std::vector<Judgement>& out);
  void ApplyClaim(const Json& item, std::vector<Judgement>& out);
  void ApplyEnd(const Json& item, TimePoint time);
  void Prune(TimePoint now);

  ClaimWindow window_;
  LogOffset next_offset_ = 1;
  bool is_read_ = false;
  // Claims before this time may have expired unread.
  TimePoint unread_before_;
  absl::flat_hash_map<std::string, KeyEntry> keys_;
  std::multimap<TimePoint, std::string> by_issue_;
  // Claims that were given back; a doubled record of one must not revive it.
  std::map<std::string, TimePoint> ended_;
};

}  // namespace applehall

#endif  // APPLEHALL_CLAIMS_CLAIM_FOLD_H_

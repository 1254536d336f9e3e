#ifndef APPLEHALL_NODE_TOPIC_READER_H_
#define APPLEHALL_NODE_TOPIC_READER_H_

#include <optional>

#include "core/log_record.h"
#include "node/freshness_budget.h"

namespace applehall {

// Decides which reads of one topic of the store this host makes, and which
// records, its own or relayed ones, it applies. Performs no I/O.
class TopicReader {
 public:
  // Waits `update_pause` after each read that returned updates. With
  // `has_single_key`, each record replaces the one before it.
  TopicReader(const FreshnessBudget& budget, Duration update_pause,
              bool has_single_key)
      : budget_(budget),
        update_pause_(update_pause),
        has_single_key_(has_single_key) {}

  struct Read {
    bool is_whole = false;  // The newest record of every key.
    LogOffset from = 0;     // Otherwise: the records from this offset on.
    Duration wait{0};       // Time that the store may wait for a record.
  };
  // Returns the read to make now; nothing while another host relays the
  // updates. Not thread-safe.
  std::optional<Read> NextRead(TimePoint now);

  // Handles the newest record of every key, of a topic that ended at `end` at
  // the time `as_of`. Not thread-safe.
  void HandleNewest(LogOffset end, TimePoint as_of);
  // Handles the newest records of some keys; the others could not be read.
  // Updates are followed from `end` on, and all is read again after a pause
  // that doubles each time. Not thread-safe.
  void HandlePartOfNewest(LogOffset end, TimePoint as_of);
  // Handles the answer to a read of updates, which end at `next`. Returns
  // whether they must be applied: relayed ones may be newer meanwhile, and
  // older records would revert servers to an older state. Not thread-safe.
  bool HandleUpdates(LogOffset next, TimePoint as_of);
  // Handles an answer that the store has deleted the records. Not thread-safe.
  void HandleHistoryDeleted() {
    next_.reset();
    resume_at_.reset();
  }
  // Handles a read without a usable answer. Returns the pause before the next.
  // Not thread-safe.
  Duration HandleFailure();
  // Returns the pause after a read that returned updates. Not thread-safe.
  Duration PauseAfterUpdates(TimePoint now) const;

  // Returns whether relayed records from `from` to `next` continue what was
  // applied, and counts them as applied if so. Not thread-safe.
  bool TryApplyRelayed(LogOffset from, LogOffset next);
  // Sets whether this host reads the topic itself. `as_of` is the time up to
  // which it has all records. Not thread-safe.
  void SetPolling(bool is_polling, TimePoint as_of);

  // The end of the applied records; nothing while all are read anew. Not
  // thread-safe.
  const std::optional<LogOffset>& next() const { return next_; }
  // The time at which all is read again; nothing if no record is missing. Not
  // thread-safe.
  const std::optional<TimePoint>& next_whole_read() const {
    return next_whole_read_;
  }

 private:
  Duration TimeUntilRenewal(TimePoint now) const;

  FreshnessBudget budget_;
  Duration update_pause_;
  bool has_single_key_;
  bool is_polling_ = true;
  std::optional<LogOffset> next_;
  TimePoint as_of_;          // All records up to this time were read.
  Duration retry_pause_{0};  // After the last failure; 0: no failure.
  std::optional<TimePoint> next_whole_read_;
  Duration whole_read_pause_{0};
  // `next_` while all is read again.
  std::optional<LogOffset> resume_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_TOPIC_READER_H_

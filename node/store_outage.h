#ifndef APPLEHALL_NODE_STORE_OUTAGE_H_
#define APPLEHALL_NODE_STORE_OUTAGE_H_

#include "core/clock.h"
#include "node/topic_freshness.h"

namespace applehall {

// Tells outages of the store, in which entries of live servers lapse, from
// trouble of this host alone, in which entries vanish because servers left.
// Decides by the calls that this host made and by its own pauses.
class StoreOutage {
 public:
  struct Bounds {
    // Entries of live servers lapse in outages that last this long.
    Duration min_outage;
    // Trouble of this host excuses it for this long after its end.
    Duration contact_time;
  };
  explicit StoreOutage(const Bounds& bounds) : bounds_(bounds) {}

  // Records that the store answered a call, of this host or of one that it
  // follows. Not thread-safe.
  void RecordAnswer() { is_rejecting_ = false; }
  // Records that a call made at `asked_at` got no answer. Not thread-safe.
  void RecordLostCall(TimePoint asked_at);
  // Records that the store rejected a call of this host. Not thread-safe.
  void RecordRejection(TimePoint now);
  // Records that this process stood still until `end`. Not thread-safe.
  void RecordPause(TimePoint end);

  // Returns until when entries that are missing since the last interruption of
  // `topic` may be those of live servers; the epoch if it was never
  // interrupted. Not thread-safe.
  TimePoint LapseEnd(const TopicState& topic) const;
  // Last time at which this host alone may have been in trouble; the epoch if
  // it never was. Not thread-safe.
  TimePoint last_trouble_at() const { return last_trouble_at_; }

 private:
  // Returns how long the store rejected all calls during the last interruption
  // of `topic`.
  Duration RejectionDuring(const TopicState& topic) const;

  Bounds bounds_;
  TimePoint last_trouble_at_;  // A lost call or the end of a pause.
  // First and last of the rejections without an answer, a lost call or a pause
  // between them.
  TimePoint rejected_since_;
  TimePoint rejected_until_;
  bool is_rejecting_ = false;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STORE_OUTAGE_H_

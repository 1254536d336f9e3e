#ifndef APPLEHALL_NODE_TOPIC_FRESHNESS_H_
#define APPLEHALL_NODE_TOPIC_FRESHNESS_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "core/json.h"
#include "core/log_record.h"

namespace applehall {

// The records of a topic that a host has, and how fresh they are.
struct TopicState {
  LogOffset next = 0;  // All records before this offset are known.
  // No other record existed at this time, as shown by an answer of the store
  // about this topic or by the message of a host that received one.
  TimePoint as_of;
  std::string source;  // "store", or the host whose message showed it.
  // Begin and end of the last interruption of the freshness that lasted at
  // least the minimum outage; the epoch: none.
  TimePoint interrupted_at{};
  TimePoint resumed_at{};
};

// Tracks up to which time this host has all records of each topic of the store.
class TopicFreshness {
 public:
  // Records interruptions that last at least `min_outage`.
  explicit TopicFreshness(Duration min_outage) : min_outage_(min_outage) {}

  // Records that this host has all records of `topic` before `next`. Not
  // thread-safe.
  void RecordOffset(const std::string& topic, LogOffset next);
  // Records that `topic` ended at `next` at the time `as_of`. This counts as
  // freshness of this host once it has all records before `next`. Not
  // thread-safe.
  void RecordFreshness(const std::string& topic, LogOffset next,
                       TimePoint as_of, const std::string& source);
  // Removes reports about records that this host does not have yet, on a change
  // of its reader. Offsets and freshness stay. Not thread-safe.
  void RemovePending() { pending_.clear(); }

  bool Contains(const std::string& topic) const {
    return known_.contains(topic);
  }
  // Returns 0 for an unknown topic. Not thread-safe.
  LogOffset NextOffset(const std::string& topic) const;
  // Returns the state of `topic`; null if it is unknown. Valid until the next
  // change. Not thread-safe.
  const TopicState* Find(const std::string& topic) const;
  // Returns the freshness of the stalest topic; the epoch if a topic has none
  // or no topic is known. Not thread-safe.
  TimePoint OldestFreshness() const;
  // Returns false if a reader has reported records that this host lacks. Not
  // thread-safe.
  bool IsCaughtUp() const;
  const std::map<std::string, TopicState>& known() const { return known_; }
  // Returns, by topic, the offset, staleness and its source. Not thread-safe.
  Json ToJson(TimePoint now) const;

 private:
  void Merge(const TopicState& report, TopicState& known) const;

  Duration min_outage_;
  std::map<std::string, TopicState> known_;
  std::map<std::string, TopicState> pending_;  // Ahead of `known_`.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_TOPIC_FRESHNESS_H_

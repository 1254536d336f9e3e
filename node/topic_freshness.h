#ifndef APPLEHALL_NODE_TOPIC_FRESHNESS_H_
#define APPLEHALL_NODE_TOPIC_FRESHNESS_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "core/json.h"
#include "core/log_record.h"

namespace applehall {

// Up to where a topic of the store is known, and as of when that is all of it.
struct TopicState {
  LogOffset next = 0;
  // Proven by an answer about this topic, or by a host that has such a proof.
  TimePoint as_of;
  std::string source;  // "store", or the host whose proof it is.
};

// As of when this host knows each topic of the store.
class TopicFreshness {
 public:
  // This host knows `topic` up to `next`, now or sooner than any claim of it.
  // Not thread-safe.
  void Know(const std::string& topic, LogOffset next);
  // As of `as_of`, all of `topic` stood before `next`. Proves what this host
  // knows once that reaches as far. Not thread-safe.
  void Prove(const std::string& topic, LogOffset next, TimePoint as_of,
             const std::string& source);
  // Another reader is followed; what is known and proven stays. Not
  // thread-safe.
  void ForgetClaims() { claims_.clear(); }

  bool Knows(const std::string& topic) const { return known_.contains(topic); }
  // Nothing known: 0. Not thread-safe.
  LogOffset Next(const std::string& topic) const;
  // Of the topic whose proof is oldest; the epoch if one has none, or nothing
  // is known. Not thread-safe.
  TimePoint OldestFreshness() const;
  // No reader is known to be further. Not thread-safe.
  bool HasCaughtUp() const;
  const std::map<std::string, TopicState>& known() const { return known_; }
  // By topic: offset, age and source of the proof. Not thread-safe.
  Json ToJson(TimePoint now) const;

 private:
  static void Merge(const TopicState& claim, TopicState& known);

  std::map<std::string, TopicState> known_;
  std::map<std::string, TopicState> claims_;  // Beyond what is known.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_TOPIC_FRESHNESS_H_

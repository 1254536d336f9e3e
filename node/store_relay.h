#ifndef APPLEHALL_NODE_STORE_RELAY_H_
#define APPLEHALL_NODE_STORE_RELAY_H_

#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "node/node_context.h"

namespace applehall {

// Lets one host of a data centre read the platform's store for the others, as
// otherwise the calls to the store grow with the number of hosts.
//
// A host that has a reader follows it: it applies the updates that the reader
// relays and makes no reads of its own while each topic is fresh
// (TopicFreshness). If a topic is staler than the budget allows, the host
// reads the store itself. So a reader that crashes, stalls, is partitioned, has
// lost the store or waits for an answer about one topic delays a change by that
// time at most.
//
// Updates are relayed without being decoded; only the platform adapter
// interprets them. A record that differs little from the one before it, such as
// a configuration with one change, is sent as a patch, so that a burst of
// changes does not queue on the reader's link.
class StoreRelay {
 public:
  explicit StoreRelay(NodeContext& context) : context_(context) {}

  // Sets the reader of this data centre. With an empty name, or its own, this
  // host reads the store itself. Not thread-safe.
  void SetReader(const PeerAddress& reader);
  // Sets a host that is followed in addition while the reader's reports, or the
  // own reads of a host without a reader, are stale. Not thread-safe.
  void SetBackup(const PeerAddress& backup) { backup_ = backup; }
  // Sets the holder of the placement lease, which is relayed with the updates.
  // Not thread-safe.
  void SetOwner(const KnownOwner& owner) { owner_ = owner; }
  // Returns the lease holder that is named in `body`, a kStoreUpdates message;
  // an empty one if there is none. Thread-safe.
  static KnownOwner ParseOwner(const Json& body);
  // Handles updates that this host read, or applied after its reader relayed
  // them: relays them to its followers. Not thread-safe.
  void HandleStoreUpdates(const StoreUpdatesRead& updates);
  // Handles a kStoreFollow message of a follower. Not thread-safe.
  void HandleFollow(const std::string& host, const Json& body);
  // Handles a kStoreUpdates message; ignores those of hosts other than the
  // reader and the backup. Not thread-safe.
  void HandleRelayedUpdates(const std::string& host, const Json& body);
  // Removes followers without contact, sends due heartbeats and switches
  // between own reads and relayed updates. Not thread-safe.
  void RunTick();

  bool is_reading_store() const { return is_reading_; }
  Json ToJson() const;

 private:
  // What a follower was sent of one topic.
  struct SentState {
    LogOffset next = 0;  // All records before this offset.
    TimePoint last_sent_at;
  };
  struct Follower {
    std::string address;
    TimePoint last_contact_at;
    TimePoint sent_at;
    int64_t stamp = 0;  // Time of its last message by its own clock.
    std::map<std::string, SentState> sent;  // By topic.
    bool needs_full_records = false;  // It lacks the base record of patches.
  };
  // Updates retained for followers that have not received them.
  struct RetainedUpdates {
    StoreUpdatesRead updates;
    TimePoint retained_at;
    // Patch from the preceding record to `updates.records`; empty if that
    // record is not known or the patch is not considerably shorter.
    std::string patch;
    uint64_t base_hash = 0;  // Of the preceding record.
  };

  const FreshnessBudget& budget() const { return context_.settings.freshness; }
  Duration RelayedStaleness() const {
    return context_.now - RelayedFreshness();
  }
  // Age of the proof of the stalest topic.
  Duration Staleness() const {
    return context_.now - context_.freshness.OldestFreshness();
  }
  // Whether another host relays the updates.
  bool HasReader() const;
  bool IsReaderOrBackup(const std::string& host) const;
  // Returns the freshness, by the reports of the reader and the backup, of the
  // stalest topic that this host knows; the epoch if one was never reported.
  TimePoint RelayedFreshness() const;
  // Returns whether the backup must be followed as well.
  bool NeedsBackup() const;
  RetainedUpdates MakeRetained(const StoreUpdatesRead& updates) const;
  // Adds updates and evicts expired ones. The result is valid until the next
  // call.
  const RetainedUpdates& Retain(RetainedUpdates retained);
  void SendMissing(const std::string& host, Follower& follower);
  // Returns the records of a message, or an error if they do not continue the
  // records of this host; DataLoss if only the base record of a patch is
  // missing.
  absl::StatusOr<std::string> DecodeRecords(const Json& body,
                                            const std::string& topic) const;
  void ApplyRecords(const std::string& host, const Json& body, Duration delay);
  void SendFollow(const PeerAddress& reader);
  void SendUpdates(const std::string& host, Follower& follower,
                   const RetainedUpdates* updates);
  int64_t LastStampFrom(const std::string& reader) const;
  void AddRecords(const RetainedUpdates& entry, Follower& follower, Json& body);
  // Returns false if relayed records have used up their share of the link for
  // now.
  bool TrySpendBytes(size_t bytes);
  void SetReading(bool is_reading);
  void SetFollowingBackup(bool is_following);

  NodeContext& context_;
  PeerAddress reader_;
  PeerAddress backup_;
  KnownOwner owner_;
  TimePoint follow_sent_at_;  // When the last kStoreFollow message was sent.
  std::map<std::string, TimePoint> relayed_freshness_;  // By topic.
  // Time of the last message received from each reader, by the reader's clock.
  std::map<std::string, int64_t> last_stamps_;
  // Token bucket for relayed records, in bytes; negative after a large record.
  double link_tokens_ = 0;
  TimePoint refilled_at_;
  // A patch of an unknown record was received.
  bool needs_full_records_ = false;
  bool is_reading_ = true;
  bool is_following_backup_ = false;
  std::map<std::string, Follower> followers_;
  // Recent updates of each topic, for followers that missed some.
  std::map<std::string, std::deque<RetainedUpdates>> retained_;
  // The last record of each topic: the base of the patch to the next record.
  std::map<std::string, std::string> base_records_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STORE_RELAY_H_

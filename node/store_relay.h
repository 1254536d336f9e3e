#ifndef APPLEHALL_NODE_STORE_RELAY_H_
#define APPLEHALL_NODE_STORE_RELAY_H_

#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "node/node_context.h"

namespace applehall {

// Lets one host of a data centre read the platform's store for the others.
//
// Calls to the store grow with the number of hosts. A host that is told a
// reader follows it: it takes the news the reader passes on and stops its own
// reads as long as it can prove, for each topic, that these are recent
// (TopicFreshness). No proof of what it knows within the budget's trust, and it
// reads for itself again, so a reader that dies, stands still, is cut off,
// has lost the store or waits for an answer about one topic delays a change by
// that time at most.
//
// News are passed on unread: what they mean is the platform's adapter's affair.
// A record that is a variant of the one before it, as a configuration with one
// change is, goes out as a patch, so that a storm of changes does not queue on
// the reader's link.
class StoreRelay {
 public:
  explicit StoreRelay(NodeContext& context) : context_(context) {}

  // Names the reader of this data centre; an empty name, or this host's own,
  // makes it read for itself. Not thread-safe.
  void SetReader(const PeerAddress& reader);
  // One that is followed as well while the reader proves nothing. Not
  // thread-safe.
  void SetBackup(const PeerAddress& backup) { backup_ = backup; }
  // The holder of the lease that is passed on with the news. Not thread-safe.
  void SetOwner(const KnownOwner& owner) { owner_ = owner; }
  // The holder that `body`, of another host's news, names. Thread-safe.
  static KnownOwner OwnerIn(const Json& body);
  // News of the store were read here, or taken over from the reader. Not
  // thread-safe.
  void TakeNews(const StoreUpdatesRead& news);
  // Another host follows this one. Not thread-safe.
  void TakeFollow(const std::string& host, const Json& body);
  // What the reader passes on. Not thread-safe.
  void TakeRelayed(const std::string& host, const Json& body);
  // Not thread-safe.
  void RunTick();

  bool is_reading_store() const { return is_reading_; }
  Json ToJson() const;

 private:
  // Up to where a follower was told a topic.
  struct Told {
    LogOffset next = 0;
    TimePoint at;  // When the last news of it were sent.
  };
  struct Follower {
    std::string address;
    TimePoint heard_at;
    TimePoint sent_at;
    int64_t stamp = 0;  // Of its last message, by its own clock.
    std::map<std::string, Told> told;
    bool needs_whole = false;  // The record that patches are of is not there.
  };
  // News that followers may still lack.
  struct Remembered {
    StoreUpdatesRead news;
    TimePoint at;
    // What makes the records out of the record before them; empty: no such
    // record is known, or the records are hardly longer.
    std::string patch;
    uint64_t base_hash = 0;  // Of the record before them.
  };

  const FreshnessBudget& budget() const { return context_.settings.news; }
  Duration ProofAge() const { return context_.now - RelayedAsOf(); }
  bool IsFollowing() const;
  bool IsSource(const std::string& host) const;
  // As of when the readers have what this host knows; the epoch if they prove
  // nothing of some topic.
  TimePoint RelayedAsOf() const;
  // Proof is due from the backup as well.
  bool IsInDoubt() const;
  Remembered WithPatch(const StoreUpdatesRead& news) const;
  // The result is valid until the next call.
  const Remembered& Keep(Remembered remembered);
  void SendMissed(const std::string& host, Follower& follower);
  // The records of a message, or why they do not continue what is known here;
  // DataLoss if only the record that they are a patch of is missing.
  absl::StatusOr<std::string> RecordsIn(const Json& body,
                                        const std::string& topic) const;
  void TakeRecords(const std::string& host, const Json& body, Duration delay);
  void SendFollow(const PeerAddress& reader);
  void SendNews(const std::string& host, Follower& follower,
                const Remembered* news);
  int64_t SeenOf(const std::string& reader) const;
  void AddRecords(const Remembered& news, Follower& follower, Json& body);
  // False if records have had their share of the link for now.
  bool TakeRoom(size_t bytes);
  void SetReading(bool is_reading);

  NodeContext& context_;
  PeerAddress reader_;
  PeerAddress backup_;
  KnownOwner owner_;
  TimePoint followed_at_;  // Last message to the reader.
  std::map<std::string, TimePoint> relayed_as_of_;  // By topic.
  // When each reader sent its last message that came, by its own clock.
  std::map<std::string, int64_t> seen_;
  double room_ = 0;  // In bytes; below zero: overdrawn.
  TimePoint room_at_;
  bool needs_whole_ = false;  // A patch of an unknown record came.
  bool is_reading_ = true;
  std::map<std::string, Follower> followers_;
  // The latest news of each topic, for followers that missed some.
  std::map<std::string, std::deque<Remembered>> remembered_;
  // The last record of each topic, of which the next is likely a variant.
  std::map<std::string, std::string> bases_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STORE_RELAY_H_

#ifndef APPLEHALL_NODE_PLACEMENT_LEASE_H_
#define APPLEHALL_NODE_PLACEMENT_LEASE_H_

#include <optional>
#include <string>

#include "node/node_context.h"
#include "node/store_relay.h"

namespace applehall {

// Tracks the placement lease as this host sees it, and claims, confirms and
// releases it.
//
// The lease is a record in the platform's store. The offset of the newest
// record is the fencing token, and a conditional append decides which host
// holds the lease. Heartbeats of the holder only decide when another host may
// claim it. Where engines do not check tokens, the timeouts here keep the
// orders of two holders apart; docs/design/ownership.md has the argument.
class PlacementLease {
 public:
  explicit PlacementLease(NodeContext& context) : context_(context) {}

  enum class Change : uint8_t { kNone, kGained, kLost };

  // Applies the store's answer to a read. kGained: this host holds the lease
  // under a new token. kLost: it no longer holds the lease, or not under the
  // token it had. Not thread-safe.
  Change HandleRead(const LeaseRead& event);
  // Ends the append under way, whether it succeeded or not. Not thread-safe.
  void HandleAppendEnded();
  // Records a message from the holder of `token`. Not thread-safe.
  void RecordHeartbeat(const PeerAddress& host, FencingToken token);
  // Records the holder that another host reported. This is no heartbeat, but
  // tells a host without access to the store where to send its reports. Not
  // thread-safe.
  void RecordOwner(const KnownOwner& owner);
  // Returns the newest holder known here, which may be this host. Not
  // thread-safe.
  KnownOwner NewestOwner() const;
  // Records that the holder under `token` sends no more orders. Not
  // thread-safe.
  void HandleResignation(FencingToken token);
  // Records the time of the first listing of backend servers. Not
  // thread-safe.
  void RecordFirstListing() { first_listed_at_ = context_.now; }
  // Blocks orders until the lease has been read again; called when an engine
  // reports a newer token than the held one. Not thread-safe.
  void RequireReread();

  // Detects that this process was paused. Requires: called once per tick. Not
  // thread-safe.
  void DetectPause();
  // Reads or claims the lease when due. `can_place`: backend servers are
  // listed, so that owning placement is of use. Not thread-safe.
  void ReadOrClaim(bool can_place);
  // Appends a record that releases the held lease.
  // Requires: no order awaits its answer. Not thread-safe.
  void Release();
  // Gives up the held lease without writing to the store. Requires: no order
  // awaits its answer, and none is sent under this token again. Not
  // thread-safe.
  void Resign();

  // Whether this host holds the lease and plans. Not thread-safe.
  bool is_held() const { return is_held_; }
  // Whether orders may be sent now. Not thread-safe.
  bool MayOrder() const;
  // Time by which an order must have arrived at its engine; nullopt where
  // engines check tokens. Not thread-safe.
  std::optional<TimePoint> OrderArrivalDeadline() const;
  // True if this host holds the lease, engines do not check tokens, and the
  // store has not confirmed the lease for too long. Not thread-safe.
  bool IsUnconfirmed() const;
  bool is_appending() const { return is_appending_; }
  FencingToken token() const { return token_; }
  // Address that this host reports to; empty if the holder is unknown or is
  // this host. Not thread-safe.
  PeerAddress Owner() const;
  // Whether the holder was in contact within `duration`. Not thread-safe.
  bool HadContactWithin(Duration duration) const {
    return context_.now - last_contact_at_ <= duration;
  }
  Json ToJson() const;

 private:
  bool IsMine() const;
  // Whether an earlier process of this host wrote the newest record.
  bool IsOfEarlierProcess() const;
  // The record of this process that Append() writes next.
  LeaseRecord OwnRecord(bool is_released) const;
  // Whether the holder of the newest record known here sends no more orders
  // once `successor` follows it.
  bool HasHolderEnded(const LeaseRecord& successor) const;
  // How long the orders of a holder that is superseded may still arrive.
  Duration PredecessorWait() const;
  // When the orders of all holders before `next` have arrived or expired.
  // Requires: `next` is newer than the newest record known here.
  TimePoint PredecessorsEndAt(const LeaseRead& next) const;
  void RecordPredecessorsEnded();
  void TryClaim(bool can_place);
  Duration ClaimStagger() const;
  void RecordDeposition();
  // From when on this host may claim after it lost or gave up the lease.
  TimePoint ClaimableAt() const;
  void Append(bool is_released);

  NodeContext& context_;
  bool has_read_ = false;
  std::optional<LeaseRecord> record_;
  FencingToken token_ = 0;
  LogOffset log_end_ = 0;
  TimePoint answered_at_;   // When the last answer arrived.
  TimePoint confirmed_at_;  // When the read that it answers was sent.
  TimePoint
      read_sent_at_;  // When the last read was sent; epoch: a read is due.
  TimePoint record_seen_at_;  // When the current record was first read.
  TimePoint first_listed_at_;
  TimePoint last_contact_at_;  // Last contact with the holder.
  // Holder reported by hosts before its record could be read here.
  PeerAddress reported_owner_;
  FencingToken reported_token_ = 0;
  FencingToken resigned_token_ = 0;  // Its holder sends no more orders.
  TimePoint resigned_at_;            // When this host resigned.
  TimePoint deposed_at_;             // When another host superseded this one.
  int depositions_ = 0;              // Each soon after the one before.
  TimePoint append_sent_at_;
  bool is_appending_ = false;
  bool is_held_ = false;
  bool needs_reread_ = false;  // No orders until the lease has been read again.
  TimePoint reread_since_;  // Answers to reads sent before this do not count.
  // When the orders of all holders before the newest record have arrived or
  // expired.
  TimePoint predecessors_end_at_;
  TimePoint predecessors_ended_sent_at_;  // When that was last recorded.
  TimePoint last_tick_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_PLACEMENT_LEASE_H_

#ifndef APPLEHALL_NODE_PLACEMENT_LEASE_H_
#define APPLEHALL_NODE_PLACEMENT_LEASE_H_

#include <optional>
#include <string>

#include "node/node_context.h"
#include "node/store_relay.h"

namespace applehall {

// This host's view of the lease on placement, and its attempts at it.
//
// The lease is a record of the platform's store; the offset of the newest one
// is the fencing token, and a conditional append decides who holds it. Signs of
// life of the holder only decide when another host may try. Where engines check
// no tokens, the times here are what keeps two holders apart; the argument is
// in docs/design/ownership.md.
class PlacementLease {
 public:
  explicit PlacementLease(NodeContext& context) : context_(context) {}

  enum class Change : uint8_t { kNone, kGained, kLost };

  // What the store says. kGained: this host holds the lease under a new token.
  // kLost: it does not, or not under the token it had. Not thread-safe.
  Change TakeRead(const LeaseRead& event);
  void TakeAppendEnd();
  // The holder, or a newer one, has spoken. Not thread-safe.
  void NoteSignOfLife(const PeerAddress& host, FencingToken token);
  // Another host knows of this holder. It is no sign of life, but a host that
  // the store refuses learns whom to report to. Not thread-safe.
  void RecordOwner(const KnownOwner& owner);
  // The newest holder this host knows of, itself included. Not thread-safe.
  KnownOwner NewestOwner() const;
  // The holder under `token` orders nothing more. Not thread-safe.
  void TakeResignation(FencingToken token);
  // Backend servers are listed for the first time. Not thread-safe.
  void NoteListed() { listed_at_ = context_.now; }
  // An engine has seen a newer token than the held one. Not thread-safe.
  void Doubt();

  // Notices that this process stood still. Call it once a tick. Not
  // thread-safe.
  void WatchClock();
  // Reads or claims the lease where that is due; `can_place` if there is
  // something to place. Not thread-safe.
  void Drive(bool can_place);
  // Writes that this host, which held the lease, does not any more.
  // Requires: no order awaits its answer. Not thread-safe.
  void Release();
  // Gives up the held lease without the store. Requires: no order awaits its
  // answer, and none is sent under this token again. Not thread-safe.
  void Resign();

  // This host holds the lease and plans. Not thread-safe.
  bool is_held() const { return is_held_; }
  bool MayOrder() const;
  // When the last order must have arrived; nothing where engines check tokens.
  // Not thread-safe.
  std::optional<TimePoint> OrdersArriveBy() const;
  // The lease is held, could not be proven for long, and another host might.
  // Not thread-safe.
  bool IsUnproven() const;
  bool is_appending() const { return is_appending_; }
  FencingToken token() const { return token_; }
  // Whom this host reports to; nobody if it is unknown or this host.
  PeerAddress Owner() const;
  bool HeardWithin(Duration duration) const {
    return context_.now - heard_at_ <= duration;
  }
  Json ToJson() const;

 private:
  bool IsMine() const;
  void TryClaim(bool can_place);
  Duration ClaimStagger() const;
  void Append(bool is_released);

  NodeContext& context_;
  bool is_known_ = false;
  std::optional<LeaseRecord> record_;
  FencingToken token_ = 0;
  LogOffset end_ = 0;
  TimePoint read_at_;   // Last answer.
  TimePoint asked_of_;  // The question to that answer.
  TimePoint asked_at_;  // Last question; epoch: one is due.
  TimePoint since_;     // When this record was first seen.
  TimePoint listed_at_;
  TimePoint heard_at_;  // Last sign of life of the holder.
  // A holder that spoke before its record could be read here.
  PeerAddress told_owner_;
  FencingToken told_token_ = 0;
  FencingToken resigned_token_ = 0;  // Its holder orders nothing more.
  TimePoint resigned_at_;            // When this host did.
  TimePoint claimed_at_;
  bool is_appending_ = false;
  bool is_held_ = false;
  bool is_unsure_ = false;  // Time passed unseen; read the lease first.
  TimePoint unsure_since_;  // An answer to an older question does not help.
  TimePoint orders_from_;
  TimePoint last_tick_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_PLACEMENT_LEASE_H_

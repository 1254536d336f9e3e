#include "node/placement_lease.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/hash.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The owner is presumed dead after two lost heartbeats and a margin for the
// third. No model is loaded until another host takes over; a premature takeover
// costs no more than that.
constexpr Duration kOwnerTimeout = milliseconds(1300);
// How often the holder reads its lease to detect that it was superseded.
constexpr Duration kLeaseCheckInterval = seconds(1);
// Where engines do not check fencing tokens, a lease stays valid for this long
// after the read that confirmed it was sent. The holder's last order must have
// arrived by then, not only have been sent.
constexpr Duration kLeaseValidity = milliseconds(2500);
// A new holder waits for longer than that, to allow for hosts with late timers.
constexpr Duration kMinPredecessorWait = kLeaseValidity + milliseconds(500);
// A holder hands over if the store has not confirmed its lease for this long:
// one check and its retry have failed. Shorter than the validity, so that the
// last orders are answered before it ends.
constexpr Duration kMaxUnconfirmedAge = milliseconds(1500);
constexpr Duration kAppendTimeout = milliseconds(1500);
constexpr Duration kReadRetryInterval = milliseconds(300);
// Spreads the claims of hosts that detect the owner's failure together.
constexpr Duration kClaimStaggerStep = milliseconds(10);
constexpr uint64_t kClaimStaggerSteps = 8;
// Longest extra delay of a claim, for a host with no processor share. The owner
// plans for all hosts, so hosts with a larger share of a core claim earlier.
constexpr Duration kMaxCapacityDelay = milliseconds(400);
// Ticks come every kTickInterval. A longer gap than this means that the process
// or its machine was paused, and another host may have taken over meanwhile.
constexpr Duration kMaxTickGap = milliseconds(700);
// A host that is superseded again within this time waits longer before it
// claims: it and its successor do not reach each other.
constexpr Duration kDepositionMemory = seconds(60);
constexpr int kMaxPauseDoublings = 3;
// Longer than a check of the lease, which shows whether the record was
// appended.
constexpr Duration kPredecessorsEndedRetryInterval = seconds(2);

}  // namespace

bool PlacementLease::IsMine() const {
  return has_read_ && record_ && !record_->is_released &&
         record_->holder == context_.settings.self;
}

bool PlacementLease::IsOfEarlierProcess() const {
  return record_ && record_->holder != context_.settings.self &&
         record_->SharesAddressWith(OwnRecord(/*is_released=*/false));
}

LeaseRecord PlacementLease::OwnRecord(bool is_released) const {
  return {context_.settings.self, context_.settings.peer_address, is_released};
}

bool PlacementLease::MayOrder() const {
  if (!is_held_ || needs_reread_ || context_.is_draining) return false;
  if (context_.now < predecessors_end_at_) return false;
  const std::optional<TimePoint> arrive_by = OrderArrivalDeadline();
  return !arrive_by || context_.now < *arrive_by;
}

std::optional<TimePoint> PlacementLease::OrderArrivalDeadline() const {
  if (context_.settings.engines_check_fences) return std::nullopt;
  return confirmed_at_ + kLeaseValidity;
}

bool PlacementLease::IsUnconfirmed() const {
  return is_held_ && !context_.settings.engines_check_fences &&
         context_.now - confirmed_at_ > kMaxUnconfirmedAge;
}

PeerAddress PlacementLease::Owner() const {
  if (is_held_) return {};
  if (reported_token_ > token_) return reported_owner_;
  if (!record_ || record_->is_released ||
      record_->holder.host == context_.settings.self.host) {
    return {};
  }
  return {record_->holder.host, record_->peer_address};
}

// After a pause this host's state is stale: another host may have taken the
// lease. Blocks orders until the lease has been read again.
void PlacementLease::DetectPause() {
  const bool was_paused =
      last_tick_ != TimePoint{} && context_.now - last_tick_ > kMaxTickGap;
  if (was_paused) {
    needs_reread_ = true;
    reread_since_ = context_.now;
    read_sent_at_ = TimePoint{};
    last_contact_at_ = context_.now;
    context_.store_outage.RecordPause(context_.now);
    LogEvent(LogLevel::kWarning, "stood_still")
        .With("gap_ms", ToMillis(context_.now - last_tick_));
  }
  last_tick_ = context_.now;
}

void PlacementLease::RequireReread() {
  needs_reread_ = true;
  reread_since_ = context_.now;
}

void PlacementLease::RecordOwner(const KnownOwner& owner) {
  if (owner.peer.host.empty() || owner.token <= token_) return;
  if (owner.token < reported_token_) return;
  // Reads the record of the newer holder. Until the store is reachable, the
  // reported address is enough to send reports to it.
  const Duration min_interval = owner.token > reported_token_
                                    ? kReadRetryInterval
                                    : Duration{kLeaseCheckInterval};
  if (context_.now - read_sent_at_ > min_interval) read_sent_at_ = TimePoint{};
  if (owner.peer.host == context_.settings.self.host) return;
  reported_owner_ = owner.peer;
  reported_token_ = owner.token;
}

KnownOwner PlacementLease::NewestOwner() const {
  if (is_held_) {
    return {{context_.settings.self.host, context_.settings.peer_address},
            token_};
  }
  const PeerAddress owner = Owner();
  if (owner.host.empty()) return {};
  return {owner, std::max(token_, reported_token_)};
}

void PlacementLease::RecordHeartbeat(const PeerAddress& host,
                                     FencingToken token) {
  RecordOwner({host, token});
  if (Owner().host == host.host) last_contact_at_ = context_.now;
}

void PlacementLease::HandleResignation(FencingToken token) {
  if (token < token_) return;
  resigned_token_ = std::max(resigned_token_, token);
  LogEvent(LogLevel::kInfo, "lease_resigned").With("token", token);
}

PlacementLease::Change PlacementLease::HandleRead(const LeaseRead& event) {
  if (!event.is_answered) return Change::kNone;
  if (event.requested_at < confirmed_at_)
    return Change::kNone;  // Out of order.
  answered_at_ = context_.now;
  // An answer may have been buffered in a socket while this host was paused or
  // partitioned, and another host may have taken the lease since. The record
  // is therefore confirmed only as of the time the read was sent, not of the
  // time its answer was handled.
  confirmed_at_ = event.requested_at;
  if (event.requested_at >= reread_since_) needs_reread_ = false;
  log_end_ = event.end;
  const bool is_changed = !has_read_ || event.token != token_;
  if (!is_changed) {
    const bool have_ended =
        record_ && event.record && event.record->have_predecessors_ended;
    if (have_ended) {
      record_->have_predecessors_ended = true;
      predecessors_end_at_ = std::min(predecessors_end_at_, context_.now);
    }
    return Change::kNone;
  }
  predecessors_end_at_ = PredecessorsEndAt(event);
  has_read_ = true;
  record_ = event.record;
  token_ = event.token;
  record_seen_at_ = context_.now;
  last_contact_at_ = context_.now;
  const bool have_ended = record_ && record_->have_predecessors_ended;
  LogEvent(LogLevel::kInfo, "lease_read")
      .With("holder", record_ ? record_->holder.host : "")
      .With("token", token_)
      .With("released", record_ && record_->is_released ? "yes" : "no")
      .With("predecessors_ended", have_ended ? "yes" : "no");
  const bool was_held = std::exchange(is_held_, false);
  if (was_held) RecordDeposition();
  if (!IsMine() || context_.is_draining) {
    return was_held ? Change::kLost : Change::kNone;
  }
  is_held_ = true;
  const Duration wait =
      std::max<Duration>(Duration{0}, predecessors_end_at_ - context_.now);
  LogEvent(LogLevel::kInfo, "lease_held")
      .With("token", token_)
      .With("orders_in_ms", ToMillis(wait));
  return Change::kGained;
}

bool PlacementLease::HasHolderEnded(const LeaseRecord& successor) const {
  if (!record_ || record_->is_released || resigned_token_ == token_) {
    return true;
  }
  // An earlier process of a host is dead, as its port is free, and its
  // connections were reset, so none of its orders is in flight. After a power
  // cut of all hosts the former owner claims first; waiting for its own orders
  // would delay the first loads by 3 s.
  return record_->SharesAddressWith(successor);
}

Duration PlacementLease::PredecessorWait() const {
  const Duration order_lease = context_.settings.order_lease;
  if (context_.settings.engines_check_fences) return order_lease;
  return std::max<Duration>(order_lease, kMinPredecessorWait);
}

// All holders before a record had their last confirming read answered before
// the record was appended. A wait from the first read of a record therefore
// covers all of them, however they followed each other and whatever is known of
// the last one (docs/design/ownership.md).
TimePoint PlacementLease::PredecessorsEndAt(const LeaseRead& next) const {
  const bool was_never_claimed = next.end == 0;
  if (was_never_claimed) return context_.now;
  const TimePoint latest = context_.now + PredecessorWait();
  if (!next.record) return latest;
  if (next.record->have_predecessors_ended) return context_.now;
  // This host's own record was appended on condition that the record known here
  // was the newest.
  const bool follows_directly =
      has_read_ && (next.record->holder == context_.settings.self ||
                    next.token == token_ + 1);
  if (!follows_directly || !HasHolderEnded(*next.record)) return latest;
  return predecessors_end_at_;
}

// Without this record, a process that starts anew cannot tell a holder of long
// standing from one whose wait had not ended.
void PlacementLease::RecordPredecessorsEnded() {
  const bool is_due = is_held_ && !record_->have_predecessors_ended &&
                      context_.now >= predecessors_end_at_ &&
                      context_.now - predecessors_ended_sent_at_ >=
                          kPredecessorsEndedRetryInterval;
  if (!is_due) return;
  predecessors_ended_sent_at_ = context_.now;
  LogEvent(LogLevel::kInfo, "lease_predecessors_ended").With("token", token_);
  context_.Emit(AppendPredecessorsEnded{context_.settings.self.host, token_});
}

void PlacementLease::RecordDeposition() {
  const bool is_repeated = deposed_at_ != TimePoint{} &&
                           context_.now - deposed_at_ <= kDepositionMemory;
  depositions_ = is_repeated ? depositions_ + 1 : 1;
  deposed_at_ = context_.now;
  LogEvent(LogLevel::kWarning, "lease_lost")
      .With("token", token_)
      .With("claims_in_ms", ToMillis(ClaimableAt() - context_.now));
}

// Reclaiming early would let orders of two holders reach engines in turns. The
// successor may be alive though nothing of it arrives here: each further turn
// waits longer.
TimePoint PlacementLease::ClaimableAt() const {
  const Duration pause =
      std::max(PredecessorWait(), context_.settings.contact_time);
  const int doublings = std::clamp(depositions_ - 1, 0, kMaxPauseDoublings);
  TimePoint claimable_at = resigned_at_ + pause;
  if (deposed_at_ != TimePoint{}) {
    claimable_at =
        std::max(claimable_at, deposed_at_ + pause * (1 << doublings));
  }
  return claimable_at;
}

void PlacementLease::HandleAppendEnded() {
  is_appending_ = false;
  // The next read of the record shows whether the append succeeded.
  read_sent_at_ = TimePoint{};
}

Duration PlacementLease::ClaimStagger() const {
  const uint64_t rank =
      StableHash(absl::StrCat(context_.settings.self.host, "|", token_)) %
      kClaimStaggerSteps;
  const double missing_share =
      1.0 - std::clamp(context_.settings.cpu_share, 0.0, 1.0);
  return kClaimStaggerStep * static_cast<int64_t>(rank) +
         FromSeconds(ToSeconds(kMaxCapacityDelay) * missing_share);
}

void PlacementLease::ReadOrClaim(bool can_place) {
  RecordPredecessorsEnded();
  if (is_appending_ && context_.now - append_sent_at_ > kAppendTimeout) {
    is_appending_ = false;
    read_sent_at_ = TimePoint{};
  }
  const bool is_read_pending =
      read_sent_at_ > confirmed_at_ &&
      context_.now - read_sent_at_ < kReadRetryInterval;
  if (is_appending_ || is_read_pending) return;
  const bool must_read =
      !has_read_ || needs_reread_ ||
      (is_held_ && context_.now - read_sent_at_ > kLeaseCheckInterval) ||
      read_sent_at_ == TimePoint{};
  if (must_read) {
    read_sent_at_ = context_.now;
    context_.Emit(ReadLease{context_.now});
    return;
  }
  // Without its port this host cannot know that its earlier incarnation, whose
  // lease it would take over at once, is dead.
  const bool may_claim = context_.accepts_links && !context_.is_draining;
  if (!is_held_ && may_claim) TryClaim(can_place);
}

void PlacementLease::TryClaim(bool can_place) {
  if (context_.now < ClaimableAt()) return;
  const bool is_resigned = record_ && resigned_token_ == token_;
  const bool is_free =
      !record_ || record_->is_released || IsOfEarlierProcess() || is_resigned;
  // All hosts receive the first listing at about the same time; without it in
  // this bound, the first host to see one would claim, however small its
  // processor share. A host that was partitioned has had no contact with anyone
  // and first waits for heartbeats: claims after each partition stopped all
  // loads for the two seconds of a takeover.
  const TimePoint last_contact =
      std::max({last_contact_at_, record_seen_at_, first_listed_at_,
                context_.log_recovered_at});
  const Duration timeout = is_free ? Duration{0} : kOwnerTimeout;
  if (context_.now - last_contact < timeout + ClaimStagger()) return;
  if (context_.now - answered_at_ > kReadRetryInterval) {
    // The state may be stale: claim only on a record that was just read. It
    // also shows a host that may not claim who else has.
    read_sent_at_ = TimePoint{};
    return;
  }
  if (!can_place) return;  // Another host may know servers to plan for.
  LogEvent(LogLevel::kInfo, "lease_claim")
      .With("previous_token", token_)
      .With("resigned", is_resigned ? "yes" : "no")
      .With("reason", is_free ? "free" : "no contact")
      .With("no_contact_ms", ToMillis(context_.now - last_contact))
      .With("depositions", depositions_);
  Append(/*is_released=*/false);
}

void PlacementLease::Release() {
  LogEvent(LogLevel::kInfo, "lease_release").With("token", token_);
  is_held_ = false;
  Append(/*is_released=*/true);
}

void PlacementLease::Resign() {
  LogEvent(LogLevel::kWarning, "lease_given_up")
      .With("token", token_)
      .With("proven_ms_ago", ToMillis(context_.now - confirmed_at_));
  is_held_ = false;
  resigned_token_ = token_;
  resigned_at_ = context_.now;
}

void PlacementLease::Append(bool is_released) {
  is_appending_ = true;
  append_sent_at_ = context_.now;
  LeaseRecord record = OwnRecord(is_released);
  record.have_predecessors_ended =
      context_.now >= predecessors_end_at_ && HasHolderEnded(record);
  context_.Emit(AppendLease{std::move(record), log_end_});
}

Json PlacementLease::ToJson() const {
  return Json{
      {"holder", record_ ? record_->holder.host : ""},
      {"token", token_},
      {"is_holder", is_held_},
      {"may_order", MayOrder()},
      {"read_ms_ago", ToMillis(context_.now - answered_at_)},
      {"proven_ms_ago", ToMillis(context_.now - confirmed_at_)},
      {"sign_of_life_ms_ago", ToMillis(context_.now - last_contact_at_)},
      {"owner", Owner().host}};
}

}  // namespace applehall

#include "node/placement_lease.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/hash.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two beats lost in a row, and some time for the third: the owner counts as
// gone. Nothing is loaded meanwhile; a claim too early costs no more than that.
constexpr Duration kOwnerSilence = milliseconds(1300);
// The holder reads its lease this often, to learn that it was superseded.
constexpr Duration kLeaseCheck = seconds(1);
// A lease that stood at one moment is not taken over by another holder's orders
// for this long, where engines do not check fences: a new holder waits out the
// order lease, 3 s, from when it has read its own record, which stands after
// that moment. The half second between is for hosts whose timers are late. The
// last order must have arrived by then, not only have been sent.
constexpr Duration kLeaseTrust = milliseconds(2500);
// A holder that could not prove its lease for this long hands over: one check
// was missed and its repetition too. Before the end of the trust, so that the
// last orders are answered by then.
constexpr Duration kUnproven = milliseconds(1500);
constexpr Duration kLeaseTimeout = milliseconds(1500);
constexpr Duration kLeaseRetry = milliseconds(300);
// Hosts that see the same silence claim one after the other.
constexpr Duration kClaimStep = milliseconds(10);
constexpr uint64_t kClaimSteps = 8;
// The owner plans for all; a host with a larger share of a core claims earlier.
constexpr Duration kClaimByCapacity = milliseconds(400);
// Ticks come every kTickInterval; a gap like this means that the process or
// its machine stood still, and others may have taken over meanwhile.
constexpr Duration kStandstill = milliseconds(700);

}  // namespace

bool PlacementLease::IsMine() const {
  return is_known_ && record_ && !record_->is_released &&
         record_->holder == context_.settings.self;
}

bool PlacementLease::MayOrder() const {
  if (!is_held_ || is_unsure_ || context_.is_draining) return false;
  if (context_.now < orders_from_) return false;
  const std::optional<TimePoint> arrive_by = OrdersArriveBy();
  return !arrive_by || context_.now < *arrive_by;
}

std::optional<TimePoint> PlacementLease::OrdersArriveBy() const {
  if (context_.settings.engines_check_fences) return std::nullopt;
  return asked_of_ + kLeaseTrust;
}

bool PlacementLease::IsUnproven() const {
  return is_held_ && !context_.settings.engines_check_fences &&
         context_.now - asked_of_ > kUnproven;
}

PeerAddress PlacementLease::Owner() const {
  if (is_held_) return {};
  if (told_token_ > token_) return told_owner_;
  if (!record_ || record_->is_released ||
      record_->holder.host == context_.settings.self.host) {
    return {};
  }
  return {record_->holder.host, record_->peer_address};
}

// A process that stood still believes what was true before: another host may
// hold the lease since. Nothing is ordered until the lease was read again.
void PlacementLease::WatchClock() {
  const bool stood_still =
      last_tick_ != TimePoint{} && context_.now - last_tick_ > kStandstill;
  if (stood_still) {
    is_unsure_ = true;
    unsure_since_ = context_.now;
    asked_at_ = TimePoint{};
    heard_at_ = context_.now;
    LogEvent(LogLevel::kWarning, "stood_still")
        .With("gap_ms", ToMillis(context_.now - last_tick_));
  }
  last_tick_ = context_.now;
}

void PlacementLease::Doubt() {
  is_unsure_ = true;
  unsure_since_ = context_.now;
}

void PlacementLease::RecordOwner(const KnownOwner& owner) {
  if (owner.peer.host.empty() || owner.token <= token_) return;
  if (owner.token < told_token_) return;
  // There is a newer holder: read who. Until the store can be reached, what is
  // said of it is enough to report to it.
  const Duration pause =
      owner.token > told_token_ ? kLeaseRetry : Duration{kLeaseCheck};
  if (context_.now - asked_at_ > pause) asked_at_ = TimePoint{};
  if (owner.peer.host == context_.settings.self.host) return;
  told_owner_ = owner.peer;
  told_token_ = owner.token;
}

KnownOwner PlacementLease::NewestOwner() const {
  if (is_held_) {
    return {{context_.settings.self.host, context_.settings.peer_address},
            token_};
  }
  const PeerAddress owner = Owner();
  if (owner.host.empty()) return {};
  return {owner, std::max(token_, told_token_)};
}

void PlacementLease::NoteSignOfLife(const PeerAddress& host,
                                    FencingToken token) {
  RecordOwner({host, token});
  if (Owner().host == host.host) heard_at_ = context_.now;
}

void PlacementLease::TakeResignation(FencingToken token) {
  if (token < token_) return;
  resigned_token_ = std::max(resigned_token_, token);
  LogEvent(LogLevel::kInfo, "lease_resigned").With("token", token);
}

PlacementLease::Change PlacementLease::TakeRead(const LeaseRead& event) {
  if (!event.is_answered) return Change::kNone;
  if (event.asked_at < asked_of_) return Change::kNone;  // Crossed by a later.
  read_at_ = context_.now;
  // Guards against an answer that lay in a socket while this host stood still
  // or was cut off: another host may hold the lease since. The record stood
  // when it was asked for; when the answer was taken in proves nothing.
  asked_of_ = event.asked_at;
  if (event.asked_at >= unsure_since_) is_unsure_ = false;
  end_ = event.end;
  const bool is_changed = !is_known_ || event.token != token_;
  is_known_ = true;
  if (!is_changed) return Change::kNone;
  // An earlier process of this host is dead, and its connections were closed by
  // resets. After a power cut of all hosts the former owner claims first; the
  // wait for itself kept loads from beginning for 3 s more.
  const bool had_other_holder =
      record_.has_value() && !record_->is_released &&
      record_->holder.host != context_.settings.self.host &&
      resigned_token_ != token_;
  record_ = event.record;
  token_ = event.token;
  since_ = context_.now;
  heard_at_ = context_.now;
  LogEvent(LogLevel::kInfo, "lease_read")
      .With("holder", record_ ? record_->holder.host : "")
      .With("token", token_)
      .With("released", record_ && record_->is_released ? "yes" : "no");
  const bool was_held = std::exchange(is_held_, false);
  if (was_held)
    LogEvent(LogLevel::kWarning, "lease_lost").With("token", token_);
  if (!IsMine() || context_.is_draining) {
    return was_held ? Change::kLost : Change::kNone;
  }
  // Orders of the holder before may still be on their way, and it may not
  // know yet that it was superseded; one that has resigned has none.
  orders_from_ = had_other_holder ? context_.now + context_.settings.order_lease
                                  : context_.now;
  is_held_ = true;
  LogEvent(LogLevel::kInfo, "lease_held")
      .With("token", token_)
      .With("orders_in_ms", ToMillis(orders_from_ - context_.now));
  return Change::kGained;
}

void PlacementLease::TakeAppendEnd() {
  is_appending_ = false;
  // Whatever came of it, the record says.
  asked_at_ = TimePoint{};
}

Duration PlacementLease::ClaimStagger() const {
  const uint64_t rank =
      StableHash(absl::StrCat(context_.settings.self.host, "|", token_)) %
      kClaimSteps;
  const double missing =
      1.0 - std::clamp(context_.settings.cpu_share, 0.0, 1.0);
  return kClaimStep * static_cast<int64_t>(rank) +
         FromSeconds(ToSeconds(kClaimByCapacity) * missing);
}

void PlacementLease::Drive(bool can_place) {
  if (is_appending_ && context_.now - claimed_at_ > kLeaseTimeout) {
    is_appending_ = false;
    asked_at_ = TimePoint{};
  }
  const bool is_waiting =
      asked_at_ > asked_of_ && context_.now - asked_at_ < kLeaseRetry;
  if (is_appending_ || is_waiting) return;
  const bool must_read = !is_known_ || is_unsure_ ||
                         (is_held_ && context_.now - asked_at_ > kLeaseCheck) ||
                         asked_at_ == TimePoint{};
  if (must_read) {
    asked_at_ = context_.now;
    context_.Emit(ReadLease{context_.now});
    return;
  }
  if (!is_held_ && !context_.is_draining) TryClaim(can_place);
}

void PlacementLease::TryClaim(bool can_place) {
  // Engines would see holders by turns.
  if (context_.now - resigned_at_ < context_.settings.order_lease) return;
  const bool is_own_earlier_life =
      record_ && record_->holder.host == context_.settings.self.host &&
      record_->holder != context_.settings.self;
  const bool is_resigned = record_ && resigned_token_ == token_;
  const bool is_free =
      !record_ || record_->is_released || is_own_earlier_life || is_resigned;
  // Listings come to all hosts at about the same time; counted from the lease
  // alone, whoever saw the first one claimed, with however little processor.
  // A host that was cut off has heard nobody for reasons of its own; it listens
  // first. Claims at the end of each cut stopped all loads for the two seconds
  // of a takeover.
  const TimePoint heard =
      std::max({heard_at_, since_, listed_at_, context_.log_recovered_at});
  const Duration silence = is_free ? Duration{0} : kOwnerSilence;
  if (context_.now - heard < silence + ClaimStagger()) return;
  if (!can_place) return;  // Nothing to place; let another host do it.
  if (context_.now - read_at_ > kLeaseRetry) {
    // What is known may be old; claim only on what was just read.
    asked_at_ = TimePoint{};
    return;
  }
  LogEvent(LogLevel::kInfo, "lease_claim")
      .With("previous_token", token_)
      .With("resigned", is_resigned ? "yes" : "no")
      .With("silent_ms", ToMillis(context_.now - heard));
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
      .With("proven_ms_ago", ToMillis(context_.now - asked_of_));
  is_held_ = false;
  resigned_token_ = token_;
  resigned_at_ = context_.now;
}

void PlacementLease::Append(bool is_released) {
  is_appending_ = true;
  claimed_at_ = context_.now;
  context_.Emit(AppendLease{
      {context_.settings.self, context_.settings.peer_address, is_released},
      end_});
}

Json PlacementLease::ToJson() const {
  return Json{{"holder", record_ ? record_->holder.host : ""},
              {"token", token_},
              {"is_holder", is_held_},
              {"may_order", MayOrder()},
              {"read_ms_ago", ToMillis(context_.now - read_at_)},
              {"proven_ms_ago", ToMillis(context_.now - asked_of_)},
              {"sign_of_life_ms_ago", ToMillis(context_.now - heard_at_)},
              {"owner", Owner().host}};
}

}  // namespace applehall

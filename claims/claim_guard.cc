#include "claims/claim_guard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/uuid.h"

namespace applehall {

ClaimGuard::ClaimGuard(Incarnation self, ClaimSettings settings)
    : self_(std::move(self)), settings_(settings), fold_(settings.window) {}

// Two hosts with equal ids would both treat one winning claim as their own, so
// ids consist of the process's identity and a counter, not of random numbers.
std::string ClaimGuard::NextId(char kind) {
  return absl::StrCat(self_.host, ".", self_.number, ".", std::string(1, kind),
                      ++id_count_);
}

ClaimGuard::BeginResult ClaimGuard::Begin(RequestHandle handle,
                                          const std::string& key,
                                          TimePoint now) {
  const std::optional<TimePoint> issued = Uuid7Time(key);
  if (!issued) return BeginResult::kKeyMalformed;
  if (!fold_.is_read()) return BeginResult::kNotReady;
  switch (fold_.Lookup(key, *issued, now)) {
    case ClaimFold::KeyStatus::kFree:
      break;
    case ClaimFold::KeyStatus::kTooOld:
      return BeginResult::kKeyTooOld;
    case ClaimFold::KeyStatus::kIssuedInFuture:
      return BeginResult::kKeyInFuture;
    default:
      return BeginResult::kDuplicate;
  }
  PendingClaim pending;
  pending.handle = handle;
  pending.claim = {key, NextId('c'), self_.host, *issued};
  claim_ids_[handle] = pending.claim.claim_id;
  pending_claims_[pending.claim.claim_id] = std::move(pending);
  if (!oldest_unwritten_) oldest_unwritten_ = now;
  return BeginResult::kPending;
}

void ClaimGuard::Abandon(RequestHandle handle, TimePoint now) {
  const auto it = claim_ids_.find(handle);
  if (it == claim_ids_.end()) return;
  PendingClaim& pending = pending_claims_.at(it->second);
  pending.handle = 0;
  const bool was_sent = pending.is_written;
  const bool is_granted = pending.is_granted;
  const ClaimEnd end{pending.claim.key, pending.claim.claim_id,
                     Verdict::kNotRun};
  claim_ids_.erase(it);
  // A claim in flight may still win; it is released in any case, so that the
  // caller may use the key again.
  if (was_sent || is_granted) {
    unsent_ends_.push_back(end);
    if (!oldest_unwritten_) oldest_unwritten_ = now;
  }
  pending_claims_.erase(end.claim_id);
}

void ClaimGuard::End(RequestHandle handle, Verdict verdict, TimePoint now) {
  const auto it = claim_ids_.find(handle);
  if (it == claim_ids_.end()) return;
  const auto pending = pending_claims_.find(it->second);
  unsent_ends_.push_back(
      {pending->second.claim.key, pending->second.claim.claim_id, verdict});
  if (!oldest_unwritten_) oldest_unwritten_ = now;
  pending_claims_.erase(pending);
  claim_ids_.erase(it);
}

void ClaimGuard::ApplyOutcome(const ClaimFold::Outcome& outcome,
                              TimePoint now) {
  const auto it = pending_claims_.find(outcome.claim_id);
  if (it == pending_claims_.end()) return;
  PendingClaim& pending = it->second;
  // A duplicate record repeats the outcome; a request is granted only once.
  if (pending.is_granted) return;
  if (outcome.is_winner) {
    pending.is_granted = true;
    granted_.push_back(pending.handle);
    return;
  }
  refused_.push_back(
      {pending.handle,
       fold_.Lookup(pending.claim.key, pending.claim.issued_at, now)});
  claim_ids_.erase(pending.handle);
  pending_claims_.erase(it);
}

void ClaimGuard::Apply(const LogBatch& batch, TimePoint now) {
  for (const ClaimFold::Outcome& outcome : fold_.Apply(batch, now)) {
    ApplyOutcome(outcome, now);
  }
  if (batch_id_.empty()) return;
  // Reading the host's record back completes the append, answered or not.
  const std::string needle = Json(batch_id_).dump();
  const bool is_read_back = std::any_of(
      batch.records.begin(), batch.records.end(), [&](const LogRecord& record) {
        return record.payload.find(needle) != std::string::npos;
      });
  if (!is_read_back) return;
  batch_id_.clear();
  sent_ends_.clear();
}

void ClaimGuard::HandleAppendFailure(const std::string& record_id,
                                     TimePoint now) {
  if (record_id != batch_id_ || batch_id_.empty()) return;
  batch_id_.clear();
  unsent_ends_.insert(unsent_ends_.begin(), sent_ends_.begin(),
                      sent_ends_.end());
  sent_ends_.clear();
  // Claims without an outcome are written again under the same claim ids.
  // `is_written` stays set, as the first copy may have reached the log.
  if (!oldest_unwritten_) oldest_unwritten_ = now;
}

std::optional<Json> ClaimGuard::NextRecord(TimePoint now) {
  if (!batch_id_.empty()) {
    if (now < batch_sent_at_ + settings_.append_timeout) return std::nullopt;
    HandleAppendFailure(std::string(batch_id_), now);
  }
  if (!oldest_unwritten_ || now < *oldest_unwritten_ + settings_.linger) {
    return std::nullopt;
  }
  std::vector<Claim> claims;
  bool is_more_left = false;
  for (auto& [claim_id, pending] : pending_claims_) {
    if (pending.is_granted) continue;
    if (claims.size() >= settings_.max_batch_size) {
      is_more_left = true;
      break;
    }
    pending.is_written = true;
    claims.push_back(pending.claim);
  }
  oldest_unwritten_.reset();
  if (is_more_left) oldest_unwritten_ = now;
  if (claims.empty() && unsent_ends_.empty()) return std::nullopt;
  sent_ends_ = std::exchange(unsent_ends_, {});
  batch_id_ = NextId('b');
  batch_sent_at_ = now;
  return ClaimsRecord(batch_id_, claims, sent_ends_);
}

std::vector<RequestHandle> ClaimGuard::TakeGranted() {
  return std::exchange(granted_, {});
}

std::vector<ClaimGuard::ClaimResult> ClaimGuard::TakeRefused() {
  return std::exchange(refused_, {});
}

std::optional<TimePoint> ClaimGuard::NextDue() const {
  if (!batch_id_.empty()) return batch_sent_at_ + settings_.append_timeout;
  if (!oldest_unwritten_) return std::nullopt;
  return *oldest_unwritten_ + settings_.linger;
}

Json ClaimGuard::ToJson() const {
  return Json{{"claims_under_way", pending_claims_.size()},
              {"keys_known", fold_.key_count()},
              {"next_offset", fold_.next_offset()},
              {"stream_read", fold_.is_read()},
              {"append_under_way", !batch_id_.empty()}};
}

}  // namespace applehall

#include "claims/claim_guard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/uuid.h"

namespace applehall {

ClaimGuard::ClaimGuard(Incarnation self, ClaimSettings settings)
    : self_(std::move(self)), settings_(settings), fold_(settings.window) {}

// Two hosts whose ids met would both take one winning claim for their own, so
// ids are counted under the process's name, never drawn at random.
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
  Wish wish;
  wish.handle = handle;
  wish.claim = {key, NextId('c'), self_.host, *issued};
  claim_of_[handle] = wish.claim.claim_id;
  wishes_[wish.claim.claim_id] = std::move(wish);
  if (!oldest_unwritten_) oldest_unwritten_ = now;
  return BeginResult::kPending;
}

void ClaimGuard::Abandon(RequestHandle handle, TimePoint now) {
  const auto it = claim_of_.find(handle);
  if (it == claim_of_.end()) return;
  Wish& wish = wishes_.at(it->second);
  wish.handle = 0;
  const bool was_sent = wish.is_written;
  const bool is_granted = wish.is_granted;
  const ClaimEnd end{wish.claim.key, wish.claim.claim_id, Verdict::kNotRun};
  claim_of_.erase(it);
  // A claim on its way may still win; it is given back either way, so that
  // the caller may try the key again.
  if (was_sent || is_granted) {
    ends_.push_back(end);
    if (!oldest_unwritten_) oldest_unwritten_ = now;
  }
  wishes_.erase(end.claim_id);
}

void ClaimGuard::End(RequestHandle handle, Verdict verdict, TimePoint now) {
  const auto it = claim_of_.find(handle);
  if (it == claim_of_.end()) return;
  const auto wish = wishes_.find(it->second);
  ends_.push_back(
      {wish->second.claim.key, wish->second.claim.claim_id, verdict});
  if (!oldest_unwritten_) oldest_unwritten_ = now;
  wishes_.erase(wish);
  claim_of_.erase(it);
}

void ClaimGuard::Judge(const ClaimFold::Judgement& judgement, TimePoint now) {
  const auto it = wishes_.find(judgement.claim_id);
  if (it == wishes_.end()) return;
  Wish& wish = it->second;
  // A doubled record judges the same claim again; a request is granted once.
  if (wish.is_granted) return;
  if (judgement.is_winner) {
    wish.is_granted = true;
    granted_.push_back(wish.handle);
    return;
  }
  refused_.push_back(
      {wish.handle, fold_.Lookup(wish.claim.key, wish.claim.issued_at, now)});
  claim_of_.erase(wish.handle);
  wishes_.erase(it);
}

void ClaimGuard::Apply(const LogBatch& batch, TimePoint now) {
  for (const ClaimFold::Judgement& judgement : fold_.Apply(batch, now)) {
    Judge(judgement, now);
  }
  if (batch_id_.empty()) return;
  // Reading our own record back settles the append, answered or not.
  const std::string needle = Json(batch_id_).dump();
  const bool is_back = std::any_of(
      batch.records.begin(), batch.records.end(), [&](const LogRecord& record) {
        return record.payload.find(needle) != std::string::npos;
      });
  if (!is_back) return;
  batch_id_.clear();
  ends_sent_.clear();
}

void ClaimGuard::HandleAppendFailure(const std::string& record_id,
                                     TimePoint now) {
  if (record_id != batch_id_ || batch_id_.empty()) return;
  batch_id_.clear();
  ends_.insert(ends_.begin(), ends_sent_.begin(), ends_sent_.end());
  ends_sent_.clear();
  // Claims without a judgement are written again under the same claim ids.
  // `is_written` stays set where the first copy may have arrived.
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
  for (auto& [claim_id, wish] : wishes_) {
    if (wish.is_granted) continue;
    if (claims.size() >= settings_.most_in_batch) {
      is_more_left = true;
      break;
    }
    wish.is_written = true;
    claims.push_back(wish.claim);
  }
  oldest_unwritten_.reset();
  if (is_more_left) oldest_unwritten_ = now;
  if (claims.empty() && ends_.empty()) return std::nullopt;
  ends_sent_ = std::exchange(ends_, {});
  batch_id_ = NextId('b');
  batch_sent_at_ = now;
  return ClaimsRecord(batch_id_, claims, ends_sent_);
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
  return Json{{"claims_under_way", wishes_.size()},
              {"keys_known", fold_.key_count()},
              {"next_offset", fold_.next_offset()},
              {"stream_read", fold_.is_read()},
              {"append_under_way", !batch_id_.empty()}};
}

}  // namespace applehall

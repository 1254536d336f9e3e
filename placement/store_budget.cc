#include "placement/store_budget.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

constexpr double kMostSaved = 2.0;
constexpr Duration kSlotLoan = std::chrono::seconds(20);
// An owner lends only after it has not loaded for this long.
constexpr Duration kIdleBeforeLending = std::chrono::seconds(3);

}  // namespace

StoreBudget::StoreBudget(double rate, double slots, TimePoint now)
    : rate_(rate), slot_share_(slots), saved_(1.0), refilled_at_(now) {}

void StoreBudget::SetShare(double rate, double slots) {
  rate_ = rate;
  slot_share_ = slots;
}

double StoreBudget::available_loads(TimePoint now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - refilled_at_));
  return std::min(kMostSaved, saved_ + rate_ * elapsed);
}

void StoreBudget::Refill(TimePoint now) {
  saved_ = available_loads(now);
  refilled_at_ = std::max(refilled_at_, now);
  const auto is_over = [now](const auto& loan) { return loan.second <= now; };
  std::erase_if(lent_slots_, is_over);
  std::erase_if(borrowed_slots_, is_over);
  std::erase_if(accepted_, is_over);
}

double StoreBudget::slots(TimePoint now) const {
  double total = std::max(1.0, slot_share_);
  for (const auto& [id, expires] : borrowed_slots_) total += expires > now;
  for (const auto& [id, expires] : lent_slots_) total -= expires > now;
  return std::max(0.0, total);
}

bool StoreBudget::TryBegin(TimePoint now) {
  Refill(now);
  if (saved_ < 1.0 || in_use_ + 1 > std::floor(slots(now) + 1e-9)) return false;
  saved_ -= 1.0;
  ++in_use_;
  last_use_ = now;
  return true;
}

void StoreBudget::End() { in_use_ = std::max(0, in_use_ - 1); }

std::optional<StoreGrant> StoreBudget::Lend(const std::string& id,
                                            TimePoint now) {
  Refill(now);
  if (in_use_ > 0 || now - last_use_ < kIdleBeforeLending) return std::nullopt;
  StoreGrant grant;
  grant.id = id;
  grant.expires = now + kSlotLoan;
  if (saved_ >= 1.0) {
    grant.loads = 1.0;
    saved_ -= 1.0;
  }
  if (slots(now) >= 1.0) {
    grant.slots = 1;
    lent_slots_[id] = grant.expires;
  }
  if (grant.loads == 0 && grant.slots == 0) return std::nullopt;
  return grant;
}

void StoreBudget::Accept(const StoreGrant& grant, TimePoint now) {
  Refill(now);
  // A doubled grant message must not count twice.
  if (grant.expires <= now) return;
  if (!accepted_.emplace(grant.id, grant.expires).second) return;
  saved_ = std::min(kMostSaved, saved_ + grant.loads);
  if (grant.slots > 0) borrowed_slots_[grant.id] = grant.expires;
}

Duration StoreBudget::WaitFor(TimePoint now) const {
  const double missing = 1.0 - available_loads(now);
  if (missing <= 0 || rate_ <= 0) return Duration{0};
  return FromSeconds(missing / rate_);
}

}  // namespace applehall

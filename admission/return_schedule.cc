#include "admission/return_schedule.h"

#include <algorithm>
#include <limits>

namespace applehall {
namespace {

// A shorter time without waiting requests does not end a backlog: queues are
// empty for a moment also at full engines.
constexpr Duration kMaxBacklogPause = std::chrono::milliseconds(500);

}  // namespace

void ReturnSchedule::RecordServed(TimePoint now) {
  const int64_t bucket = BucketAt(now);
  const int64_t oldest = bucket - static_cast<int64_t>(kBuckets);
  for (int64_t i = std::max(last_bucket_, oldest) + 1; i <= bucket; ++i) {
    served_[i % kBuckets] = 0;
  }
  last_bucket_ = bucket;
  uint16_t& count = served_[bucket % kBuckets];
  if (count < std::numeric_limits<uint16_t>::max()) ++count;
}

void ReturnSchedule::RecordBacklog(TimePoint now) {
  if (now - backlog_at_ > kMaxBacklogPause) backlog_since_ = now;
  backlog_at_ = now;
}

double ReturnSchedule::ServedRate(TimePoint now) const {
  const int64_t bucket = BucketAt(now);
  const int64_t first = bucket - static_cast<int64_t>(kBuckets) + 1;
  int served = 0;
  for (int64_t i = first; i <= std::min(bucket, last_bucket_); ++i) {
    if (i > last_bucket_ - static_cast<int64_t>(kBuckets)) {
      served += served_[i % kBuckets];
    }
  }
  return served / ToSeconds(now.time_since_epoch() - first * kBucket);
}

double ReturnSchedule::Rate(double nominal, TimePoint now) const {
  const double served = ServedRate(now);
  const bool shows_capacity = now - backlog_since_ >= kRateWindow;
  return shows_capacity && served > 0 ? served : std::max(served, nominal);
}

TimePoint ReturnSchedule::FindCapacity(const Capacity& capacity,
                                       TimePoint first, TimePoint now) const {
  const auto begin =
      std::upper_bound(retries_.begin(), retries_.end(), now,
                       [](TimePoint at, const Retry& r) { return at < r.due; });
  const auto pending = static_cast<size_t>(retries_.end() - begin);
  // When the request at this place of the order can be served at the earliest.
  const auto served_at = [&](size_t place) {
    return capacity.begins +
           FromSeconds(static_cast<double>(capacity.waiting + place + 1) /
                       capacity.rate);
  };
  // Retries from `place` on can be served one place later and still in time.
  size_t place = pending;
  while (place > 0 && served_at(place) <= begin[place - 1].due) --place;
  for (; place < pending; ++place) {
    TimePoint at = std::max(first, served_at(place));
    if (place > 0) at = std::max(at, begin[place - 1].due);
    if (at < begin[place].due) return at;
  }
  const TimePoint at = std::max(first, served_at(pending));
  return pending > 0 ? std::max(at, retries_.back().due) : at;
}

TimePoint ReturnSchedule::FindReturn(const Capacity& capacity, double draw,
                                     TimePoint now) const {
  const TimePoint first = FindCapacity(capacity, capacity.begins, now);
  const Duration spread = FromSeconds(ToSeconds(first - now) * kSpread * draw);
  return FindCapacity(capacity, first + spread, now);
}

void ReturnSchedule::Add(TimePoint due, uint64_t fingerprint, TimePoint now) {
  std::erase_if(retries_, [now](const Retry& retry) {
    return retry.due + kLateTolerance < now;
  });
  const auto after =
      std::upper_bound(retries_.begin(), retries_.end(), due,
                       [](TimePoint at, const Retry& r) { return at < r.due; });
  retries_.insert(after, {due, fingerprint});
}

bool ReturnSchedule::TakeReturn(uint64_t fingerprint, TimePoint now) {
  if (fingerprint == 0) return false;
  const auto it =
      std::find_if(retries_.begin(), retries_.end(), [&](const Retry& retry) {
        return retry.fingerprint == fingerprint &&
               retry.due + kLateTolerance >= now;
      });
  if (it == retries_.end()) return false;
  const bool is_punctual = it->due - kEarlyTolerance <= now;
  retries_.erase(it);
  return is_punctual;
}

size_t ReturnSchedule::Pending(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(retries_.begin(), retries_.end(),
                    [now](const Retry& retry) { return retry.due > now; }));
}

}  // namespace applehall

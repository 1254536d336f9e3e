#ifndef APPLEHALL_ADMISSION_RETURN_SCHEDULE_H_
#define APPLEHALL_ADMISSION_RETURN_SCHEDULE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace applehall {

// Schedules the retries of requests that one host refused for one target, so
// that no more callers return than there will be capacity for.
class ReturnSchedule {
 public:
  // Requests served are counted over this time: several times the duration of a
  // typical request, and short enough to follow a change of capacity.
  static constexpr Duration kRateWindow = std::chrono::seconds(2);
  // A retry up to this much before its time counts as punctual: Retry-After is
  // rounded to milliseconds, and hosts run timers every 25 ms.
  static constexpr Duration kEarlyTolerance = std::chrono::milliseconds(50);
  // A retry is recognized up to this long after its time, which covers the way
  // of the refusal, a new connection and the way of the retry.
  static constexpr Duration kLateTolerance = std::chrono::seconds(1);
  // Retry-After exceeds the time of the next free capacity by up to this share:
  // callers refused by several hosts at the same moment must not return
  // together.
  static constexpr double kSpread = 0.25;

  // What a target can serve from `begins` on, apart from scheduled retries.
  struct Capacity {
    TimePoint begins;
    size_t waiting = 0;  // Requests that are served first.
    double rate = 0;     // Requests per second.
  };

  // Counts one request that was served. Not thread-safe, as all below.
  void RecordServed(TimePoint now);
  // Records that requests wait because all servers are full.
  void RecordBacklog(TimePoint now);
  // Returns the requests served per second over the last kRateWindow.
  double ServedRate(TimePoint now) const;
  // Returns the requests that can be served per second; zero: unknown.
  // `nominal` is the estimate from the slots of the servers. It counts as long
  // as requests have waited for less than kRateWindow, since the rate served
  // before shows the demand only, and while nothing was served.
  double Rate(double nominal, TimePoint now) const;

  // Returns when there is capacity for one more request that does not delay the
  // retries scheduled already, spread by `draw`, which is uniform from 0 to 1.
  // Requires: the rate is positive and `begins` is not in the past.
  TimePoint FindReturn(const Capacity& capacity, double draw,
                       TimePoint now) const;
  // Schedules a retry of the request with this fingerprint; zero: unknown.
  void Add(TimePoint due, uint64_t fingerprint, TimePoint now);
  // Returns whether a request is a retry that returns at its time, and removes
  // that retry. One that returns too early is removed as well, but does not
  // count: its capacity is not there yet.
  bool TakeReturn(uint64_t fingerprint, TimePoint now);
  // Returns the number of scheduled retries that are not due yet.
  size_t Pending(TimePoint now) const;

 private:
  static constexpr size_t kBuckets = 8;
  static constexpr Duration kBucket = kRateWindow / kBuckets;

  struct Retry {
    TimePoint due;
    uint64_t fingerprint = 0;
  };

  static int64_t BucketAt(TimePoint now) {
    return now.time_since_epoch() / kBucket;
  }
  // The earliest time from `first` on at which there is capacity.
  TimePoint FindCapacity(const Capacity& capacity, TimePoint first,
                         TimePoint now) const;

  std::array<uint16_t, kBuckets> served_{};  // By bucket, modulo their number.
  int64_t last_bucket_ = 0;
  TimePoint backlog_since_;
  TimePoint backlog_at_;
  std::vector<Retry> retries_;  // Ascending by time.
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_RETURN_SCHEDULE_H_

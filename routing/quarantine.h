#ifndef APPLEHALL_ROUTING_QUARANTINE_H_
#define APPLEHALL_ROUTING_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// After this time servers may have been fixed and the request is tried again;
// one that still ends servers costs three servers an hour.
inline constexpr Duration kQuarantineTtl = std::chrono::minutes(60);

// Fingerprints of request contents that are not sent to any server until a
// given time.
class Quarantine {
 public:
  // Returns true if the fingerprint was not held, or only for a shorter time.
  // When the table is full, the entry that expires first is removed. Not
  // thread-safe.
  bool Add(uint64_t fingerprint, TimePoint until);
  void Remove(uint64_t fingerprint) { until_.erase(fingerprint); }
  // Removes and returns the expired fingerprints. Not thread-safe.
  std::vector<uint64_t> TakeEnded(TimePoint now);

  bool Holds(uint64_t fingerprint, TimePoint now) const {
    return Until(fingerprint) > now;
  }
  // Returns the epoch if the fingerprint is not held.
  TimePoint Until(uint64_t fingerprint) const;
  const std::map<uint64_t, TimePoint>& entries() const { return until_; }
  // Rows of fingerprint and expiry time; malformed rows are skipped.
  // Thread-safe.
  Json ToJson() const;
  static Quarantine FromJson(const Json& json);

 private:
  std::map<uint64_t, TimePoint> until_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_QUARANTINE_H_

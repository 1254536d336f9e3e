#ifndef APPLEHALL_ROUTING_QUARANTINE_H_
#define APPLEHALL_ROUTING_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// After it a request gets another chance, for which servers may have been
// mended; one that still ends them costs three servers an hour.
inline constexpr Duration kQuarantineTtl = std::chrono::minutes(60);

// Contents of requests that are sent to no server until a given time.
class Quarantine {
 public:
  // True if `fingerprint` was not held, or not for that long. When there is no
  // room the entry that ends first goes. Not thread-safe.
  bool Add(uint64_t fingerprint, TimePoint until);
  void Remove(uint64_t fingerprint) { until_.erase(fingerprint); }
  // Removes and returns those whose time has come. Not thread-safe.
  std::vector<uint64_t> TakeEnded(TimePoint now);

  bool Holds(uint64_t fingerprint, TimePoint now) const {
    return Until(fingerprint) > now;
  }
  // The epoch if it is not held.
  TimePoint Until(uint64_t fingerprint) const;
  const std::map<uint64_t, TimePoint>& entries() const { return until_; }
  // Rows of a fingerprint and a time; malformed ones are left out. Thread-safe.
  Json ToJson() const;
  static Quarantine FromJson(const Json& json);

 private:
  std::map<uint64_t, TimePoint> until_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_QUARANTINE_H_

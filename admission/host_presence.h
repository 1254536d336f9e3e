#ifndef APPLEHALL_ADMISSION_HOST_PRESENCE_H_
#define APPLEHALL_ADMISSION_HOST_PRESENCE_H_

#include <map>
#include <string>

#include "core/clock.h"

namespace applehall {

// A host goes by its own part when the owner's word is older: twice the longest
// interval of the owner's plans.
inline constexpr Duration kOwnerContactTtl = std::chrono::milliseconds(1000);
// As many as a host assumes that was never told. Of a fleet that lost all its
// hosts at one moment each host keeps to one part of so many, or what was at
// its bound gets it anew.
inline constexpr int kDefaultHostCount = 100;

// Which hosts may be using their part of a bound that is shared by all hosts
// without the owner's word: those that fell silent, and those that the owner
// before this one knew and that have not been heard here yet.
class HostPresence {
 public:
  // `expected_hosts`: as many as the owner before told of; zero: unknown.
  explicit HostPresence(int expected_hosts) : expected_hosts_(expected_hosts) {}

  // Not thread-safe, as all below.
  void Start(TimePoint now);
  void Note(const std::string& host, TimePoint now);
  // Drops hosts that have said nothing for so long that they have no callers.
  void Expire(TimePoint now);

  bool Knows(const std::string& host) const { return heard_at_.contains(host); }
  bool IsSilent(const std::string& host, TimePoint now) const;
  // Expected, not heard yet, and not given up.
  int Missing(TimePoint now) const;
  int Silent(TimePoint now) const;
  // Heard or missing.
  int Known(TimePoint now) const {
    return static_cast<int>(heard_at_.size()) + Missing(now);
  }
  TimePoint began_at() const { return began_at_; }

 private:
  int expected_hosts_;
  TimePoint began_at_;
  std::map<std::string, TimePoint> heard_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_HOST_PRESENCE_H_

#ifndef APPLEHALL_ADMISSION_HOST_PRESENCE_H_
#define APPLEHALL_ADMISSION_HOST_PRESENCE_H_

#include <map>
#include <string>

#include "core/clock.h"

namespace applehall {

// Maximum age of the owner's shares before a host falls back to its own part:
// twice the longest interval between the owner's plans.
inline constexpr Duration kOwnerContactTtl = std::chrono::milliseconds(1000);
// Fleet size that a host assumes before it has received one. If all hosts of a
// fleet restart at once, each limits itself to one part of this many; otherwise
// a team or server at its bound would get the bound a second time.
inline constexpr int kDefaultHostCount = 100;

// Tracks which hosts may be using their part of a shared bound without contact
// to the owner: hosts that have become unreachable, and hosts that the previous
// owner knew and that have not contacted this one yet.
class HostPresence {
 public:
  // `expected_hosts` is the host count that the previous owner announced; zero
  // if unknown.
  explicit HostPresence(int expected_hosts) : expected_hosts_(expected_hosts) {}

  // Not thread-safe, as all below.
  void Start(TimePoint now);
  void RecordContact(const std::string& host, TimePoint now);
  // Removes hosts that have been out of contact for so long that they have no
  // callers left.
  void Expire(TimePoint now);

  bool Contains(const std::string& host) const {
    return last_contact_.contains(host);
  }
  bool IsUnreachable(const std::string& host, TimePoint now) const;
  // Number of expected hosts that have not made contact and have not expired.
  int CountMissing(TimePoint now) const;
  int CountUnreachable(TimePoint now) const;
  // Number of hosts with contact plus missing ones.
  int CountKnown(TimePoint now) const {
    return static_cast<int>(last_contact_.size()) + CountMissing(now);
  }
  TimePoint started_at() const { return started_at_; }

 private:
  int expected_hosts_;
  TimePoint started_at_;
  std::map<std::string, TimePoint> last_contact_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_HOST_PRESENCE_H_

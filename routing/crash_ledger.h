#ifndef APPLEHALL_ROUTING_CRASH_LEDGER_H_
#define APPLEHALL_ROUTING_CRASH_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// A request that is repeated more rarely ends a server now and then, as other
// faults do.
inline constexpr Duration kSuspicionTtl = std::chrono::minutes(10);

// A backend server ended with a request under way.
struct ServerEnd {
  uint64_t fingerprint = 0;  // Of the request's content.
  std::string server;
  // The answer had come for long by then, so that the request had less to do
  // with the end than one that had just begun.
  bool is_late = false;
  TimePoint at;
};

// Finds the request that ends the servers that run it among all that were under
// way when servers ended.
//
// It is the one that was there each time: others are new each time, or get a
// whole answer somewhere in between, which clears them. Servers end for other
// reasons as well, so one or two ends prove nothing.
class CrashLedger {
 public:
  enum class Finding : uint8_t { kNothing, kSuspect, kProven };

  // What is known of `end.fingerprint` with this end, which several hosts may
  // have seen. Not thread-safe.
  Finding Record(const ServerEnd& end, TimePoint now);
  // A server ran it to its end. Not thread-safe.
  void Clear(uint64_t fingerprint) { suspects_.erase(fingerprint); }
  // It was proven, here or elsewhere: the servers that ended under it speak
  // against no other request any more. Not thread-safe.
  void MarkProven(uint64_t fingerprint, TimePoint now);
  // Whether more than one server ended under it. Not thread-safe.
  bool IsSuspect(uint64_t fingerprint) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::vector<ServerEnd> ends;
    TimePoint last_at;
  };

  static bool IsSame(const ServerEnd& a, const ServerEnd& b);
  static void AddEnd(const ServerEnd& end, std::vector<ServerEnd>& ends);
  bool IsExplained(const ServerEnd& end) const;
  void MakeRoom(TimePoint now);

  std::map<uint64_t, Suspect> suspects_;
  std::deque<ServerEnd> explained_;  // The oldest first.
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_CRASH_LEDGER_H_

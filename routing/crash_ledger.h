#ifndef APPLEHALL_ROUTING_CRASH_LEDGER_H_
#define APPLEHALL_ROUTING_CRASH_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// Ends further apart than this are not attributed to the same request: servers
// also end now and then from other faults.
inline constexpr Duration kSuspicionTtl = std::chrono::minutes(10);

// One end (crash) of a backend server while a request was under way.
struct ServerEnd {
  uint64_t fingerprint = 0;  // Of the request's content.
  std::string server;
  // The request had been answering for long by then, so it is less likely to be
  // the cause than one that had just begun.
  bool is_late = false;
  TimePoint at;
};

// Finds the poison request among all that were under way when servers ended.
//
// The poison request is present at every end; other requests differ each time
// or are answered in full in between, which clears them. Servers also end for
// other reasons, so one or two ends prove nothing.
class CrashLedger {
 public:
  enum class Finding : uint8_t { kNothing, kSuspect, kProven };

  // Records an end, which several hosts may have seen, and returns what is
  // known about `end.fingerprint`. Not thread-safe.
  Finding Record(const ServerEnd& end, TimePoint now);
  // Clears a request that a server has run to completion. Not thread-safe.
  void Clear(uint64_t fingerprint) { suspects_.erase(fingerprint); }
  // Records that a request was proven to be the cause, here or at another host:
  // ends that it explains no longer count against other requests. Not
  // thread-safe.
  void MarkProven(uint64_t fingerprint, TimePoint now);
  // Returns whether more than one end is recorded for the request. Not
  // thread-safe.
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
  void Evict(TimePoint now);

  std::map<uint64_t, Suspect> suspects_;
  std::deque<ServerEnd> explained_;  // Oldest first.
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_CRASH_LEDGER_H_

#ifndef APPLEHALL_MEMBERSHIP_VERSION_HISTORY_H_
#define APPLEHALL_MEMBERSHIP_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// Where a stream began. It may continue only at servers of the same service and
// software version.
struct StreamOrigin {
  std::string service;
  std::string version;

  bool operator==(const StreamOrigin&) const = default;
};

// Longer than any caller waits for a stream, so that one which is resumed began
// within this time.
inline constexpr Duration kMaxStreamAge = std::chrono::seconds(60);

// The software versions of each service that were listed within kMaxStreamAge,
// as far as this host knows.
//
// Guarantees that two hosts cannot disagree about a service with one version:
// new streams begin at a version only `settle_time` after it was first listed
// beside others, and a host relies on a listing only up to `max_listing_age`,
// which is less.
class VersionHistory {
 public:
  // `is_first_start`: no stream began before this host did. Requires:
  // `max_listing_age` is positive.
  VersionHistory(Duration max_listing_age, bool is_first_start)
      : max_listing_age_(max_listing_age),
        settle_time_(max_listing_age + kSettleMargin),
        is_first_start_(is_first_start) {}

  // ---- Commands. Not thread-safe. ----

  // Records that one more server of a version is listed, or one less.
  void Add(const std::string& service, const std::string& version,
           TimePoint now);
  void Remove(const std::string& service, const std::string& version,
              TimePoint now);
  // Records that a listing was applied. `is_contiguous` is false if versions
  // may have come and gone unseen since the one before.
  void RecordListing(bool is_contiguous, TimePoint now);
  // Records that a part of a listing was applied; versions that are not in it
  // may be listed as well.
  void RecordPartialListing(TimePoint now);
  // Merges the history of the placement owner.
  void MergeRows(const Json& rows, TimePoint now);
  // Adds versions of the time before this host's first listing. Requires: no
  // other version was listed within kMaxStreamAge before it.
  void Restore(const std::vector<StreamOrigin>& versions, TimePoint now);

  // ---- Queries. Not thread-safe. ----

  // Returns the only version at which streams of `service` may have begun;
  // nothing if there may be another. `listing_age` is that of this host.
  std::optional<std::string> SettledVersion(const std::string& service,
                                            Duration listing_age,
                                            TimePoint now) const;
  // Returns the only version of `service` that this host has seen lately;
  // nothing if it has seen several or none, or if it may have missed one since
  // its first listing. One that left before that may have begun streams.
  std::optional<std::string> OnlySeenVersion(const std::string& service,
                                             Duration listing_age,
                                             TimePoint now) const;
  bool IsSettled(const std::string& service, Duration listing_age,
                 TimePoint now) const {
    return SettledVersion(service, listing_age, now).has_value();
  }
  // Returns for how long all versions have been known; zero before the first
  // listing.
  Duration KnownFor(TimePoint now) const {
    return known_since_ == TimePoint{} ? Duration{0} : now - known_since_;
  }
  // Returns from when new streams may begin at a version.
  TimePoint StreamsFrom(const std::string& service,
                        const std::string& version) const;
  // Returns all versions that were listed within kMaxStreamAge.
  std::vector<StreamOrigin> RecentVersions(TimePoint now) const;
  // Returns the history for other hosts. `listing_age` is that of this host.
  Json ToRows(Duration listing_age, TimePoint now) const;
  Json ToJson(TimePoint now) const;

 private:
  static constexpr Duration kSettleMargin = std::chrono::milliseconds(100);

  struct VersionState {
    int servers = 0;
    TimePoint streams_from;
    TimePoint left_at;  // Of the last server; valid if there is none.
  };
  using Versions = std::map<std::string, VersionState>;

  static bool IsRecent(const VersionState& state, TimePoint now) {
    return state.servers > 0 || now - state.left_at <= kMaxStreamAge;
  }
  void RemoveOld(TimePoint now);
  // Adds a version that was listed until `left_at`, if at any other host.
  void AddSeen(const StreamOrigin& origin, TimePoint left_at, TimePoint now);
  // Lets streams begin at once at the most common version of each service: all
  // versions seem new to a host that has just started.
  void SettleCommonVersions(TimePoint now);

  Duration max_listing_age_;
  Duration settle_time_;
  bool is_first_start_;
  std::map<std::string, Versions> services_;
  // All versions since then are known; the epoch before the first listing.
  TimePoint known_since_;
  // Of the last listing before which versions may have come and gone unseen.
  TimePoint gap_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_VERSION_HISTORY_H_

#ifndef APPLEHALL_NODE_READER_SELECTOR_H_
#define APPLEHALL_NODE_READER_SELECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/peer_message.h"

namespace applehall {

// What the placement owner knows of another host.
struct FleetPeer {
  std::string address;
  TimePoint last_report_at;
  TimePoint sent_at;
  bool has_plan = false;     // It was told all there was once.
  uint64_t sent_change = 0;  // Of the engines, up to this one.
  std::set<std::string> waiting;
  bool is_urgent = false;  // It waits for something that changed.
  std::string data_centre;
  double cpu_share = 0;
  double link_mbps = 0;  // Zero: not told.
  bool can_read_store = false;
};

using FleetPeers = std::map<std::string, FleetPeer>;  // By host.

// In Mbit/s. At this speed a whole configuration of some 100 KB goes to 30
// hosts in a quarter of a second; a wider link does not matter and is not told.
inline constexpr double kWideLinkMbps = 100;

// Zero: not told. Thread-safe.
inline bool IsWideLink(double mbps) {
  return mbps <= 0 || mbps >= kWideLinkMbps;
}

// A host that has not reported for two beats and a half reads for nobody.
inline constexpr Duration kMaxReaderSilence = std::chrono::milliseconds(1250);

// Chooses, among the hosts that report to the owner, those that read the
// platform's store for their data centre.
class ReaderSelector {
 public:
  // `peers` must outlive this.
  explicit ReaderSelector(const FleetPeers& peers) : peers_(peers) {}

  // The reader of `data_centre`: the one chosen before, as long as it lives,
  // reaches the store and no host with a wider link does, else the best that
  // does; nobody if none does. What a reader passes on to all hosts of its data
  // centre fills a narrow link, so a link that is wide enough goes before
  // processor. Not thread-safe.
  PeerAddress SelectReader(const std::string& data_centre, TimePoint now);
  // The best host after `reader`. Those that follow turn to it by themselves if
  // the reader fails while there is no owner to name another. Not thread-safe.
  PeerAddress SelectBackup(const std::string& data_centre,
                           const std::string& reader, TimePoint now) const;
  // Forgets what was chosen; hosts are heard from `now` on. Not thread-safe.
  void Restart(TimePoint now);
  // Hosts may report that have not yet, so a choice for want of a better one
  // would be taken back a moment later. Not thread-safe.
  bool IsSettled(TimePoint now) const {
    return now - started_at_ > kMaxReaderSilence;
  }
  // `host` may read before the choice is settled. Not thread-safe.
  bool HasWideLink(const std::string& host) const;

 private:
  static bool IsFit(const FleetPeer& peer, const std::string& data_centre,
                    TimePoint now);

  const FleetPeers& peers_;
  std::map<std::string, std::string> chosen_;  // By data centre.
  TimePoint started_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_READER_SELECTOR_H_

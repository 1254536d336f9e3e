#ifndef APPLEHALL_NODE_READER_SELECTOR_H_
#define APPLEHALL_NODE_READER_SELECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/peer_message.h"

namespace applehall {

// State of another host, as recorded by the placement owner.
struct FleetPeer {
  std::string address;
  TimePoint last_report_at;
  TimePoint sent_at;
  bool has_plan = false;     // The complete plan was sent to it.
  uint64_t sent_change = 0;  // Last change of the engines that was sent to it.
  std::set<std::string> waiting;
  bool is_urgent = false;  // It waits for a change that has occurred.
  std::string data_centre;
  double cpu_share = 0;
  double link_mbps = 0;  // 0: unknown.
  bool can_read_store = false;
  std::string forward_address;  // Empty: it accepts no forwarded requests.
  std::set<std::string> unreachable;  // Services whose servers it cannot reach.
  TimePoint reached_engines_at;       // Its last new connection to an engine.
  bool needs_registrars = false;      // It has started and knows none.
};

using FleetPeers = std::map<std::string, FleetPeer>;  // By host.

// In Mbit/s. At this bandwidth a complete configuration of about 100 KB reaches
// 30 hosts in a quarter of a second, so wider links are not preferred and not
// reported.
inline constexpr double kWideLinkMbps = 100;

// A bandwidth of 0 is unknown and counts as wide. Thread-safe.
inline bool IsWideLink(double mbps) {
  return mbps <= 0 || mbps >= kWideLinkMbps;
}

// A host that has sent no report for two and a half report intervals is not
// eligible as a reader.
inline constexpr Duration kMaxReaderSilence = std::chrono::milliseconds(1250);

// Selects, among the hosts that report to the placement owner, the reader of
// each data centre: the host that reads the platform's store for all others
// there.
class ReaderSelector {
 public:
  // `peers` must outlive this.
  explicit ReaderSelector(const FleetPeers& peers) : peers_(peers) {}

  // Returns the reader of `data_centre`, an empty address if no host can read
  // the store. Keeps the previous reader while it reports, reads the store and
  // no such host has a wider link. A wide link counts more than processor
  // share, as the updates that a reader relays would fill a narrow link. Not
  // thread-safe.
  PeerAddress SelectReader(const std::string& data_centre, TimePoint now);
  // Returns the best host that is not `excluded`; one of another data centre if
  // none here can read the store. Hosts switch to it on their own if the reader
  // fails, or the store rejects their calls, while no owner can name another.
  // Not thread-safe.
  PeerAddress SelectBackup(const std::string& data_centre,
                           const std::set<std::string>& excluded,
                           TimePoint now) const;
  // Discards all selections; hosts start to report at `now`. Not thread-safe.
  void Restart(TimePoint now);
  // Returns false while hosts may not have sent their first report: a selection
  // made then could be reverted a moment later. Not thread-safe.
  bool IsSettled(TimePoint now) const {
    return now - started_at_ > kMaxReaderSilence;
  }
  // Returns whether `host` has a wide link and may therefore become the reader
  // before the selection is settled. Not thread-safe.
  bool HasWideLink(const std::string& host) const;

 private:
  static bool IsEligible(const FleetPeer& peer, TimePoint now);
  // Returns the best host of `data_centre`, of all if it is empty, that is not
  // `excluded`.
  PeerAddress SelectBest(const std::string& data_centre,
                         const std::set<std::string>& excluded,
                         TimePoint now) const;

  const FleetPeers& peers_;
  std::map<std::string, std::string> selected_;  // By data centre.
  TimePoint started_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_READER_SELECTOR_H_

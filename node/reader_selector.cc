#include <algorithm>
#include <utility>

#include "node/reader_selector.h"

namespace applehall {
namespace {

double UsableLink(double mbps) {
  return IsWideLink(mbps) ? kWideLinkMbps : mbps;
}

}  // namespace

bool ReaderSelector::IsFit(const FleetPeer& peer,
                           const std::string& data_centre, TimePoint now) {
  return peer.data_centre == data_centre && peer.can_read_store &&
         now - peer.last_report_at <= kMaxReaderSilence;
}

void ReaderSelector::Restart(TimePoint now) {
  chosen_.clear();
  started_at_ = now;
}

bool ReaderSelector::HasWideLink(const std::string& host) const {
  const auto peer = peers_.find(host);
  return peer != peers_.end() && IsWideLink(peer->second.link_mbps);
}

PeerAddress ReaderSelector::SelectReader(const std::string& data_centre,
                                         TimePoint now) {
  std::string& chosen = chosen_[data_centre];
  const auto current = peers_.find(chosen);
  const bool is_fit =
      current != peers_.end() && IsFit(current->second, data_centre, now);
  // No link is better than a wide one, so the others need no look.
  if (is_fit && IsWideLink(current->second.link_mbps)) {
    return {chosen, current->second.address};
  }
  const PeerAddress best = SelectBackup(data_centre, /*reader=*/"", now);
  if (is_fit && UsableLink(current->second.link_mbps) >=
                    UsableLink(peers_.at(best.host).link_mbps)) {
    return {chosen, current->second.address};
  }
  chosen = best.host;
  return best;
}

PeerAddress ReaderSelector::SelectBackup(const std::string& data_centre,
                                         const std::string& reader,
                                         TimePoint now) const {
  PeerAddress best;
  std::pair<double, double> most{-1, -1};
  for (const auto& [host, peer] : peers_) {
    if (host == reader || !IsFit(peer, data_centre, now)) continue;
    const std::pair<double, double> fitness{UsableLink(peer.link_mbps),
                                            peer.cpu_share};
    if (fitness <= most) continue;
    most = fitness;
    best = {host, peer.address};
  }
  return best;
}

}  // namespace applehall

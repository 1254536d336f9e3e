#include "node/reader_choice.h"

#include <algorithm>
#include <utility>

namespace applehall {
namespace {

double UsableLink(double mbps) {
  return mbps > 0 ? std::min(mbps, kReaderLink) : kReaderLink;
}

}  // namespace

bool ReaderChoice::IsFit(const FleetPeer& peer, const std::string& data_centre,
                         TimePoint now) {
  return peer.data_centre == data_centre && peer.can_read_store &&
         now - peer.heard_at <= kReaderSilence;
}

PeerAddress ReaderChoice::Reader(const std::string& data_centre,
                                 TimePoint now) {
  std::string& chosen = chosen_[data_centre];
  const auto current = peers_.find(chosen);
  if (current != peers_.end() && IsFit(current->second, data_centre, now)) {
    return {chosen, current->second.address};
  }
  const PeerAddress best = Backup(data_centre, /*reader=*/"", now);
  chosen = best.host;
  return best;
}

PeerAddress ReaderChoice::Backup(const std::string& data_centre,
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

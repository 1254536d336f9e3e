#include "node/reader_choice.h"

namespace applehall {

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
  double most = -1;
  for (const auto& [host, peer] : peers_) {
    if (host == reader || !IsFit(peer, data_centre, now)) continue;
    if (peer.cpu_share <= most) continue;
    most = peer.cpu_share;
    best = {host, peer.address};
  }
  return best;
}

}  // namespace applehall

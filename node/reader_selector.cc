#include "node/reader_selector.h"

#include <algorithm>
#include <utility>

namespace applehall {
namespace {

double EffectiveLinkMbps(double mbps) {
  return IsWideLink(mbps) ? kWideLinkMbps : mbps;
}

}  // namespace

bool ReaderSelector::IsEligible(const FleetPeer& peer, TimePoint now) {
  return peer.can_read_store && now - peer.last_report_at <= kMaxReaderSilence;
}

void ReaderSelector::Restart(TimePoint now) {
  selected_.clear();
  started_at_ = now;
}

bool ReaderSelector::HasWideLink(const std::string& host) const {
  const auto peer = peers_.find(host);
  return peer != peers_.end() && IsWideLink(peer->second.link_mbps);
}

PeerAddress ReaderSelector::SelectReader(const std::string& data_centre,
                                         TimePoint now) {
  std::string& selected = selected_[data_centre];
  const auto current = peers_.find(selected);
  const bool is_eligible = current != peers_.end() &&
                           current->second.data_centre == data_centre &&
                           IsEligible(current->second, now);
  // No link ranks above a wide one, so the other hosts need not be checked.
  if (is_eligible && IsWideLink(current->second.link_mbps)) {
    return {selected, current->second.address};
  }
  const PeerAddress best = SelectBest(data_centre, /*excluded=*/{}, now);
  if (is_eligible && EffectiveLinkMbps(current->second.link_mbps) >=
                         EffectiveLinkMbps(peers_.at(best.host).link_mbps)) {
    return {selected, current->second.address};
  }
  selected = best.host;
  return best;
}

PeerAddress ReaderSelector::SelectBackup(const std::string& data_centre,
                                         const std::set<std::string>& excluded,
                                         TimePoint now) const {
  const PeerAddress local = SelectBest(data_centre, excluded, now);
  return local.host.empty() ? SelectBest("", excluded, now) : local;
}

PeerAddress ReaderSelector::SelectBest(const std::string& data_centre,
                                       const std::set<std::string>& excluded,
                                       TimePoint now) const {
  PeerAddress best;
  std::pair<double, double> best_rank{-1, -1};
  for (const auto& [host, peer] : peers_) {
    const bool is_here = data_centre.empty() || peer.data_centre == data_centre;
    if (!is_here || excluded.contains(host) || !IsEligible(peer, now)) continue;
    const std::pair<double, double> rank{EffectiveLinkMbps(peer.link_mbps),
                                         peer.cpu_share};
    if (rank <= best_rank) continue;
    best_rank = rank;
    best = {host, peer.address};
  }
  return best;
}

}  // namespace applehall

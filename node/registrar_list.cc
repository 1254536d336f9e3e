#include "node/registrar_list.h"

#include <algorithm>

#include "core/hash.h"

namespace applehall {
namespace {

constexpr size_t kHostsPerRegistrar = 3;
constexpr size_t kMinRegistrars = 2;
constexpr size_t kKeepersInCentre = 2;
// So that the loss of one leaves another.
constexpr size_t kMinKeepers = 2;

}  // namespace

RegistrarList RegistrarList::Select(const FleetPeers& peers,
                                    const PeerAddress& self,
                                    const std::string& own_centre,
                                    TimePoint now) {
  RegistrarList list;
  list.centres_[own_centre].push_back(self);
  for (const auto& [host, peer] : peers) {
    if (now - peer.last_report_at > kMaxReaderSilence) continue;
    list.centres_[peer.data_centre].push_back({host, peer.address});
  }
  for (auto& [centre, hosts] : list.centres_) {
    const size_t count =
        std::max(kMinRegistrars,
                 (hosts.size() + kHostsPerRegistrar - 1) / kHostsPerRegistrar);
    // By hash, so that a host that comes or goes changes one entry.
    std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) {
      return std::pair(StableHash(a.host), a.host) <
             std::pair(StableHash(b.host), b.host);
    });
    hosts.resize(std::min(hosts.size(), count));
  }
  return list;
}

Json RegistrarList::ToRows() const {
  Json rows = Json::array();
  for (const auto& [centre, hosts] : centres_) {
    for (const PeerAddress& host : hosts) {
      rows.push_back(Json::array({centre, host.host, host.address}));
    }
  }
  return rows;
}

RegistrarList RegistrarList::FromRows(const Json& rows) {
  RegistrarList list;
  for (const Json& row : rows) {
    const bool is_row = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_string() &&
                        row[2].is_string();
    if (!is_row) continue;
    list.centres_[row[0].get<std::string>()].push_back(
        {row[1].get<std::string>(), row[2].get<std::string>()});
  }
  return list;
}

std::vector<PeerAddress> RegistrarList::Rank(uint64_t key,
                                             const std::string& centre,
                                             const std::string& self) const {
  const auto found = centres_.find(centre);
  if (found == centres_.end()) return {};
  std::vector<PeerAddress> ranked;
  for (const PeerAddress& host : found->second) {
    if (host.host != self) ranked.push_back(host);
  }
  std::sort(ranked.begin(), ranked.end(),
            [key](const PeerAddress& a, const PeerAddress& b) {
              return StableHash(a.host, key) < StableHash(b.host, key);
            });
  return ranked;
}

std::vector<PeerAddress> RegistrarList::KeepersOf(
    uint64_t key, const std::string& centre, const std::string& self) const {
  std::vector<PeerAddress> keepers = Rank(key, centre, self);
  keepers.resize(std::min(keepers.size(), kKeepersInCentre));
  const size_t wanted = std::max(keepers.size() + 1, kMinKeepers);
  auto next = centres_.upper_bound(centre);
  for (size_t i = 0; i < centres_.size() && keepers.size() < wanted; ++i) {
    if (next == centres_.end()) next = centres_.begin();
    const std::vector<PeerAddress> ranked = next->first == centre
                                                ? std::vector<PeerAddress>{}
                                                : Rank(key, next->first, self);
    if (!ranked.empty()) keepers.push_back(ranked.front());
    ++next;
  }
  return keepers;
}

std::vector<PeerAddress> RegistrarList::LocateKeepers(
    uint64_t key, const std::string& centre, const std::string& self) const {
  std::vector<PeerAddress> keepers;
  for (const auto& [name, hosts] : centres_) {
    const std::vector<PeerAddress> ranked = Rank(key, name, self);
    const size_t count =
        std::min(ranked.size(), name == centre ? kKeepersInCentre : 1);
    keepers.insert(keepers.end(), ranked.begin(), ranked.begin() + count);
  }
  return keepers;
}

}  // namespace applehall

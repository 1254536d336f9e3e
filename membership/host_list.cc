#include "membership/host_list.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "core/hash.h"

namespace applehall {
namespace {

constexpr std::array<const char*, 3> kKindNames = {"entry", "engine",
                                                   "service"};

HostKind KindFromName(const std::string& name) {
  for (size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == name) return static_cast<HostKind>(i);
  }
  return HostKind::kEntry;
}

HostEntry ParseEntry(const Json& json) {
  HostEntry entry;
  entry.name = FieldOr<std::string>(json, "name", "");
  entry.kind = KindFromName(FieldOr<std::string>(json, "kind", ""));
  entry.data_centre = FieldOr<std::string>(json, "data_centre", "");
  entry.address = FieldOr<std::string>(json, "address", "");
  entry.peer_address = FieldOr<std::string>(json, "peer_address", "");
  entry.incarnation = FieldOr<uint64_t>(json, "incarnation", 0);
  entry.is_leaving = FieldOr<bool>(json, "leaving", false);
  entry.checks_fence = FieldOr<bool>(json, "checks_fence", true);
  entry.service = FieldOr<std::string>(json, "service", "");
  entry.slots = FieldOr<int>(json, "slots", 0);
  return entry;
}

// Returns the members in the order of the hash ring, the same on every host.
std::vector<std::string> SortOnRing(std::vector<const HostEntry*> members) {
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const HostEntry* member : members) names.push_back(member->name);
  std::sort(names.begin(), names.end(),
            [](const std::string& a, const std::string& b) {
              return StableHash(a) < StableHash(b);
            });
  return names;
}

}  // namespace

Json HostList::ToJson() const {
  Json json{{"as_of_ms", ToUnixMillis(as_of)}, {"hosts", Json::array()}};
  for (const HostEntry& entry : hosts) {
    Json item{{"name", entry.name},
              {"kind", kKindNames[static_cast<size_t>(entry.kind)]},
              {"data_centre", entry.data_centre},
              {"address", entry.address},
              {"incarnation", entry.incarnation},
              {"leaving", entry.is_leaving}};
    if (!entry.peer_address.empty()) item["peer_address"] = entry.peer_address;
    if (entry.kind == HostKind::kEngine) {
      item["checks_fence"] = entry.checks_fence;
    }
    if (entry.kind == HostKind::kService) {
      item["service"] = entry.service;
      item["slots"] = entry.slots;
    }
    json["hosts"].push_back(std::move(item));
  }
  return json;
}

HostList HostList::FromJson(const Json& json) {
  HostList list;
  list.as_of = FromUnixMillis(FieldOr<int64_t>(json, "as_of_ms", 0));
  const auto hosts = json.find("hosts");
  if (hosts == json.end() || !hosts->is_array()) return list;
  for (const Json& item : *hosts) {
    HostEntry entry = ParseEntry(item);
    if (!entry.name.empty()) list.hosts.push_back(std::move(entry));
  }
  return list;
}

bool HostTable::Update(const HostList& list) {
  // Answers may arrive out of order; an older list would restore departed
  // hosts.
  if (list.as_of < as_of_ || list.hosts.empty()) return false;
  as_of_ = list.as_of;
  ++version_;
  hosts_.clear();
  for (const HostEntry& entry : list.hosts) hosts_[entry.name] = entry;
  return true;
}

const HostEntry* HostTable::Find(const std::string& name) const {
  const auto it = hosts_.find(name);
  return it == hosts_.end() ? nullptr : &it->second;
}

std::vector<const HostEntry*> HostTable::EntryHosts(
    const std::string& data_centre, bool with_leaving) const {
  std::vector<const HostEntry*> found;
  for (const auto& [name, entry] : hosts_) {
    if (entry.kind != HostKind::kEntry) continue;
    if (entry.data_centre != data_centre) continue;
    if (entry.is_leaving && !with_leaving) continue;
    found.push_back(&entry);
  }
  return found;
}

std::vector<EngineFacts> HostTable::Engines(int group, int group_count) const {
  std::vector<EngineFacts> engines;
  for (const auto& [name, entry] : hosts_) {
    if (entry.kind != HostKind::kEngine) continue;
    if (entry.data_centre != data_centre_) continue;
    if (StableHash(name) % static_cast<uint64_t>(group_count) !=
        static_cast<uint64_t>(group)) {
      continue;
    }
    engines.push_back({entry.name, entry.address, entry.data_centre,
                       entry.incarnation, entry.checks_fence,
                       entry.is_leaving});
  }
  return engines;
}

std::vector<std::string> HostTable::DataCentres() const {
  std::set<std::string> names;
  for (const auto& [name, entry] : hosts_) names.insert(entry.data_centre);
  return {names.begin(), names.end()};
}

bool HostTable::OffersService(const std::string& service) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    return entry.second.kind == HostKind::kService &&
           entry.second.service == service;
  });
}

bool HostTable::HasDeparted(const Incarnation& host, TimePoint since) const {
  if (as_of_ < since) return false;
  const HostEntry* entry = Find(host.host);
  if (entry == nullptr) return true;
  return entry->incarnation > host.number;
}

std::vector<std::string> ChoosePeers(const HostTable& table,
                                     const std::string& self,
                                     const std::string& data_centre) {
  std::vector<std::string> peers;
  const auto add = [&](const std::string& name) {
    if (name == self) return;
    if (std::find(peers.begin(), peers.end(), name) == peers.end()) {
      peers.push_back(name);
    }
  };
  const std::vector<std::string> ring =
      SortOnRing(table.EntryHosts(data_centre, /*with_leaving=*/true));
  const auto own = std::find(ring.begin(), ring.end(), self);
  const size_t position = own == ring.end() ? 0 : own - ring.begin();
  if (!ring.empty()) {
    const auto middle = static_cast<size_t>(
        std::lround(std::sqrt(static_cast<double>(ring.size()))));
    add(ring[(position + 1) % ring.size()]);
    add(ring[(position + middle) % ring.size()]);
    add(ring[(position + ring.size() / 2) % ring.size()]);
  }
  const std::vector<std::string> centres = table.DataCentres();
  const auto here = std::find(centres.begin(), centres.end(), data_centre);
  if (centres.size() < 2 || here == centres.end()) return peers;
  // Spreads the links of this data centre's hosts over the other data centres.
  const size_t step = 1 + position % (centres.size() - 1);
  const std::string& other =
      centres[(here - centres.begin() + step) % centres.size()];
  const std::vector<std::string> far =
      SortOnRing(table.EntryHosts(other, /*with_leaving=*/false));
  if (!far.empty()) add(far[position % far.size()]);
  return peers;
}

}  // namespace applehall

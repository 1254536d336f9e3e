#include "routing/quarantine.h"

#include <algorithm>

namespace applehall {
namespace {

// Each entry has cost three servers and takes 24 bytes in the plan that a new
// host receives, and 9 more for each part of a group.
constexpr size_t kMaxEntries = 256;
constexpr size_t kMaxParts = 16;

}  // namespace

uint64_t Quarantine::KeyOf(const Parts& parts) {
  if (parts.size() == 1) return parts.front();
  uint64_t key = 0;
  for (const uint64_t part : parts) {
    key = (key ^ part) * 0x9e3779b97f4a7c15ULL;
    key ^= key >> 32;
  }
  return key == 0 ? 1 : key;
}

bool Quarantine::Add(uint64_t key, TimePoint until, Parts parts) {
  if (until <= Until(key)) return false;
  until_[key] = until;
  if (!parts.empty()) groups_[key] = std::move(parts);
  if (until_.size() > kMaxEntries) {
    Remove(std::min_element(
               until_.begin(), until_.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
               ->first);
  }
  return true;
}

void Quarantine::Remove(uint64_t key) {
  until_.erase(key);
  groups_.erase(key);
}

std::vector<uint64_t> Quarantine::TakeEnded(TimePoint now) {
  std::vector<uint64_t> ended;
  for (const auto& [key, until] : until_) {
    if (until <= now) ended.push_back(key);
  }
  for (const uint64_t key : ended) Remove(key);
  return ended;
}

TimePoint Quarantine::Until(uint64_t key) const {
  const auto it = until_.find(key);
  return it == until_.end() ? TimePoint{} : it->second;
}

uint64_t Quarantine::FindGroup(const Parts& parts, TimePoint now) const {
  for (const auto& [key, group] : groups_) {
    const bool has_all =
        std::all_of(group.begin(), group.end(), [&](uint64_t part) {
          return std::find(parts.begin(), parts.end(), part) != parts.end();
        });
    if (has_all && Holds(key, now)) return key;
  }
  return 0;
}

Quarantine::Parts Quarantine::PartsOf(uint64_t key) const {
  const auto it = groups_.find(key);
  return it == groups_.end() ? Parts{} : it->second;
}

std::vector<uint64_t> Quarantine::GroupsWith(uint64_t part) const {
  std::vector<uint64_t> keys;
  for (const auto& [key, group] : groups_) {
    if (std::binary_search(group.begin(), group.end(), part)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<Quarantine::Parts> Quarantine::ReadParts(const Json& json) {
  if (!json.is_array() || json.empty() || json.size() > kMaxParts) {
    return std::nullopt;
  }
  Parts parts;
  for (const Json& part : json) {
    if (!part.is_number_unsigned()) return std::nullopt;
    parts.push_back(part.get<uint64_t>());
  }
  std::sort(parts.begin(), parts.end());
  return parts;
}

Json Quarantine::ToJson() const {
  Json rows = Json::array();
  for (const auto& [key, until] : until_) {
    Json row = Json::array({key, ToUnixMillis(until)});
    const Parts parts = PartsOf(key);
    if (!parts.empty()) row.push_back(parts);
    rows.push_back(std::move(row));
  }
  return rows;
}

Quarantine Quarantine::FromJson(const Json& json) {
  Quarantine quarantine;
  if (!json.is_array()) return quarantine;
  for (const Json& row : json) {
    if (!row.is_array() || row.size() < 2 || row.size() > 3 ||
        !row[0].is_number_unsigned() || !row[1].is_number_integer()) {
      continue;
    }
    std::optional<Parts> parts = Parts{};
    if (row.size() == 3) parts = ReadParts(row[2]);
    if (!parts) continue;
    quarantine.Add(row[0].get<uint64_t>(),
                   FromUnixMillis(row[1].get<int64_t>()), *std::move(parts));
  }
  return quarantine;
}

}  // namespace applehall

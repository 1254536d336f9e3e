#include "routing/quarantine.h"

#include <algorithm>

namespace applehall {
namespace {

// Each entry has cost three servers and takes 24 bytes in the plan that a new
// host receives.
constexpr size_t kMaxEntries = 256;

}  // namespace

bool Quarantine::Add(uint64_t fingerprint, TimePoint until) {
  if (until <= Until(fingerprint)) return false;
  until_[fingerprint] = until;
  if (until_.size() > kMaxEntries) {
    until_.erase(std::min_element(
        until_.begin(), until_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return true;
}

std::vector<uint64_t> Quarantine::TakeEnded(TimePoint now) {
  std::vector<uint64_t> ended;
  for (const auto& [fingerprint, until] : until_) {
    if (until <= now) ended.push_back(fingerprint);
  }
  for (const uint64_t fingerprint : ended) until_.erase(fingerprint);
  return ended;
}

TimePoint Quarantine::Until(uint64_t fingerprint) const {
  const auto it = until_.find(fingerprint);
  return it == until_.end() ? TimePoint{} : it->second;
}

Json Quarantine::ToJson() const {
  Json rows = Json::array();
  for (const auto& [fingerprint, until] : until_) {
    rows.push_back(Json::array({fingerprint, ToUnixMillis(until)}));
  }
  return rows;
}

Quarantine Quarantine::FromJson(const Json& json) {
  Quarantine quarantine;
  if (!json.is_array()) return quarantine;
  for (const Json& row : json) {
    if (!row.is_array() || row.size() != 2 || !row[0].is_number_unsigned() ||
        !row[1].is_number_integer()) {
      continue;
    }
    quarantine.Add(row[0].get<uint64_t>(),
                   FromUnixMillis(row[1].get<int64_t>()));
  }
  return quarantine;
}

}  // namespace applehall

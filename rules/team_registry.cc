#include "rules/team_registry.h"

#include <algorithm>

namespace applehall {

double Team::QuotaCost(std::optional<double> declared) const {
  if (unit == QuotaUnit::kRequests) return 1;
  // No request is free, whatever its caller declares.
  return std::max(1.0, declared.value_or(default_tokens));
}

void TeamRegistry::Add(Team team, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    const ApiKeyDigest digest = ApiKeyDigest::FromKey(key);
    keys_by_prefix_.insert({digest.Prefix(), {digest, team.name}});
  }
  const std::string name = team.name;
  teams_[name] = std::move(team);
}

const Team* TeamRegistry::FindByKey(const ApiKeyDigest& key) const {
  const auto [first, last] = keys_by_prefix_.equal_range(key.Prefix());
  for (auto it = first; it != last; ++it) {
    if (it->second.key == key) return Find(it->second.team);
  }
  return nullptr;
}

const Team* TeamRegistry::Find(const std::string& name) const {
  const auto it = teams_.find(name);
  return it == teams_.end() ? nullptr : &it->second;
}

}  // namespace applehall

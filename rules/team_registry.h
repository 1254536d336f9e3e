#ifndef APPLEHALL_RULES_TEAM_REGISTRY_H_
#define APPLEHALL_RULES_TEAM_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/api_key.h"

namespace applehall {

// A team's limit over all hosts together, as a token bucket.
struct TeamQuota {
  double tokens_per_second = 0;  // Zero: no limit.
  double burst_tokens = 0;       // Additional burst.

  bool is_limited() const { return tokens_per_second > 0; }
};

// The unit in which requests are charged to their team's quota.
enum class QuotaUnit : uint8_t { kRequests, kTokens };

// A customer's team, identified by its API keys.
struct Team {
  std::string name;
  // Scheduling priority of its requests at an engine, 0 first; overrides that
  // of the rule unless negative.
  int priority = -1;
  QuotaUnit unit = QuotaUnit::kRequests;
  // Tokens charged for a request that does not declare its tokens.
  double default_tokens = 1;
  TeamQuota quota;

  // Returns the charge for a request that declares `declared` tokens, or none.
  // Requires: nothing. Thread-safe.
  double QuotaCost(std::optional<double> declared) const;
};

// The teams of one version of the configuration and their keys. Without teams
// nobody holds a key; a configuration that uses none has no registry. Immutable
// after construction.
class TeamRegistry {
 public:
  // Adds a team. Requires: `keys` belong to no other team. Not thread-safe.
  void Add(Team team, const std::vector<std::string>& keys);

  // Null if no team holds the key. Thread-safe.
  const Team* FindByKey(const ApiKeyDigest& key) const;
  // Null if there is no such team. Thread-safe.
  const Team* Find(const std::string& name) const;
  const std::map<std::string, Team>& teams() const { return teams_; }

 private:
  struct KeyOwner {
    ApiKeyDigest key;
    std::string team;
  };
  std::map<std::string, Team> teams_;
  std::multimap<uint64_t, KeyOwner> keys_by_prefix_;
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_TEAM_REGISTRY_H_

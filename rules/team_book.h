#ifndef APPLEHALL_RULES_TEAM_BOOK_H_
#define APPLEHALL_RULES_TEAM_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/api_key.h"

namespace applehall {

// What a team may use, over all hosts together: a token bucket.
struct TeamQuota {
  double tokens_per_second = 0;  // Zero: no limit.
  double burst_tokens = 0;       // On top of it, at once.

  bool is_limited() const { return tokens_per_second > 0; }
};

// What a request counts against its team's quota.
enum class QuotaUnit : uint8_t { kRequests, kTokens };

// A customer's team, known by its API keys.
struct Team {
  std::string name;
  // Rank of its requests at an engine, 0 first, before that of the rule;
  // negative: the rule's.
  int priority = -1;
  QuotaUnit unit = QuotaUnit::kRequests;
  // Of a request that does not say how many tokens it takes.
  double plain_tokens = 1;
  TeamQuota quota;

  // What a request counts that declares `declared` tokens, or none. Requires:
  // nothing. Thread-safe.
  double CostOf(std::optional<double> declared) const;
};

// The teams of one version of the configuration and their keys. Never changes
// once built.
class TeamBook {
 public:
  // Without a call of this a book has no teams, and no request needs a key.
  // Requires: `keys` belong to no other team. Not thread-safe.
  void Add(Team team, const std::vector<std::string>& keys);

  // Null if no team holds the key. Thread-safe.
  const Team* FindByKey(const ApiKeyDigest& key) const;
  // Null if there is no such team. Thread-safe.
  const Team* Find(const std::string& name) const;
  const std::map<std::string, Team>& teams() const { return teams_; }
  bool is_empty() const { return teams_.empty(); }

 private:
  struct Holder {
    ApiKeyDigest key;
    std::string team;
  };
  std::map<std::string, Team> teams_;
  std::multimap<uint64_t, Holder> holders_;  // By the digest's prefix.
};

}  // namespace applehall

#endif  // APPLEHALL_RULES_TEAM_BOOK_H_

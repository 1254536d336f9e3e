#ifndef APPLEHALL_PLACEMENT_OWNERSHIP_TABLE_H_
#define APPLEHALL_PLACEMENT_OWNERSHIP_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"

namespace applehall {

// The log offset of the record that granted an ownership. Grows with every
// grant, so an engine can tell an old owner from the present one.
using FencingToken = LogOffset;

// One process on one host. A host that restarts is another incarnation.
struct Incarnation {
  std::string host;
  uint64_t number = 0;

  bool operator==(const Incarnation&) const = default;
  auto operator<=>(const Incarnation&) const = default;
};

// An earlier owner that has not said that it stopped giving orders.
struct Predecessor {
  Incarnation owner;
  FencingToken token = 0;
  TimePoint superseded_at;  // By the log service's clock.
};

struct GroupOwnership {
  Incarnation owner;  // Empty host: nobody.
  FencingToken token = 0;
  TimePoint claimed_at;
  std::vector<Predecessor> predecessors;

  bool is_owned() const { return !owner.host.empty(); }
};

// Who may order the engines of each group, as the fold of claims and
// releases on the log. Compare-and-set on the token decides races.
class OwnershipTable {
 public:
  // A claim is valid if `previous` is the group's token at that point of the
  // log. Requires: offsets ascend. Not thread-safe.
  bool Claim(LogOffset offset, TimePoint time, const std::string& group,
             const Incarnation& owner, FencingToken previous);
  // The holder of `token` says that none of its orders is under way and that
  // it sends no more. Not thread-safe.
  void Release(TimePoint time, const std::string& group, FencingToken token);

  // Null if the group was never claimed. Not thread-safe.
  const GroupOwnership* Find(const std::string& group) const;
  const std::map<std::string, GroupOwnership>& groups() const {
    return groups_;
  }
  Json ToJson() const;
  static OwnershipTable FromJson(const Json& json);

 private:
  std::map<std::string, GroupOwnership> groups_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_OWNERSHIP_TABLE_H_

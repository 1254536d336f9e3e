#ifndef APPLEHALL_PLACEMENT_OWNERSHIP_TABLE_H_
#define APPLEHALL_PLACEMENT_OWNERSHIP_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/log_record.h"

namespace applehall {

// The log offset of the record that granted an ownership. Grows with every
// grant, so an engine can refuse the orders of an earlier owner.
using FencingToken = LogOffset;

// One process on one host. A restarted host has a new incarnation.
struct Incarnation {
  std::string host;
  uint64_t number = 0;

  bool operator==(const Incarnation&) const = default;
  auto operator<=>(const Incarnation&) const = default;
};

// An earlier owner that has not released the group and may still send orders.
struct Predecessor {
  Incarnation owner;
  FencingToken token = 0;
  TimePoint superseded_at;  // By the log service's clock.
};

struct GroupOwnership {
  Incarnation owner;  // Empty host: no owner.
  FencingToken token = 0;
  TimePoint claimed_at;
  std::vector<Predecessor> predecessors;

  bool is_owned() const { return !owner.host.empty(); }
};

// The owner of each group's engines, as the fold of claims and releases on the
// log. Concurrent claims are resolved by compare-and-set on the token.
class OwnershipTable {
 public:
  // Applies a claim. Returns false if `previous` is not the group's token at
  // that point of the log. Requires: offsets ascend. Not thread-safe.
  bool Claim(LogOffset offset, TimePoint time, const std::string& group,
             const Incarnation& owner, FencingToken previous);
  // Applies a release: the holder of `token` has no order in flight and sends
  // no more. Not thread-safe.
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

#include "placement/ownership_table.h"

namespace applehall {
namespace {

Json IncarnationJson(const Incarnation& owner) {
  return Json{{"host", owner.host}, {"incarnation", owner.number}};
}

Incarnation IncarnationFrom(const Json& json) {
  return {FieldOr<std::string>(json, "host", ""),
          FieldOr<uint64_t>(json, "incarnation", 0)};
}

}  // namespace

bool OwnershipTable::Claim(LogOffset offset, TimePoint time,
                           const std::string& group, const Incarnation& owner,
                           FencingToken previous) {
  GroupOwnership& ownership = groups_[group];
  // Several hosts may claim the group when its owner becomes unreachable. The
  // first claim on the log wins; the others state a token that is outdated.
  if (ownership.token != previous) return false;
  if (ownership.is_owned()) {
    ownership.predecessors.push_back({ownership.owner, ownership.token, time});
  }
  ownership.owner = owner;
  ownership.token = offset;
  ownership.claimed_at = time;
  return true;
}

void OwnershipTable::Release(TimePoint, const std::string& group,
                             FencingToken token) {
  const auto it = groups_.find(group);
  if (it == groups_.end()) return;
  GroupOwnership& ownership = it->second;
  std::erase_if(ownership.predecessors, [token](const Predecessor& earlier) {
    return earlier.token == token;
  });
  if (ownership.token == token) ownership.owner = {};
}

const GroupOwnership* OwnershipTable::Find(const std::string& group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : &it->second;
}

Json OwnershipTable::ToJson() const {
  Json json = Json::object();
  for (const auto& [name, ownership] : groups_) {
    Json entry = IncarnationJson(ownership.owner);
    entry["token"] = ownership.token;
    entry["claimed_at_ms"] = ToUnixMillis(ownership.claimed_at);
    entry["predecessors"] = Json::array();
    for (const Predecessor& earlier : ownership.predecessors) {
      Json item = IncarnationJson(earlier.owner);
      item["token"] = earlier.token;
      item["superseded_at_ms"] = ToUnixMillis(earlier.superseded_at);
      entry["predecessors"].push_back(std::move(item));
    }
    json[name] = std::move(entry);
  }
  return json;
}

OwnershipTable OwnershipTable::FromJson(const Json& json) {
  OwnershipTable table;
  if (!json.is_object()) return table;
  for (const auto& [name, entry] : json.items()) {
    GroupOwnership& ownership = table.groups_[name];
    ownership.owner = IncarnationFrom(entry);
    ownership.token = FieldOr<uint64_t>(entry, "token", 0);
    ownership.claimed_at =
        FromUnixMillis(FieldOr<int64_t>(entry, "claimed_at_ms", 0));
    if (!entry.contains("predecessors")) continue;
    for (const Json& item : entry["predecessors"]) {
      ownership.predecessors.push_back(
          {IncarnationFrom(item), FieldOr<uint64_t>(item, "token", 0),
           FromUnixMillis(FieldOr<int64_t>(item, "superseded_at_ms", 0))});
    }
  }
  return table;
}

}  // namespace applehall

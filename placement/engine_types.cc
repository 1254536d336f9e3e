#include "placement/engine_types.h"

#include <array>

namespace applehall {
namespace {

constexpr std::array<const char*, kCheckpointTiers> kTierNames = {
    "memory", "disk", "remote"};
constexpr std::array<const char*, 3> kKindNames = {"load", "unload", "inspect"};
constexpr std::array<const char*, 10> kResultNames = {
    "accepted", "done",    "stale_fence",   "wrong_incarnation", "no_memory",
    "busy",     "no_base", "unknown_model", "load_failed",       "unanswered"};

template <typename Enum, size_t kSize>
Enum FromName(const std::array<const char*, kSize>& names,
              std::string_view name, Enum fallback) {
  for (size_t i = 0; i < kSize; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return fallback;
}

Json ReplicaJson(const Replica& replica, TimePoint now) {
  Json json{{"name", replica.name},
            {"bytes", replica.bytes},
            {"loading", replica.state == ReplicaState::kLoading},
            {"running", replica.running},
            {"idle_ms", ToMillis(now - replica.last_used)}};
  if (!replica.base.empty()) json["base"] = replica.base;
  return json;
}

Replica ReplicaFrom(const Json& json, TimePoint now) {
  Replica replica;
  replica.name = FieldOr<std::string>(json, "name", "");
  replica.base = FieldOr<std::string>(json, "base", "");
  replica.bytes = FieldOr<uint64_t>(json, "bytes", 0);
  replica.state = FieldOr<bool>(json, "loading", false) ? ReplicaState::kLoading
                                                        : ReplicaState::kReady;
  replica.running = FieldOr<int>(json, "running", 0);
  replica.last_used =
      now - std::chrono::milliseconds(FieldOr<int64_t>(json, "idle_ms", 0));
  return replica;
}

}  // namespace

const char* TierName(CheckpointTier tier) {
  return kTierNames[static_cast<size_t>(tier)];
}

CheckpointTier TierFromName(std::string_view name) {
  return FromName(kTierNames, name, CheckpointTier::kRemote);
}

const char* OrderKindName(OrderKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

const char* OrderResultName(OrderResult result) {
  return kResultNames[static_cast<size_t>(result)];
}

Json EngineOrder::ToJson() const {
  return Json{{"id", id},
              {"kind", OrderKindName(kind)},
              {"engine_incarnation", engine_incarnation},
              {"token", fence.token},
              {"sequence", fence.sequence},
              {"name", name},
              {"base", base},
              {"bytes", bytes}};
}

EngineOrder EngineOrder::FromJson(const Json& json) {
  EngineOrder order;
  order.id = FieldOr<std::string>(json, "id", "");
  order.kind = FromName(kKindNames, FieldOr<std::string>(json, "kind", ""),
                        OrderKind::kInspect);
  order.engine_incarnation = FieldOr<uint64_t>(json, "engine_incarnation", 0);
  order.fence = {FieldOr<uint64_t>(json, "token", 0),
                 FieldOr<uint64_t>(json, "sequence", 0)};
  order.name = FieldOr<std::string>(json, "name", "");
  order.base = FieldOr<std::string>(json, "base", "");
  order.bytes = FieldOr<uint64_t>(json, "bytes", 0);
  return order;
}

Json Inventory::ToJson(TimePoint now) const {
  Json json{{"engine", engine},
            {"incarnation", incarnation},
            {"sequence", sequence},
            {"token", highest_fence.token},
            {"token_sequence", highest_fence.sequence},
            {"memory_bytes", memory_bytes},
            {"kv_reserved_bytes", kv_reserved_bytes},
            {"slots", slots},
            {"running", running},
            {"queued", queued},
            {"replicas", Json::array()},
            {"results", Json::object()},
            {"tiers", Json::object()}};
  for (const Replica& replica : replicas) {
    json["replicas"].push_back(ReplicaJson(replica, now));
  }
  for (const auto& [id, result] : results) {
    json["results"][id] = OrderResultName(result);
  }
  for (const auto& [name, tier] : tiers) json["tiers"][name] = TierName(tier);
  return json;
}

Inventory Inventory::FromJson(const Json& json, TimePoint now) {
  Inventory inventory;
  inventory.engine = FieldOr<std::string>(json, "engine", "");
  inventory.incarnation = FieldOr<uint64_t>(json, "incarnation", 0);
  inventory.sequence = FieldOr<uint64_t>(json, "sequence", 0);
  inventory.highest_fence = {FieldOr<uint64_t>(json, "token", 0),
                             FieldOr<uint64_t>(json, "token_sequence", 0)};
  inventory.memory_bytes = FieldOr<uint64_t>(json, "memory_bytes", 0);
  inventory.kv_reserved_bytes = FieldOr<uint64_t>(json, "kv_reserved_bytes", 0);
  inventory.slots = FieldOr<int>(json, "slots", 0);
  inventory.running = FieldOr<int>(json, "running", 0);
  inventory.queued = FieldOr<int>(json, "queued", 0);
  if (json.contains("replicas") && json["replicas"].is_array()) {
    for (const Json& item : json["replicas"]) {
      inventory.replicas.push_back(ReplicaFrom(item, now));
    }
  }
  if (json.contains("results") && json["results"].is_object()) {
    for (const auto& [id, name] : json["results"].items()) {
      if (!name.is_string()) continue;
      inventory.results[id] = FromName(kResultNames, name.get<std::string>(),
                                       OrderResult::kAccepted);
    }
  }
  if (json.contains("tiers") && json["tiers"].is_object()) {
    for (const auto& [name, tier] : json["tiers"].items()) {
      if (tier.is_string()) {
        inventory.tiers[name] = TierFromName(tier.get<std::string>());
      }
    }
  }
  return inventory;
}

}  // namespace applehall

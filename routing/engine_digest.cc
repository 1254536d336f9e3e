#include "routing/engine_digest.h"

namespace applehall {

bool EngineDigest::HasSameContent(const EngineDigest& other) const {
  return DiffersOnlyInLoad(other) && running == other.running &&
         queued == other.queued;
}

bool EngineDigest::DiffersOnlyInLoad(const EngineDigest& other) const {
  return engine == other.engine && address == other.address &&
         incarnation == other.incarnation && token == other.token &&
         slots == other.slots && is_leaving == other.is_leaving &&
         ready == other.ready;
}

// Keys are single letters because digests are the largest part of a host's
// traffic.
Json EngineDigest::ToJson() const {
  Json json{{"b", base_sequence}, {"e", engine},  {"a", address},
            {"i", incarnation},   {"t", token},   {"s", sequence},
            {"n", slots},         {"r", running}, {"m", ready}};
  if (queued != 0) json["q"] = queued;
  if (is_leaving) json["l"] = true;
  return json;
}

Json EngineDigest::LoadToJson() const {
  Json json{{"b", base_sequence},
            {"e", engine},
            {"t", token},
            {"s", sequence},
            {"r", running}};
  if (queued != 0) json["q"] = queued;
  return json;
}

bool EngineDigest::IsLoadOnly(const Json& json) { return !json.contains("m"); }

EngineDigest EngineDigest::FromJson(const Json& json) {
  EngineDigest digest;
  digest.engine = FieldOr<std::string>(json, "e", "");
  digest.address = FieldOr<std::string>(json, "a", "");
  digest.incarnation = FieldOr<uint64_t>(json, "i", 0);
  digest.token = FieldOr<uint64_t>(json, "t", 0);
  digest.sequence = FieldOr<uint64_t>(json, "s", 0);
  digest.base_sequence = FieldOr<uint64_t>(json, "b", 0);
  digest.slots = FieldOr<int>(json, "n", 0);
  digest.running = FieldOr<int>(json, "r", 0);
  digest.queued = FieldOr<int>(json, "q", 0);
  digest.is_leaving = FieldOr<bool>(json, "l", false);
  const auto ready = json.find("m");
  if (ready == json.end() || !ready->is_array()) return digest;
  for (const Json& name : *ready) {
    if (name.is_string()) digest.ready.push_back(name.get<std::string>());
  }
  return digest;
}

}  // namespace applehall

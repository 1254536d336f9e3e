#ifndef APPLEHALL_ROUTING_ENGINE_DIGEST_H_
#define APPLEHALL_ROUTING_ENGINE_DIGEST_H_

#include <string>
#include <vector>

#include "core/json.h"
#include "placement/engine_types.h"

namespace applehall {

inline constexpr char kServicePrefix[] = "service:";

// What requests to a plain service need, as models have their names. Requires:
// nothing. Thread-safe.
inline std::string ServiceTarget(const std::string& service) {
  return kServicePrefix + service;
}
inline bool IsServiceTarget(const std::string& target) {
  return target.starts_with(kServicePrefix);
}

// What an owner tells the other hosts of its data centre about one engine.
// Versioned by (token, sequence): a later owner's digest beats an earlier
// one's, whatever the order of arrival.
struct EngineDigest {
  std::string engine;
  std::string address;
  // Empty where all engines of the view are equally near.
  std::string data_centre = {};
  uint64_t incarnation = 0;
  FencingToken token = 0;
  uint64_t sequence = 0;
  // The sequence at which anything but the load last changed.
  uint64_t base_sequence = 0;
  int slots = 0;
  int running = 0;
  int queued = 0;
  bool is_leaving = false;
  std::vector<std::string> ready;

  bool IsNewerThan(const EngineDigest& other) const {
    if (token != other.token) return token > other.token;
    return sequence > other.sequence;
  }
  // Equal but for its version: not worth sending again.
  bool SaysTheSame(const EngineDigest& other) const;
  // Equal but for version and load.
  bool DiffersOnlyInLoad(const EngineDigest& other) const;
  Json ToJson() const;
  // Only the load, for a peer that has the rest: a third of the bytes.
  Json LoadToJson() const;
  static bool IsLoadOnly(const Json& json);
  static EngineDigest FromJson(const Json& json);
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_ENGINE_DIGEST_H_

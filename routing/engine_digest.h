#ifndef APPLEHALL_ROUTING_ENGINE_DIGEST_H_
#define APPLEHALL_ROUTING_ENGINE_DIGEST_H_

#include <string>
#include <vector>

#include "core/json.h"
#include "placement/engine_types.h"

namespace applehall {

inline constexpr char kServicePrefix[] = "service:";

// Returns the target name of a plain service; a model's target is its name.
// Requires: nothing. Thread-safe.
inline std::string ServiceTarget(const std::string& service) {
  return kServicePrefix + service;
}
inline bool IsServiceTarget(const std::string& target) {
  return target.starts_with(kServicePrefix);
}

// State of one engine as its owner sends it to the other hosts of the data
// centre. Versioned by (token, sequence): a later owner's digest supersedes an
// earlier owner's in any order of arrival.
struct EngineDigest {
  std::string engine;
  std::string address;
  // Empty if all engines of the view are equally near.
  std::string data_centre = {};
  std::string version =
      {};  // Of its software, as far as the platform lists it.
  // New streams that may be resumed elsewhere do not begin here before.
  TimePoint streams_from = {};
  uint64_t incarnation = 0;
  FencingToken token = 0;
  uint64_t sequence = 0;
  // Sequence of the last change to anything but the load.
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
  // Returns whether both are equal except for the version, so that sending
  // again is unnecessary.
  bool HasSameContent(const EngineDigest& other) const;
  // Returns whether both are equal except for version and load.
  bool DiffersOnlyInLoad(const EngineDigest& other) const;
  Json ToJson() const;
  // Serialises only the load, for a peer that has the rest: a third of the
  // bytes.
  Json LoadToJson() const;
  static bool IsLoadOnly(const Json& json);
  static EngineDigest FromJson(const Json& json);
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_ENGINE_DIGEST_H_

#ifndef APPLEHALL_NODE_ENGINE_LOADS_H_
#define APPLEHALL_NODE_ENGINE_LOADS_H_

#include <map>
#include <string>

#include "core/json.h"

namespace applehall {

// Load of one engine, summed over all hosts.
struct EngineLoad {
  int running = 0;
  double arrivals = 0;  // Requests per second for its models.
};
using EngineLoads = std::map<std::string, EngineLoad>;  // Busy engines, by id.

// Encodes and decodes the form used in plans; malformed rows are skipped.
// Requires: nothing. Thread-safe.
Json LoadsToJson(const EngineLoads& loads);
EngineLoads LoadsFromJson(const Json& json);

}  // namespace applehall

#endif  // APPLEHALL_NODE_ENGINE_LOADS_H_

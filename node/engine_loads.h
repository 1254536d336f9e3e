#ifndef APPLEHALL_NODE_ENGINE_LOADS_H_
#define APPLEHALL_NODE_ENGINE_LOADS_H_

#include <map>
#include <string>

#include "core/json.h"

namespace applehall {

// What all hosts have under way at one engine.
struct EngineLoad {
  int running = 0;
  double arrivals = 0;  // Requests a second for what it holds.
};
using EngineLoads = std::map<std::string, EngineLoad>;  // Busy ones, by id.

// As plans carry them; malformed rows are left out. Requires: nothing.
// Thread-safe.
Json LoadsToJson(const EngineLoads& loads);
EngineLoads LoadsFromJson(const Json& json);

}  // namespace applehall

#endif  // APPLEHALL_NODE_ENGINE_LOADS_H_

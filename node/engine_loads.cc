#include "node/engine_loads.h"

namespace applehall {

Json LoadsToJson(const EngineLoads& loads) {
  Json json = Json::array();
  for (const auto& [id, load] : loads) {
    json.push_back(Json::array({id, load.running, load.arrivals}));
  }
  return json;
}

EngineLoads LoadsFromJson(const Json& json) {
  EngineLoads loads;
  if (!json.is_array()) return loads;
  for (const Json& row : json) {
    const bool is_row = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_number_integer() &&
                        row[2].is_number();
    if (!is_row) continue;
    loads[row[0].get<std::string>()] = {row[1].get<int>(),
                                        row[2].get<double>()};
  }
  return loads;
}

}  // namespace applehall

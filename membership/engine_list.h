#ifndef APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_
#define APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// One backend server, model engine or plain service, as the platform lists it.
// Models and adapters stand under the names of the catalogue.
struct ListedServer {
  std::string id;  // A restart may keep it; `started_at` tells them apart.
  // By the server's own time of day, so compared with the same id's alone;
  // the epoch if it is not told.
  TimePoint started_at;
  std::string service;
  std::string address;
  std::string data_centre;
  int slots = 0;
  bool is_engine = false;  // Holds models.
  bool is_leaving = false;
  // Models in its memory, each with its adapters.
  std::map<std::string, std::vector<std::string>> models;
  // Models of which it keeps a copy outside accelerator memory.
  std::vector<std::string> in_host_memory;
  std::vector<std::string> on_disk;
};

// `a` is of a later life than `b` of one server; false if either is not told.
// Thread-safe.
inline bool StartedAfter(TimePoint a, TimePoint b) {
  return b != TimePoint{} && a > b;
}

// The listed backend servers by id.
using EngineList = std::map<std::string, ListedServer>;

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_

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
  std::string id;  // Of this incarnation; a restart has another.
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

// The listed backend servers by id.
using EngineList = std::map<std::string, ListedServer>;

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_

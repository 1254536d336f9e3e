#ifndef APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_
#define APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// One backend server, model engine or plain service, as the platform lists it.
// Models and adapters have their catalogue names.
struct ListedServer {
  std::string id;  // May survive a restart, which changes `started_at`.
  // By the server's own clock, so comparable only between entries with the same
  // id; the epoch if not reported.
  TimePoint started_at;
  std::string service;
  std::string version;  // Of its software; versions have no order.
  std::string address;
  std::string data_centre;
  int slots = 0;
  bool is_engine = false;  // Holds models.
  bool is_leaving = false;
  // Models in accelerator memory, each with its adapters.
  std::map<std::string, std::vector<std::string>> models;
  // Models with a copy outside accelerator memory.
  std::vector<std::string> in_host_memory;
  std::vector<std::string> on_disk;
};

// Whether `a` is the start of a later incarnation of a server than `b`; false
// if either is not reported. Thread-safe.
inline bool StartedAfter(TimePoint a, TimePoint b) {
  return b != TimePoint{} && a > b;
}

// The listed backend servers by id.
using EngineList = std::map<std::string, ListedServer>;

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_ENGINE_LIST_H_

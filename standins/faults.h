#ifndef APPLEHALL_STANDINS_FAULTS_H_
#define APPLEHALL_STANDINS_FAULTS_H_

#include <map>
#include <set>
#include <string>

#include "core/clock.h"

namespace applehall {

// Faults injected into one stand-in. Set by POST /fault.
struct Faults {
  Duration response_delay{0};  // Added before each request is handled.
  bool is_down = false;        // Closes connections without an answer.
  bool is_frozen = false;      // Accepts requests, answers after the fault.
  int lose_answers = 0;        // The next requests take effect unanswered.
  int duplicate = 0;           // The next requests take effect twice.
  int break_streams = 0;       // The next streams break midway.
  int reorder = 0;             // The next answers are overtaken by later ones.
  std::set<std::string> unreachable_from;  // Data centres whose requests fail.
};

// Faults keyed by the stand-in's name ("log", "hosts", "store", an engine,
// ...).
using FaultTable = std::map<std::string, Faults>;

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAULTS_H_

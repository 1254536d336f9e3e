#ifndef APPLEHALL_STANDINS_FAULTS_H_
#define APPLEHALL_STANDINS_FAULTS_H_

#include <map>
#include <set>
#include <string>

#include "core/clock.h"

namespace applehall {

// What is wrong with one stand-in at the moment. Set by POST /fault.
struct Faults {
  Duration slow{0};        // Each answer is this much later.
  bool is_down = false;    // Answers nothing; connections are closed.
  bool is_frozen = false;  // Takes requests and never answers them.
  int lose_answers = 0;    // The next answers are lost after the effect.
  int duplicate = 0;       // The next requests take effect twice.
  int break_streams = 0;   // The next streams break midway.
  int reorder = 0;         // The next answers wait for the one after them.
  std::set<std::string> cut_from;  // Data centres that cannot reach it.
};

// Faults by the stand-in's name ("log", "hosts", "store", an engine, ...).
using FaultTable = std::map<std::string, Faults>;

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAULTS_H_

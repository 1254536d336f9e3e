#ifndef APPLEHALL_ADMISSION_SERVER_LOAD_H_
#define APPLEHALL_ADMISSION_SERVER_LOAD_H_

#include <optional>

namespace applehall {

// Load of a backend server as it stated it in one answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes there at this moment, relative to its usual time;
  // nothing if the server does not say.
  std::optional<double> slowdown = std::nullopt;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_SERVER_LOAD_H_

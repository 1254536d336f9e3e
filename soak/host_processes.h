#ifndef APPLEHALL_SOAK_HOST_PROCESSES_H_
#define APPLEHALL_SOAK_HOST_PROCESSES_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "core/settings_reader.h"

namespace applehall {

// The entry hosts of one soak, as processes of their own. Signals go only to
// processes that were started here, by their ids. Not thread-safe.
class HostProcesses {
 public:
  // Settings and logs go into `folder`.
  HostProcesses(std::string daemon, std::string folder, uint64_t seed);
  // Kills what still runs.
  ~HostProcesses();

  // Adds a host that talks to the store at `store`; it is not started yet.
  // Returns its index.
  int Add(const Address& store);
  void Start(int host);
  // Sends a signal if the host runs.
  void Signal(int host, int signal);
  // Takes note of hosts that ended; true if `host` runs.
  bool IsRunning(int host);
  // Hosts that ended without having been told to.
  int own_ends() const { return own_ends_; }
  Address callers(int host) const { return hosts_[host].callers; }
  int count() const { return static_cast<int>(hosts_.size()); }

 private:
  struct Host {
    std::string name;
    std::string settings_path;
    Address callers;
    pid_t process = 0;
    bool is_told_to_end = false;
  };

  std::string daemon_;
  std::string folder_;
  std::vector<Host> hosts_;
  uint16_t next_port_;
  int own_ends_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_HOST_PROCESSES_H_

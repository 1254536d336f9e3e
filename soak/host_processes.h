#ifndef APPLEHALL_SOAK_HOST_PROCESSES_H_
#define APPLEHALL_SOAK_HOST_PROCESSES_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/settings_reader.h"

namespace applehall {

// Runs the entry hosts of one soak as child processes. Signals only processes
// that it started, by their ids. Not thread-safe.
class HostProcesses {
 public:
  // Writes settings and logs into `folder`.
  HostProcesses(std::string daemon, std::string folder, uint64_t seed);
  // Kills the processes that still run.
  ~HostProcesses();

  // Adds a host that uses the store at `store`, without starting it, and runs
  // without the policies in `policies_off`. Returns its index.
  int Add(const Address& store, const std::string& policies_off);
  // As above, with the limits of the host's machine, as in its settings.
  int Add(const Address& store, const std::string& policies_off,
          const Json& limits);
  void Start(int host);
  // Sends a signal if the host runs.
  void Signal(int host, int signal);
  // Returns true if `host` runs; records its exit otherwise.
  bool IsRunning(int host);
  // Number of exits that no signal had requested.
  int unexpected_exits() const { return unexpected_exits_; }
  Address caller_address(int host) const { return hosts_[host].caller_address; }
  // The address under `key` in the settings of the host, such as "readiness".
  Address address(int host, const std::string& key) const {
    return hosts_[host].addresses.at(key);
  }
  // Zero while the host does not run.
  pid_t process(int host) const { return hosts_[host].process; }
  int count() const { return static_cast<int>(hosts_.size()); }

 private:
  struct Host {
    std::string name;
    std::string settings_path;
    Address caller_address;
    std::map<std::string, Address> addresses;
    pid_t process = 0;
    bool is_stop_requested = false;
  };

  std::string daemon_;
  std::string folder_;
  std::vector<Host> hosts_;
  uint16_t next_port_;
  int unexpected_exits_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_HOST_PROCESSES_H_

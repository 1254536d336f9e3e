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
  // Starts a new process of the host while the present one, if any, still
  // stops. Does nothing if the present one was not asked to stop.
  void StartBeside(int host);
  // Sends a signal if the host runs.
  void Signal(int host, int signal);
  // Returns true if `host` runs; records its exit otherwise.
  bool IsRunning(int host);
  // Returns true if a process of `host` still runs, also an earlier one.
  bool HasProcess(int host);
  // Returns true if the host's program blocks, catches or ignores `signal`.
  bool TakesSignal(int host, int signal) const;
  // Writes only the first half of the host's settings, or all of them.
  void CutSettings(int host) const;
  void RestoreSettings(int host) const;
  // Ends of processes that were not killed, other than those with code 0 after
  // a request to stop: host and wait status, such as "edge-1 signal 1".
  const std::vector<std::string>& unexpected_ends() const {
    return unexpected_ends_;
  }
  Address caller_address(int host) const { return hosts_[host].caller_address; }
  // The address under `key` in the settings of the host, such as "readiness".
  Address address(int host, const std::string& key) const {
    return hosts_[host].addresses.at(key);
  }
  // Zero while the host does not run.
  pid_t process(int host) const { return hosts_[host].process.id; }
  int count() const { return static_cast<int>(hosts_.size()); }

 private:
  struct Process {
    pid_t id = 0;  // Zero: none.
    bool is_stop_requested = false;
    bool is_killed = false;
  };
  struct Host {
    std::string name;
    std::string settings_path;
    std::string settings;
    Address caller_address;
    std::map<std::string, Address> addresses;
    Process process;
    std::vector<Process> earlier;  // Still running beside `process`.
  };

  // Returns true if the process runs; otherwise records how it ended.
  bool Check(const Host& host, Process& process);

  std::string daemon_;
  std::string folder_;
  std::vector<Host> hosts_;
  uint16_t next_port_;
  std::vector<std::string> unexpected_ends_;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_HOST_PROCESSES_H_

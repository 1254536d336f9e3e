#ifndef APPLEHALL_TESTS_PROCESSES_DAEMON_PROCESS_H_
#define APPLEHALL_TESTS_PROCESSES_DAEMON_PROCESS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/settings_reader.h"

namespace applehall {

// One daemon as a child process, from its start to the exit status. Signals
// only the process that it started. Not thread-safe.
class DaemonProcess {
 public:
  // `log_path` receives standard output and standard error.
  DaemonProcess(std::string program, std::vector<std::string> arguments,
                std::string log_path);
  // Kills the process if it still runs.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  // Makes `descriptor` the standard output of the next start; it stays open
  // here. Standard error goes on to the log.
  void SetOutput(int descriptor) { output_ = descriptor; }
  // Starts without standard input, output and error.
  void CloseStandardStreams() { has_streams_ = false; }
  // Limits a resource, such as RLIMIT_FSIZE, of the next start.
  void Limit(int resource, rlim_t limit) { limits_[resource] = limit; }
  // Makes `signal` pending and blocked at the next starts.
  void SetPendingSignal(int signal) { pending_signal_ = signal; }

  // Starts the process. Requires: it does not run.
  void Start();
  // Sends a signal if the process runs.
  void Signal(int signal);
  // Returns the wait status once the process has ended; nullopt if it still
  // runs after `limit`.
  std::optional<int> AwaitExit(std::chrono::milliseconds limit);
  bool IsRunning() {
    return !AwaitExit(std::chrono::milliseconds(0)).has_value();
  }
  // Waits until the log has `text`; returns false after `limit`.
  bool AwaitLog(const std::string& text, std::chrono::milliseconds limit);
  // Returns what the process has written so far, over all its starts.
  std::string Log() const;
  pid_t id() const { return process_; }

 private:
  std::string program_;
  std::vector<std::string> arguments_;
  std::string log_path_;
  int output_ = -1;
  bool has_streams_ = true;
  std::map<int, rlim_t> limits_;
  int pending_signal_ = 0;
  pid_t process_ = 0;
  std::optional<int> status_;
};

// Returns a wait status as text, such as "exit code 3" or "signal 13".
std::string DescribeWaitStatus(std::optional<int> status);

// The settings of one entry host on loopback with ports that are free now, and
// the folder that holds them. Removes the folder at its end.
class EdgeFixture {
 public:
  EdgeFixture();
  ~EdgeFixture();
  EdgeFixture(const EdgeFixture&) = delete;
  EdgeFixture& operator=(const EdgeFixture&) = delete;

  // Writes the settings file again after a change.
  void WriteSettings() const;
  Json& settings() { return settings_; }
  const std::string& folder() const { return folder_; }
  std::string settings_path() const { return folder_ + "/edge.json"; }
  std::string log_path() const { return folder_ + "/edge.log"; }
  // The address under a key such as "readiness".
  Address address(const std::string& key) const;
  // The arguments of the daemon.
  std::vector<std::string> arguments() const {
    return {"--config", settings_path()};
  }

 private:
  std::string folder_;
  Json settings_;
};

// Returns a port of loopback that nothing listens on now.
uint16_t FreePort();

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PROCESSES_DAEMON_PROCESS_H_

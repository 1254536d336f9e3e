#include "soak/host_processes.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "core/json.h"

extern char** environ;

namespace applehall {
namespace {

// Below the kernel's ephemeral ports. A port from that range that had been
// probed and released here was taken by another host's listener.
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kPortsPerRange = 1000;
constexpr uint64_t kRanges = 20;

bool IsFree(uint16_t port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool is_free = ::bind(listener, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
  ::close(listener);
  return is_free;
}

uint16_t AllocatePort(uint16_t& next) {
  while (!IsFree(next)) ++next;
  return next++;
}

}  // namespace

// Concurrent soaks use consecutive seeds and therefore different port ranges.
// With ranges by process id, two soaks collided and hosts failed to restart.
HostProcesses::HostProcesses(std::string daemon, std::string folder,
                             uint64_t seed)
    : daemon_(std::move(daemon)),
      folder_(std::move(folder)),
      next_port_(static_cast<uint16_t>(kFirstPort +
                                       seed % kRanges * kPortsPerRange)) {}

HostProcesses::~HostProcesses() {
  for (Host& host : hosts_) {
    host.earlier.push_back(host.process);
    for (const Process& process : host.earlier) {
      if (process.id == 0) continue;
      ::kill(process.id, SIGKILL);
      ::waitpid(process.id, nullptr, 0);
    }
  }
}

int HostProcesses::Add(const Address& store, const std::string& policies_off) {
  return Add(store, policies_off, Json());
}

int HostProcesses::Add(const Address& store, const std::string& policies_off,
                       const Json& limits) {
  Host host;
  host.name = absl::StrCat("edge-", hosts_.size());
  host.settings_path = absl::StrCat(folder_, "/", host.name, ".json");
  host.caller_address = {"127.0.0.1", AllocatePort(next_port_)};
  host.addresses["callers"] = host.caller_address;
  for (const char* key : {"readiness", "operators", "peers", "forwards"}) {
    host.addresses[key] = {"127.0.0.1", AllocatePort(next_port_)};
  }
  Json settings{{"host", host.name},
                {"data_centre", "hall"},
                {"ip", "127.0.0.1"},
                {"store", store.ToString()},
                {"policies_off", policies_off},
                {"shared_key", "soak-soak-soak-soak"},
                {"cpu_share", 0.25},
                {"grace_period_ms", 4000},
                {"order_lease_ms", 1000}};
  if (!limits.is_null()) settings["limits"] = limits;
  for (const auto& [key, address] : host.addresses) {
    settings[key] = address.ToString();
  }
  host.settings = settings.dump(1);
  hosts_.push_back(std::move(host));
  RestoreSettings(count() - 1);
  return count() - 1;
}

void HostProcesses::Start(int index) {
  Host& host = hosts_[index];
  if (IsRunning(index)) return;
  const std::string log = absl::StrCat(folder_, "/", host.name, ".log");
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  // Hosts must not inherit the stand-ins' sockets: a stopped server would still
  // accept connections.
  posix_spawn_file_actions_addclosefrom_np(&files, 3);
  char config[] = "--config";
  char* const arguments[] = {daemon_.data(), config, host.settings_path.data(),
                             nullptr};
  host.process = {};
  if (posix_spawn(&host.process.id, daemon_.c_str(), &files, nullptr, arguments,
                  environ) != 0) {
    host.process = {};
  }
  posix_spawn_file_actions_destroy(&files);
}

void HostProcesses::StartBeside(int index) {
  Host& host = hosts_[index];
  if (IsRunning(index)) {
    if (!host.process.is_stop_requested) return;
    host.earlier.push_back(host.process);
  }
  host.process = {};
  Start(index);
}

void HostProcesses::Signal(int index, int signal) {
  Process& process = hosts_[index].process;
  // It may have been frozen before the next process was started beside it.
  for (const Process& earlier : hosts_[index].earlier) {
    if (signal == SIGCONT && earlier.id != 0) ::kill(earlier.id, signal);
  }
  if (!IsRunning(index)) return;
  if (signal == SIGKILL) process.is_killed = true;
  if (signal == SIGTERM) process.is_stop_requested = true;
  ::kill(process.id, signal);
}

bool HostProcesses::Check(const Host& host, Process& process) {
  if (process.id == 0) return false;
  int status = 0;
  if (::waitpid(process.id, &status, WNOHANG) == 0) return true;
  const bool is_planned = process.is_stop_requested && WIFEXITED(status) &&
                          WEXITSTATUS(status) == 0;
  if (!process.is_killed && !is_planned) {
    unexpected_ends_.push_back(
        WIFSIGNALED(status)
            ? absl::StrCat(host.name, " signal ", WTERMSIG(status))
            : absl::StrCat(host.name, " exit code ", WEXITSTATUS(status)));
  }
  process = {};
  return false;
}

bool HostProcesses::IsRunning(int index) {
  Host& host = hosts_[index];
  return Check(host, host.process);
}

bool HostProcesses::HasProcess(int index) {
  Host& host = hosts_[index];
  std::erase_if(host.earlier, [this, &host](Process& process) {
    return !Check(host, process);
  });
  return IsRunning(index) || !host.earlier.empty();
}

bool HostProcesses::TakesSignal(int index, int signal) const {
  std::ifstream status(
      absl::StrCat("/proc/", hosts_[index].process.id, "/status"));
  uint64_t taken = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:") || line.starts_with("SigIgn:") ||
        line.starts_with("SigCgt:")) {
      taken |= std::strtoull(line.c_str() + std::string("SigBlk:").size(),
                             nullptr, 16);
    }
  }
  return (taken >> (signal - 1) & 1) != 0;
}

void HostProcesses::CutSettings(int index) const {
  const Host& host = hosts_[index];
  std::ofstream(host.settings_path)
      << host.settings.substr(0, host.settings.size() / 2);
}

void HostProcesses::RestoreSettings(int index) const {
  std::ofstream(hosts_[index].settings_path) << hosts_[index].settings;
}

}  // namespace applehall

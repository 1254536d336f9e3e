#include "tests/processes/daemon_process.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace applehall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{5};

}  // namespace

DaemonProcess::DaemonProcess(std::string program,
                             std::vector<std::string> arguments,
                             std::string log_path)
    : program_(std::move(program)),
      arguments_(std::move(arguments)),
      log_path_(std::move(log_path)) {}

DaemonProcess::~DaemonProcess() {
  if (process_ == 0 || status_) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

void DaemonProcess::Start() {
  std::vector<char*> arguments{program_.data()};
  for (std::string& argument : arguments_) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  const int log = ::open(log_path_.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  status_.reset();
  process_ = ::fork();
  if (process_ == 0) {
    // Only calls that are safe between fork and exec.
    ::dup2(output_ >= 0 ? output_ : log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(has_streams_ ? STDERR_FILENO + 1 : 0, ~0U, 0);
    for (const auto& [resource, limit] : limits_) {
      const rlimit both{limit, limit};
      ::setrlimit(static_cast<__rlimit_resource>(resource), &both);
    }
    if (pending_signal_ != 0) {
      sigset_t blocked;
      sigemptyset(&blocked);
      sigaddset(&blocked, pending_signal_);
      ::sigprocmask(SIG_BLOCK, &blocked, nullptr);
      ::kill(::getpid(), pending_signal_);
    }
    ::execv(program_.c_str(), arguments.data());
    ::_exit(127);
  }
  ::close(log);
}

void DaemonProcess::Signal(int signal) {
  if (IsRunning()) ::kill(process_, signal);
}

std::optional<int> DaemonProcess::AwaitExit(milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!status_) {
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) == process_) {
      status_ = status;
      break;
    }
    if (std::chrono::steady_clock::now() >= end) return std::nullopt;
    ::usleep(static_cast<useconds_t>(
        std::chrono::microseconds(kPollInterval).count()));
  }
  return status_;
}

bool DaemonProcess::AwaitLog(const std::string& text, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (Log().find(text) == std::string::npos) {
    if (std::chrono::steady_clock::now() >= end) return false;
    ::usleep(static_cast<useconds_t>(
        std::chrono::microseconds(kPollInterval).count()));
  }
  return true;
}

std::string DaemonProcess::Log() const {
  const absl::StatusOr<std::string> text = ReadFile(log_path_);
  return text.ok() ? *text : "";
}

std::string DescribeWaitStatus(std::optional<int> status) {
  if (!status) return "runs";
  if (WIFSIGNALED(*status)) return absl::StrCat("signal ", WTERMSIG(*status));
  return absl::StrCat("exit code ", WEXITSTATUS(*status));
}

uint16_t FreePort() {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(listener);
  return ntohs(address.sin_port);
}

EdgeFixture::EdgeFixture() {
  folder_ = testing::TempDir() + "applehall-XXXXXX";
  if (::mkdtemp(folder_.data()) == nullptr) ADD_FAILURE() << "no folder";
  settings_ = Json{{"host", "edge-0"},
                   {"data_centre", "hall"},
                   {"ip", "127.0.0.1"},
                   {"store", absl::StrCat("127.0.0.1:", FreePort())},
                   {"shared_key", "test-test-test-test"},
                   {"grace_period_ms", 4000}};
  for (const char* key :
       {"callers", "readiness", "operators", "peers", "forwards"}) {
    settings_[key] = absl::StrCat("127.0.0.1:", FreePort());
  }
  WriteSettings();
}

EdgeFixture::~EdgeFixture() {
  if (testing::Test::HasFailure()) return;
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void EdgeFixture::WriteSettings() const {
  std::ofstream(settings_path()) << settings_.dump(1);
}

Address EdgeFixture::address(const std::string& key) const {
  return *ParseAddress(settings_.at(key).get<std::string>());
}

}  // namespace applehall

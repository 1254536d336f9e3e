// How daemons start and end, as real processes.

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

#include "tests/processes/daemon_process.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// Bounds for what takes milliseconds; only a process that hangs reaches them.
constexpr seconds kLimit{20};
constexpr int kStopsUnderSignals = 3;
constexpr useconds_t kSignalPauseMicros = 200;
constexpr int kMaxConnects = 2000;

// Waits until something listens at an address.
bool AwaitListener(const Address& address) {
  for (int i = 0; i < kMaxConnects; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    const bool is_connected =
        ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
    ::close(socket);
    if (is_connected) return true;
    ::usleep(10000);
  }
  return false;
}

// Guards against a planned stop that does not end with exit code 0.
TEST(ProcessEndTest, PlannedStopEndsWithCodeZero) {
  EdgeFixture edge;
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  process.Signal(SIGTERM);
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

// Guards against a planned stop that ends by a signal, since the handlers are
// gone before the process is.
TEST(ProcessEndTest, SignalsUntilTheEndDoNotChangeTheExitCode) {
  for (int i = 0; i < kStopsUnderSignals; ++i) {
    EdgeFixture edge;
    DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
    process.Start();
    ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
    process.Signal(SIGTERM);
    while (process.IsRunning()) {
      ::kill(process.id(), SIGTERM);
      ::kill(process.id(), SIGHUP);
      ::usleep(kSignalPauseMicros);
    }
    EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
  }
}

// Guards against sockets that get the descriptors of closed standard streams,
// and log lines that are written into them.
TEST(ProcessEndTest, ClosedStandardStreamsAreTheNullDevice) {
  EdgeFixture edge;
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.CloseStandardStreams();
  process.Start();
  ASSERT_TRUE(AwaitListener(edge.address("readiness")));
  for (int stream = 0; stream <= 2; ++stream) {
    std::error_code error;
    const auto target = std::filesystem::read_symlink(
        absl::StrCat("/proc/", process.id(), "/fd/", stream), error);
    EXPECT_EQ(target, "/dev/null") << "descriptor " << stream;
  }
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

// Guards against a process that acts as its host beside an earlier process of
// it: orders of both, under one name, would reach engines at the same time.
TEST(ProcessEndTest, SecondProcessOfAHostDoesNotActUntilTheFirstHasEnded) {
  EdgeFixture edge;
  const std::string second_log = edge.folder() + "/second.log";
  DaemonProcess first(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  DaemonProcess second(APPLEHALL_EDGED, edge.arguments(), second_log);
  first.Start();
  ASSERT_TRUE(first.AwaitLog("event=store_lost", kLimit)) << first.Log();
  second.Start();
  ASSERT_TRUE(second.AwaitLog("listener=callers", kLimit)) << second.Log();
  // A node that had begun would have lost the store in the time that the
  // first one took, and a stop of it would take as long as the first one's.
  first.Signal(SIGTERM);
  ASSERT_EQ(DescribeWaitStatus(first.AwaitExit(kLimit)), "exit code 0");
  ASSERT_TRUE(second.AwaitLog("event=serving", kLimit)) << second.Log();
  ASSERT_TRUE(second.AwaitLog("event=store_lost", kLimit)) << second.Log();
  const std::string log = second.Log();
  EXPECT_LT(log.find("event=serving"), log.find("event=store_lost"));
  second.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(second.AwaitExit(kLimit)), "exit code 0");
}

}  // namespace
}  // namespace applehall

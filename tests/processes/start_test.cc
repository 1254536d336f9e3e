// Starts that meet ports that are taken and settings that are being written.

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <thread>

#include "drivers/http_client.h"
#include "soak/platform_standin.h"
#include "tests/processes/daemon_process.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// Bounds for what takes milliseconds; only a process that hangs reaches them.
constexpr seconds kLimit{20};
constexpr useconds_t kPollMicros = 5000;
constexpr const char* kEdgeListeners[] = {"callers", "readiness", "operators",
                                          "peers", "forwards"};
constexpr const char* kDaemonListeners[] = {"callers", "operators", "peers"};

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Holds a port of loopback until its end, as a listener or as the own end of
// an established connection.
class PortHolder {
 public:
  enum class Kind { kListener, kConnection };

  PortHolder(uint16_t port, Kind kind) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in own = Loopback(port);
    EXPECT_EQ(
        ::bind(socket_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)),
        0);
    if (kind == Kind::kListener) {
      EXPECT_EQ(::listen(socket_, 1), 0);
      return;
    }
    peer_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(::listen(peer_, 1), 0);
    sockaddr_in remote{};
    socklen_t size = sizeof(remote);
    ::getsockname(peer_, reinterpret_cast<sockaddr*>(&remote), &size);
    remote = Loopback(ntohs(remote.sin_port));
    EXPECT_EQ(::connect(socket_, reinterpret_cast<const sockaddr*>(&remote),
                        sizeof(remote)),
              0);
    // A reset frees the port at once.
    const linger reset{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  ~PortHolder() {
    ::close(socket_);
    if (peer_ >= 0) ::close(peer_);
  }
  PortHolder(const PortHolder&) = delete;
  PortHolder& operator=(const PortHolder&) = delete;

 private:
  int socket_ = -1;
  int peer_ = -1;
};

using PortHolders = std::vector<std::unique_ptr<PortHolder>>;

std::string Line(const std::string& event, const std::string& listener) {
  return absl::StrCat("event=", event, " listener=", listener, " ");
}

HttpResult Request(const Address& address, const std::string& method,
                   const std::string& target) {
  HttpCall call;
  call.address = address;
  call.request.method = method;
  call.request.target = target;
  call.request.headers["host"] = "soak.example";
  call.request.headers["x-attempt-id"] = "r1";
  call.request.headers["x-deadline-ms"] = "4000";
  return FetchBlocking(call);
}

// Waits until a request gets `status`; zero stands for no answer.
bool AwaitStatus(const Address& address, const std::string& method,
                 const std::string& target, int status) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (std::chrono::steady_clock::now() < end) {
    const HttpResult result = Request(address, method, target);
    const int found =
        result.state == SendState::kAnswered ? result.response.status : 0;
    if (found == status) return true;
    ::usleep(kPollMicros);
  }
  return false;
}

// The settings of applehalld, whose platform cannot be reached.
Json DaemonSettingsJson() {
  Json settings{{"host", "host-0"},
                {"data_centre", "hall"},
                {"shared_key", "test-test-test-test"}};
  for (const char* key : kDaemonListeners) {
    settings[key] = absl::StrCat("127.0.0.1:", FreePort());
  }
  for (const char* key : {"log", "hosts", "store"}) {
    settings["platform"][key] = absl::StrCat("127.0.0.1:", FreePort());
  }
  return settings;
}

struct TakenPort {
  const char* listener;
  PortHolder::Kind kind;
};

class EdgePortTest : public testing::TestWithParam<TakenPort> {};

// Guards against a process that ends because one of its ports is taken, and
// against one that does not use the port when it is free.
TEST_P(EdgePortTest, ProcessWaitsForTakenPort) {
  EdgeFixture edge;
  const TakenPort taken = GetParam();
  auto holder = std::make_unique<PortHolder>(edge.address(taken.listener).port,
                                             taken.kind);
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  EXPECT_TRUE(
      process.AwaitLog(Line("listener_unavailable", taken.listener), kLimit))
      << process.Log();
  const bool has_operators = std::string(taken.listener) != "operators";
  if (has_operators) {
    EXPECT_TRUE(AwaitStatus(edge.address("operators"), "GET", "/metrics", 200));
    const std::string metrics =
        Request(edge.address("operators"), "GET", "/metrics").response.body;
    for (const char* listener : kEdgeListeners) {
      const int bound = std::string(listener) == taken.listener ? 0 : 1;
      EXPECT_NE(metrics.find(absl::StrCat("listener_bound{listener=\"",
                                          listener, "\"} ", bound, "\n")),
                std::string::npos)
          << metrics;
    }
  }
  holder.reset();
  EXPECT_TRUE(process.AwaitLog(Line("listener_bound", taken.listener), kLimit))
      << process.Log();
  EXPECT_TRUE(AwaitStatus(edge.address("operators"), "GET", "/metrics", 200));
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

INSTANTIATE_TEST_SUITE_P(
    Start, EdgePortTest,
    testing::Values(TakenPort{"callers", PortHolder::Kind::kListener},
                    TakenPort{"callers", PortHolder::Kind::kConnection},
                    TakenPort{"readiness", PortHolder::Kind::kListener},
                    TakenPort{"readiness", PortHolder::Kind::kConnection},
                    TakenPort{"operators", PortHolder::Kind::kListener},
                    TakenPort{"operators", PortHolder::Kind::kConnection},
                    TakenPort{"peers", PortHolder::Kind::kListener},
                    TakenPort{"peers", PortHolder::Kind::kConnection},
                    TakenPort{"forwards", PortHolder::Kind::kListener},
                    TakenPort{"forwards", PortHolder::Kind::kConnection}),
    [](const testing::TestParamInfo<TakenPort>& info) {
      return absl::StrCat(info.param.listener,
                          info.param.kind == PortHolder::Kind::kListener
                              ? "Listener"
                              : "Connection");
    });

// Guards against a process that ends, or that ignores SIGTERM, while all of
// its ports are taken.
TEST(StartTest, ProcessWithoutAnyPortStopsAsPlanned) {
  EdgeFixture edge;
  PortHolders holders;
  for (const char* listener : kEdgeListeners) {
    holders.push_back(std::make_unique<PortHolder>(
        edge.address(listener).port, PortHolder::Kind::kListener));
  }
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  for (const char* listener : kEdgeListeners) {
    EXPECT_TRUE(
        process.AwaitLog(Line("listener_unavailable", listener), kLimit))
        << process.Log();
  }
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

// Guards against a restart that fails because the earlier process of the host
// is still in its planned stop.
TEST(StartTest, ProcessTakesOverFromEarlierOneThatStops) {
  EdgeFixture edge;
  DaemonProcess earlier(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  earlier.Start();
  ASSERT_TRUE(earlier.AwaitLog("event=started", kLimit)) << earlier.Log();
  DaemonProcess later(APPLEHALL_EDGED, edge.arguments(),
                      edge.folder() + "/later.log");
  earlier.Signal(SIGTERM);
  later.Start();
  ASSERT_TRUE(later.AwaitLog("event=started", kLimit)) << later.Log();
  EXPECT_EQ(DescribeWaitStatus(earlier.AwaitExit(kLimit)), "exit code 0");
  for (const char* listener : kEdgeListeners) {
    EXPECT_TRUE(AwaitStatus(edge.address("operators"), "GET", "/metrics", 200));
    EXPECT_TRUE(later.AwaitLog(Line("listener_bound", listener), kLimit))
        << later.Log();
  }
  later.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(later.AwaitExit(kLimit)), "exit code 0");
}

// Guards against a host that reports to be ready while no caller can reach it.
TEST(StartTest, HostIsNotReadyWithoutCallersPort) {
  EdgeFixture edge;
  boost::asio::io_context io;
  PlatformStandin platform(io, /*seed=*/7, /*models=*/1);
  platform.PutConfig({});
  platform.StartEngine({"m0"});
  platform.StartApp();
  edge.settings()["store"] = platform.store_address().ToString();
  edge.WriteSettings();
  const auto work = boost::asio::make_work_guard(io);
  std::thread thread([&io] { io.run(); });
  auto holder = std::make_unique<PortHolder>(edge.address("callers").port,
                                             PortHolder::Kind::kListener);
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  EXPECT_TRUE(process.AwaitLog(Line("listener_unavailable", "callers"), kLimit))
      << process.Log();
  EXPECT_TRUE(AwaitStatus(edge.address("readiness"), "GET", "/", 503));
  EXPECT_TRUE(process.IsRunning());
  EXPECT_EQ(process.Log().find("event=rules_in_force"), std::string::npos);
  EXPECT_EQ(process.Log().find(Line("listener_bound", "callers")),
            std::string::npos);
  holder.reset();
  EXPECT_TRUE(AwaitStatus(edge.address("readiness"), "GET", "/", 200))
      << process.Log();
  EXPECT_TRUE(AwaitStatus(edge.address("callers"), "POST", "/again/x", 200))
      << process.Log();
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
  io.stop();
  thread.join();
}

// Guards against a process that waits for a port that it can never have, and
// against an error that names neither the setting nor the address.
TEST(StartTest, PortThatCannotBeBoundEndsTheStart) {
  EdgeFixture edge;
  // An address of a link, without the interface of that link.
  edge.settings()["operators"] = "fe80::1:9";
  edge.WriteSettings();
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 3");
  EXPECT_NE(process.Log().find("operators: cannot listen on fe80::1:9: "),
            std::string::npos)
      << process.Log();
}

// Guards against an applehalld that ends because its ports are taken.
TEST(StartTest, DaemonWaitsForItsPorts) {
  EdgeFixture folder;
  folder.settings() = DaemonSettingsJson();
  folder.WriteSettings();
  PortHolders holders;
  for (const char* listener : kDaemonListeners) {
    holders.push_back(std::make_unique<PortHolder>(
        folder.address(listener).port, PortHolder::Kind::kListener));
  }
  DaemonProcess process(APPLEHALLD, folder.arguments(), folder.log_path());
  process.Start();
  for (const char* listener : kDaemonListeners) {
    EXPECT_TRUE(
        process.AwaitLog(Line("listener_unavailable", listener), kLimit))
        << process.Log();
  }
  EXPECT_TRUE(process.IsRunning());
  EXPECT_EQ(process.Log().find("event=started"), std::string::npos);
  holders.clear();
  EXPECT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  for (const char* listener : kDaemonListeners) {
    EXPECT_TRUE(process.AwaitLog(Line("listener_bound", listener), kLimit))
        << process.Log();
  }
  EXPECT_TRUE(AwaitStatus(folder.address("operators"), "GET", "/metrics", 200));
  const std::string metrics =
      Request(folder.address("operators"), "GET", "/metrics").response.body;
  for (const char* listener : kDaemonListeners) {
    EXPECT_NE(metrics.find(absl::StrCat("listener_bound{listener=\"", listener,
                                        "\"} 1\n")),
              std::string::npos)
        << metrics;
  }
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

// What of a settings file is there while it is being written.
enum class Written { kAbsent, kNothing, kOneByte, kHalf, kAllButOneByte };

void WritePart(const EdgeFixture& edge, Written part) {
  std::filesystem::remove(edge.settings_path());
  if (part == Written::kAbsent) return;
  edge.WriteSettings();
  const size_t size = std::filesystem::file_size(edge.settings_path());
  const std::map<Written, size_t> sizes{{Written::kNothing, 0},
                                        {Written::kOneByte, 1},
                                        {Written::kHalf, size / 2},
                                        {Written::kAllButOneByte, size - 1}};
  std::filesystem::resize_file(edge.settings_path(), sizes.at(part));
}

constexpr char kReadAgain[] = "reading it again";

class PartOfSettingsTest : public testing::TestWithParam<Written> {};

// Guards against a start that fails because its settings are being written.
TEST_P(PartOfSettingsTest, ProcessStartsOnceTheyAreWhole) {
  EdgeFixture edge;
  WritePart(edge, GetParam());
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog(kReadAgain, seconds(3))) << process.Log();
  edge.WriteSettings();
  EXPECT_TRUE(process.AwaitLog("event=started", seconds(10))) << process.Log();
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

INSTANTIATE_TEST_SUITE_P(Start, PartOfSettingsTest,
                         testing::Values(Written::kAbsent, Written::kNothing,
                                         Written::kOneByte, Written::kHalf,
                                         Written::kAllButOneByte));

// Guards against a wait without end for settings that stay wrong.
TEST(StartTest, SettingsThatStayCutEndTheStart) {
  EdgeFixture edge;
  WritePart(edge, Written::kHalf);
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  EXPECT_TRUE(process.AwaitLog(kReadAgain, seconds(3))) << process.Log();
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 2");
}

// Guards against a check of settings that waits for others.
TEST(StartTest, CheckOfCutSettingsDoesNotWait) {
  EdgeFixture edge;
  WritePart(edge, Written::kHalf);
  DaemonProcess process(APPLEHALL_EDGED,
                        {"--config", edge.settings_path(), "--check"},
                        edge.log_path());
  process.Start();
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 2");
  EXPECT_EQ(process.Log().find(kReadAgain), std::string::npos);
}

// Guards against a stop that is ignored, or that counts as a failure, while a
// start waits for its settings.
TEST(StartTest, StopEndsTheWaitForSettings) {
  EdgeFixture edge;
  WritePart(edge, Written::kAbsent);
  for (const int signal : {SIGTERM, SIGINT}) {
    DaemonProcess process(APPLEHALL_EDGED, edge.arguments(),
                          absl::StrCat(edge.folder(), "/", signal, ".log"));
    process.Start();
    ASSERT_TRUE(process.AwaitLog(kReadAgain, seconds(3))) << process.Log();
    process.Signal(signal);
    EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
  }
}

// Guards against an applehalld that fails while its settings are written.
TEST(StartTest, DaemonWaitsForItsSettings) {
  EdgeFixture folder;
  folder.settings() = DaemonSettingsJson();
  WritePart(folder, Written::kHalf);
  DaemonProcess process(APPLEHALLD, folder.arguments(), folder.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog(kReadAgain, seconds(3))) << process.Log();
  folder.WriteSettings();
  EXPECT_TRUE(process.AwaitLog("event=started", seconds(10))) << process.Log();
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

// Guards against a running process that ends because its settings are written.
TEST(StartTest, SettingsThatAreCutWhileRunningAreReported) {
  EdgeFixture edge;
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  WritePart(edge, Written::kHalf);
  EXPECT_TRUE(process.AwaitLog("event=settings_rejected", kLimit));
  edge.WriteSettings();
  EXPECT_TRUE(process.AwaitLog("event=settings_reloaded", kLimit));
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

}  // namespace
}  // namespace applehall

// The part of Soak with signals and restarts in series.

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <boost/asio.hpp>
#include <string>

#include "drivers/sleep.h"
#include "soak/soak.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time at the end without restarts, so that callers are served again.
constexpr Duration kQuietTime = seconds(8);
constexpr Duration kPollInterval = milliseconds(1);
// A program that has not taken signals by then is signalled all the same.
constexpr Duration kMaxProgramStart = seconds(5);
// Of a planned stop: the grace period of the hosts and some more.
constexpr Duration kMaxStop = seconds(8);
constexpr Duration kMaxRestart = seconds(30);
constexpr Duration kLastStartPause = milliseconds(500);
constexpr int kMaxSeries = 5;
constexpr uint64_t kMaxOddKey = 6;      // Bytes.
constexpr uint64_t kMaxOddKeyPage = 5;  // Records of a page.
constexpr const char* kPorts[] = {"callers", "readiness", "operators", "peers",
                                  "forwards"};

enum class RestartForm : uint8_t {
  kReloads,  // Several SIGHUP.
  kStandStill,
  kKill,
  kKillAsItStarts,
  kStop,         // Waits for the end of the planned stop.
  kStopTwice,    // A second SIGTERM within the stop.
  kOverlap,      // The next process starts while the first one stops.
  kTakenPort,    // Another program listens on one of its ports.
  kCutSettings,  // The settings are being written as it starts.
};
constexpr uint64_t kRestartForms = 9;

}  // namespace

asio::awaitable<void> Soak::RunRestarts(int host) {
  // A separate generator keeps the faults of a seed the same without restarts.
  Random random(options_.seed * 1000 + static_cast<uint64_t>(host));
  Random keys(options_.seed * 7000 + static_cast<uint64_t>(host));
  ++restarts_running_;
  // Hosts are signalled as soon as they start, some before the store is known.
  while (clock_.Now() + kQuietTime < ends_at_) {
    Excuse(host, seconds(6));
    PutOddKey(keys);
    co_await RestartInSomeWay(host, random);
    if (!hosts_.IsRunning(host)) hosts_.Start(host);
    MarkDisturbed();
    co_await Sleep(io_, milliseconds(random.Below(3) == 0 ? random.Below(900)
                                                          : random.Below(40)));
  }
  // A process that was killed last may not have ended yet.
  co_await Sleep(io_, kLastStartPause);
  if (!hosts_.IsRunning(host)) hosts_.Start(host);
  --restarts_running_;
}

// The store's pages end at these keys, among others.
void Soak::PutOddKey(Random& random) {
  std::string key;
  for (uint64_t size = random.Below(kMaxOddKey + 1); size > 0; --size) {
    key += static_cast<char>(random.Below(256));
  }
  constexpr const char* kTopics[] = {"keyed.servers", kConfigTopic,
                                     "keyed.applehall-lease"};
  const char* topic = kTopics[random.Below(std::size(kTopics))];
  platform_.log().max_page_records = 1 + random.Below(kMaxOddKeyPage);
  // Some are dropped again.
  platform_.PutRecord(topic, key, random.Below(4) == 0 ? "" : "[no entry");
}

asio::awaitable<void> Soak::RestartInSomeWay(int host, Random& random) {
  const auto form = static_cast<RestartForm>(random.Below(kRestartForms));
  faults_.push_back(
      absl::StrCat("restart ", host, " form ", static_cast<int>(form)));
  if (form != RestartForm::kKillAsItStarts) co_await AwaitSignalsTaken(host);
  switch (form) {
    case RestartForm::kReloads:
      for (uint64_t i = 0; i <= random.Below(kMaxSeries); ++i) {
        hosts_.Signal(host, SIGHUP);
        co_await Sleep(io_, milliseconds(random.Below(10)));
      }
      break;
    case RestartForm::kStandStill:
      hosts_.Signal(host, SIGSTOP);
      co_await Sleep(io_, milliseconds(50 + random.Below(600)));
      hosts_.Signal(host, SIGCONT);
      break;
    case RestartForm::kKill:
    case RestartForm::kKillAsItStarts:
      hosts_.Signal(host, SIGKILL);
      break;
    case RestartForm::kStop:
    case RestartForm::kStopTwice: {
      hosts_.Signal(host, SIGTERM);
      co_await Sleep(io_, milliseconds(random.Below(300)));
      if (form == RestartForm::kStopTwice) hosts_.Signal(host, SIGTERM);
      const TimePoint latest = clock_.Now() + kMaxStop;
      while (hosts_.IsRunning(host) && clock_.Now() < latest) {
        co_await Sleep(io_, kPollInterval);
      }
      break;
    }
    case RestartForm::kOverlap:
      hosts_.Signal(host, SIGTERM);
      co_await Sleep(io_, milliseconds(random.Below(100)));
      hosts_.StartBeside(host);
      break;
    case RestartForm::kTakenPort:
      co_await StartBesideTakenPort(host, random);
      break;
    case RestartForm::kCutSettings:
      while (hosts_.IsRunning(host)) {
        hosts_.Signal(host, SIGKILL);
        co_await Sleep(io_, kPollInterval);
      }
      hosts_.CutSettings(host);
      hosts_.Start(host);
      co_await Sleep(io_, milliseconds(random.Below(100)));
      hosts_.RestoreSettings(host);
      break;
  }
}

asio::awaitable<void> Soak::StartBesideTakenPort(int host, Random& random) {
  using asio::ip::tcp;
  // Other faults may start the host meanwhile.
  while (hosts_.HasProcess(host)) {
    hosts_.Signal(host, SIGKILL);
    co_await Sleep(io_, kPollInterval);
  }
  const Address address =
      hosts_.address(host, kPorts[random.Below(std::size(kPorts))]);
  boost::system::error_code error;
  tcp::acceptor other(io_);
  other.open(tcp::v4(), error);
  other.set_option(tcp::acceptor::reuse_address(true), error);
  other.bind({asio::ip::make_address(address.ip), address.port}, error);
  if (!error) other.listen(tcp::acceptor::max_listen_connections, error);
  if (error) faults_.push_back("port not taken: " + error.message());
  hosts_.Start(host);
  co_await Sleep(io_, milliseconds(200 + random.Below(1300)));
}

// Before the program's first instruction signals end it, whatever it does.
asio::awaitable<void> Soak::AwaitSignalsTaken(int host) {
  const TimePoint latest = clock_.Now() + kMaxProgramStart;
  while (hosts_.IsRunning(host) && !hosts_.TakesSignal(host, SIGHUP) &&
         clock_.Now() < latest) {
    co_await Sleep(io_, kPollInterval);
  }
}

void Soak::StopAll(std::vector<std::string>& broken) {
  // A restart that goes on would start a host again.
  const TimePoint given_up = clock_.Now() + kMaxRestart;
  while (restarts_running_ > 0 && clock_.Now() < given_up) {
    io_.run_for(milliseconds(20));
    io_.restart();
  }
  if (restarts_running_ > 0) broken.push_back("HANG a restart does not end");
  for (int host = 0; host < hosts_.count(); ++host) {
    if (hosts_.IsRunning(host)) hosts_.Signal(host, SIGTERM);
  }
  const TimePoint latest = clock_.Now() + kMaxStop;
  for (int host = 0; host < hosts_.count(); ++host) {
    while (hosts_.HasProcess(host) && clock_.Now() < latest) {
      io_.run_for(milliseconds(20));
      io_.restart();
    }
    if (!hosts_.HasProcess(host)) continue;
    broken.push_back(absl::StrCat("STOP host ", host, " still runs"));
  }
}

}  // namespace applehall

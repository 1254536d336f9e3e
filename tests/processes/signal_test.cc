// Signals to the daemons, from their first instructions to their ends.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "drivers/http_client.h"
#include "tests/processes/daemon_process.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// Bounds for what takes milliseconds; only a process that hangs reaches them.
constexpr seconds kLimit{20};

// The parameter is the path of a daemon.
class SignalTest : public testing::TestWithParam<const char*> {
 protected:
  SignalTest() {
    if (GetParam() == std::string(APPLEHALLD)) {
      Json& settings = fixture_.settings();
      settings.erase("ip");
      settings.erase("store");
      settings.erase("readiness");
      settings.erase("forwards");
      settings.erase("grace_period_ms");
      for (const char* key : {"log", "hosts", "store"}) {
        settings["platform"][key] = "127.0.0.1:" + std::to_string(FreePort());
      }
      settings["timings"] = Json{{"drain_bound_ms", 1000}};
      fixture_.WriteSettings();
    }
  }

  // Starts the daemon and returns when it reads its settings, which it does
  // before its signal handlers are made. The settings are a FIFO until then.
  void StartHeld() {
    std::filesystem::remove(fixture_.settings_path());
    ASSERT_EQ(::mkfifo(fixture_.settings_path().c_str(), 0600), 0);
    process_.Start();
    settings_writer_ = ::open(fixture_.settings_path().c_str(), O_WRONLY);
    ASSERT_GE(settings_writer_, 0);
  }
  // Lets the daemon of StartHeld() read its settings.
  void Continue() {
    std::filesystem::remove(fixture_.settings_path());
    fixture_.WriteSettings();
    const std::string text = fixture_.settings().dump();
    // Fails if the process has ended. Restored, since children inherit it.
    const sighandler_t action = ::signal(SIGPIPE, SIG_IGN);
    (void)!::write(settings_writer_, text.data(), text.size());
    ::signal(SIGPIPE, action);
    ::close(settings_writer_);
  }
  // Waits until the metrics count lost lines of the log.
  bool AwaitLostLines() {
    HttpCall call;
    call.address = fixture_.address("operators");
    call.request.method = "GET";
    call.request.target = "/metrics";
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end) {
      const std::string text = FetchBlocking(call).response.body;
      const std::string name = "log_lines_dropped_total ";
      const size_t at = text.find(name);
      if (at != std::string::npos && text[at + name.size()] != '0') return true;
      ::usleep(5000);
    }
    return false;
  }
  std::string End() { return DescribeWaitStatus(process_.AwaitExit(kLimit)); }

  EdgeFixture fixture_;
  DaemonProcess process_{GetParam(), fixture_.arguments(), fixture_.log_path()};
  int settings_writer_ = -1;
};

// Guards against a process that a stop signal ends by its default action before
// the handlers are made.
TEST_P(SignalTest, StopSignalDuringStartIsAPlannedStop) {
  for (const int signal : {SIGTERM, SIGINT}) {
    StartHeld();
    process_.Signal(signal);
    Continue();
    EXPECT_EQ(End(), "exit code 0") << "signal " << signal;
  }
}

// Guards against a reload during the start that ends the process.
TEST_P(SignalTest, HangupDuringStartIsAReload) {
  StartHeld();
  process_.Signal(SIGHUP);
  Continue();
  EXPECT_TRUE(process_.AwaitLog("event=started", kLimit));
  EXPECT_TRUE(process_.AwaitLog("event=signal_received signal=1", kLimit));
  process_.Signal(SIGTERM);
  EXPECT_EQ(End(), "exit code 0");
}

// Guards against a stop signal that is never delivered, because the parent had
// blocked it: a process inherits the mask and its pending signals at exec.
TEST_P(SignalTest, StopSignalThatWasPendingAtExecIsAPlannedStop) {
  process_.SetPendingSignal(SIGTERM);
  process_.Start();
  EXPECT_EQ(End(), "exit code 0");
}

// Guards against signals without a meaning for a daemon that end it.
TEST_P(SignalTest, UnusedSignalsAreIgnored) {
  process_.Start();
  ASSERT_TRUE(process_.AwaitLog("event=started", kLimit));
  for (const int signal : {SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM,
                           SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT}) {
    process_.Signal(signal);
  }
  process_.Signal(SIGTERM);
  EXPECT_EQ(End(), "exit code 0");
}

// Guards against SIGQUIT that cuts open responses and leaves a core dump.
TEST_P(SignalTest, QuitIsAPlannedStop) {
  process_.Start();
  ASSERT_TRUE(process_.AwaitLog("event=started", kLimit));
  process_.Signal(SIGQUIT);
  EXPECT_EQ(End(), "exit code 0");
}

// Guards against a fault of a running process that leaves no line, or that the
// line hides from the parent process.
TEST_P(SignalTest, FaultHasALineAndKeepsItsSignal) {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  GTEST_SKIP() << "the sanitizer handles faults itself";
#endif
  process_.Start();
  ASSERT_TRUE(process_.AwaitLog("event=started", kLimit));
  process_.Signal(SIGSEGV);
  EXPECT_EQ(End(), "signal 11");
  EXPECT_TRUE(process_.AwaitLog(
      "event=process_ended cause=signal signal=11 thread=", kLimit))
      << process_.Log();
}

// Guards against a process that ends by SIGPIPE once the reader of its log has
// ended.
TEST_P(SignalTest, LogWithoutAReaderDoesNotEndTheProcess) {
  int ends[2];
  ASSERT_EQ(::pipe2(ends, O_CLOEXEC), 0);
  process_.SetOutput(ends[1]);
  process_.SetPendingSignal(SIGTERM);
  ::close(ends[0]);
  process_.Start();
  EXPECT_EQ(End(), "exit code 0");
  ::close(ends[1]);
}

// Guards against a process that ends by SIGXFSZ at its limit of file sizes.
TEST_P(SignalTest, LogAtAFileLimitDoesNotEndTheProcess) {
  process_.Limit(RLIMIT_FSIZE, 64);
  process_.SetPendingSignal(SIGTERM);
  process_.Start();
  EXPECT_EQ(End(), "exit code 0");
}

// Guards against a full device of the log that ends the process.
TEST_P(SignalTest, LogOnAFullDeviceDoesNotEndTheProcess) {
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  ASSERT_GE(full, 0);
  process_.SetOutput(full);
  process_.SetPendingSignal(SIGTERM);
  process_.Start();
  EXPECT_EQ(End(), "exit code 0");
  ::close(full);
}

// Guards against a log that stays empty, and lost lines that are not counted,
// after standard output took nothing for a while.
TEST_P(SignalTest, LogIsWrittenAgainWhenItsReaderIsBack) {
  const std::string path = fixture_.folder() + "/log-fifo";
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  const int writer = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  ASSERT_GE(writer, 0);
  ::close(reader);
  process_.SetOutput(writer);
  process_.Start();
  ASSERT_TRUE(AwaitLostLines());
  reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  process_.Signal(SIGTERM);
  EXPECT_EQ(End(), "exit code 0");
  std::string text(65536, '\0');
  const ssize_t size = ::read(reader, text.data(), text.size());
  text.resize(size > 0 ? static_cast<size_t>(size) : 0);
  EXPECT_NE(text.find("event=stopped"), std::string::npos) << text;
  ::close(reader);
  ::close(writer);
}

}  // namespace

INSTANTIATE_TEST_SUITE_P(Daemons, SignalTest,
                         testing::Values(APPLEHALL_EDGED, APPLEHALLD),
                         [](const auto& info) {
                           return info.index == 0 ? "Edge" : "Own";
                         });

}  // namespace applehall

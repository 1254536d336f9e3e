#include "drivers/process_signals.h"

#include <signal.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

#include "core/event_log.h"

namespace applehall {

namespace {

// SIGQUIT asks for an end as the others do; SIGABRT still gives a core dump.
constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGQUIT, SIGHUP};

// Writes to closed pipes and beyond a file limit fail with an error that is
// handled where it occurs (SIGPIPE, SIGXFSZ). The others announce timers, files
// and power events that the daemons do not ask for, or are free for users.
constexpr int kIgnoredSignals[] = {SIGPIPE, SIGXFSZ, SIGXCPU,   SIGUSR1,
                                   SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF,
                                   SIGIO,   SIGPWR,  SIGSTKFLT};

// The kernel's form of a signal set: bit 0 is signal 1.
template <size_t kSize>
constexpr uint64_t KernelMask(const int (&signals)[kSize]) {
  uint64_t mask = 0;
  for (const int signal : signals) mask |= uint64_t{1} << (signal - 1);
  return mask;
}

constexpr uint64_t kHeldMask =
    KernelMask(kHandledSignals) | KernelMask(kIgnoredSignals);

template <size_t kSize>
void Unblock(const int (&signals)[kSize]) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace

// The function of the C library can be replaced by a preloaded library or a
// sanitizer that is not initialised yet.
void HoldSignals() {
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &kHeldMask, nullptr,
          sizeof(kHeldMask));
}

void IgnoreUnusedSignals() {
  for (const int number : kIgnoredSignals) {
    struct sigaction current {};
    // A preloaded library, such as a profiler, keeps the signals it handles.
    if (sigaction(number, nullptr, &current) != 0) continue;
    if ((current.sa_flags & SA_SIGINFO) == 0 && current.sa_handler == SIG_DFL) {
      signal(number, SIG_IGN);
    }
  }
  Unblock(kIgnoredSignals);
}

ProcessSignals::ProcessSignals(boost::asio::io_context& io) {
  signals_.emplace(io);
  for (const int signal : kHandledSignals) signals_->add(signal);
}

// Removing the handlers restores the default action, which would end the
// process with the status of a signal in its last moments.
ProcessSignals::~ProcessSignals() {
  HoldSignals();
  signals_.reset();
  for (const int number : kHandledSignals) signal(number, SIG_IGN);
}

void ProcessSignals::Start(Handler on_stop, Handler on_hangup) {
  on_stop_ = std::move(on_stop);
  on_hangup_ = std::move(on_hangup);
  Await();
  Unblock(kHandledSignals);
}

void ProcessSignals::Await() {
  signals_->async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        // First, so that an exception of a handler does not end the waiting.
        Await();
        LogEvent(LogLevel::kInfo, "signal_received").With("signal", signal);
        signal == SIGHUP ? on_hangup_() : on_stop_();
      });
}

}  // namespace applehall

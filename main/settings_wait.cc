#include "main/settings_wait.h"

#include <signal.h>

namespace applehall {

bool SleepUnlessStopped(Duration duration) {
  sigset_t awaited;
  sigemptyset(&awaited);
  for (const int signal : {SIGTERM, SIGINT, SIGQUIT, SIGHUP}) {
    sigaddset(&awaited, signal);
  }
  sigset_t before;
  pthread_sigmask(SIG_BLOCK, &awaited, &before);
  const auto whole = std::chrono::duration_cast<std::chrono::seconds>(duration);
  const std::chrono::nanoseconds rest = duration - whole;
  const timespec timeout{.tv_sec = whole.count(), .tv_nsec = rest.count()};
  const int signal = sigtimedwait(&awaited, nullptr, &timeout);
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return signal == SIGTERM || signal == SIGINT || signal == SIGQUIT;
}

}  // namespace applehall

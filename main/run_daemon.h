#ifndef APPLEHALL_MAIN_RUN_DAEMON_H_
#define APPLEHALL_MAIN_RUN_DAEMON_H_

#include <absl/status/statusor.h>

#include <cstdlib>
#include <exception>
#include <iostream>

#include "core/event_log.h"
#include "core/last_words.h"
#include "core/standard_streams.h"
#include "drivers/process_signals.h"

namespace applehall {

inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitCannotStart = 3;

// Signals and standard streams of a daemon's start. Thread: the main one, as
// the first call of main().
inline void PrepareProcess() {
  HoldSignals();
  IgnoreUnusedSignals();
  OpenMissingStandardStreams();
}

// Runs a daemon with its event log until it stops, or only checks its settings;
// returns the exit code of the process. `run` gets the settings and returns
// when the daemon has stopped; an exception from it means that the daemon could
// not start. Thread: the main one, before any other has started.
template <typename Settings, typename Run>
int RunDaemon(const absl::StatusOr<Settings>& settings, bool check_only,
              const Run& run) {
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    if (absl::IsCancelled(settings.status())) return 0;  // A planned stop.
    return kExitBadSettings;
  }
  if (check_only) return 0;
  InstallLastWords(settings->node.self.host);
  const AlternateSignalStack signal_stack;
  int exit_code = 0;
  try {
    StartEventLog(settings->log_level, settings->node.self.host);
    run(*settings);
  } catch (const std::exception& error) {
    std::cerr << "cannot start: " << error.what() << "\n";
    LogEvent(LogLevel::kError, "cannot_start").With("reason", error.what());
    exit_code = kExitCannotStart;
  }
  if (!StopEventLog()) std::_Exit(exit_code);
  return exit_code;
}

}  // namespace applehall

#endif  // APPLEHALL_MAIN_RUN_DAEMON_H_

#ifndef APPLEHALL_MAIN_SETTINGS_WAIT_H_
#define APPLEHALL_MAIN_SETTINGS_WAIT_H_

#include <absl/status/statusor.h>

#include <algorithm>
#include <iostream>

#include "core/clock.h"
#include "core/retry_schedule.h"

namespace applehall {

inline constexpr RetryPauses kSettingsPauses{
    .min = std::chrono::milliseconds(20),
    .max = std::chrono::milliseconds(250)};
// A file that somebody is writing is whole long before.
inline constexpr Duration kMaxSettingsWait = std::chrono::seconds(4);

// Sleeps; returns true, without the rest of the sleep, at SIGTERM, SIGINT or
// SIGQUIT, which is taken, also if it is pending. SIGHUP ends the sleep with
// false. Thread: the main one, before any other has started.
bool SleepUnlessStopped(Duration duration);

// Returns the settings that `load` reads, a StatusOr. While it fails it is
// called again for up to kMaxSettingsWait: the file may be being written. The
// first error is printed to standard error at once. After that time returns the
// last error; if `sleep`, called as SleepUnlessStopped(), returns true, a
// CancelledError. Thread: that of `sleep`.
template <ClockSource Clock, typename Load, typename Sleep>
auto AwaitSettings(const Load& load, const Clock& clock, const Sleep& sleep)
    -> decltype(load()) {
  RetrySchedule schedule(kSettingsPauses, clock.Now());
  auto settings = load();
  if (settings.ok()) return settings;
  std::cerr << settings.status().message() << "; reading it again for up to "
            << ToMillis(kMaxSettingsWait) << " ms" << std::endl;
  while (!settings.ok()) {
    const TimePoint now = clock.Now();
    const Duration left = kMaxSettingsWait - schedule.Waited(now);
    if (left <= Duration{0}) break;
    if (sleep(std::min(left, schedule.RecordFailure(now).pause))) {
      return absl::CancelledError("stopped before the settings were whole");
    }
    settings = load();
  }
  return settings;
}

// The same in real time; with `check_only` `load` is called once.
template <typename Load>
auto AwaitSettings(bool check_only, const Load& load) -> decltype(load()) {
  if (check_only) return load();
  return AwaitSettings(load, SystemClock{}, &SleepUnlessStopped);
}

}  // namespace applehall

#endif  // APPLEHALL_MAIN_SETTINGS_WAIT_H_

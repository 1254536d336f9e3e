#ifndef APPLEHALL_CORE_CLOCK_H_
#define APPLEHALL_CORE_CLOCK_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <type_traits>

#include "core/saturating_cast.h"

namespace applehall {

// Microseconds are precise enough for every decision and keep dumps readable.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::sys_time<Duration>;

// Bounds of what is read from numbers, so that times can be added to them, also
// in nanoseconds, by which timers count.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365 * 100);
inline constexpr std::chrono::milliseconds kMaxUnixTime(253'402'300'799'999);

// A source of the current time. Decision code never reads a clock; it receives
// the time as an argument, so that tests can stop and advance it.
template <typename C>
concept ClockSource = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

// Wall time at the start of the process plus time since then, so that it never
// goes backwards when the machine's wall clock is corrected, and all instances
// agree. CLOCK_BOOTTIME counts the time that
// the machine is suspended. The steady clock does not: after a resume the
// process would treat expired leases and deadlines as valid.
class SystemClock {
 public:
  // Requires: nothing. Thread-safe.
  TimePoint Now() const {
    static const Origin origin;
    return std::chrono::time_point_cast<Duration>(origin.wall) +
           std::chrono::duration_cast<Duration>(SinceBoot() - origin.boot);
  }

 private:
  struct Origin {
    std::chrono::system_clock::time_point wall =
        std::chrono::system_clock::now();
    std::chrono::nanoseconds boot = SinceBoot();
  };

  static std::chrono::nanoseconds SinceBoot() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }
};

// A clock that moves only by Advance(), for tests and measurements.
class ManualClock {
 public:
  explicit ManualClock(TimePoint start) : now_(start) {}

  // Requires: nothing. Not thread-safe.
  TimePoint Now() const { return now_; }

  // Requires: `step` is not negative. Not thread-safe.
  void Advance(Duration step) { now_ += step; }

 private:
  TimePoint now_;
};

// An instance with an origin of its own would disagree with others after the
// wall clock was corrected.
static_assert(std::is_empty_v<SystemClock>);
static_assert(ClockSource<SystemClock>);
static_assert(ClockSource<ManualClock>);

// Milliseconds since the Unix epoch, the unit of every time on the wire.
inline int64_t ToUnixMillis(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

// Times after the year 9999, and as long before 1970, become the nearest one
// within.
inline TimePoint FromUnixMillis(int64_t millis) {
  return TimePoint(std::chrono::milliseconds(std::clamp<int64_t>(
      millis, -kMaxUnixTime.count(), kMaxUnixTime.count())));
}

inline int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Longer times than kMaxDuration become it; what is no number becomes zero.
inline Duration FromSeconds(double seconds) {
  const Duration duration(SaturatingCast<int64_t>(
      seconds *
      std::chrono::duration<double, Duration::period>(std::chrono::seconds(1))
          .count()));
  return std::clamp(duration, -kMaxDuration, kMaxDuration);
}

// As FromSeconds().
inline Duration FromMillis(double millis) {
  const std::chrono::milliseconds max =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxDuration);
  return std::chrono::milliseconds(std::clamp<int64_t>(
      SaturatingCast<int64_t>(millis), -max.count(), max.count()));
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_CLOCK_H_

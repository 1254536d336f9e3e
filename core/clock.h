#ifndef APPLEHALL_CORE_CLOCK_H_
#define APPLEHALL_CORE_CLOCK_H_

#include <time.h>

#include <chrono>
#include <concepts>
#include <type_traits>

namespace applehall {

// Microseconds are precise enough for every decision and keep dumps readable.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::sys_time<Duration>;

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

inline TimePoint FromUnixMillis(int64_t millis) {
  return TimePoint(std::chrono::milliseconds(millis));
}

inline int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_CLOCK_H_

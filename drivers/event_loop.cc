#include "drivers/event_loop.h"

#include <exception>
#include <thread>

#include "core/clock.h"
#include "core/last_words.h"
#include "drivers/background_task.h"

namespace applehall {

namespace {

// Exceptions without a pause between them, in one period.
constexpr int kMaxFailuresInARow = 8;
constexpr Duration kFailurePeriod = std::chrono::seconds(1);
// Short, since all other handlers of the loop wait as well.
constexpr Duration kFailurePause = std::chrono::milliseconds(10);

// True if the loop has run to its end.
bool RunUntilFailure(boost::asio::io_context& io, const std::string& name) {
  // Memory that an operation did not get is no reason to end the process: the
  // stack is unwound, the operation's memory is free again, and large blocks
  // are those of single requests.
  try {
    io.run();
    return true;
  } catch (...) {
    RecordBackgroundFailure(name, std::current_exception());
    return false;
  }
}

}  // namespace

void RunEventLoop(boost::asio::io_context& io, const std::string& name) {
  const AlternateSignalStack signal_stack;
  const SystemClock clock{};
  TimePoint period_start = clock.Now();
  int failures = 0;
  while (!RunUntilFailure(io, name)) {
    const TimePoint now = clock.Now();
    if (now - period_start >= kFailurePeriod) {
      period_start = now;
      failures = 0;
    }
    if (++failures > kMaxFailuresInARow) {
      std::this_thread::sleep_for(kFailurePause);
    }
  }
}

}  // namespace applehall

#include "drivers/background_task.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/detached.hpp>

#include "core/event_log.h"
#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr Duration kMinRestartPause = std::chrono::milliseconds(100);
constexpr Duration kMaxRestartPause = std::chrono::seconds(2);
// A duty that ran this long before it failed restarts after the shortest pause.
constexpr Duration kStableTime = std::chrono::seconds(10);

std::atomic<uint64_t> g_failures{0};

asio::awaitable<void> RunDuty(
    asio::io_context& io, std::string name,
    std::function<asio::awaitable<void>()> make_task) {
  const SystemClock clock{};
  Duration pause = kMinRestartPause;
  while (true) {
    const TimePoint started_at = clock.Now();
    std::exception_ptr error;
    try {
      co_await make_task();
    } catch (...) {
      error = std::current_exception();
    }
    if (!error) co_return;
    RecordBackgroundFailure(name, error);
    if (clock.Now() - started_at >= kStableTime) pause = kMinRestartPause;
    co_await Sleep(io, pause);
    pause = std::min(2 * pause, kMaxRestartPause);
  }
}

}  // namespace

uint64_t BackgroundFailures() { return g_failures; }

void RecordBackgroundFailure(const std::string& task,
                             const std::exception_ptr& error) noexcept {
  ++g_failures;
  LogEvent line(LogLevel::kError, "background_task_failed");
  line.With("task", task);
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    line.With("reason", exception.what());
  } catch (...) {
    line.With("reason", "unknown exception");
  }
}

void StartTask(asio::io_context& io, std::string name,
               asio::awaitable<void> task) {
  StartTask(io, std::move(name), std::move(task), [] {});
}

void StartDuty(asio::io_context& io, std::string name,
               std::function<asio::awaitable<void>()> make_task) {
  // RunDuty() throws nothing.
  asio::co_spawn(io, RunDuty(io, std::move(name), std::move(make_task)),
                 asio::detached);
}

}  // namespace applehall

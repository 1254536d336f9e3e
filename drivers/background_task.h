#ifndef APPLEHALL_DRIVERS_BACKGROUND_TASK_H_
#define APPLEHALL_DRIVERS_BACKGROUND_TASK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "core/clock.h"

namespace applehall {

// Returns how many background tasks of this process ended with an exception.
// Thread-safe.
uint64_t BackgroundFailures();

// Logs and counts an exception that ended `task`. Without memory for the line,
// it only counts. Requires: `error` is set. Thread-safe.
void RecordBackgroundFailure(const std::string& task,
                             const std::exception_ptr& error) noexcept;

// Runs a coroutine in the background. An exception that ends it is logged and
// counted, and `on_failure` is called on the thread of `io`, so that whoever
// waits for the task's outcome gets one. Thread: the one that runs `io`, or any
// before it runs.
template <typename OnFailure>
void StartTask(boost::asio::io_context& io, std::string name,
               boost::asio::awaitable<void> task, OnFailure on_failure) {
  boost::asio::co_spawn(
      io, std::move(task),
      [name = std::move(name),
       on_failure = std::move(on_failure)](std::exception_ptr error) mutable {
        if (!error) return;
        RecordBackgroundFailure(name, error);
        on_failure();
      });
}

// The same for a task whose outcome nobody waits for.
void StartTask(boost::asio::io_context& io, std::string name,
               boost::asio::awaitable<void> task);

// Runs a coroutine that is to run as long as the process, such as the reader of
// a topic. After an exception `make_task` makes another one, after a pause that
// grows while failures repeat. A task that returns ends the duty. Thread: as
// for StartTask().
void StartDuty(boost::asio::io_context& io, std::string name,
               std::function<boost::asio::awaitable<void>()> make_task);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_BACKGROUND_TASK_H_

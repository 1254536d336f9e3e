#ifndef APPLEHALL_CORE_EVENT_LOG_H_
#define APPLEHALL_CORE_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace applehall {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

// Starts the log: one key=value line per event on standard output, written by
// a separate thread from a bounded queue. Lines that do not fit are dropped, so
// that a stalled reader of the log never blocks other threads. Requires: called
// once, before any other thread starts.
void StartEventLog(LogLevel min_level, const std::string& host);

// Writes the queued lines and stops the log thread. Returns false if that takes
// longer than `max_wait`, since nothing reads the log; the process must then
// end without destructors of static objects, as by std::_Exit(). Not
// thread-safe.
bool StopEventLog(
    std::chrono::milliseconds max_wait = std::chrono::milliseconds(500));

// Number of lines that were lost: the queue was full, there was no memory, or
// standard output did not take them. Thread-safe.
uint64_t DroppedLogLines();

// Appends a value in log format: quoted and escaped if it has spaces, quotes,
// backslashes, "=" or line breaks, or is empty. Requires: nothing.
// Thread-safe.
void AppendLogValue(std::string_view value, std::string& line);

// One line of the log; it is queued when the object goes out of scope. A line
// without memory is dropped, so that events can be logged where an exception
// must not occur.
//   LogEvent(LogLevel::kInfo, "load_ordered").With("model", name);
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view name);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  // Values with spaces, quotes or line breaks are quoted and escaped. Values of
  // more than 1 KB are cut, and what follows 4 KB of a line is left out.
  // Requires: nothing. Each object belongs to one thread.
  LogEvent& With(std::string_view key, std::string_view value);
  template <typename T>
  requires std::is_arithmetic_v<T> LogEvent& With(std::string_view key,
                                                  T value) {
    return With(key, std::string_view(std::to_string(value)));
  }

 private:
  // Runs one step of the line; drops the line if it throws.
  template <typename Step>
  void Build(const Step& step);

  bool enabled_;
  std::string line_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_EVENT_LOG_H_

#ifndef APPLEHALL_CORE_EVENT_LOG_H_
#define APPLEHALL_CORE_EVENT_LOG_H_

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

// Writes the queued lines and stops the log thread. Not thread-safe.
void StopEventLog();

// Number of lines that were dropped because the queue was full. Thread-safe.
uint64_t DroppedLogLines();

// Appends a value in log format: quoted and escaped if it has spaces, quotes,
// backslashes, "=" or line breaks, or is empty. Requires: nothing.
// Thread-safe.
void AppendLogValue(std::string_view value, std::string& line);

// One line of the log; it is queued when the object goes out of scope.
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
  LogLevel level_;
  bool enabled_;
  std::string line_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_EVENT_LOG_H_

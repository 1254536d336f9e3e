#include "core/event_log.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <future>
#include <system_error>
#include <thread>

#include "core/json.h"
#include "core/line_writer.h"

namespace applehall {
namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t kMaxQueuedLines = 4096;
// Callers choose some values. Longer ones are cut, so that the queued lines are
// bounded in bytes as well.
constexpr std::size_t kMaxValueBytes = 1024;
constexpr std::size_t kMaxLineBytes = 4096;

std::atomic<uint64_t> g_dropped_lines{0};

// Boost.Log's drop-on-overflow strategy with a counter, which shows whether a
// missing line was dropped.
struct CountingDropOnOverflow {
  template <typename LockT>
  static bool on_overflow(const boost::log::record_view&, LockT&) {
    ++g_dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

// A stream keeps its first error, and loses all later lines by it.
class LineBackend : public sinks::basic_formatted_sink_backend<char> {
 public:
  void consume(const boost::log::record_view&, const string_type& line) {
    if (!writer_.Write(line)) ++g_dropped_lines;
  }

 private:
  LineWriter writer_{STDOUT_FILENO};
};

using LineSink = sinks::asynchronous_sink<
    LineBackend,
    sinks::bounded_fifo_queue<kMaxQueuedLines, CountingDropOnOverflow>>;

std::atomic<bool> g_started{false};
std::atomic<int> g_min_level{0};
std::string g_host;  // Written once, before other threads start.
boost::shared_ptr<LineSink> g_sink;  // Likewise.

constexpr std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Returns whether the value has bytes other than printable ASCII and UTF-8; a
// line with them is not text.
bool HasUnprintableBytes(std::string_view value) {
  const bool has_control = std::any_of(value.begin(), value.end(), [](char c) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(c)) && c != '\t' &&
           c != '\n' && c != '\r';
  });
  const bool is_ascii = std::all_of(value.begin(), value.end(), [](char c) {
    return absl::ascii_isascii(static_cast<unsigned char>(c));
  });
  return has_control || !(is_ascii || IsUtf8(value));
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

}  // namespace

uint64_t DroppedLogLines() { return g_dropped_lines; }

void AppendLogValue(std::string_view value, std::string& line) {
  if (HasUnprintableBytes(value)) {
    AppendLogValue(
        absl::CHexEscape(absl::string_view(value.data(), value.size())), line);
    return;
  }
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    if (c == '\n' || c == '\r') {
      line += "\\n";
      continue;
    }
    line += c;
  }
  line += '"';
}

void StartEventLog(LogLevel min_level, const std::string& host) {
  g_min_level = static_cast<int>(min_level);
  g_host = host;
  g_sink = boost::make_shared<LineSink>(boost::make_shared<LineBackend>());
  g_sink->set_exception_handler([] { ++g_dropped_lines; });
  boost::log::core::get()->add_sink(g_sink);
  g_started = true;
}

bool StopEventLog(std::chrono::milliseconds max_wait) {
  if (!g_started.exchange(false)) return true;
  boost::log::core::get()->remove_sink(g_sink);
  std::promise<void> written;
  std::future<void> is_written = written.get_future();
  const auto write_queued = [sink = std::move(g_sink)] {
    sink->stop();
    sink->flush();
  };
  // Another thread waits for the log thread, which stays in write() as long as
  // its reader takes nothing.
  try {
    std::thread([write_queued, written = std::move(written)]() mutable {
      write_queued();
      written.set_value();
    }).detach();
  } catch (const std::system_error&) {
    write_queued();
    return true;
  }
  return is_written.wait_for(max_wait) == std::future_status::ready;
}

LogEvent::LogEvent(LogLevel level, std::string_view name)
    : enabled_(g_started && static_cast<int>(level) >= g_min_level) {
  if (!enabled_) return;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Build([&] {
    line_ = "time_ms=" + std::to_string(now.count()) + " level=";
    line_ += LevelName(level);
    line_ += " host=" + g_host + " event=";
    line_ += name;
  });
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  Build([this] {
    boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line_;
  });
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!enabled_ || line_.size() > kMaxLineBytes) return *this;
  Build([&] {
    line_ += ' ';
    line_ += key;
    line_ += '=';
    if (value.size() <= kMaxValueBytes) {
      AppendLogValue(value, line_);
      return;
    }
    std::string cut(value.substr(0, kMaxValueBytes));
    cut += "...(" + std::to_string(value.size()) + " bytes)";
    AppendLogValue(cut, line_);
  });
  return *this;
}

template <typename Step>
void LogEvent::Build(const Step& step) {
  try {
    step();
  } catch (...) {
    enabled_ = false;
    ++g_dropped_lines;
  }
}

}  // namespace applehall

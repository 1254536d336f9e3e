#include "core/event_log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>

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

using LineSink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
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

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

}  // namespace

uint64_t DroppedLogLines() { return g_dropped_lines; }

void AppendLogValue(std::string_view value, std::string& line) {
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
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  g_sink = boost::make_shared<LineSink>(backend);
  boost::log::core::get()->add_sink(g_sink);
  g_started = true;
}

void StopEventLog() {
  if (!g_started.exchange(false)) return;
  boost::log::core::get()->remove_sink(g_sink);
  g_sink->stop();
  g_sink->flush();
  g_sink.reset();
}

LogEvent::LogEvent(LogLevel level, std::string_view name)
    : level_(level),
      enabled_(g_started && static_cast<int>(level) >= g_min_level) {
  if (!enabled_) return;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  line_ = "time_ms=" + std::to_string(now.count()) + " level=";
  line_ += LevelName(level_);
  line_ += " host=" + g_host + " event=";
  line_ += name;
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << line_;
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!enabled_ || line_.size() > kMaxLineBytes) return *this;
  line_ += ' ';
  line_ += key;
  line_ += '=';
  if (value.size() <= kMaxValueBytes) {
    AppendLogValue(value, line_);
    return *this;
  }
  std::string cut(value.substr(0, kMaxValueBytes));
  cut += "...(" + std::to_string(value.size()) + " bytes)";
  AppendLogValue(cut, line_);
  return *this;
}

}  // namespace applehall

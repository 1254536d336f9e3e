#ifndef APPLEHALL_MAIN_REQUEST_TIMELINE_H_
#define APPLEHALL_MAIN_REQUEST_TIMELINE_H_

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace applehall {

// One line of a process's log.
struct LogLine {
  TimePoint time;
  std::string host;
  std::string event;
  std::map<std::string, std::string> keys;  // All others.

  // Returns the value of `key`; empty if the line has no such key. Thread-safe.
  std::string Value(const std::string& key) const;
  // Formats the line as "event=... key=value ...", without time, level and
  // host. Thread-safe.
  std::string Text() const;
};

// Parses a line of the event log; nullopt if `text` is none. Text before
// `time_ms=` is ignored, so that collected logs with prefixes can be read.
// Thread-safe.
std::optional<LogLine> ParseLogLine(std::string_view text);

// Returns the lines of the event log in `input`, in the order of the file. Not
// thread-safe for one stream.
std::vector<LogLine> ReadLogLines(std::istream& input);

// Returns the lines that explain the outcome of `request`, oldest first: its
// own lines, and earlier ones on the rules in force and the servers listed at
// its host, the placement of its model, changes of the placement owner,
// failures at its host, servers that terminated on requests with the same
// content, and the lines of the request whose stream it resumes. Empty if no
// line contains the request. Thread-safe.
std::vector<LogLine> BuildRequestTimeline(std::vector<LogLine> lines,
                                          const std::string& request);

}  // namespace applehall

#endif  // APPLEHALL_MAIN_REQUEST_TIMELINE_H_

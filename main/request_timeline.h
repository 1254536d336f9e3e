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
  TimePoint at;
  std::string host;
  std::string event;
  std::map<std::string, std::string> keys;  // The event's own.

  // Empty if the line has no such key. Thread-safe.
  std::string Value(const std::string& key) const;
  // "event=... key=value ..." without time, level and host. Thread-safe.
  std::string Text() const;
};

// Nothing if `text` is not a line of the event log; what stands before its
// `time_ms=` is ignored, so collected logs with prefixes can be read. Requires:
// nothing. Thread-safe.
std::optional<LogLine> ParseLogLine(std::string_view text);

// Every line of the event log in `input`, in the order of the file. Requires:
// nothing. Not thread-safe for one stream.
std::vector<LogLine> ReadLogLines(std::istream& input);

// What happened to one request, oldest first: its own lines, and those before
// its end that decided it: the rules and servers its host believed in, the
// placement of its model and of the server it went to, changes of the placement
// owner, what its host lost sight of, and servers that ended under requests of
// the same content. Empty if no line names the request.
// Requires: nothing. Thread-safe.
std::vector<LogLine> RequestStory(std::vector<LogLine> lines,
                                  const std::string& request);

}  // namespace applehall

#endif  // APPLEHALL_MAIN_REQUEST_TIMELINE_H_

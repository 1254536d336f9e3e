#include "main/request_timeline.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kTimeKey[] = "time_ms=";
// Loads from the weight store take up to 15 s; what was ordered longer before
// a request's arrival did not keep it waiting.
constexpr Duration kLookBack = seconds(15);

// Of the whole system: they stop placement everywhere.
const std::set<std::string>& OwnerEvents() {
  static const std::set<std::string> kEvents = {"lease_claim", "lease_held",
                                                "lease_lost", "lease_release"};
  return kEvents;
}

// Of the request's own host: what it could not see or do.
const std::set<std::string>& HostEvents() {
  static const std::set<std::string> kEvents = {
      "started",     "stopped",           "drain_begin",     "drain_end",
      "stood_still", "store_lost",        "store_back",      "store_read_own",
      "peer_linked", "peer_unlinked",     "config_rejected", "rules_rejected",
      "lease_read",  "store_history_lost"};
  return kEvents;
}

// Of all requests of one content, at any host and at any time.
const std::set<std::string>& ContentEvents() {
  static const std::set<std::string> kEvents = {
      "server_ended", "quarantine_begin", "quarantine_lifted",
      "quarantine_end"};
  return kEvents;
}

// The value that starts at `at`, quoted or not, as AppendLogValue() wrote it;
// `at` moves behind it.
std::string TakeValue(std::string_view text, size_t& at) {
  std::string value;
  if (at >= text.size() || text[at] != '"') {
    const size_t end = std::min(text.find(' ', at), text.size());
    value = std::string(text.substr(at, end - at));
    at = end;
    return value;
  }
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] != '\\' || at + 1 == text.size()) {
      value += text[at];
      continue;
    }
    ++at;
    value += text[at] == 'n' ? '\n' : text[at];
  }
  ++at;
  return value;
}

// "SERVICE/MODEL" of a target that may name an adapter.
std::string ModelOf(const std::string& target) {
  const size_t service_end = target.find('/');
  if (service_end == std::string::npos) return target;
  return target.substr(0, target.find('/', service_end + 1));
}

// What the lines of one request say about it.
struct Subject {
  std::string host;
  std::string target;
  std::set<std::string> backends;
  std::string rules_version;
  std::string fingerprint;  // Of its content.
  TimePoint arrived;
  TimePoint ended;
};

Subject SubjectOf(const std::vector<LogLine>& lines,
                  const std::string& request) {
  Subject subject;
  for (const LogLine& line : lines) {
    if (line.Value("request") != request) continue;
    int64_t took_ms = 0;
    if (!absl::SimpleAtoi(line.Value("took_ms"), &took_ms)) took_ms = 0;
    const std::string rule = line.Value("rule");
    subject.host = line.host;
    subject.target = line.Value("target");
    subject.rules_version = rule.substr(0, rule.find('/'));
    subject.arrived = line.at - milliseconds(took_ms);
    subject.ended = line.at;
    subject.fingerprint = line.Value("fingerprint");
    if (!line.Value("backend").empty()) {
      subject.backends.insert(line.Value("backend"));
    }
  }
  return subject;
}

bool IsPlacementOf(const LogLine& line, const Subject& subject) {
  const std::string target = line.Value("target");
  if (target.empty() || line.Value("engine").empty()) return false;
  return target == subject.target || target == ModelOf(subject.target);
}

bool Belongs(const LogLine& line, const Subject& subject) {
  if (line.event == "rules_in_force") {
    return line.host == subject.host &&
           line.Value("version") == subject.rules_version;
  }
  if (ContentEvents().contains(line.event)) {
    return line.Value("fingerprint") == subject.fingerprint;
  }
  const bool is_near = line.at >= subject.arrived - kLookBack;
  if (!is_near) return false;
  if (IsPlacementOf(line, subject) || OwnerEvents().contains(line.event)) {
    return true;
  }
  const bool is_server =
      line.event == "server_listed" || line.event == "server_gone";
  if (is_server) {
    return line.host == subject.host &&
           subject.backends.contains(line.Value("server"));
  }
  return line.host == subject.host && HostEvents().contains(line.event);
}

}  // namespace

std::string LogLine::Value(const std::string& key) const {
  const auto it = keys.find(key);
  return it == keys.end() ? "" : it->second;
}

std::string LogLine::Text() const {
  std::string text = absl::StrCat("event=", event);
  for (const auto& [key, value] : keys) {
    absl::StrAppend(&text, " ", key, "=");
    AppendLogValue(value, text);
  }
  return text;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  size_t at = text.find(kTimeKey);
  if (at == std::string_view::npos) return std::nullopt;
  LogLine line;
  while (at < text.size()) {
    if (text[at] == ' ') {
      ++at;
      continue;
    }
    const size_t equals = text.find('=', at);
    if (equals == std::string_view::npos) break;
    const std::string key(text.substr(at, equals - at));
    at = equals + 1;
    std::string value = TakeValue(text, at);
    if (key == "time_ms") {
      int64_t time_ms = 0;
      if (!absl::SimpleAtoi(value, &time_ms)) return std::nullopt;
      line.at = TimePoint(milliseconds(time_ms));
    } else if (key == "host") {
      line.host = std::move(value);
    } else if (key == "event") {
      line.event = std::move(value);
    } else if (key != "level") {
      line.keys[key] = std::move(value);
    }
  }
  if (line.event.empty()) return std::nullopt;
  return line;
}

std::vector<LogLine> ReadLogLines(std::istream& input) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(input, text)) {
    if (std::optional<LogLine> line = ParseLogLine(text)) {
      lines.push_back(*std::move(line));
    }
  }
  return lines;
}

std::vector<LogLine> RequestStory(std::vector<LogLine> lines,
                                  const std::string& request) {
  const Subject subject = SubjectOf(lines, request);
  std::vector<LogLine> story;
  if (subject.host.empty()) return story;
  for (LogLine& line : lines) {
    if (line.at > subject.ended) continue;
    if (line.Value("request") == request || Belongs(line, subject)) {
      story.push_back(std::move(line));
    }
  }
  std::stable_sort(
      story.begin(), story.end(),
      [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
  return story;
}

}  // namespace applehall

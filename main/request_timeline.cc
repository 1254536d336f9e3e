#include "main/request_timeline.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kTimeKey[] = "time_ms=";
// Loads from the weight store take up to 15 s; a load ordered earlier than that
// before a request's arrival cannot have delayed it.
constexpr Duration kLookBack = seconds(15);

// Changes of the placement owner; they affect the placement of all data
// centres.
const std::set<std::string>& PlacementOwnerEvents() {
  static const std::set<std::string> kEvents = {"lease_claim", "lease_held",
                                                "lease_lost", "lease_release"};
  return kEvents;
}

// Events at the request's entry host that limit what it can see or do.
const std::set<std::string>& HostEvents() {
  static const std::set<std::string> kEvents = {
      "started",     "stopped",           "drain_begin",     "drain_end",
      "stood_still", "store_lost",        "store_back",      "store_read_own",
      "peer_linked", "peer_unlinked",     "config_rejected", "rules_rejected",
      "lease_read",  "store_history_lost"};
  return kEvents;
}

// Precedes the key of what is held in the reason of a refusal.
constexpr char kHeldKey[] = "fingerprint ";

// Events of all requests with the same content or a part of the same prompt, at
// any host and time.
const std::set<std::string>& ContentEvents() {
  static const std::set<std::string> kEvents = {
      "server_ended", "quarantine_begin", "quarantine_lifted",
      "quarantine_end"};
  return kEvents;
}

// Parses the value that starts at `position`, quoted or not, as
// AppendLogValue() writes it, and moves `position` behind it.
std::string ParseValue(std::string_view text, size_t& position) {
  std::string value;
  if (position >= text.size() || text[position] != '"') {
    const size_t end = std::min(text.find(' ', position), text.size());
    value = std::string(text.substr(position, end - position));
    position = end;
    return value;
  }
  for (++position; position < text.size() && text[position] != '"';
       ++position) {
    if (text[position] != '\\' || position + 1 == text.size()) {
      value += text[position];
      continue;
    }
    ++position;
    value += text[position] == 'n' ? '\n' : text[position];
  }
  ++position;
  return value;
}

// Returns "SERVICE/MODEL" of a target that may include an adapter.
std::string StripAdapter(const std::string& target) {
  const size_t service_end = target.find('/');
  if (service_end == std::string::npos) return target;
  return target.substr(0, target.find('/', service_end + 1));
}

// Properties of one request, collected from its own log lines.
struct RequestDetails {
  std::string host;
  std::string target;
  std::set<std::string> backends;
  std::string rules_version;
  std::string fingerprint;      // Of its content.
  std::string held;             // Key of the quarantine that refused it.
  std::set<std::string> parts;  // Of its prompt.
  std::string resumes;          // Earlier request whose stream it continues.
  TimePoint arrived;
  TimePoint ended;
};

RequestDetails CollectDetails(const std::vector<LogLine>& lines,
                              const std::string& request) {
  RequestDetails details;
  for (const LogLine& line : lines) {
    if (line.Value("request") != request) continue;
    int64_t took_ms = 0;
    if (!absl::SimpleAtoi(line.Value("took_ms"), &took_ms)) took_ms = 0;
    const std::string rule = line.Value("rule");
    details.host = line.host;
    details.target = line.Value("target");
    details.rules_version = rule.substr(0, rule.find('/'));
    details.arrived = line.time - milliseconds(took_ms);
    details.ended = line.time;
    details.fingerprint = line.Value("fingerprint");
    const std::string reason = line.Value("reason");
    const size_t held = reason.find(kHeldKey);
    if (held != std::string::npos) {
      details.held = reason.substr(held + sizeof(kHeldKey) - 1);
    }
    for (const auto part : absl::StrSplit(line.Value("parts"), ',')) {
      if (!part.empty()) details.parts.insert(std::string(part));
    }
    if (!line.Value("resumes").empty()) {
      details.resumes = line.Value("resumes");
    }
    if (!line.Value("backend").empty()) {
      details.backends.insert(line.Value("backend"));
    }
  }
  return details;
}

// Whether a quarantine or an end of a server bears on the request: by its
// content, or by parts of prompts if these are why it was refused.
bool IsContentEvent(const LogLine& line, const RequestDetails& details) {
  const std::string key = line.Value("fingerprint");
  if (key == details.fingerprint) return true;
  if (details.held.empty() || details.held == details.fingerprint) return false;
  if (line.event != "server_ended") return key == details.held;
  const std::vector<std::string> parts =
      absl::StrSplit(line.Value("parts"), ',');
  return std::any_of(parts.begin(), parts.end(), [&](const std::string& part) {
    return details.parts.contains(part);
  });
}

bool IsPlacementEvent(const LogLine& line, const RequestDetails& details) {
  const std::string target = line.Value("target");
  if (target.empty() || line.Value("engine").empty()) return false;
  return target == details.target || target == StripAdapter(details.target);
}

bool IsRelated(const LogLine& line, const RequestDetails& details) {
  if (line.event == "rules_in_force") {
    return line.host == details.host &&
           line.Value("version") == details.rules_version;
  }
  // At any host: it shows at which version the stream began.
  if (!details.resumes.empty() && line.Value("request") == details.resumes) {
    return true;
  }
  if (ContentEvents().contains(line.event)) {
    return IsContentEvent(line, details);
  }
  const bool is_recent = line.time >= details.arrived - kLookBack;
  if (!is_recent) return false;
  if (IsPlacementEvent(line, details) ||
      PlacementOwnerEvents().contains(line.event)) {
    return true;
  }
  const bool is_server = line.event == "server_listed" ||
                         line.event == "server_gone" ||
                         line.event == "server_removal_deferred";
  if (is_server) {
    return line.host == details.host &&
           details.backends.contains(line.Value("server"));
  }
  return line.host == details.host && HostEvents().contains(line.event);
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
  size_t position = text.find(kTimeKey);
  if (position == std::string_view::npos) return std::nullopt;
  LogLine line;
  while (position < text.size()) {
    if (text[position] == ' ') {
      ++position;
      continue;
    }
    const size_t equals = text.find('=', position);
    if (equals == std::string_view::npos) break;
    const std::string key(text.substr(position, equals - position));
    position = equals + 1;
    std::string value = ParseValue(text, position);
    if (key == "time_ms") {
      int64_t time_ms = 0;
      if (!absl::SimpleAtoi(value, &time_ms)) return std::nullopt;
      line.time = TimePoint(milliseconds(time_ms));
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

std::vector<LogLine> BuildRequestTimeline(std::vector<LogLine> lines,
                                          const std::string& request) {
  const RequestDetails details = CollectDetails(lines, request);
  std::vector<LogLine> timeline;
  if (details.host.empty()) return timeline;
  for (LogLine& line : lines) {
    if (line.time > details.ended) continue;
    if (line.Value("request") == request || IsRelated(line, details)) {
      timeline.push_back(std::move(line));
    }
  }
  std::stable_sort(
      timeline.begin(), timeline.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return timeline;
}

}  // namespace applehall

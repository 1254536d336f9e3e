#include "node/limit_registry.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

using std::chrono::seconds;

// A limit expires if no answer names it for this long.
constexpr Duration kLimitTtl = seconds(60);
// Interval at which hosts report to the owner that a limit is still named.
constexpr Duration kRefreshInterval = seconds(5);
// Value of a lifted limit in rows.
constexpr double kLifted = -1;
constexpr size_t kMaxIncarnations = 4096;

}  // namespace

void LimitRegistry::Set(const std::string& server, Entry& entry,
                        std::optional<double> per_second, TimePoint now) {
  if (entry.per_second != per_second) changed_.push_back(server);
  entry.per_second = per_second;
  entry.known_since = now;
}

// A lower limit always applies at once. A higher one, or a lifted one, applies
// only if its request was sent after the last change: otherwise the answer may
// be older than the known limit.
bool LimitRegistry::ApplyReported(const std::string& server,
                                  const ReportedLimit& reported,
                                  TimePoint sent_at, TimePoint now) {
  using Kind = ReportedLimit::Kind;
  if (reported.kind == Kind::kUnknown || reported.kind == Kind::kMalformed) {
    return false;
  }
  const auto start = starts_.find(server);
  if (start != starts_.end() && sent_at < start->second) return false;
  const bool is_named = reported.kind == Kind::kNamed;
  auto it = entries_.find(server);
  if (it == entries_.end()) {
    if (!is_named) return false;
    it = entries_.emplace(server, Entry{}).first;
  }
  Entry& entry = it->second;
  if (is_named) {
    entry.named_at = now;
    if (entry.per_second == reported.per_second) return false;
  }
  if (!is_named && !entry.per_second) return false;
  const bool is_lower = is_named && (!entry.per_second ||
                                     reported.per_second < *entry.per_second);
  if (!is_lower && sent_at <= entry.known_since) return false;
  Set(server, entry,
      is_named ? std::optional(reported.per_second) : std::nullopt, now);
  entry.base = entry.version;
  entry.is_own = true;
  entry.is_unsent = true;
  unnumbered_.insert(server);
  return true;
}

void LimitRegistry::Remove(const std::string& server, TimePoint now) {
  if (starts_.size() >= kMaxIncarnations) starts_.clear();
  starts_[server] = now;
  const auto it = entries_.find(server);
  if (it == entries_.end()) return;
  if (it->second.per_second) changed_.push_back(server);
  entries_.erase(it);
}

void LimitRegistry::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    Entry& entry = it->second;
    if (now - std::max(entry.named_at, entry.known_since) > kLimitTtl) {
      if (entry.per_second) {
        // Kept for another TTL, so that plans announce the change to all hosts.
        Set(it->first, entry, std::nullopt, now);
        unnumbered_.insert(it->first);
      } else {
        entries_.erase(it);
      }
    }
    it = next;
  }
}

std::optional<double> LimitRegistry::Find(const std::string& server) const {
  const auto it = entries_.find(server);
  return it == entries_.end() ? std::nullopt : it->second.per_second;
}

std::map<std::string, double> LimitRegistry::Limits() const {
  std::map<std::string, double> limits;
  for (const auto& [server, entry] : entries_) {
    if (entry.per_second) limits[server] = *entry.per_second;
  }
  return limits;
}

Duration LimitRegistry::KnownFor(const std::string& server,
                                 TimePoint now) const {
  const auto it = entries_.find(server);
  const bool is_known = it != entries_.end() && it->second.per_second;
  return is_known ? now - it->second.known_since : Duration::max();
}

Duration LimitRegistry::Age(const std::string& server, TimePoint now) const {
  const auto it = entries_.find(server);
  return it == entries_.end() ? Duration{0} : now - it->second.named_at;
}

// ---- Reports and plans between hosts ----

Json LimitRegistry::RowToJson(const std::string& server, const Entry& entry,
                              uint64_t version, const EngineList& servers,
                              TimePoint now) {
  const auto listed = servers.find(server);
  const int64_t started =
      listed == servers.end() ? 0 : ToUnixMillis(listed->second.started_at);
  return Json::array({server, started, entry.per_second.value_or(kLifted),
                      ToMillis(now - entry.named_at), version});
}

std::optional<LimitRegistry::Row> LimitRegistry::ParseRow(const Json& json) {
  const bool is_row = json.is_array() && json.size() == 5 &&
                      json[0].is_string() && json[1].is_number_integer() &&
                      json[2].is_number() && json[3].is_number_integer() &&
                      json[4].is_number_unsigned();
  if (!is_row || !std::isfinite(json[2].get<double>())) return std::nullopt;
  Row row;
  row.server = json[0].get<std::string>();
  row.started_at = FromUnixMillis(json[1].get<int64_t>());
  const double per_second = json[2].get<double>();
  if (per_second >= 0) row.per_second = per_second;
  row.age = std::chrono::milliseconds(
      std::clamp<int64_t>(json[3].get<int64_t>(), 0, ToMillis(kLimitTtl)));
  row.version = json[4].get<uint64_t>();
  return row;
}

bool LimitRegistry::IsOfEarlierIncarnation(const Row& row,
                                           const EngineList& servers) {
  const auto listed = servers.find(row.server);
  return listed != servers.end() &&
         StartedAfter(listed->second.started_at, row.started_at);
}

bool LimitRegistry::HasNewRows() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& item) { return item.second.is_unsent; });
}

Json LimitRegistry::ReportRows(FencingToken token, const EngineList& servers,
                               TimePoint now) {
  Json rows = Json::array();
  for (auto& [server, entry] : entries_) {
    if (entry.token != token) {
      // Another owner assigned the version.
      entry.base = 0;
      entry.is_own = entry.is_own || entry.per_second.has_value();
    }
    const bool is_due = entry.per_second &&
                        entry.named_at > entry.refreshed_at &&
                        now - entry.refreshed_at >= kRefreshInterval;
    if (!entry.is_own && !is_due) continue;
    entry.is_unsent = false;
    entry.refreshed_at = now;
    rows.push_back(RowToJson(server, entry,
                             entry.is_own ? entry.base : entry.version, servers,
                             now));
  }
  return rows;
}

void LimitRegistry::HandleReport(const Json& rows, const EngineList& servers,
                                 TimePoint now) {
  if (!rows.is_array()) return;
  for (const Json& json : rows) {
    const std::optional<Row> row = ParseRow(json);
    // The host may not have recorded yet that the server left.
    if (!row || !servers.contains(row->server)) continue;
    if (IsOfEarlierIncarnation(*row, servers)) continue;
    const auto known = entries_.find(row->server);
    if (known == entries_.end() && !row->per_second) continue;
    Entry& entry = entries_[row->server];
    const TimePoint named_at = now - row->age;
    if (entry.per_second == row->per_second) {
      if (row->per_second) entry.named_at = std::max(entry.named_at, named_at);
      continue;
    }
    const bool is_first = known == entries_.end();
    const bool is_lower = row->per_second && entry.per_second &&
                          row->per_second < entry.per_second;
    const bool is_on_newest =
        row->version != 0 && row->version == entry.version;
    // Against another owner's version only a lower limit is applied.
    const bool is_safe = row->version == 0 && is_lower;
    if (!is_first && !is_on_newest && !is_safe) continue;
    Set(row->server, entry, row->per_second, now);
    if (row->per_second) entry.named_at = std::max(entry.named_at, named_at);
    unnumbered_.insert(row->server);
  }
}

void LimitRegistry::NumberRows(uint64_t& last_update) {
  for (const std::string& server : std::exchange(unnumbered_, {})) {
    const auto it = entries_.find(server);
    if (it == entries_.end()) continue;
    it->second.version = ++last_update;
    it->second.is_own = false;
    it->second.is_unsent = false;
  }
}

void LimitRegistry::RenumberRows(uint64_t& last_update) {
  unnumbered_.clear();
  for (auto& [server, entry] : entries_) unnumbered_.insert(server);
  NumberRows(last_update);
}

Json LimitRegistry::PlanRows(uint64_t since, const EngineList& servers,
                             TimePoint now) const {
  Json rows = Json::array();
  for (const auto& [server, entry] : entries_) {
    if (entry.version <= since) continue;
    rows.push_back(RowToJson(server, entry, entry.version, servers, now));
  }
  return rows;
}

void LimitRegistry::HandlePlan(const Json& rows, FencingToken token,
                               const EngineList& servers, TimePoint now) {
  if (!rows.is_array()) return;
  for (const Json& json : rows) {
    const std::optional<Row> row = ParseRow(json);
    if (!row || IsOfEarlierIncarnation(*row, servers)) continue;
    const auto known = entries_.find(row->server);
    if (known == entries_.end() && !row->per_second) continue;
    Entry& entry = entries_[row->server];
    const bool is_newer = entry.token < token || (entry.token == token &&
                                                  entry.version < row->version);
    if (!is_newer) continue;
    entry.token = token;
    entry.version = row->version;
    entry.is_own = false;
    entry.is_unsent = false;
    entry.named_at = std::max(entry.named_at, now - row->age);
    if (entry.per_second != row->per_second) {
      Set(row->server, entry, row->per_second, now);
    }
  }
}

Json LimitRegistry::ToJson(TimePoint now) const {
  Json json = Json::object();
  for (const auto& [server, entry] : entries_) {
    if (!entry.per_second) continue;
    json[server] = Json{{"per_second", *entry.per_second},
                        {"named_ms_ago", ToMillis(now - entry.named_at)},
                        {"version", entry.version},
                        {"confirmed", !entry.is_own}};
  }
  return json;
}

}  // namespace applehall

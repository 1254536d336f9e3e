#include "membership/version_history.h"

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Keys of ToRows().
constexpr char kKnownMillis[] = "c";
constexpr char kListingAge[] = "a";
constexpr char kServices[] = "s";
// In place of the time since the last server left.
constexpr int64_t kStillListed = -1;

}  // namespace

void VersionHistory::Add(const std::string& service, const std::string& version,
                         TimePoint now) {
  Versions& versions = services_[service];
  const auto known = versions.find(version);
  if (known != versions.end() && IsRecent(known->second, now)) {
    ++known->second.servers;
    return;
  }
  const bool has_others =
      std::any_of(versions.begin(), versions.end(), [&](const auto& item) {
        return item.first != version && IsRecent(item.second, now);
      });
  VersionState& added = versions[version];
  added.servers = 1;
  added.streams_from = has_others ? now + settle_time_ : TimePoint{};
}

void VersionHistory::Remove(const std::string& service,
                            const std::string& version, TimePoint now) {
  const auto versions = services_.find(service);
  if (versions == services_.end()) return;
  const auto known = versions->second.find(version);
  if (known == versions->second.end() || known->second.servers == 0) return;
  if (--known->second.servers == 0) known->second.left_at = now;
}

void VersionHistory::RecordListing(bool is_contiguous, TimePoint now) {
  RemoveOld(now);
  const bool is_first = known_since_ == TimePoint{};
  if (is_first) SettleCommonVersions(now);
  if (is_first || !is_contiguous) known_since_ = now;
  if (!is_first && !is_contiguous) gap_at_ = now;
  if (is_first && is_first_start_) known_since_ = now - kMaxStreamAge;
}

void VersionHistory::RecordPartialListing(TimePoint now) {
  if (known_since_ != TimePoint{}) RecordListing(/*is_contiguous=*/false, now);
}

void VersionHistory::SettleCommonVersions(TimePoint now) {
  for (auto& [service, versions] : services_) {
    const auto common = std::max_element(
        versions.begin(), versions.end(), [](const auto& a, const auto& b) {
          return a.second.servers < b.second.servers;
        });
    for (auto& [version, state] : versions) {
      state.streams_from = now + settle_time_;
    }
    common->second.streams_from = {};
  }
}

void VersionHistory::RemoveOld(TimePoint now) {
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [now](const auto& item) {
      return !IsRecent(item.second, now);
    });
  }
  std::erase_if(services_,
                [](const auto& item) { return item.second.empty(); });
}

void VersionHistory::MergeRows(const Json& rows, TimePoint now) {
  const auto listing_age =
      milliseconds(FieldOr<int64_t>(rows, kListingAge, INT32_MAX));
  const auto known_for = milliseconds(FieldOr<int64_t>(rows, kKnownMillis, 0));
  // Between the two histories versions may have come and gone.
  const bool is_contiguous = known_since_ != TimePoint{} &&
                             listing_age <= max_listing_age_ &&
                             known_since_ <= now - listing_age;
  if (!is_contiguous) return;
  known_since_ = std::min(known_since_, now - known_for);
  for (const Json& row : rows.value(kServices, Json::array())) {
    const bool is_row = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_string() &&
                        row[2].is_number_integer();
    if (!is_row) continue;
    const auto left = row[2].get<int64_t>();
    const TimePoint left_at =
        left == kStillListed ? now
                             : now - milliseconds(std::max<int64_t>(0, left));
    AddSeen({row[0].get<std::string>(), row[1].get<std::string>()}, left_at,
            now);
  }
}

void VersionHistory::AddSeen(const StreamOrigin& origin, TimePoint left_at,
                             TimePoint now) {
  const auto [state, is_new] =
      services_[origin.service].try_emplace(origin.version);
  if (is_new) state->second.streams_from = now + settle_time_;
  state->second.left_at = std::max(state->second.left_at, left_at);
}

void VersionHistory::Restore(const std::vector<StreamOrigin>& versions,
                             TimePoint now) {
  if (known_since_ == TimePoint{}) return;
  known_since_ = std::min(known_since_, now - kMaxStreamAge);
  // How long ago they left is not known.
  for (const StreamOrigin& origin : versions) AddSeen(origin, now, now);
}

std::vector<StreamOrigin> VersionHistory::RecentVersions(TimePoint now) const {
  std::vector<StreamOrigin> recent;
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, state] : versions) {
      if (IsRecent(state, now)) recent.push_back({service, version});
    }
  }
  return recent;
}

std::optional<std::string> VersionHistory::SettledVersion(
    const std::string& service, Duration listing_age, TimePoint now) const {
  const bool is_known =
      known_since_ != TimePoint{} && now - known_since_ >= kMaxStreamAge;
  return is_known ? OnlySeenVersion(service, listing_age, now) : std::nullopt;
}

std::optional<std::string> VersionHistory::OnlySeenVersion(
    const std::string& service, Duration listing_age, TimePoint now) const {
  if (known_since_ == TimePoint{}) return std::nullopt;
  const bool has_gap = gap_at_ != TimePoint{} && known_since_ >= gap_at_ &&
                       now - gap_at_ < kMaxStreamAge;
  if (has_gap || listing_age > max_listing_age_) return std::nullopt;
  const auto versions = services_.find(service);
  if (versions == services_.end()) return std::nullopt;
  std::optional<std::string> only;
  for (const auto& [version, state] : versions->second) {
    if (!IsRecent(state, now)) continue;
    if (only) return std::nullopt;
    only = version;
  }
  return only;
}

TimePoint VersionHistory::StreamsFrom(const std::string& service,
                                      const std::string& version) const {
  const auto versions = services_.find(service);
  if (versions == services_.end()) return {};
  const auto known = versions->second.find(version);
  return known == versions->second.end() ? TimePoint{}
                                         : known->second.streams_from;
}

Json VersionHistory::ToRows(Duration listing_age, TimePoint now) const {
  if (known_since_ == TimePoint{}) return Json();
  Json rows{{kKnownMillis, ToMillis(now - known_since_)},
            {kListingAge, ToMillis(listing_age)}};
  Json services = Json::array();
  for (const auto& [service, versions] : services_) {
    if (versions.size() < 2) continue;
    for (const auto& [version, state] : versions) {
      if (!IsRecent(state, now)) continue;
      services.push_back(Json::array(
          {service, version,
           state.servers > 0 ? kStillListed : ToMillis(now - state.left_at)}));
    }
  }
  if (!services.empty()) rows[kServices] = std::move(services);
  return rows;
}

Json VersionHistory::ToJson(TimePoint now) const {
  Json json{{"known_for_ms", ToMillis(KnownFor(now))},
            {"services", Json::object()}};
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, state] : versions) {
      json["services"][service][version] =
          Json{{"servers", state.servers},
               {"takes_new_streams", state.streams_from <= now}};
    }
  }
  return json;
}

}  // namespace applehall

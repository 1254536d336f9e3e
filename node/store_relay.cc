#include "node/store_relay.h"

#include <algorithm>

#include "core/byte_patch.h"
#include "core/event_log.h"
#include "core/hash.h"
#include "node/reader_selector.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// A follower without a message for this many heartbeat intervals has left or
// has another reader.
constexpr int kFollowerTimeoutHeartbeats = 6;
// Updates are retained for followers that come from another reader: as long as
// such a follower can lag behind this host, and within a bound on memory.
constexpr Duration kMaxRetention = seconds(15);
constexpr size_t kMaxRetainedBytes = 512 * 1024;

// A patch longer than this share of the records saves too little: it depends on
// the follower having its base record.
constexpr double kMaxPatchRatio = 0.8;
constexpr size_t kMaxPatchedBytes = 4 * 1024 * 1024;
// Share of a reader's link for relayed records, in addition to a burst of what
// the link carries within one heartbeat interval and the transit time.
constexpr double kLinkShare = 0.5;
constexpr double kBytesPerMegabit = 125'000;
constexpr char kStoreSource[] = "store";

int64_t ToMicros(Duration duration) { return duration.count(); }

std::optional<std::string> ParseBinary(const Json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end() || !found->is_binary()) return std::nullopt;
  const Json::binary_t& bytes = found->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

void StoreRelay::SetReader(const PeerAddress& reader) {
  if (reader == reader_) return;
  reader_ = reader;
  context_.freshness.RemovePending();
  follow_sent_at_ = TimePoint{};
  LogEvent(LogLevel::kInfo, "store_reader").With("reader", reader_.host);
}

bool StoreRelay::HasReader() const {
  return !reader_.host.empty() && reader_.host != context_.settings.self.host;
}

bool StoreRelay::IsReaderOrBackup(const std::string& host) const {
  return host == reader_.host || (host == backup_.host && !host.empty());
}

TimePoint StoreRelay::RelayedFreshness() const {
  TimePoint oldest = context_.now;
  for (const auto& [topic, state] : context_.freshness.known()) {
    const auto relayed = relayed_freshness_.find(topic);
    if (relayed == relayed_freshness_.end()) return {};
    oldest = std::min(oldest, relayed->second);
  }
  return context_.freshness.known().empty() ? TimePoint{} : oldest;
}

// A follower leaves half of the allowed staleness for the backup's answer. A
// host that reads the store itself is this stale only if its reads fail.
bool StoreRelay::NeedsBackup() const {
  const bool has_backup =
      !backup_.host.empty() && backup_.host != context_.settings.self.host;
  if (!has_backup) return false;
  if (HasReader()) return RelayedStaleness() > budget().max_staleness / 2;
  return Staleness() > budget().max_staleness;
}

void StoreRelay::HandleStoreUpdates(const StoreUpdatesRead& updates) {
  context_.freshness.RecordOffset(updates.topic, updates.next);
  if (updates.as_of != TimePoint{}) {
    context_.freshness.RecordFreshness(updates.topic, updates.next,
                                       updates.as_of, kStoreSource);
  }
  if (!updates.records.empty()) {
    const RetainedUpdates& retained = Retain(MakeRetained(updates));
    if (!followers_.empty()) {
      LogEvent(LogLevel::kInfo, "store_updates_relayed")
          .With("topic", updates.topic)
          .With("from", updates.from)
          .With("to", updates.next)
          .With("bytes", updates.records.size())
          .With("patch_bytes", retained.patch.size())
          .With("followers", followers_.size())
          .With("read_ms_ago", ToMillis(context_.now - updates.as_of));
    }
    for (auto& [host, follower] : followers_) {
      SendUpdates(host, follower, &retained);
    }
  }
  if (!updates.last_record.empty()) {
    base_records_[updates.topic] = updates.last_record;
  } else if (!updates.records.empty()) {
    base_records_.erase(updates.topic);
  }
}

StoreRelay::RetainedUpdates StoreRelay::MakeRetained(
    const StoreUpdatesRead& updates) const {
  RetainedUpdates retained{updates, context_.now, "", 0};
  const auto base = base_records_.find(updates.topic);
  if (base == base_records_.end()) return retained;
  std::string patch = MakeBytePatch(base->second, updates.records);
  if (static_cast<double>(patch.size()) >
      kMaxPatchRatio * static_cast<double>(updates.records.size())) {
    return retained;
  }
  retained.patch = std::move(patch);
  retained.base_hash = StableHash(base->second);
  return retained;
}

const StoreRelay::RetainedUpdates& StoreRelay::Retain(
    RetainedUpdates retained) {
  std::deque<RetainedUpdates>& kept = retained_[retained.updates.topic];
  kept.push_back(std::move(retained));
  size_t bytes = 0;
  for (const RetainedUpdates& one : kept) bytes += one.updates.records.size();
  while (kept.size() > 1 &&
         (bytes > kMaxRetainedBytes ||
          context_.now - kept.front().retained_at > kMaxRetention)) {
    bytes -= kept.front().updates.records.size();
    kept.pop_front();
  }
  return kept.back();
}

// Guards against a gap that a follower cannot close while the store rejects its
// calls, after its reader crashed or a message was lost. The offsets show which
// records it lacks.
void StoreRelay::SendMissing(const std::string& host, Follower& follower) {
  for (const auto& [topic, kept] : retained_) {
    const auto sent = follower.sent.find(topic);
    if (sent == follower.sent.end()) continue;
    for (const RetainedUpdates& one : kept) {
      if (one.updates.next <= sent->second.next) continue;
      if (one.updates.from > sent->second.next) break;
      SendUpdates(host, follower, &one);
    }
  }
}

void StoreRelay::HandleFollow(const std::string& host, const Json& body) {
  Follower& follower = followers_[host];
  const bool is_new = follower.last_contact_at == TimePoint{};
  follower.address = FieldOr<std::string>(body, "p", "");
  follower.stamp = FieldOr<int64_t>(body, "t", 0);
  follower.last_contact_at = context_.now;
  follower.needs_full_records = FieldOr<bool>(body, "whole", false);
  // Records sent after the last message that the follower has received may
  // still be in transit; sending them again would only lengthen the queue on
  // the link.
  const TimePoint seen{Duration(FieldOr<int64_t>(body, "seen", 0))};
  const Json known = body.value("next", Json::object());
  for (const auto& [topic, next] : known.items()) {
    if (!next.is_number_unsigned()) continue;
    SentState& sent = follower.sent[topic];
    const auto offset = next.get<LogOffset>();
    if (offset >= sent.next || sent.last_sent_at <= seen) sent.next = offset;
  }
  SendMissing(host, follower);
  if (is_new) SendUpdates(host, follower, nullptr);
}

// Sends the offset and staleness of each topic, and in `held` the time since
// the follower's stamp was received. Both are durations by this host's clock,
// so no synchronised clocks are needed, and a message that was delayed on its
// way proves freshness only up to the time of its stamp.
void StoreRelay::SendUpdates(const std::string& host, Follower& follower,
                             const RetainedUpdates* updates) {
  if (context_.is_draining) return;
  follower.sent_at = context_.now;
  Json known = Json::object();
  for (const auto& [topic, state] : context_.freshness.known()) {
    known[topic] =
        Json::array({state.next, ToMicros(context_.now - state.as_of)});
  }
  Json body{{"t", follower.stamp},
            {"s", ToMicros(context_.now.time_since_epoch())},
            {"held", ToMicros(context_.now - follower.last_contact_at)},
            {"known", std::move(known)}};
  if (!owner_.peer.host.empty()) {
    body["o"] =
        Json::array({owner_.peer.host, owner_.peer.address, owner_.token});
  }
  if (updates != nullptr) AddRecords(*updates, follower, body);
  context_.Emit(SendPeer{host,
                         follower.address,
                         {PeerMessageType::kStoreUpdates, std::move(body)}});
}

void StoreRelay::AddRecords(const RetainedUpdates& entry, Follower& follower,
                            Json& body) {
  const StoreUpdatesRead& read = entry.updates;
  SentState& sent = follower.sent[read.topic];
  const bool has_base = sent.next == read.from && !entry.patch.empty() &&
                        !follower.needs_full_records;
  const std::string& bytes = has_base ? entry.patch : read.records;
  // A follower that gets no records now requests them with its next message,
  // and reads the store itself once its topics are too stale.
  if (!TrySpendBytes(bytes.size())) return;
  body["topic"] = read.topic;
  body["from"] = read.from;
  body["to"] = read.next;
  if (has_base) body["base"] = entry.base_hash;
  body[has_base ? "patch" : "records"] =
      Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
  sent = {read.next, context_.now};
}

// Guards against relayed records, large ones or a burst of changes to many
// followers, that saturate this host's link and delay its own reads and
// callers.
bool StoreRelay::TrySpendBytes(size_t bytes) {
  const double mbps = context_.settings.link_mbps;
  const double per_second =
      (mbps > 0 ? mbps : kWideLinkMbps) * kBytesPerMegabit;
  const double burst = per_second * ToSeconds(budget().heartbeat_interval +
                                              budget().max_transit);
  const double elapsed = ToSeconds(context_.now - refilled_at_);
  link_tokens_ =
      std::min(burst, link_tokens_ + kLinkShare * per_second * elapsed);
  refilled_at_ = context_.now;
  if (link_tokens_ <= 0) {
    context_.metrics.Count("store_news_put_off_total");
    return false;
  }
  // A record larger than the remaining tokens is sent all the same, and later
  // records wait until the debt is repaid.
  link_tokens_ -= static_cast<double>(bytes);
  return true;
}

KnownOwner StoreRelay::ParseOwner(const Json& body) {
  const Json row = body.value("o", Json::array());
  const bool is_owner = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_string() &&
                        row[2].is_number_unsigned();
  if (!is_owner) return {};
  return {{row[0].get<std::string>(), row[1].get<std::string>()},
          row[2].get<FencingToken>()};
}

void StoreRelay::HandleRelayedUpdates(const std::string& host,
                                      const Json& body) {
  if (!IsReaderOrBackup(host) || context_.is_draining) return;
  const auto known = body.find("known");
  if (known == body.end() || !known->is_object()) return;
  const TimePoint stamp{Duration(FieldOr<int64_t>(body, "t", 0))};
  const Duration held(FieldOr<int64_t>(body, "held", 0));
  last_stamps_[host] = FieldOr<int64_t>(body, "s", 0);
  ApplyRecords(host, body, context_.now - stamp - held);
  for (const auto& [topic, report] : known->items()) {
    const bool is_report = report.is_array() && report.size() == 2 &&
                           report[0].is_number_unsigned() &&
                           report[1].is_number_integer();
    if (!is_report) continue;
    const TimePoint as_of = stamp + held - Duration(report[1].get<int64_t>());
    TimePoint& relayed = relayed_freshness_[topic];
    relayed = std::max(relayed, as_of);
    context_.freshness.RecordFreshness(topic, report[0].get<LogOffset>(), as_of,
                                       host);
  }
}

absl::StatusOr<std::string> StoreRelay::DecodeRecords(
    const Json& body, const std::string& topic) const {
  const LogOffset own = context_.freshness.NextOffset(topic);
  const auto from = FieldOr<LogOffset>(body, "from", 0);
  if (!context_.freshness.Contains(topic)) {
    return absl::FailedPreconditionError("the topic was not read yet");
  }
  if (own >= FieldOr<LogOffset>(body, "to", 0)) {
    return absl::AlreadyExistsError("all records are known already");
  }
  // The records in the gap are sent again, or this host's own read returns
  // them.
  if (own < from) return absl::OutOfRangeError("earlier records are missing");
  const std::optional<std::string> patch = ParseBinary(body, "patch");
  if (!patch) {
    std::optional<std::string> records = ParseBinary(body, "records");
    if (!records) return absl::InvalidArgumentError("no records field");
    return *std::move(records);
  }
  const auto base = base_records_.find(topic);
  if (own != from || base == base_records_.end() ||
      StableHash(base->second) != FieldOr<uint64_t>(body, "base", 0)) {
    return absl::DataLossError("the patch has another base record");
  }
  std::optional<std::string> records =
      ApplyBytePatch(base->second, *patch, kMaxPatchedBytes);
  if (!records) return absl::DataLossError("the patch is malformed");
  return *std::move(records);
}

void StoreRelay::ApplyRecords(const std::string& host, const Json& body,
                              Duration delay) {
  const std::string topic = FieldOr<std::string>(body, "topic", "");
  if (topic.empty()) return;
  context_.metrics.Observe("store_news_delay", delay);
  absl::StatusOr<std::string> records = DecodeRecords(body, topic);
  if (absl::IsDataLoss(records.status())) needs_full_records_ = true;
  const auto from = FieldOr<LogOffset>(body, "from", 0);
  const auto to = FieldOr<LogOffset>(body, "to", 0);
  std::optional<std::string> patch = ParseBinary(body, "patch");
  LogEvent(LogLevel::kInfo,
           records.ok() ? "store_updates_applied" : "store_updates_rejected")
      .With("topic", topic)
      .With("from", from)
      .With("to", to)
      .With("known", context_.freshness.NextOffset(topic))
      .With("bytes", records.ok() ? records->size() : 0)
      .With("patch_bytes", patch ? patch->size() : 0)
      .With("reader", host)
      .With("delay_ms", ToMillis(delay))
      .With("proof_age_ms", ToMillis(RelayedStaleness()))
      .With("reason", std::string(records.status().message()));
  if (!records.ok()) return;
  needs_full_records_ = false;
  // HandleStoreUpdates() records the offset once they are applied: the store
  // client drops them while it reads the whole topic.
  context_.Emit(ApplyStoreUpdates{topic, from, to, *records});
  StoreUpdatesRead updates{.topic = topic, .from = from, .next = to};
  updates.records = *std::move(records);
  Retain({std::move(updates), context_.now, patch.value_or(""),
          FieldOr<uint64_t>(body, "base", 0)});
}

void StoreRelay::SendFollow(const PeerAddress& reader) {
  Json next = Json::object();
  for (const auto& [topic, state] : context_.freshness.known()) {
    next[topic] = state.next;
  }
  context_.Emit(SendPeer{reader.host,
                         reader.address,
                         {PeerMessageType::kStoreFollow,
                          Json{{"p", context_.settings.peer_address},
                               {"t", ToMicros(context_.now.time_since_epoch())},
                               {"seen", LastStampFrom(reader.host)},
                               {"whole", needs_full_records_},
                               {"next", std::move(next)}}}});
}

int64_t StoreRelay::LastStampFrom(const std::string& reader) const {
  const auto seen = last_stamps_.find(reader);
  return seen == last_stamps_.end() ? 0 : seen->second;
}

void StoreRelay::SetReading(bool is_reading) {
  if (is_reading == is_reading_) return;
  is_reading_ = is_reading;
  context_.metrics.Count(is_reading ? "store_relay_lost_total"
                                    : "store_relay_taken_total");
  LogEvent(LogLevel::kInfo,
           is_reading ? "store_read_own" : "store_read_relayed")
      .With("reader", reader_.host)
      .With("proof_age_ms", ToMillis(RelayedStaleness()))
      .With("caught_up", context_.freshness.IsCaughtUp() ? "yes" : "no");
  context_.Emit(
      SetStorePolling{is_reading, context_.freshness.OldestFreshness()});
}

void StoreRelay::SetFollowingBackup(bool is_following) {
  if (is_following == is_following_backup_) return;
  is_following_backup_ = is_following;
  if (!is_following) return;
  context_.metrics.Count("store_backup_followed_total");
  LogEvent(LogLevel::kInfo, "store_backup_followed")
      .With("backup", backup_.host)
      .With("reader", reader_.host)
      .With("proof_age_ms", ToMillis(Staleness()));
}

void StoreRelay::RunTick() {
  std::erase_if(followers_, [this](const auto& item) {
    return context_.now - item.second.last_contact_at >
           kFollowerTimeoutHeartbeats * budget().heartbeat_interval;
  });
  for (auto& [host, follower] : followers_) {
    if (context_.now - follower.sent_at >= budget().heartbeat_interval) {
      SendUpdates(host, follower, nullptr);
    }
  }
  if (context_.is_draining) {
    SetReading(true);
    return;
  }
  if (context_.now - follow_sent_at_ >= budget().heartbeat_interval) {
    follow_sent_at_ = context_.now;
    if (HasReader()) SendFollow(reader_);
    SetFollowingBackup(NeedsBackup());
    if (is_following_backup_) SendFollow(backup_);
  }
  if (!HasReader()) {
    SetReading(true);
    return;
  }
  // The reader sends missing records again. Waiting for that until this host's
  // own topics are too stale spares the store a read by each of many followers.
  SetReading(std::max(Staleness(), RelayedStaleness()) >
             budget().max_staleness);
  if (is_reading_) return;
  // Freshness that the reader reports also shows that the store is available.
  const TimePoint as_of = context_.freshness.OldestFreshness();
  if (as_of > std::max(context_.log_answered_at, context_.log_failed_at)) {
    context_.RecordLogResponse(as_of);
  }
}

Json StoreRelay::ToJson() const {
  return Json{{"reader", reader_.host},
              {"reads_itself", is_reading_},
              {"followers", followers_.size()},
              {"topics", context_.freshness.ToJson(context_.now)}};
}

}  // namespace applehall

#include "node/store_relay.h"

#include <algorithm>

#include "core/byte_patch.h"
#include "core/event_log.h"
#include "core/hash.h"
#include "node/reader_selector.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// A follower that is silent for so many beats has left or has another reader.
constexpr int kFollowerLife = 6;
// News are kept for followers that come from another reader: as long as a
// reader and its follower can have drifted apart, and within a host's memory.
constexpr Duration kMemory = seconds(15);
constexpr size_t kMostRemembered = 512 * 1024;

// A patch that is hardly shorter than the records is not worth its base.
constexpr double kWorthwhilePatch = 0.8;
constexpr size_t kMostPatched = 4 * 1024 * 1024;
// Of a reader's link, for the records that it passes on, beyond what the link
// carries at once in the time that news may be under way.
constexpr double kShareOfLink = 0.5;
constexpr double kBytesPerMegabit = 125'000;
constexpr char kStoreSource[] = "store";

int64_t Micros(Duration duration) { return duration.count(); }

std::optional<std::string> BinaryIn(const Json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end() || !found->is_binary()) return std::nullopt;
  const Json::binary_t& bytes = found->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

void StoreRelay::SetReader(const PeerAddress& reader) {
  if (reader == reader_) return;
  reader_ = reader;
  context_.news.ForgetClaims();
  followed_at_ = TimePoint{};
  LogEvent(LogLevel::kInfo, "store_reader").With("reader", reader_.host);
}

bool StoreRelay::IsFollowing() const {
  return !reader_.host.empty() && reader_.host != context_.settings.self.host &&
         !context_.is_draining;
}

bool StoreRelay::IsSource(const std::string& host) const {
  return host == reader_.host || (host == backup_.host && !host.empty());
}

TimePoint StoreRelay::RelayedAsOf() const {
  TimePoint oldest = context_.now;
  for (const auto& [topic, proof] : context_.news.known()) {
    const auto relayed = relayed_as_of_.find(topic);
    if (relayed == relayed_as_of_.end()) return {};
    oldest = std::min(oldest, relayed->second);
  }
  return context_.news.known().empty() ? TimePoint{} : oldest;
}

// Half of the trust is left then for the backup's answer.
bool StoreRelay::IsInDoubt() const {
  return ProofAge() > budget().max_staleness / 2;
}

void StoreRelay::TakeNews(const StoreUpdatesRead& news) {
  context_.news.Know(news.topic, news.next);
  if (news.as_of != TimePoint{}) {
    context_.news.Prove(news.topic, news.next, news.as_of, kStoreSource);
  }
  if (!news.records.empty()) {
    const Remembered& remembered = Keep(WithPatch(news));
    if (!followers_.empty()) {
      LogEvent(LogLevel::kInfo, "store_news_passed")
          .With("topic", news.topic)
          .With("from", news.from)
          .With("to", news.next)
          .With("bytes", news.records.size())
          .With("patch_bytes", remembered.patch.size())
          .With("followers", followers_.size())
          .With("read_ms_ago", ToMillis(context_.now - news.as_of));
    }
    for (auto& [host, follower] : followers_) {
      SendNews(host, follower, &remembered);
    }
  }
  if (!news.last_record.empty()) {
    bases_[news.topic] = news.last_record;
  } else if (!news.records.empty()) {
    bases_.erase(news.topic);
  }
}

StoreRelay::Remembered StoreRelay::WithPatch(
    const StoreUpdatesRead& news) const {
  Remembered remembered{news, context_.now, "", 0};
  const auto base = bases_.find(news.topic);
  if (base == bases_.end()) return remembered;
  std::string patch = MakeBytePatch(base->second, news.records);
  if (static_cast<double>(patch.size()) >
      kWorthwhilePatch * static_cast<double>(news.records.size())) {
    return remembered;
  }
  remembered.patch = std::move(patch);
  remembered.base_hash = StableHash(base->second);
  return remembered;
}

const StoreRelay::Remembered& StoreRelay::Keep(Remembered remembered) {
  std::deque<Remembered>& kept = remembered_[remembered.news.topic];
  kept.push_back(std::move(remembered));
  size_t bytes = 0;
  for (const Remembered& one : kept) bytes += one.news.records.size();
  while (kept.size() > 1 && (bytes > kMostRemembered ||
                             context_.now - kept.front().at > kMemory)) {
    bytes -= kept.front().news.records.size();
    kept.pop_front();
  }
  return kept.back();
}

// Guards against a gap that a follower cannot fill where the store refuses it:
// its reader died, or a message was lost, and it had to read for itself what
// came in between. Offsets tell what it lacks.
void StoreRelay::SendMissed(const std::string& host, Follower& follower) {
  for (const auto& [topic, kept] : remembered_) {
    const auto told = follower.told.find(topic);
    if (told == follower.told.end()) continue;
    for (const Remembered& one : kept) {
      if (one.news.next <= told->second.next) continue;
      if (one.news.from > told->second.next) break;
      SendNews(host, follower, &one);
    }
  }
}

void StoreRelay::TakeFollow(const std::string& host, const Json& body) {
  Follower& follower = followers_[host];
  const bool is_new = follower.heard_at == TimePoint{};
  follower.address = FieldOr<std::string>(body, "p", "");
  follower.stamp = FieldOr<int64_t>(body, "t", 0);
  follower.heard_at = context_.now;
  follower.needs_whole = FieldOr<bool>(body, "whole", false);
  // Sent after what it has seen last, news may still be under way; sending them
  // again would add to what they wait behind.
  const TimePoint seen{Duration(FieldOr<int64_t>(body, "seen", 0))};
  const Json known = body.value("next", Json::object());
  for (const auto& [topic, next] : known.items()) {
    if (!next.is_number_unsigned()) continue;
    Told& told = follower.told[topic];
    const auto offset = next.get<LogOffset>();
    if (offset >= told.next || told.at <= seen) told.next = offset;
  }
  SendMissed(host, follower);
  if (is_new) SendNews(host, follower, nullptr);
}

// What is known of each topic goes out with the age of its proof, and `held`
// tells how long ago the follower's stamp came. Both are spans of this host's
// clock, so the follower needs no common time, and a message that was held up
// on its way proves no more than the moment its stamp was made.
void StoreRelay::SendNews(const std::string& host, Follower& follower,
                          const Remembered* news) {
  if (context_.is_draining) return;
  follower.sent_at = context_.now;
  Json known = Json::object();
  for (const auto& [topic, proof] : context_.news.known()) {
    known[topic] =
        Json::array({proof.next, Micros(context_.now - proof.as_of)});
  }
  Json body{{"t", follower.stamp},
            {"s", Micros(context_.now.time_since_epoch())},
            {"held", Micros(context_.now - follower.heard_at)},
            {"known", std::move(known)}};
  if (!owner_.peer.host.empty()) {
    body["o"] =
        Json::array({owner_.peer.host, owner_.peer.address, owner_.token});
  }
  if (news != nullptr) AddRecords(*news, follower, body);
  context_.Emit(SendPeer{host,
                         follower.address,
                         {PeerMessageType::kStoreUpdates, std::move(body)}});
}

void StoreRelay::AddRecords(const Remembered& news, Follower& follower,
                            Json& body) {
  const StoreUpdatesRead& read = news.news;
  Told& told = follower.told[read.topic];
  const bool has_base =
      told.next == read.from && !news.patch.empty() && !follower.needs_whole;
  const std::string& bytes = has_base ? news.patch : read.records;
  // A follower that is told no records asks again with its next message, and
  // reads for itself once its proof is too old.
  if (!TakeRoom(bytes.size())) return;
  body["topic"] = read.topic;
  body["from"] = read.from;
  body["to"] = read.next;
  if (has_base) body["base"] = news.base_hash;
  body[has_base ? "patch" : "records"] =
      Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
  told = {read.next, context_.now};
}

// Guards against news that fill this host's link, whole records or a storm of
// changes to many followers: its own reads and its callers wait behind them.
bool StoreRelay::TakeRoom(size_t bytes) {
  const double told = context_.settings.link_mbps;
  const double per_second =
      (told > 0 ? told : kWideLinkMbps) * kBytesPerMegabit;
  const double most = per_second * ToSeconds(budget().heartbeat_interval +
                                             budget().max_transit);
  const double since = ToSeconds(context_.now - room_at_);
  room_ = std::min(most, room_ + kShareOfLink * per_second * since);
  room_at_ = context_.now;
  if (room_ <= 0) {
    context_.metrics.Count("store_news_put_off_total");
    return false;
  }
  // One that is larger than the room goes out all the same, and those after it
  // wait for that.
  room_ -= static_cast<double>(bytes);
  return true;
}

KnownOwner StoreRelay::OwnerIn(const Json& body) {
  const Json told = body.value("o", Json::array());
  const bool is_owner = told.is_array() && told.size() == 3 &&
                        told[0].is_string() && told[1].is_string() &&
                        told[2].is_number_unsigned();
  if (!is_owner) return {};
  return {{told[0].get<std::string>(), told[1].get<std::string>()},
          told[2].get<FencingToken>()};
}

void StoreRelay::TakeRelayed(const std::string& host, const Json& body) {
  if (!IsSource(host) || !IsFollowing()) return;
  const auto known = body.find("known");
  if (known == body.end() || !known->is_object()) return;
  const TimePoint stamp{Duration(FieldOr<int64_t>(body, "t", 0))};
  const Duration held(FieldOr<int64_t>(body, "held", 0));
  seen_[host] = FieldOr<int64_t>(body, "s", 0);
  TakeRecords(host, body, context_.now - stamp - held);
  for (const auto& [topic, claim] : known->items()) {
    const bool is_claim = claim.is_array() && claim.size() == 2 &&
                          claim[0].is_number_unsigned() &&
                          claim[1].is_number_integer();
    if (!is_claim) continue;
    const TimePoint as_of = stamp + held - Duration(claim[1].get<int64_t>());
    TimePoint& relayed = relayed_as_of_[topic];
    relayed = std::max(relayed, as_of);
    context_.news.Prove(topic, claim[0].get<LogOffset>(), as_of, host);
  }
}

absl::StatusOr<std::string> StoreRelay::RecordsIn(
    const Json& body, const std::string& topic) const {
  const LogOffset own = context_.news.Next(topic);
  const auto from = FieldOr<LogOffset>(body, "from", 0);
  if (!context_.news.Knows(topic)) {
    return absl::FailedPreconditionError("nothing of the topic is known yet");
  }
  if (own >= FieldOr<LogOffset>(body, "to", 0)) {
    return absl::AlreadyExistsError("known");
  }
  // Records before a gap are missing here; they are told again, or the own read
  // brings them.
  if (own < from) return absl::OutOfRangeError("a gap");
  const std::optional<std::string> patch = BinaryIn(body, "patch");
  if (!patch) {
    std::optional<std::string> records = BinaryIn(body, "records");
    if (!records) return absl::InvalidArgumentError("no records");
    return *std::move(records);
  }
  const auto base = bases_.find(topic);
  if (own != from || base == bases_.end() ||
      StableHash(base->second) != FieldOr<uint64_t>(body, "base", 0)) {
    return absl::DataLossError("a patch of another record");
  }
  std::optional<std::string> records =
      ApplyBytePatch(base->second, *patch, kMostPatched);
  if (!records) return absl::DataLossError("a malformed patch");
  return *std::move(records);
}

void StoreRelay::TakeRecords(const std::string& host, const Json& body,
                             Duration delay) {
  const std::string topic = FieldOr<std::string>(body, "topic", "");
  if (topic.empty()) return;
  context_.metrics.Observe("store_news_delay", delay);
  absl::StatusOr<std::string> records = RecordsIn(body, topic);
  if (absl::IsDataLoss(records.status())) needs_whole_ = true;
  const auto from = FieldOr<LogOffset>(body, "from", 0);
  const auto to = FieldOr<LogOffset>(body, "to", 0);
  std::optional<std::string> patch = BinaryIn(body, "patch");
  LogEvent(LogLevel::kInfo,
           records.ok() ? "store_news_taken" : "store_news_unfit")
      .With("topic", topic)
      .With("from", from)
      .With("to", to)
      .With("known", context_.news.Next(topic))
      .With("bytes", records.ok() ? records->size() : 0)
      .With("patch_bytes", patch ? patch->size() : 0)
      .With("reader", host)
      .With("delay_ms", ToMillis(delay))
      .With("proof_age_ms", ToMillis(ProofAge()))
      .With("reason", std::string(records.status().message()));
  if (!records.ok()) return;
  needs_whole_ = false;
  context_.Emit(ApplyStoreUpdates{topic, from, to, *records});
  context_.news.Know(topic, to);
  StoreUpdatesRead news{.topic = topic, .from = from, .next = to};
  news.records = *std::move(records);
  Keep({std::move(news), context_.now, patch.value_or(""),
        FieldOr<uint64_t>(body, "base", 0)});
}

void StoreRelay::SendFollow(const PeerAddress& reader) {
  Json next = Json::object();
  for (const auto& [topic, proof] : context_.news.known()) {
    next[topic] = proof.next;
  }
  context_.Emit(SendPeer{reader.host,
                         reader.address,
                         {PeerMessageType::kStoreFollow,
                          Json{{"p", context_.settings.peer_address},
                               {"t", Micros(context_.now.time_since_epoch())},
                               {"seen", SeenOf(reader.host)},
                               {"whole", needs_whole_},
                               {"next", std::move(next)}}}});
}

int64_t StoreRelay::SeenOf(const std::string& reader) const {
  const auto seen = seen_.find(reader);
  return seen == seen_.end() ? 0 : seen->second;
}

void StoreRelay::SetReading(bool is_reading) {
  if (is_reading == is_reading_) return;
  is_reading_ = is_reading;
  context_.metrics.Count(is_reading ? "store_relay_lost_total"
                                    : "store_relay_taken_total");
  LogEvent(LogLevel::kInfo,
           is_reading ? "store_read_own" : "store_read_relayed")
      .With("reader", reader_.host)
      .With("proof_age_ms", ToMillis(ProofAge()))
      .With("caught_up", context_.news.HasCaughtUp() ? "yes" : "no");
  context_.Emit(SetStorePolling{is_reading, context_.news.OldestFreshness()});
}

void StoreRelay::RunTick() {
  std::erase_if(followers_, [this](const auto& item) {
    return context_.now - item.second.heard_at >
           kFollowerLife * budget().heartbeat_interval;
  });
  for (auto& [host, follower] : followers_) {
    if (context_.now - follower.sent_at >= budget().heartbeat_interval) {
      SendNews(host, follower, nullptr);
    }
  }
  if (!IsFollowing()) {
    SetReading(true);
    return;
  }
  if (context_.now - followed_at_ >= budget().heartbeat_interval) {
    followed_at_ = context_.now;
    SendFollow(reader_);
    const bool has_backup =
        !backup_.host.empty() && backup_.host != context_.settings.self.host;
    if (has_backup && IsInDoubt()) SendFollow(backup_);
  }
  // A follower that lacks what its reader has is told again; until its own
  // proof is too old that spares the store a read by each of many.
  const Duration age = context_.now - context_.news.OldestFreshness();
  SetReading(std::max(age, ProofAge()) > budget().max_staleness);
  if (is_reading_) return;
  // What the reader vouches for, this host knows as well.
  const TimePoint as_of = context_.news.OldestFreshness();
  if (as_of > std::max(context_.log_answered_at, context_.log_failed_at)) {
    context_.RecordLogResponse(as_of);
  }
}

Json StoreRelay::ToJson() const {
  return Json{{"reader", reader_.host},
              {"reads_itself", is_reading_},
              {"followers", followers_.size()},
              {"topics", context_.news.ToJson(context_.now)}};
}

}  // namespace applehall

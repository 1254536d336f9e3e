#include "node/stream_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers leave after a pause of two seconds, most of which belongs to the
// server that resumes the stream.
constexpr Duration kMaxAskTime = milliseconds(400);
// The same just after the start, until the list of registrars is complete and
// an owner that has just started itself has read the record of versions.
constexpr Duration kMaxStartTime = milliseconds(1500);
// A host that knows no past for this long after its start will not receive it.
constexpr Duration kMaxRestoreTime = seconds(5);
// Plans repeat the registrars this often, in case a plan was lost.
constexpr Duration kRegistrarInterval = seconds(5);
constexpr Duration kSelectInterval = milliseconds(250);
constexpr Duration kCleanInterval = seconds(1);

// Key of reports.
constexpr char kNeedsRegistrars[] = "needs_registrars";
// Keys of plans.
constexpr char kRegistrarRows[] = "registrars";
constexpr char kVersionRows[] = "versions";
// Keys of records, questions and answers.
constexpr char kRecords[] = "r";
constexpr char kStream[] = "k";
constexpr char kService[] = "s";
constexpr char kVersion[] = "v";

}  // namespace

StreamManager::StreamManager(NodeContext& context)
    : context_(context),
      versions_(context.settings.freshness.max_staleness,
                context.settings.is_first_start) {}

// ---- Listing ----

Duration StreamManager::ListingAge() const {
  const TopicState* listing = context_.freshness.Find(listing_topic_);
  if (listing == nullptr || listing->as_of == TimePoint{}) {
    return Duration::max();
  }
  return context_.now - listing->as_of;
}

void StreamManager::RecordListing(const ServerListRead& listing,
                                  Duration previous_age) {
  listing_topic_ = listing.topic;
  if (listing.is_whole || listing.is_partial) {
    is_listing_partial_ = listing.is_partial;
  }
  // Versions may be missing until the whole listing is read.
  if (is_listing_partial_) {
    versions_.RecordPartialListing(context_.now);
    recorder_.RecordListing(listing, /*begins_anew=*/true);
    return;
  }
  // All changes name each version; a whole listing names those of the moment.
  const bool is_contiguous =
      !listing.is_whole ||
      previous_age <= context_.settings.freshness.max_staleness;
  const bool is_first = versions_.KnownFor(context_.now) == Duration{0};
  versions_.RecordListing(is_contiguous, context_.now);
  recorder_.RecordListing(listing, is_first || !is_contiguous);
}

// ---- Streams of this host ----

void StreamManager::RecordBegun(uint64_t key, const StreamOrigin& origin) {
  table_.Record(key, origin, /*is_own=*/true, context_.now);
  if (table_.Find(key) == nullptr) {
    context_.metrics.Count("stream_ids_ambiguous_total");
    LogEvent(LogLevel::kWarning, "stream_id_ambiguous")
        .With("service", origin.service)
        .With("version", origin.version);
  }
  // Also if it is ambiguous: registrars must not name the earlier origin.
  if (IsSettled(origin.service)) {
    untold_[origin.service].push_back(key);
  } else {
    // At once, so that little is lost with this host.
    Tell(key, origin);
    SendOutboxes();
  }
}

void StreamManager::Tell(uint64_t key, const StreamOrigin& origin) {
  const std::vector<PeerAddress> keepers = registrars_.KeepersOf(
      key, context_.settings.data_centre, context_.settings.self.host);
  if (keepers.empty()) {
    untold_[origin.service].push_back(key);
    return;
  }
  for (const PeerAddress& keeper : keepers) {
    Outbox& outbox = outboxes_[keeper.host];
    outbox.address = keeper.address;
    outbox.rows[{origin.service, origin.version}].push_back(key);
  }
  context_.metrics.Count("stream_origins_told_total");
}

void StreamManager::TellUntold() {
  if (registrars_.is_empty()) return;
  for (auto& [service, keys] : untold_) {
    if (keys.empty() || IsSettled(service)) continue;
    const std::vector<uint64_t> due = std::move(keys);
    keys.clear();
    for (const uint64_t key : due) {
      const StreamTable::Entry* entry = table_.Find(key);
      if (entry != nullptr && !entry->is_complete) Tell(key, entry->origin);
    }
  }
}

void StreamManager::RetellOpen() {
  untold_.clear();
  table_.ForEachOpen([this](uint64_t key, const StreamTable::Entry& entry) {
    untold_[entry.origin.service].push_back(key);
  });
}

void StreamManager::SendOutboxes() {
  for (auto& [host, outbox] : outboxes_) {
    if (outbox.rows.empty()) continue;
    Json rows = Json::array();
    for (auto& [origin, keys] : outbox.rows) {
      rows.push_back(
          Json::array({origin.first, origin.second, std::move(keys)}));
    }
    context_.Emit(SendPeer{
        host,
        outbox.address,
        {PeerMessageType::kStreamRecords, Json{{kRecords, std::move(rows)}}}});
  }
  outboxes_.clear();
}

void StreamManager::HandleRecords(const Json& body) {
  for (const Json& row : body.value(kRecords, Json::array())) {
    const bool is_row = row.is_array() && row.size() == 3 &&
                        row[0].is_string() && row[1].is_string() &&
                        row[2].is_array();
    if (!is_row) continue;
    const StreamOrigin origin{row[0].get<std::string>(),
                              row[1].get<std::string>()};
    for (const Json& key : row[2]) {
      if (!key.is_number_unsigned()) continue;
      table_.Record(key.get<uint64_t>(), origin, /*is_own=*/false,
                    context_.now);
    }
  }
}

// ---- Resumption ----

std::optional<StreamManager::Finding> StreamManager::Find(
    RequestHandle handle, uint64_t key, const std::string& service) {
  if (const StreamTable::Entry* entry = table_.Find(key)) {
    return Finding{handle, entry->origin, Source::kRecord, Duration{0}};
  }
  if (const auto only =
          versions_.SettledVersion(service, ListingAge(), context_.now)) {
    return Finding{handle, StreamOrigin{service, *only}, Source::kOnlyVersion,
                   Duration{0}};
  }
  Question& question = questions_[key];
  if (question.requests.empty()) question.asked_at = context_.now;
  question.service = service;
  question.requests.insert(handle);
  Ask(key, question);
  if (IsUnknown(question)) End(key, std::nullopt, Source::kOtherHost);
  return std::nullopt;
}

void StreamManager::Ask(uint64_t key, Question& question) {
  for (const PeerAddress& keeper : registrars_.LocateKeepers(
           key, context_.settings.data_centre, context_.settings.self.host)) {
    if (!question.asked.insert(keeper.host).second) continue;
    context_.metrics.Count("stream_origins_asked_total");
    context_.Emit(SendPeer{keeper.host,
                           keeper.address,
                           {PeerMessageType::kStreamQuery,
                            Json{{kStream, key},
                                 {kService, question.service},
                                 {"p", context_.settings.peer_address}}}});
  }
}

bool StreamManager::IsStarting() const {
  return context_.now - context_.started_at < kMaxStartTime;
}

bool StreamManager::IsRestoring() const {
  return versions_.KnownFor(context_.now) < kMaxStreamAge &&
         context_.now - context_.started_at < kMaxRestoreTime;
}

// The list of registrars may be incomplete just after the start.
bool StreamManager::IsUnknown(const Question& question) const {
  return !IsStarting() && !registrars_.is_empty() &&
         question.without_record.size() == question.asked.size();
}

void StreamManager::HandleQuery(const std::string& host, const Json& body) {
  const auto key = FieldOr<uint64_t>(body, kStream, 0);
  const auto service = FieldOr<std::string>(body, kService, "");
  Json answer{{kStream, key}};
  const StreamTable::Entry* entry = table_.Find(key);
  if (entry != nullptr) {
    answer[kService] = entry->origin.service;
    answer[kVersion] = entry->origin.version;
  } else if (const auto only = versions_.SettledVersion(service, ListingAge(),
                                                        context_.now)) {
    answer[kService] = service;
    answer[kVersion] = *only;
  }
  context_.Emit(SendPeer{host,
                         FieldOr<std::string>(body, "p", ""),
                         {PeerMessageType::kStreamAnswer, std::move(answer)}});
}

void StreamManager::HandleAnswer(const std::string& host, const Json& body) {
  const auto key = FieldOr<uint64_t>(body, kStream, 0);
  const auto question = questions_.find(key);
  if (question == questions_.end()) return;
  if (body.contains(kVersion)) {
    End(key,
        StreamOrigin{FieldOr<std::string>(body, kService, ""),
                     FieldOr<std::string>(body, kVersion, "")},
        Source::kOtherHost);
    return;
  }
  if (!question->second.asked.contains(host)) return;
  question->second.without_record.insert(host);
  if (IsUnknown(question->second)) End(key, std::nullopt, Source::kOtherHost);
}

void StreamManager::End(uint64_t key, std::optional<StreamOrigin> origin,
                        Source source) {
  const auto question = questions_.find(key);
  if (question == questions_.end()) return;
  const Duration took = context_.now - question->second.asked_at;
  context_.metrics.Observe("stream_origin_lookup", took);
  const auto asked = static_cast<int>(question->second.asked.size());
  const auto without_record =
      static_cast<int>(question->second.without_record.size());
  for (const RequestHandle handle : question->second.requests) {
    findings_.push_back({handle, origin, source, took, asked, without_record});
  }
  questions_.erase(question);
}

std::vector<StreamManager::Finding> StreamManager::TakeFindings() {
  return std::exchange(findings_, {});
}

void StreamManager::Forget(RequestHandle handle) {
  for (auto it = questions_.begin(); it != questions_.end();) {
    const bool is_dropped =
        it->second.requests.erase(handle) > 0 && it->second.requests.empty();
    it = is_dropped ? questions_.erase(it) : std::next(it);
  }
}

void StreamManager::RunTick() {
  TellUntold();
  SendOutboxes();
  std::vector<std::pair<uint64_t, std::optional<StreamOrigin>>> ended;
  const Duration max_time = IsStarting() ? kMaxStartTime : kMaxAskTime;
  for (auto& [key, question] : questions_) {
    // The history of versions may have arrived meanwhile.
    const auto only =
        versions_.SettledVersion(question.service, ListingAge(), context_.now);
    if (only) {
      ended.emplace_back(key, StreamOrigin{question.service, *only});
      continue;
    }
    Ask(key, question);
    if (IsUnknown(question) || context_.now - question.asked_at >= max_time) {
      ended.emplace_back(key, std::nullopt);
    }
  }
  for (auto& [key, origin] : ended) {
    const Source source = origin ? Source::kOnlyVersion : Source::kOtherHost;
    End(key, std::move(origin), source);
  }
  if (context_.now - cleaned_at_ < kCleanInterval) return;
  cleaned_at_ = context_.now;
  table_.RemoveOld(context_.now);
  for (auto& [service, keys] : untold_) {
    std::erase_if(keys, [this](uint64_t key) {
      const StreamTable::Entry* entry = table_.Find(key);
      return entry == nullptr || entry->is_complete;
    });
  }
}

// ---- Plans ----

void StreamManager::AddReportRows(Json& body) const {
  if (registrars_.is_empty()) body[kNeedsRegistrars] = true;
}

void StreamManager::HandleReport(const Json& body, FleetPeer& peer) {
  if (!FieldOr<bool>(body, kNeedsRegistrars, false)) return;
  peer.needs_registrars = true;
  peer.is_urgent = true;
}

void StreamManager::SelectRegistrars(const FleetPeers& peers) {
  if (context_.now - selected_at_ < kSelectInterval) return;
  selected_at_ = context_.now;
  SetRegistrars(RegistrarList::Select(
      peers, {context_.settings.self.host, context_.settings.peer_address},
      context_.settings.data_centre, context_.now));
}

void StreamManager::SetRegistrars(RegistrarList list) {
  if (list == registrars_) return;
  registrars_ = std::move(list);
  RetellOpen();
}

void StreamManager::AddPlanRows(const std::string& data_centre,
                                bool is_first_plan, Json& body) {
  Json versions = versions_.ToRows(ListingAge(), context_.now);
  if (!versions.is_null()) body[kVersionRows] = std::move(versions);
  SentRegistrars& sent = registrars_sent_[data_centre];
  const bool is_due =
      sent.list != registrars_ || context_.now - sent.at >= kRegistrarInterval;
  if (!is_first_plan && !is_due) return;
  body[kRegistrarRows] = registrars_.ToRows();
  if (!is_first_plan) sent = {registrars_, context_.now};
}

void StreamManager::HandlePlan(const Json& body) {
  if (body.contains(kVersionRows)) {
    versions_.MergeRows(body[kVersionRows], context_.now);
  }
  if (body.contains(kRegistrarRows)) {
    SetRegistrars(RegistrarList::FromRows(body[kRegistrarRows]));
  }
}

Json StreamManager::ToJson() const {
  return Json{{"versions", versions_.ToJson(context_.now)},
              {"streams", table_.size()},
              {"questions", questions_.size()},
              {"registrars", registrars_.ToRows()},
              {"listing_age_ms",
               ListingAge() == Duration::max() ? -1 : ToMillis(ListingAge())}};
}

}  // namespace applehall

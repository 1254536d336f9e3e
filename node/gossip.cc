#include "node/gossip.h"

#include <algorithm>

#include "core/hash.h"

namespace applehall {
namespace {

constexpr size_t kControlReaders = 2;
// A control state not confirmed for this long is read from the log.
constexpr Duration kMaxStateAge = std::chrono::seconds(2);
constexpr Duration kSummaryInterval = std::chrono::seconds(1);
constexpr Duration kSummaryRefresh = std::chrono::seconds(10);
constexpr Duration kSummaryTtl = std::chrono::seconds(30);
constexpr Duration kSnapshotInterval = std::chrono::seconds(1);
constexpr size_t kMaxDigestsPerMessage = 512;

}  // namespace

Json LogBatchToJson(const LogBatch& batch) {
  Json json{{"stream", batch.stream},
            {"first", batch.first_offset},
            {"next", batch.next_offset},
            {"records", Json::array()}};
  for (const LogRecord& record : batch.records) {
    json["records"].push_back({{"o", record.offset},
                               {"t", ToUnixMillis(record.time)},
                               {"p", record.payload}});
  }
  return json;
}

LogBatch LogBatchFromJson(const Json& json) {
  LogBatch batch;
  batch.stream = FieldOr<std::string>(json, "stream", "");
  batch.first_offset = FieldOr<uint64_t>(json, "first", 1);
  batch.next_offset = FieldOr<uint64_t>(json, "next", 1);
  const auto records = json.find("records");
  if (records == json.end() || !records->is_array()) return batch;
  for (const Json& item : *records) {
    batch.records.push_back({FieldOr<uint64_t>(item, "o", 0),
                             FromUnixMillis(FieldOr<int64_t>(item, "t", 0)),
                             FieldOr<std::string>(item, "p", "")});
  }
  return batch;
}

Gossip::Gossip(NodeContext& context, GroupManager& groups)
    : context_(context), groups_(groups) {}

bool Gossip::IsControlReader() const {
  if (!context_.hosts.is_known()) return true;
  if (context_.now - context_.log_answered_at > kMaxStateAge) return true;
  if (chosen_version_ == context_.hosts.version()) return is_chosen_reader_;
  chosen_version_ = context_.hosts.version();
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const HostEntry* host :
       context_.hosts.EntryHosts(context_.settings.data_centre, false)) {
    ranked.emplace_back(StableHash(host->name, 17), host->name);
  }
  std::sort(ranked.begin(), ranked.end());
  is_chosen_reader_ = false;
  for (size_t i = 0; i < std::min(kControlReaders, ranked.size()); ++i) {
    if (ranked[i].second == context_.settings.self.host) {
      is_chosen_reader_ = true;
    }
  }
  return is_chosen_reader_;
}

void Gossip::UpdateOwnSummary() {
  if (!IsControlReader()) return;
  if (context_.now - summary_made_at_ < kSummaryInterval) return;
  summary_made_at_ = context_.now;
  DataCentreSummary& own = summaries_[context_.settings.data_centre];
  std::vector<std::string> ready = context_.view.ReadyTargets();
  const TimePoint made = FromUnixMillis(own.version);
  if (ready == own.ready && context_.now - made < kSummaryRefresh) return;
  own.data_centre = context_.settings.data_centre;
  own.ready = std::move(ready);
  own.version = ToUnixMillis(context_.now);
}

// True if a model became ready or the control state changed. Callers wait for
// these, so they are sent before the next regular round.
bool Gossip::HasUrgentUpdates() const {
  return offset_sent_ != context_.control.next_offset() ||
         ready_version_sent_ != context_.view.ready_version();
}

void Gossip::RunTick() {
  if (!context_.hosts.is_known()) return;
  if (peers_version_ != context_.hosts.version() || peers_.empty()) {
    peers_version_ = context_.hosts.version();
    peers_ = ChoosePeers(context_.hosts, context_.settings.self.host,
                         context_.settings.data_centre);
    std::erase_if(states_, [this](const auto& entry) {
      return context_.hosts.Find(entry.first) == nullptr;
    });
  }
  UpdateOwnSummary();
  const bool is_urgent = HasUrgentUpdates();
  const Duration interval = is_urgent ? context_.settings.min_gossip_interval
                                      : context_.settings.gossip_interval;
  bool has_sent_all = true;
  for (const std::string& peer : peers_) {
    PeerState& state = states_[peer];
    if (context_.now - state.sent_at < interval) {
      has_sent_all = false;
      continue;
    }
    SendTo(peer, state);
  }
  if (is_urgent && has_sent_all) {
    offset_sent_ = context_.control.next_offset();
    ready_version_sent_ = context_.view.ready_version();
  }
}

Json Gossip::CollectDigests(PeerState& state) {
  Json digests = Json::array();
  for (const EngineDigest* digest : context_.view.All()) {
    if (digest->token == 0) continue;  // Services, which every host lists.
    auto& sent = state.sent[digest->engine];
    const std::pair<FencingToken, uint64_t> version{digest->token,
                                                    digest->sequence};
    if (version <= sent) continue;
    if (digests.size() >= kMaxDigestsPerMessage) break;
    const bool has_sent_base =
        sent.first == digest->token && sent.second >= digest->base_sequence;
    sent = version;
    digests.push_back(has_sent_base ? digest->LoadToJson() : digest->ToJson());
  }
  return digests;
}

Json Gossip::CollectSummaries(PeerState& state) {
  Json list = Json::array();
  for (const auto& [name, summary] : summaries_) {
    int64_t& sent = state.summaries_sent[name];
    if (summary.version <= sent) continue;
    sent = summary.version;
    list.push_back({{"d", name}, {"v", summary.version}, {"m", summary.ready}});
  }
  return list;
}

void Gossip::SendTo(const std::string& peer, PeerState& state) {
  state.sent_at = context_.now;
  const HostEntry* entry = context_.hosts.Find(peer);
  Json body{{"o", context_.control.next_offset()},
            {"based", context_.control.has_base()},
            {"c", ToMillis(context_.now - context_.log_answered_at)}};
  Json summaries = CollectSummaries(state);
  if (!summaries.empty()) body["s"] = std::move(summaries);
  if (entry != nullptr && entry->data_centre == context_.settings.data_centre) {
    Json digests = CollectDigests(state);
    if (!digests.empty()) body["d"] = std::move(digests);
    Json heartbeats = Json::array();
    for (const GroupManager::Heartbeat& heartbeat : groups_.Heartbeats()) {
      heartbeats.push_back({heartbeat.group, heartbeat.token, heartbeat.count});
    }
    if (!heartbeats.empty()) body["b"] = std::move(heartbeats);
  }
  context_.metrics.Count("gossip_sent_total");
  context_.Send(peer, PeerMessageType::kGossip, std::move(body));
}

void Gossip::HandleGossip(const std::string& from, const Json& body) {
  context_.metrics.Count("gossip_received_total");
  PeerState& state = states_[from];
  if (const auto digests = body.find("d");
      digests != body.end() && digests->is_array()) {
    for (const Json& item : *digests) {
      const EngineDigest digest = EngineDigest::FromJson(item);
      if (digest.engine.empty()) continue;
      auto& sent = state.sent[digest.engine];
      sent = std::max(sent, {digest.token, digest.sequence});
      if (EngineDigest::IsLoadOnly(item)) {
        context_.view.MergeLoad(digest, context_.now);
      } else {
        context_.view.Merge(digest, context_.now);
      }
    }
  }
  if (const auto heartbeats = body.find("b");
      heartbeats != body.end() && heartbeats->is_array()) {
    for (const Json& item : *heartbeats) {
      if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
          !item[1].is_number() || !item[2].is_number()) {
        continue;
      }
      groups_.HandleHeartbeat(item[0].get<std::string>(),
                              item[1].get<uint64_t>(), item[2].get<uint64_t>());
    }
  }
  if (const auto summaries = body.find("s");
      summaries != body.end() && summaries->is_array()) {
    for (const Json& item : *summaries) {
      const std::string name = FieldOr<std::string>(item, "d", "");
      const int64_t version = FieldOr<int64_t>(item, "v", 0);
      state.summaries_sent[name] =
          std::max(state.summaries_sent[name], version);
      DataCentreSummary& summary = summaries_[name];
      if (version <= summary.version || !item.contains("m")) continue;
      summary.data_centre = name;
      summary.version = version;
      summary.ready.clear();
      for (const Json& target : item["m"]) {
        if (target.is_string()) {
          summary.ready.push_back(target.get<std::string>());
        }
      }
    }
  }
  const LogOffset peer_offset = FieldOr<uint64_t>(body, "o", 0);
  const bool peer_has_base = FieldOr<bool>(body, "based", true);
  state.known_offset = peer_offset;
  const LogOffset own_offset = context_.control.next_offset();
  if (peer_offset < own_offset || !peer_has_base) {
    SendControl(from, state);
  } else if (peer_offset > own_offset || !context_.control.has_base()) {
    // The peer answers the own offset with the records after it.
    SendTo(from, state);
  } else {
    // The peer has the same state and confirmed it with the log at this age.
    const Duration age =
        std::chrono::milliseconds(FieldOr<int64_t>(body, "c", 3600000));
    context_.log_answered_at =
        std::max(context_.log_answered_at, context_.now - age);
  }
}

void Gossip::SendControl(const std::string& peer, PeerState& state) {
  if (!context_.control.has_base()) return;
  if (context_.now - state.control_sent_at <
      context_.settings.min_gossip_interval) {
    return;
  }
  const std::optional<LogBatch> records =
      context_.control.RecordsFrom(state.known_offset);
  if (records) {
    state.control_sent_at = context_.now;
    context_.Send(peer, PeerMessageType::kControl,
                  Json{{"batch", LogBatchToJson(*records)}});
    return;
  }
  if (context_.now - state.control_sent_at < kSnapshotInterval) return;
  state.control_sent_at = context_.now;
  context_.Send(peer, PeerMessageType::kControl,
                Json{{"snapshot", context_.control.Snapshot()}});
}

bool Gossip::HandleControl(const Json& body) {
  const LogOffset before = context_.control.next_offset();
  const bool was_based = context_.control.has_base();
  if (const auto batch = body.find("batch"); batch != body.end()) {
    LogBatch records = LogBatchFromJson(*batch);
    // The first offset of a peer's batch is where its answer starts, not where
    // the log's retention does.
    records.first_offset = 1;
    if (was_based) context_.control.Apply(records);
  }
  if (const auto snapshot = body.find("snapshot"); snapshot != body.end()) {
    context_.control.Install(*snapshot);
  }
  return context_.control.next_offset() != before ||
         context_.control.has_base() != was_based;
}

std::string Gossip::FindReadyDataCentre(
    const std::string& target, const std::vector<std::string>& allowed) const {
  for (const auto& [name, summary] : summaries_) {
    if (name == context_.settings.data_centre) continue;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      continue;
    }
    if (context_.now - FromUnixMillis(summary.version) > kSummaryTtl) continue;
    if (std::binary_search(summary.ready.begin(), summary.ready.end(),
                           target)) {
      return name;
    }
  }
  return "";
}

Json Gossip::ToJson() const {
  Json json{{"peers", peers_},
            {"control_reader", IsControlReader()},
            {"data_centres", Json::object()}};
  for (const auto& [name, summary] : summaries_) {
    json["data_centres"][name] =
        Json{{"ready", summary.ready},
             {"age_ms", ToUnixMillis(context_.now) - summary.version}};
  }
  return json;
}

}  // namespace applehall

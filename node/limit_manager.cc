#include "node/limit_manager.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Permit requests of one host are batched for this long. The first is sent at
// once.
constexpr Duration kRequestInterval = milliseconds(20);
// A permit that was in transit for longer must not be used: the host may have
// been suspended, and the owner counted the permit long ago.
constexpr Duration kPermitTtl = milliseconds(250);
constexpr size_t kMaxOpenRequests = 4096;
// A host sends nothing to a brittle server for this long after a rejection: the
// limit takes as long to reach all hosts.
constexpr Duration kRejectionHold = milliseconds(300);
// How long a limit that follows from a rejection is kept at least.
constexpr Duration kPressureTime = std::chrono::seconds(2);
// The largest burst of a permit bucket, in requests; see PermitLedger.
constexpr double kPermitBurst = 2;

// Returns the rate of permits at which a server that rejects all requests
// rejects at most `max_rejected` in a second: in one second a bucket grants its
// burst and one and a half times its rate.
double RateUnderPressure(double max_rejected) {
  return std::max(0.0, max_rejected - kPermitBurst) / 2;
}
// Retry delay if the owner does not answer.
constexpr Duration kRetryInterval = milliseconds(100);

// Keys of permit requests and answers. Rows are arrays to keep them short.
constexpr char kToken[] = "k";
constexpr char kAddress[] = "p";
constexpr char kRequests[] = "a";
constexpr char kAnswers[] = "g";
constexpr char kSlotRequests[] = "s";
constexpr char kHeldSlots[] = "h";
constexpr char kReleases[] = "r";

// ID, server, caller, worth, is background, maximum wait in ms.
Json RequestToJson(const HostPermitRequest& request) {
  return Json::array({request.id, request.server, request.caller, request.worth,
                      request.is_background, ToMillis(request.max_wait)});
}

std::optional<HostPermitRequest> ParseRequest(const Json& row) {
  const bool is_request = row.is_array() && row.size() == 6 &&
                          row[0].is_number_unsigned() && row[1].is_string() &&
                          row[2].is_string() && row[3].is_number() &&
                          row[4].is_boolean() && row[5].is_number_integer();
  if (!is_request) return std::nullopt;
  HostPermitRequest request;
  request.id = row[0].get<uint64_t>();
  request.server = row[1].get<std::string>();
  request.caller = row[2].get<std::string>();
  request.worth = row[3].get<double>();
  request.is_background = row[4].get<bool>();
  request.max_wait = milliseconds(std::max<int64_t>(0, row[5].get<int64_t>()));
  return request;
}

// ID, server, slots of the server, maximum wait in ms.
Json SlotRequestToJson(const HostSlotRequest& request) {
  return Json::array(
      {request.id, request.server, request.slots, ToMillis(request.max_wait)});
}

std::optional<HostSlotRequest> ParseSlotRequest(const std::string& host,
                                                const Json& row) {
  const bool is_request = row.is_array() && row.size() == 4 &&
                          row[0].is_number_unsigned() && row[1].is_string() &&
                          row[2].is_number_integer() &&
                          row[3].is_number_integer();
  if (!is_request) return std::nullopt;
  HostSlotRequest request;
  request.host = host;
  request.id = row[0].get<uint64_t>();
  request.server = row[1].get<std::string>();
  request.slots = row[2].get<int>();
  request.max_wait = milliseconds(std::max<int64_t>(0, row[3].get<int64_t>()));
  return request;
}

// ID, is granted, waited in ms, retry after in ms.
Json AnswerToJson(const PermitAnswer& answer) {
  return Json::array({answer.id, answer.is_granted, ToMillis(answer.waited),
                      ToMillis(answer.retry_after)});
}

std::optional<PermitAnswer> ParseAnswer(const Json& row) {
  const bool is_answer = row.is_array() && row.size() == 4 &&
                         row[0].is_number_unsigned() && row[1].is_boolean() &&
                         row[2].is_number_integer() &&
                         row[3].is_number_integer();
  if (!is_answer) return std::nullopt;
  PermitAnswer answer;
  answer.id = row[0].get<uint64_t>();
  answer.is_granted = row[1].get<bool>();
  answer.waited = milliseconds(std::max<int64_t>(0, row[2].get<int64_t>()));
  answer.retry_after =
      milliseconds(std::max<int64_t>(0, row[3].get<int64_t>()));
  return answer;
}

}  // namespace

// ---- Limits ----

void LimitManager::ApplyReported(const std::string& server,
                                 const ReportedLimit& reported,
                                 TimePoint sent_at) {
  if (reported.kind == ReportedLimit::Kind::kMalformed) {
    context_.metrics.Count("server_limits_unreadable_total");
    LogEvent(LogLevel::kWarning, "server_limit_unreadable")
        .With("server", server)
        .With("text", reported.text);
    return;
  }
  ReadBrittleness(server, reported, sent_at);
  const bool is_lifting = reported.kind == ReportedLimit::Kind::kNone;
  if (is_lifting && IsUnderPressure(server)) return;
  const std::optional<double> before = registry_.Find(server);
  if (!registry_.ApplyReported(server, reported, sent_at, context_.now)) return;
  LogEvent(LogLevel::kInfo, "server_limit_changed")
      .With("server", server)
      .With("per_second", reported.per_second)
      .With("named", registry_.Find(server) ? "yes" : "no")
      .With("before", before.value_or(-1))
      .With("sent_ms_ago", ToMillis(context_.now - sent_at));
  ApplyChanges();
}

void LimitManager::ReadBrittleness(const std::string& server,
                                   const ReportedLimit& reported,
                                   TimePoint sent_at) {
  using Kind = ReportedLimit::Kind;
  ReportedLimit brittle{Kind::kUnknown, 0, {}, {}};
  if (reported.max_rejected) {
    brittle = {Kind::kNamed, *reported.max_rejected, {}, {}};
  } else if (reported.kind != Kind::kUnknown) {
    brittle.kind = Kind::kNone;
  }
  if (brittle_registry_.ApplyReported(server, brittle, sent_at, context_.now)) {
    ApplyBrittleChanges();
  }
}

void LimitManager::ApplyBrittleChanges() {
  for (const std::string& server : brittle_registry_.TakeChanged()) {
    const std::optional<double> max_rejected = brittle_registry_.Find(server);
    if (max_rejected) {
      brittle_[server].max_rejected = *max_rejected;
    } else {
      brittle_.erase(server);
    }
    context_.view.SetBrittle(server,
                             max_rejected ? context_.entry_host_count : 0);
    LogEvent(LogLevel::kInfo, "server_brittleness_changed")
        .With("server", server)
        .With("brittle", max_rejected ? "yes" : "no")
        .With("max_rejected", max_rejected.value_or(0));
  }
  context_.metrics.Set("servers_brittle", static_cast<double>(brittle_.size()));
}

Json LimitManager::BrittleReportRows(FencingToken token,
                                     const EngineList& servers) {
  return brittle_registry_.ReportRows(token, servers, context_.now);
}

void LimitManager::HandleBrittleReport(const Json& rows,
                                       const EngineList& servers) {
  if (!ledger_) return;
  brittle_registry_.HandleReport(rows, servers, context_.now);
  ApplyBrittleChanges();
}

void LimitManager::HandleBrittlePlan(const Json& rows, FencingToken token,
                                     const EngineList& servers) {
  brittle_registry_.HandlePlan(rows, token, servers, context_.now);
  ApplyBrittleChanges();
}

bool LimitManager::IsUnderPressure(const std::string& server) const {
  return brittle_.contains(server) &&
         registry_.KnownFor(server, context_.now) < kPressureTime;
}

void LimitManager::RecordRejection(const std::string& server) {
  const auto brittle = brittle_.find(server);
  if (brittle == brittle_.end()) return;
  context_.metrics.Count("brittle_rejections_total");
  const double max_rejected = brittle->second.max_rejected;
  const double rate = RateUnderPressure(max_rejected);
  const std::optional<double> named = registry_.Find(server);
  const bool is_new = (!named || rate < *named) &&
                      registry_.ApplyReported(
                          server, {ReportedLimit::Kind::kNamed, rate, {}, {}},
                          context_.now, context_.now);
  LogEvent(LogLevel::kInfo, "brittle_server_rejected")
      .With("server", server)
      .With("max_rejected", max_rejected)
      .With("per_second", named && !is_new ? *named : rate)
      .With("new_limit", is_new ? "yes" : "no");
  if (is_new) {
    brittle->second.is_limited_here = true;
    ApplyChanges();
  }
  context_.view.Hold(server, context_.now + kRejectionHold);
}

void LimitManager::RunBrittleServers() {
  for (auto& [server, state] : brittle_) {
    context_.view.SetBrittle(server, context_.entry_host_count);
    if (!state.is_limited_here || IsUnderPressure(server)) continue;
    state.is_limited_here = false;
    // No answer may come at a low rate that would lift it.
    registry_.ApplyReported(server, {ReportedLimit::Kind::kNone, 0, {}, {}},
                            context_.now, context_.now);
  }
}

// Applies changed limits to the ledger and to the permits of this host.
void LimitManager::ApplyChanges() {
  for (const std::string& server : registry_.TakeChanged()) {
    const std::optional<double> limit = registry_.Find(server);
    context_.metrics.Count("server_limit_changes_total");
    LogEvent(LogLevel::kInfo, limit ? "server_limited" : "server_unlimited")
        .With("server", server)
        .With("per_second", limit.value_or(0))
        .With("named_ms_ago", ToMillis(registry_.Age(server, context_.now)))
        .With("owner", is_owner_reachable_ ? owner_.host : std::string("none"));
    context_.view.Hold(server, {});
    if (!limit) {
      gate_.Remove(server);
      if (ledger_) ledger_->Lift(server, context_.now);
    } else if (ledger_) {
      ledger_->SetLimit(server, *limit, context_.now);
    }
  }
}

void LimitManager::Remove(const std::string& server) {
  brittle_registry_.Remove(server, context_.now);
  ApplyBrittleChanges();
  registry_.Remove(server, context_.now);
  ApplyChanges();
}

std::string LimitManager::Describe(const std::string& server) const {
  if (!registry_.Find(server) && IsSlotBound(server)) {
    return absl::StrCat(server, " is brittle and has no free slot");
  }
  return absl::StrFormat("%s accepts %.3g requests a second, named %d ms ago",
                         server, registry_.Find(server).value_or(0),
                         ToMillis(registry_.Age(server, context_.now)));
}

// ---- Permits ----

LimitManager::Permit LimitManager::Acquire(const std::string& server,
                                           const PermitRequest& wanted) {
  if (!registry_.Find(server)) return AcquireSlot(server, wanted);
  if (gate_.TakeSpare(server, context_.now)) return Permit::kGranted;
  if (!ledger_ && !is_owner_reachable_) {
    const int hosts = known_hosts_ > 0 ? known_hosts_ : kDefaultHostCount;
    const bool is_taken =
        gate_.TrySendIsolated(server, registry_.Find(server).value_or(0), hosts,
                              context_.random.Unit(), context_.now);
    context_.metrics.Count(is_taken ? "server_limit_alone_total"
                                    : "server_limit_alone_held_total");
    return is_taken ? Permit::kGranted : Permit::kDenied;
  }
  if (requests_.size() >= kMaxOpenRequests) return Permit::kDenied;
  HostPermitRequest request;
  request.host = context_.settings.self.host;
  request.id = ++last_request_id_;
  request.server = server;
  request.caller = wanted.caller;
  request.worth = wanted.worth;
  request.is_background = wanted.is_background;
  request.max_wait = wanted.max_wait;
  requests_[request.id] = {wanted.handle, server, context_.now,
                           context_.now + wanted.max_wait + kPermitTtl};
  context_.metrics.Count("server_limit_asks_total");
  if (ledger_) {
    ledger_->RequestPermit(request, context_.now);
    SendAnswers();
    return Permit::kPending;
  }
  unsent_.push_back(RequestToJson(request));
  if (context_.now - requests_sent_at_ >= kRequestInterval) SendRequests();
  return Permit::kPending;
}

bool LimitManager::IsSlotBound(const std::string& server) const {
  if (!brittle_.contains(server)) return false;
  const EngineDigest* listed = context_.view.Find(server);
  return listed != nullptr && listed->slots < context_.entry_host_count;
}

// Without an owner each host uses one slot at most; see EngineView.
LimitManager::Permit LimitManager::AcquireSlot(const std::string& server,
                                               const PermitRequest& wanted) {
  if (!slots_ && !is_owner_reachable_) return Permit::kGranted;
  if (requests_.size() >= kMaxOpenRequests) return Permit::kDenied;
  HostSlotRequest request;
  request.host = context_.settings.self.host;
  request.id = ++last_request_id_;
  request.server = server;
  request.slots = context_.view.Find(server)->slots;
  request.max_wait = wanted.max_wait;
  requests_[request.id] = {wanted.handle, server, context_.now,
                           context_.now + wanted.max_wait + kPermitTtl,
                           /*is_slot=*/true};
  context_.metrics.Count("brittle_slot_asks_total");
  if (slots_) {
    slots_->RequestSlot(request, context_.now);
    SendAnswers();
    return Permit::kPending;
  }
  unsent_slots_.push_back(SlotRequestToJson(request));
  if (context_.now - requests_sent_at_ >= kRequestInterval) SendRequests();
  return Permit::kPending;
}

void LimitManager::ReleaseSlot(RequestHandle handle) {
  const auto held = held_slots_.find(handle);
  if (held == held_slots_.end()) return;
  const uint64_t id = held->second.id;
  held_slots_.erase(held);
  SendRelease(id);
}

void LimitManager::SendRelease(uint64_t id) {
  if (slots_) {
    slots_->Release(context_.settings.self.host, id, context_.now);
    SendAnswers();
    return;
  }
  unsent_releases_.push_back(id);
  if (context_.now - requests_sent_at_ >= kRequestInterval) SendRequests();
}

void LimitManager::AnnounceHeldSlots() {
  for (const auto& [handle, held] : held_slots_) {
    const HostSlotRequest request{context_.settings.self.host, held.id,
                                  held.server, held.slots, Duration{0}};
    if (slots_) {
      slots_->Adopt(request, context_.now);
    } else {
      unsent_held_.push_back(SlotRequestToJson(request));
    }
  }
}

void LimitManager::HandleSlotRows(const std::string& host, const Json& body) {
  for (const Json& row : body.value(kHeldSlots, Json::array())) {
    const auto held = ParseSlotRequest(host, row);
    if (held) slots_->Adopt(*held, context_.now);
  }
  for (const Json& row : body.value(kReleases, Json::array())) {
    if (row.is_number_unsigned()) {
      slots_->Release(host, row.get<uint64_t>(), context_.now);
    }
  }
  for (const Json& row : body.value(kSlotRequests, Json::array())) {
    const auto request = ParseSlotRequest(host, row);
    if (request) slots_->RequestSlot(*request, context_.now);
  }
}

void LimitManager::ReturnPermit(const std::string& server,
                                RequestHandle handle) {
  if (held_slots_.contains(handle)) {
    ReleaseSlot(handle);
    return;
  }
  gate_.AddSpare(server, context_.now + kPermitTtl);
}

void LimitManager::DenyPending(const std::string& server) {
  std::erase_if(requests_, [&](const auto& item) {
    if (item.second.server != server) return false;
    outcomes_.push_back({item.second.handle, server, false, kRequestInterval});
    return true;
  });
}

void LimitManager::SendRequests() {
  const bool has_rows = !unsent_.empty() || !unsent_slots_.empty() ||
                        !unsent_held_.empty() || !unsent_releases_.empty();
  if (!has_rows || owner_.host.empty()) return;
  requests_sent_at_ = context_.now;
  Json body{{kToken, token_},
            {kAddress, context_.settings.peer_address},
            {kRequests, std::exchange(unsent_, Json::array())}};
  const auto add = [&](const char* key, Json& rows) {
    if (!rows.empty()) body[key] = std::exchange(rows, Json::array());
  };
  add(kHeldSlots, unsent_held_);
  add(kReleases, unsent_releases_);
  add(kSlotRequests, unsent_slots_);
  context_.Emit(SendPeer{owner_.host,
                         owner_.address,
                         {PeerMessageType::kPermitRequest, std::move(body)}});
}

void LimitManager::HandlePermitRequests(const std::string& host,
                                        const Json& body) {
  if (!ledger_ || FieldOr<uint64_t>(body, kToken, 0) != token_) return;
  requester_addresses_[host] = FieldOr<std::string>(body, kAddress, "");
  for (const Json& row : body.value(kRequests, Json::array())) {
    std::optional<HostPermitRequest> request = ParseRequest(row);
    if (!request) continue;
    request->host = host;
    ledger_->RequestPermit(*request, context_.now);
  }
  HandleSlotRows(host, body);
  SendAnswers();
}

void LimitManager::SendAnswers() {
  std::map<std::string, Json> rows;
  std::vector<PermitAnswer> permits = ledger_->TakeAnswers();
  for (PermitAnswer& slot : slots_->TakeAnswers()) {
    permits.push_back(std::move(slot));
  }
  for (const PermitAnswer& answer : permits) {
    context_.metrics.Count(answer.is_granted ? "server_limit_grants_total"
                                             : "server_limit_denials_total");
    if (answer.host == context_.settings.self.host) {
      HandleAnswer(answer);
      continue;
    }
    Json& host_rows =
        rows.try_emplace(answer.host, Json::array()).first->second;
    host_rows.push_back(AnswerToJson(answer));
  }
  for (auto& [host, answers] : rows) {
    context_.Emit(
        SendPeer{host,
                 requester_addresses_[host],
                 {PeerMessageType::kPermitAnswer,
                  Json{{kToken, token_}, {kAnswers, std::move(answers)}}}});
  }
}

void LimitManager::HandlePermitAnswers(const Json& body) {
  if (ledger_ || FieldOr<uint64_t>(body, kToken, 0) != token_) return;
  for (const Json& row : body.value(kAnswers, Json::array())) {
    if (const std::optional<PermitAnswer> answer = ParseAnswer(row)) {
      HandleAnswer(*answer);
    }
  }
}

void LimitManager::HandleAnswer(const PermitAnswer& answer) {
  const auto it = requests_.find(answer.id);
  if (it == requests_.end()) {
    // It came too late. If it was for a slot, nobody uses it.
    if (answer.is_granted) SendRelease(answer.id);
    return;
  }
  const OpenRequest request = std::move(it->second);
  requests_.erase(it);
  const Duration in_transit =
      context_.now - request.requested_at - answer.waited;
  const bool is_usable = answer.is_granted && in_transit <= kPermitTtl;
  if (answer.is_granted && !is_usable) {
    context_.metrics.Count("server_limit_grants_lapsed_total");
    if (request.is_slot) SendRelease(answer.id);
  }
  if (is_usable && request.is_slot) {
    const EngineDigest* listed = context_.view.Find(request.server);
    held_slots_[request.handle] = {answer.id, request.server,
                                   listed == nullptr ? 1 : listed->slots};
  }
  outcomes_.push_back(
      {request.handle, request.server, is_usable,
       answer.is_granted
           ? kRetryInterval
           : std::max<Duration>(answer.retry_after, kRequestInterval)});
}

// Denies requests that the owner did not answer in time: it may have ended or
// be suspended.
void LimitManager::ExpireRequests() {
  for (auto it = requests_.begin(); it != requests_.end();) {
    const auto next = std::next(it);
    if (it->second.expires_at <= context_.now) {
      context_.metrics.Count("server_limit_asks_unanswered_total");
      outcomes_.push_back(
          {it->second.handle, it->second.server, false, kRetryInterval});
      requests_.erase(it);
    }
    it = next;
  }
}

// ---- Messages between hosts ----

void LimitManager::StartPlanning(uint64_t& last_update) {
  ledger_ = std::make_unique<PermitLedger>(known_hosts_);
  slots_ = std::make_unique<SlotLedger>(context_.now);
  requester_addresses_.clear();
  registry_.RenumberRows(last_update);
  brittle_registry_.RenumberRows(last_update);
  for (const auto& [server, per_second] : registry_.Limits()) {
    ledger_->SetLimit(server, per_second, context_.now);
  }
}

void LimitManager::RunTick(const PeerAddress& owner, FencingToken token,
                           bool is_reachable) {
  if (token != token_) {
    // The new owner's ledger has no requests of the former owner.
    unsent_ = Json::array();
    unsent_slots_ = Json::array();
    unsent_releases_ = Json::array();
    unsent_held_ = Json::array();
    for (auto& [id, request] : requests_) request.expires_at = context_.now;
    AnnounceHeldSlots();
  }
  owner_ = owner;
  token_ = token;
  is_owner_reachable_ = is_reachable && !owner.host.empty();
  if (is_owner_reachable_ || ledger_) known_hosts_ = context_.entry_host_count;
  if (!is_owner_reachable_) brittle_registry_.Expire(context_.now);
  ApplyBrittleChanges();
  RunBrittleServers();
  const bool has_slots = !held_slots_.empty() || !unsent_releases_.empty() ||
                         (slots_ && !slots_->empty());
  if (registry_.empty() && requests_.empty() && !has_slots) return;
  if (ledger_) {
    ledger_->RecordHostContact(context_.settings.self.host, context_.now);
    ledger_->Serve(context_.now);
    slots_->RecordHostContact(context_.settings.self.host, context_.now);
    slots_->Serve(context_.now);
    SendAnswers();
  } else {
    SendRequests();
  }
  if (!is_owner_reachable_) registry_.Expire(context_.now);
  ApplyChanges();
  ExpireRequests();
}

Json LimitManager::ReportRows(FencingToken token, const EngineList& servers) {
  return registry_.ReportRows(token, servers, context_.now);
}

void LimitManager::RecordHostContact(const std::string& host) {
  if (!ledger_) return;
  ledger_->RecordHostContact(host, context_.now);
  slots_->RecordHostContact(host, context_.now);
}

void LimitManager::HandleReport(const std::string& host, const Json& rows,
                                const EngineList& servers) {
  if (!ledger_) return;
  LogEvent(LogLevel::kDebug, "server_limits_reported").With("by", host);
  registry_.HandleReport(rows, servers, context_.now);
  ApplyChanges();
}

void LimitManager::HandlePlan(const Json& rows, FencingToken token,
                              const EngineList& servers) {
  registry_.HandlePlan(rows, token, servers, context_.now);
  ApplyChanges();
}

Json LimitManager::ToJson() const {
  Json json{{"limits", registry_.ToJson(context_.now)},
            {"asks", requests_.size()},
            {"owner_heard", is_owner_reachable_},
            {"told_hosts", known_hosts_}};
  json["slots_held"] = held_slots_.size();
  if (ledger_) json["ledger"] = ledger_->ToJson(context_.now);
  if (slots_) json["slots"] = slots_->ToJson();
  return json;
}

}  // namespace applehall

#include "node/limit_manager.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Asks of one host are gathered for this long, and the first goes at once.
constexpr Duration kAskSpacing = milliseconds(20);
// On its way for longer, a permit may not be used any more: the host may have
// stood still, and the owner counted it long ago.
constexpr Duration kPermitLife = milliseconds(250);
constexpr size_t kMostOpenAsks = 4096;
// When to look again where the owner does not answer.
constexpr Duration kAskAgain = milliseconds(100);

// Keys of asks and answers. Rows are arrays to keep them short.
constexpr char kToken[] = "k";
constexpr char kAddress[] = "p";
constexpr char kAsks[] = "a";
constexpr char kAnswers[] = "g";

// ID, server, caller, worth, is background, patience in ms.
Json AskRow(const HostPermitRequest& ask) {
  return Json::array({ask.id, ask.server, ask.caller, ask.worth,
                      ask.is_background, ToMillis(ask.patience)});
}

std::optional<HostPermitRequest> ReadAsk(const Json& row) {
  const bool is_ask = row.is_array() && row.size() == 6 &&
                      row[0].is_number_unsigned() && row[1].is_string() &&
                      row[2].is_string() && row[3].is_number() &&
                      row[4].is_boolean() && row[5].is_number_integer();
  if (!is_ask) return std::nullopt;
  HostPermitRequest ask;
  ask.id = row[0].get<uint64_t>();
  ask.server = row[1].get<std::string>();
  ask.caller = row[2].get<std::string>();
  ask.worth = row[3].get<double>();
  ask.is_background = row[4].get<bool>();
  ask.patience = milliseconds(std::max<int64_t>(0, row[5].get<int64_t>()));
  return ask;
}

// ID, is granted, waited in ms, retry after in ms.
Json AnswerRow(const PermitAnswer& answer) {
  return Json::array({answer.id, answer.is_granted, ToMillis(answer.waited),
                      ToMillis(answer.retry_after)});
}

std::optional<PermitAnswer> ReadAnswer(const Json& row) {
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
  const std::optional<double> before = book_.Find(server);
  if (!book_.ApplyReported(server, reported, sent_at, context_.now)) return;
  LogEvent(LogLevel::kInfo, "server_limit_heard")
      .With("server", server)
      .With("per_second", reported.per_second)
      .With("named", book_.Find(server) ? "yes" : "no")
      .With("before", before.value_or(-1))
      .With("sent_ms_ago", ToMillis(context_.now - sent_at));
  ApplyChanges();
}

// The ledger and the permits at hand follow what is known.
void LimitManager::ApplyChanges() {
  for (const std::string& server : book_.TakeChanged()) {
    const std::optional<double> limit = book_.Find(server);
    context_.metrics.Count("server_limit_changes_total");
    LogEvent(LogLevel::kInfo, limit ? "server_limited" : "server_unlimited")
        .With("server", server)
        .With("per_second", limit.value_or(0))
        .With("named_ms_ago", ToMillis(book_.Age(server, context_.now)))
        .With("owner", is_owner_heard_ ? owner_.host : std::string("none"));
    context_.view.Hold(server, {});
    if (!limit) {
      gate_.Forget(server);
      if (ledger_) ledger_->Lift(server, context_.now);
    } else if (ledger_) {
      ledger_->SetLimit(server, *limit, context_.now);
    }
  }
}

void LimitManager::Forget(const std::string& server) {
  book_.Forget(server, context_.now);
  ApplyChanges();
}

std::string LimitManager::Describe(const std::string& server) const {
  return absl::StrFormat("%s takes %.3g requests a second, named %d ms ago",
                         server, book_.Find(server).value_or(0),
                         ToMillis(book_.Age(server, context_.now)));
}

// ---- Permits ----

LimitManager::Permit LimitManager::Acquire(const std::string& server,
                                           const PermitRequest& wanted) {
  if (gate_.TakeSpare(server, context_.now)) return Permit::kGranted;
  if (!ledger_ && !is_owner_heard_) {
    const int hosts = told_hosts_ > 0 ? told_hosts_ : kDefaultHostCount;
    const bool is_taken =
        gate_.TrySendIsolated(server, book_.Find(server).value_or(0), hosts,
                              context_.random.Unit(), context_.now);
    context_.metrics.Count(is_taken ? "server_limit_alone_total"
                                    : "server_limit_alone_held_total");
    return is_taken ? Permit::kGranted : Permit::kDenied;
  }
  if (asks_.size() >= kMostOpenAsks) return Permit::kDenied;
  HostPermitRequest ask;
  ask.host = context_.settings.self.host;
  ask.id = ++last_ask_;
  ask.server = server;
  ask.caller = wanted.caller;
  ask.worth = wanted.worth;
  ask.is_background = wanted.is_background;
  ask.patience = wanted.patience;
  asks_[ask.id] = {wanted.handle, server, context_.now,
                   context_.now + wanted.patience + kPermitLife};
  context_.metrics.Count("server_limit_asks_total");
  if (ledger_) {
    ledger_->Ask(ask, context_.now);
    SendAnswers();
    return Permit::kPending;
  }
  unsent_.push_back(AskRow(ask));
  if (context_.now - asks_sent_at_ >= kAskSpacing) SendAsks();
  return Permit::kPending;
}

void LimitManager::ReturnPermit(const std::string& server) {
  gate_.AddSpare(server, context_.now + kPermitLife);
}

void LimitManager::SendAsks() {
  if (unsent_.empty() || owner_.host.empty()) return;
  asks_sent_at_ = context_.now;
  Json body{{kToken, token_},
            {kAddress, context_.settings.peer_address},
            {kAsks, std::exchange(unsent_, Json::array())}};
  context_.Emit(SendPeer{owner_.host,
                         owner_.address,
                         {PeerMessageType::kPermitRequest, std::move(body)}});
}

void LimitManager::HandlePermitRequests(const std::string& host,
                                        const Json& body) {
  if (!ledger_ || FieldOr<uint64_t>(body, kToken, 0) != token_) return;
  askers_[host] = FieldOr<std::string>(body, kAddress, "");
  for (const Json& row : body.value(kAsks, Json::array())) {
    std::optional<HostPermitRequest> ask = ReadAsk(row);
    if (!ask) continue;
    ask->host = host;
    ledger_->Ask(*ask, context_.now);
  }
  SendAnswers();
}

void LimitManager::SendAnswers() {
  std::map<std::string, Json> rows;
  for (const PermitAnswer& answer : ledger_->TakeAnswers()) {
    context_.metrics.Count(answer.is_granted ? "server_limit_grants_total"
                                             : "server_limit_denials_total");
    if (answer.host == context_.settings.self.host) {
      TakeAnswer(answer);
      continue;
    }
    Json& of_host = rows.try_emplace(answer.host, Json::array()).first->second;
    of_host.push_back(AnswerRow(answer));
  }
  for (auto& [host, answers] : rows) {
    context_.Emit(
        SendPeer{host,
                 askers_[host],
                 {PeerMessageType::kPermitAnswer,
                  Json{{kToken, token_}, {kAnswers, std::move(answers)}}}});
  }
}

void LimitManager::TakeAnswers(const Json& body) {
  if (ledger_ || FieldOr<uint64_t>(body, kToken, 0) != token_) return;
  for (const Json& row : body.value(kAnswers, Json::array())) {
    if (const std::optional<PermitAnswer> answer = ReadAnswer(row)) {
      TakeAnswer(*answer);
    }
  }
}

void LimitManager::TakeAnswer(const PermitAnswer& answer) {
  const auto it = asks_.find(answer.id);
  if (it == asks_.end()) return;
  const OpenAsk ask = std::move(it->second);
  asks_.erase(it);
  const Duration under_way = context_.now - ask.asked_at - answer.waited;
  const bool is_usable = answer.is_granted && under_way <= kPermitLife;
  if (answer.is_granted && !is_usable) {
    context_.metrics.Count("server_limit_grants_lapsed_total");
  }
  outcomes_.push_back(
      {ask.handle, ask.server, is_usable,
       answer.is_granted
           ? kAskAgain
           : std::max<Duration>(answer.retry_after, kAskSpacing)});
}

// The owner may have gone, or stands still.
void LimitManager::GiveUpAsks() {
  for (auto it = asks_.begin(); it != asks_.end();) {
    const auto next = std::next(it);
    if (it->second.give_up_at <= context_.now) {
      context_.metrics.Count("server_limit_asks_unanswered_total");
      outcomes_.push_back(
          {it->second.handle, it->second.server, false, kAskAgain});
      asks_.erase(it);
    }
    it = next;
  }
}

// ---- Between the hosts ----

void LimitManager::StartPlanning(uint64_t& last_news) {
  ledger_ = std::make_unique<PermitLedger>(told_hosts_);
  askers_.clear();
  book_.RenumberRows(last_news);
  for (const auto& [server, per_second] : book_.Limits()) {
    ledger_->SetLimit(server, per_second, context_.now);
  }
}

void LimitManager::RunTick(const PeerAddress& owner, FencingToken token,
                           bool is_heard) {
  if (token != token_) {
    // Another owner has another ledger.
    unsent_ = Json::array();
    for (auto& [id, ask] : asks_) ask.give_up_at = context_.now;
  }
  owner_ = owner;
  token_ = token;
  is_owner_heard_ = is_heard && !owner.host.empty();
  if (is_owner_heard_ || ledger_) told_hosts_ = context_.entry_host_count;
  if (book_.empty() && asks_.empty()) return;
  if (ledger_) {
    ledger_->NoteHost(context_.settings.self.host, context_.now);
    ledger_->Serve(context_.now);
    SendAnswers();
  } else {
    SendAsks();
  }
  if (!is_owner_heard_) book_.Expire(context_.now);
  ApplyChanges();
  GiveUpAsks();
}

Json LimitManager::ReportRows(FencingToken token, const EngineList& servers) {
  return book_.ReportRows(token, servers, context_.now);
}

void LimitManager::NoteHost(const std::string& host) {
  if (ledger_) ledger_->NoteHost(host, context_.now);
}

void LimitManager::TakeReport(const std::string& host, const Json& rows,
                              const EngineList& servers) {
  if (!ledger_) return;
  LogEvent(LogLevel::kDebug, "server_limits_reported").With("by", host);
  book_.TakeReport(rows, servers, context_.now);
  ApplyChanges();
}

void LimitManager::TakePlan(const Json& rows, FencingToken token,
                            const EngineList& servers) {
  book_.TakePlan(rows, token, servers, context_.now);
  ApplyChanges();
}

Json LimitManager::ToJson() const {
  Json json{{"limits", book_.ToJson(context_.now)},
            {"asks", asks_.size()},
            {"owner_heard", is_owner_heard_},
            {"told_hosts", told_hosts_}};
  if (ledger_) json["ledger"] = ledger_->ToJson(context_.now);
  return json;
}

}  // namespace applehall

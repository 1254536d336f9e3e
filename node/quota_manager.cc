#include "node/quota_manager.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

#include "core/event_log.h"

namespace applehall {
namespace {

// With hundreds of hosts a report arrives every few ms, and a single one hardly
// changes a share.
constexpr Duration kComputeInterval = std::chrono::milliseconds(100);

// Keys of rows in reports and plans, which are arrays to keep them short.
constexpr char kIncarnation[] = "incarnation";
constexpr char kTeams[] = "teams";
constexpr char kParts[] = "parts";
constexpr char kHosts[] = "hosts";
constexpr char kAddress[] = "address";

// Without an owner, hosts report to the store reader of their data centre at
// this interval.
constexpr Duration kCentreInterval = std::chrono::milliseconds(250);
// Longer than kCentreInterval, so that all hosts have reported by then.
constexpr Duration kCentreGathering = std::chrono::milliseconds(350);

bool IsNumberRow(const Json& row, size_t fields) {
  return row.is_array() && row.size() == fields &&
         std::all_of(row.begin(), row.end(), [](const Json& field) {
           return field.is_number() && std::isfinite(field.get<double>());
         });
}

QuotaUsage ParseUsage(const Json& teams) {
  QuotaUsage usage;
  if (!teams.is_object()) return usage;
  for (const auto& [team, row] : teams.items()) {
    if (!IsNumberRow(row, 3)) continue;
    usage[team] = {row[0].get<double>(), std::max(0.0, row[1].get<double>()),
                   std::max(0.0, row[2].get<double>())};
  }
  return usage;
}

QuotaShares ParseShares(const Json& teams) {
  QuotaShares shares;
  if (!teams.is_object()) return shares;
  for (const auto& [team, row] : teams.items()) {
    if (!IsNumberRow(row, 2)) continue;
    shares[team] = {std::clamp(row[0].get<double>(), 0.0, 1.0),
                    std::max(0.0, row[1].get<double>())};
  }
  return shares;
}

Json SharesToJson(const QuotaShares& shares) {
  Json teams = Json::object();
  for (const auto& [team, share] : shares) {
    teams[team] = Json::array({share.share, std::round(share.usual_rate)});
  }
  return teams;
}

std::map<std::string, double> ParseParts(const Json& rows) {
  std::map<std::string, double> parts;
  if (!rows.is_object()) return parts;
  for (const auto& [team, part] : rows.items()) {
    if (part.is_number()) {
      parts[team] = std::clamp(part.get<double>(), 0.0, 1.0);
    }
  }
  return parts;
}

}  // namespace

bool QuotaManager::HasQuotas() const {
  const auto& teams = context_.ListedTeams()->teams();
  return std::any_of(teams.begin(), teams.end(), [](const auto& item) {
    return item.second.quota.is_limited();
  });
}

bool QuotaManager::IsThrottling() const {
  return std::any_of(shares_.begin(), shares_.end(),
                     [](const auto& item) { return item.second.share < 1; });
}

std::optional<Refusal> QuotaManager::Charge(const Team& team, double cost) {
  const QuotaDecision decision =
      gate_.Decide(team, cost, context_.random.Unit(), context_.now);
  if (decision.is_admitted) return std::nullopt;
  context_.metrics.Count(
      absl::StrFormat("quota_refused_total{team=\"%s\"}", team.name));
  return Refusal{Verdict::kNotRun, RefusalReason::kQuotaUsedUp,
                 absl::StrFormat(
                     "the quota of team %s is used up (%s, share %.3f, updated "
                     "%d ms ago, cost %.0f, version %d)",
                     team.name, QuotaModeName(decision.mode), decision.share,
                     ToMillis(decision.shares_age), cost,
                     context_.control.rules().version()),
                 decision.retry_after};
}

void QuotaManager::StartPlanning() {
  ledger_ = std::make_unique<QuotaLedger>(
      QuotaLedger::Settings{.tolerance = context_.settings.quota_tolerance,
                            .expected_hosts = known_hosts_});
  ledger_->SetTeams(context_.ListedTeams(), context_.now);
  centre_ledger_.reset();
}

Json QuotaManager::ReportRows() const {
  if (!HasQuotas()) return {};
  Json teams = Json::object();
  for (const auto& [team, usage] : gate_.Usage(context_.now)) {
    teams[team] =
        Json::array({std::round(usage.admitted), std::round(usage.recent_rate),
                     std::round(usage.usual_rate)});
  }
  return Json{{kIncarnation, context_.settings.self.number},
              {kTeams, std::move(teams)}};
}

void QuotaManager::HandleReport(const std::string& host,
                                const std::string& data_centre,
                                const Json& rows) {
  if (!ledger_) return;
  ledger_->ApplyUsage(
      host, data_centre, FieldOr<uint64_t>(rows, kIncarnation, 0),
      ParseUsage(rows.value(kTeams, Json::object())), context_.now);
}

void QuotaManager::RunTick(const PeerAddress& reader) {
  if (!HasQuotas()) return;
  if (ledger_) {
    RunOwner();
  } else if (gate_.HasFreshShares(context_.now)) {
    centre_ledger_.reset();
  } else {
    RunWithoutOwner(reader);
  }
}

QuotaShares QuotaManager::ComputeShares(
    QuotaLedger& ledger, std::shared_ptr<const TeamRegistry> teams) {
  ledger.SetTeams(std::move(teams), context_.now);
  ledger.ApplyUsage(context_.settings.self.host, context_.settings.data_centre,
                    context_.settings.self.number, gate_.Usage(context_.now),
                    context_.now);
  return ledger.Shares(context_.now);
}

void QuotaManager::RunOwner() {
  if (context_.now - computed_at_ < kComputeInterval) return;
  computed_at_ = context_.now;
  QuotaShares shares = ComputeShares(*ledger_, context_.ListedTeams());
  if (!ledger_->IsReady(context_.now)) return;
  LogThrottled(shares);
  shares_ = std::move(shares);
  known_hosts_ = ledger_->KnownHosts(context_.now);
  gate_.ApplyShares(shares_, known_hosts_, context_.now);
  const auto parts = ledger_->parts().find(context_.settings.data_centre);
  if (parts != ledger_->parts().end()) centre_parts_ = parts->second;
}

// A host that never received a plan knows no parts of quotas, so no ledger of
// the data centre can replace the owner.
void QuotaManager::RunWithoutOwner(const PeerAddress& reader) {
  if (reader.host.empty() || known_hosts_ == 0) return;
  if (reader.host == context_.settings.self.host) {
    RunCentreLedger();
    return;
  }
  if (context_.now - centre_reported_at_ < kCentreInterval) return;
  centre_reported_at_ = context_.now;
  Json body = ReportRows();
  body[kAddress] = context_.settings.peer_address;
  context_.Emit(SendPeer{reader.host,
                         reader.address,
                         {PeerMessageType::kQuotaUsage, std::move(body)}});
}

void QuotaManager::RunCentreLedger() {
  if (context_.now - computed_at_ < kComputeInterval) return;
  computed_at_ = context_.now;
  if (!centre_ledger_) {
    centre_ledger_ = std::make_unique<QuotaLedger>(QuotaLedger::Settings{
        .tolerance = {}, .expected_hosts = 0, .gathering = kCentreGathering});
    context_.metrics.Count("quota_stand_ins_total");
    LogEvent(LogLevel::kInfo, "quota_stand_in")
        .With("data_centre", context_.settings.data_centre)
        .With("told_hosts", known_hosts_);
  }
  QuotaShares shares = ComputeShares(*centre_ledger_, CentreTeams());
  if (!centre_ledger_->IsReady(context_.now)) return;
  centre_shares_ = std::move(shares);
  gate_.ApplyCentreShares(centre_shares_, context_.now);
}

// Returns the teams with their quotas reduced to this data centre's part.
std::shared_ptr<const TeamRegistry> QuotaManager::CentreTeams() const {
  auto teams = std::make_shared<TeamRegistry>();
  for (const auto& [name, whole] : context_.ListedTeams()->teams()) {
    Team team = whole;
    const auto part = centre_parts_.find(name);
    if (team.quota.is_limited() && part != centre_parts_.end()) {
      team.quota.tokens_per_second *= part->second;
      team.quota.burst_tokens *= part->second;
    }
    teams->Add(team, {});
  }
  return teams;
}

void QuotaManager::HandleCentreUsage(const std::string& host,
                                     const Json& body) {
  if (!HasQuotas()) return;
  if (centre_ledger_) {
    centre_ledger_->ApplyUsage(host, context_.settings.data_centre,
                               FieldOr<uint64_t>(body, kIncarnation, 0),
                               ParseUsage(body.value(kTeams, Json::object())),
                               context_.now);
  }
  // If the owner still reaches this host, its share is valid for `host` as
  // well.
  const bool has_owner_shares = gate_.HasFreshShares(context_.now);
  const bool has_centre_shares =
      centre_ledger_ && centre_ledger_->IsReady(context_.now);
  if (!has_owner_shares && !has_centre_shares) return;
  context_.Emit(SendPeer{
      host,
      FieldOr<std::string>(body, kAddress, ""),
      {PeerMessageType::kQuotaShareUpdate,
       Json{{kTeams,
             SharesToJson(has_owner_shares ? shares_ : centre_shares_)}}}});
}

void QuotaManager::HandleCentreShares(const Json& body) {
  gate_.ApplyCentreShares(ParseShares(body.value(kTeams, Json::object())),
                          context_.now);
}

Json QuotaManager::PlanRows(const std::string& data_centre) const {
  if (!ledger_ || !ledger_->IsReady(context_.now) || !HasQuotas()) return {};
  Json body{{kTeams, SharesToJson(shares_)}, {kHosts, known_hosts_}};
  const auto parts = ledger_->parts().find(data_centre);
  if (parts != ledger_->parts().end()) body[kParts] = parts->second;
  return body;
}

// Logs when the throttling of a team starts and ends.
void QuotaManager::LogThrottled(const QuotaShares& shares) const {
  for (const auto& [team, share] : shares) {
    const auto before = shares_.find(team);
    const bool was_throttled =
        before != shares_.end() && before->second.share < 1;
    const bool is_throttled = share.share < 1;
    if (was_throttled == is_throttled) continue;
    LogEvent(LogLevel::kInfo, is_throttled ? "quota_throttled" : "quota_freed")
        .With("team", team)
        .With("share", share.share)
        .With("usual_rate", share.usual_rate)
        .With("hosts", ledger_->KnownHosts(context_.now))
        .With("version", context_.control.rules().version());
  }
}

void QuotaManager::HandlePlan(const Json& rows) {
  shares_ = ParseShares(rows.value(kTeams, Json::object()));
  known_hosts_ = std::max(1, FieldOr<int>(rows, kHosts, 1));
  gate_.ApplyShares(shares_, known_hosts_, context_.now);
  centre_parts_ = ParseParts(rows.value(kParts, Json::object()));
}

Json QuotaManager::ToJson() const {
  Json json{{"is_ledger_here", ledger_ != nullptr}, {"teams", Json::object()}};
  for (const auto& [team, usage] : gate_.Usage(context_.now)) {
    const auto found = shares_.find(team);
    json["teams"][team] =
        Json{{"admitted", usage.admitted},
             {"recent_rate", usage.recent_rate},
             {"share", found == shares_.end() ? 1.0 : found->second.share}};
  }
  return json;
}

}  // namespace applehall

#include "node/quota_keeper.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

#include "core/event_log.h"

namespace applehall {
namespace {

// Of hundreds of hosts one reports every few ms; what a single report adds does
// not change a share.
constexpr Duration kDecisionInterval = std::chrono::milliseconds(100);

// Keys of rows in reports and plans, which are arrays to keep them short.
constexpr char kIncarnation[] = "incarnation";
constexpr char kTeams[] = "teams";

bool IsRow(const Json& row, size_t fields) {
  return row.is_array() && row.size() == fields &&
         std::all_of(row.begin(), row.end(), [](const Json& field) {
           return field.is_number() && std::isfinite(field.get<double>());
         });
}

QuotaUsage UsageFrom(const Json& teams) {
  QuotaUsage usage;
  if (!teams.is_object()) return usage;
  for (const auto& [team, row] : teams.items()) {
    if (!IsRow(row, 3)) continue;
    usage[team] = {row[0].get<double>(), std::max(0.0, row[1].get<double>()),
                   std::max(0.0, row[2].get<double>())};
  }
  return usage;
}

QuotaShares SharesFrom(const Json& teams) {
  QuotaShares shares;
  if (!teams.is_object()) return shares;
  for (const auto& [team, row] : teams.items()) {
    if (!IsRow(row, 2)) continue;
    shares[team] = {std::clamp(row[0].get<double>(), 0.0, 1.0),
                    std::max(0.0, row[1].get<double>())};
  }
  return shares;
}

}  // namespace

bool QuotaKeeper::HasQuotas() const {
  const auto& teams = context_.teams->teams();
  return std::any_of(teams.begin(), teams.end(), [](const auto& item) {
    return item.second.quota.is_limited();
  });
}

bool QuotaKeeper::IsThrottling() const {
  return std::any_of(shares_.begin(), shares_.end(),
                     [](const auto& item) { return item.second.share < 1; });
}

std::optional<Refusal> QuotaKeeper::Ask(const Team& team, double cost) {
  const QuotaDecision decision =
      gate_.Ask(team, cost, context_.random.Unit(), context_.now);
  if (decision.is_admitted) return std::nullopt;
  context_.metrics.Count(
      absl::StrFormat("quota_refused_total{team=\"%s\"}", team.name));
  return Refusal{
      Verdict::kNotRun, RefusalReason::kQuotaUsedUp,
      absl::StrFormat("the quota of team %s is used up (%s, share %.3f, told "
                      "%d ms ago, cost %.0f, version %d)",
                      team.name, QuotaModeName(decision.mode), decision.share,
                      ToMillis(decision.told_ago), cost,
                      context_.control.rules().version()),
      decision.retry_after};
}

void QuotaKeeper::StartPlanning() {
  ledger_ = std::make_unique<QuotaLedger>(context_.settings.quota_tolerance,
                                          told_hosts_);
  ledger_->SetTeams(context_.teams, context_.now);
}

Json QuotaKeeper::ReportRows() {
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

void QuotaKeeper::TakeReport(const std::string& host, const Json& rows) {
  if (!ledger_) return;
  ledger_->TakeUsage(host, FieldOr<uint64_t>(rows, kIncarnation, 0),
                     UsageFrom(rows.value(kTeams, Json::object())),
                     context_.now);
}

void QuotaKeeper::RunTick() {
  if (!ledger_ || !HasQuotas()) return;
  if (context_.now - decided_at_ < kDecisionInterval) return;
  decided_at_ = context_.now;
  ledger_->SetTeams(context_.teams, context_.now);
  ledger_->TakeUsage(context_.settings.self.host, context_.settings.self.number,
                     gate_.Usage(context_.now), context_.now);
  QuotaShares shares = ledger_->Shares(context_.now);
  if (!ledger_->IsReady(context_.now)) return;
  LogThrottled(shares);
  shares_ = std::move(shares);
  gate_.TakeShares(shares_, context_.fleet_hosts, context_.now);
}

Json QuotaKeeper::PlanRows() const {
  if (!ledger_ || !ledger_->IsReady(context_.now) || !HasQuotas()) return {};
  Json teams = Json::object();
  for (const auto& [team, share] : shares_) {
    teams[team] = Json::array({share.share, std::round(share.usual_rate)});
  }
  return Json{{kTeams, std::move(teams)}};
}

// One line when a team begins to be held back and one when it no longer is.
void QuotaKeeper::LogThrottled(const QuotaShares& shares) {
  for (const auto& [team, share] : shares) {
    const auto before = shares_.find(team);
    const bool was_held = before != shares_.end() && before->second.share < 1;
    const bool is_held = share.share < 1;
    if (was_held == is_held) continue;
    LogEvent(LogLevel::kInfo, is_held ? "quota_throttled" : "quota_freed")
        .With("team", team)
        .With("share", share.share)
        .With("usual_rate", share.usual_rate)
        .With("hosts", ledger_->hosts())
        .With("version", context_.control.rules().version());
  }
}

void QuotaKeeper::TakePlan(const Json& rows) {
  shares_ = SharesFrom(rows.value(kTeams, Json::object()));
  told_hosts_ = context_.fleet_hosts;
  gate_.TakeShares(shares_, told_hosts_, context_.now);
}

Json QuotaKeeper::ToJson() const {
  Json json{{"is_ledger_here", ledger_ != nullptr}, {"teams", Json::object()}};
  for (const auto& [team, usage] : gate_.Usage(context_.now)) {
    const auto told = shares_.find(team);
    json["teams"][team] =
        Json{{"admitted", usage.admitted},
             {"recent_rate", usage.recent_rate},
             {"share", told == shares_.end() ? 1.0 : told->second.share}};
  }
  return json;
}

}  // namespace applehall

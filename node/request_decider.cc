#include "node/request_decider.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/request_fingerprint.h"

namespace applehall {

std::optional<Refusal> RequestDecider::Decide(OpenRequest& request) {
  std::optional<Refusal> refusal = DecideByRules(request);
  if (refusal) refusal = QualifyByFreshness(*std::move(refusal));
  return refusal;
}

// Guards against an isolated or stale host that refuses callers of a new route
// or key permanently: they would not return.
Refusal RequestDecider::QualifyByFreshness(Refusal refusal) const {
  const bool is_permanent = refusal.reason == RefusalReason::kRefusedByRule ||
                            refusal.reason == RefusalReason::kUnauthorized ||
                            refusal.reason == RefusalReason::kBadRequest;
  if (!is_permanent || context_.freshness.known().empty()) return refusal;
  const Duration age = context_.now - context_.freshness.OldestFreshness();
  const FreshnessBudget& budget = context_.settings.freshness;
  if (age <= budget.max_age()) return refusal;
  context_.metrics.Count("refused_by_old_rules_total");
  return NotRun(RefusalReason::kRulesMayBeOld,
                absl::StrCat(refusal.detail, ", by rules last confirmed ",
                             ToMillis(age), " ms ago"),
                budget.read_timeout);
}

std::optional<Refusal> RequestDecider::DecideByRules(OpenRequest& request) {
  const RequestFacts& facts = request.arrival.facts;
  SystemFacts system;
  system.now = context_.now;
  system.data_centre = context_.settings.data_centre;
  system.log_down = context_.IsLogDown();
  system.replicas = context_.view.ReadyReplicas(facts.model);
  const int index = request.rules->matcher.FirstMatch(request.rules->set.rules,
                                                      facts, system);
  // The last rule matches everything; a set without one is never in force.
  request.rule_index =
      index >= 0 ? index
                 : static_cast<int>(request.rules->set.rules.size()) - 1;
  const RuleOutcome& then = request.rule().then;
  Duration limit = then.deadline;
  if (request.arrival.deadline) {
    limit = std::min(limit, *request.arrival.deadline);
  }
  request.deadline = request.arrived_at + limit;
  if (then.refuse) {
    return NotRun(RefusalReason::kRefusedByRule, *then.refuse);
  }
  if (auto refusal = Authenticate(request)) return refusal;
  ChooseService(request);
  request.target = ChooseTarget(request);
  if (const auto refusal = CheckTarget(request)) return refusal;
  request.was_cold = !request.is_service_call &&
                     context_.view.ReadyReplicas(request.target) == 0;
  return std::nullopt;
}

// Guards against requests that run without a team or for another team than the
// one that pays: a key that no team holds, or no longer holds, is refused
// before the request waits, counts or costs anything. Also if no team is left:
// then nobody holds a key.
std::optional<Refusal> RequestDecider::Authenticate(OpenRequest& request) {
  if (!context_.RequiresKeys()) return std::nullopt;
  const TeamRegistry& teams = *context_.ListedTeams();
  RequestArrived& arrival = request.arrival;
  const Team* team =
      arrival.api_key ? teams.FindByKey(*arrival.api_key) : nullptr;
  if (team == nullptr && !request.rule().then.is_public) {
    return NotRun(RefusalReason::kUnauthorized,
                  arrival.api_key ? "no team holds this API key"
                                  : "an API key is required");
  }
  request.team = team == nullptr ? "" : team->name;
  if (team == nullptr) return std::nullopt;
  request.team_priority = team->priority;
  arrival.facts.caller = team->name;
  // A team that changes its key keeps the fingerprints of its requests; equal
  // contents of two teams have different ones.
  if (arrival.fingerprint != 0) {
    arrival.fingerprint = FingerprintForCaller(arrival.fingerprint, team->name);
  }
  return std::nullopt;
}

std::optional<Refusal> RequestDecider::CheckQuota(OpenRequest& request) {
  const Team* team =
      request.team ? context_.ListedTeams()->Find(*request.team) : nullptr;
  if (team == nullptr || !team->quota.is_limited()) return std::nullopt;
  const double cost = team->QuotaCost(request.arrival.declared_tokens);
  if (auto refusal = quotas_.Charge(*team, cost)) return refusal;
  request.quota_cost = cost;
  return std::nullopt;
}

// Selects the service that the rule names, by weight if it names several;
// otherwise the requested one.
void RequestDecider::ChooseService(OpenRequest& request) {
  const std::vector<ServiceShare>& shares = request.rule().then.services;
  request.service = request.arrival.facts.service;
  request.is_service_call = !request.service.empty();
  if (shares.empty()) return;
  double total = 0;
  for (const ServiceShare& share : shares) total += share.weight;
  double drawn = context_.random.Unit() * total;
  request.service = shares.back().service;
  for (const ServiceShare& share : shares) {
    drawn -= share.weight;
    if (drawn >= 0) continue;
    request.service = share.service;
    break;
  }
  request.is_service_call = request.arrival.facts.model.empty();
}

bool RequestDecider::SetService(OpenRequest& request,
                                const std::string& service) const {
  if (request.service == service) return true;
  const std::vector<ServiceShare>& shares = request.rule().then.services;
  const bool is_named = std::any_of(
      shares.begin(), shares.end(),
      [&](const ServiceShare& share) { return share.service == service; });
  if (!is_named) return false;
  request.service = service;
  request.target = ChooseTarget(request);
  return true;
}

std::optional<Refusal> RequestDecider::CheckTarget(
    const OpenRequest& request) const {
  const bool is_offered = IsFleet()
                              ? fleet_.OffersService(request.service)
                              : context_.hosts.OffersService(request.service);
  if (request.is_service_call && !is_offered) {
    return NotRun(
        RefusalReason::kNoBackend,
        absl::StrCat("no backend server offers \"", request.service, "\""),
        kRetrySoon);
  }
  if (!request.is_service_call &&
      !context_.catalogue.contains(request.target)) {
    if (context_.catalogue.empty()) {
      return NotRun(RefusalReason::kNoBackend,
                    "the catalogue of the weight store has not been read yet",
                    kRetrySoon);
    }
    return NotRun(RefusalReason::kBadRequest,
                  absl::StrCat("there is no model \"", request.target, "\""));
  }
  return std::nullopt;
}

// Selects the first of the rule's models that is ready; otherwise the first,
// which will be loaded.
std::string RequestDecider::ChooseTarget(OpenRequest& request) const {
  const RequestFacts& facts = request.arrival.facts;
  if (request.is_service_call) return ServiceTarget(request.service);
  // If rules name the service, the catalogue lists models as SERVICE/MODEL.
  if (!request.rule().then.services.empty()) {
    return absl::StrCat(request.service, "/", facts.model);
  }
  const RuleOutcome& then = request.rule().then;
  if (!then.adapter.empty()) return then.adapter;
  if (then.models.empty()) return facts.model;
  for (size_t i = 0; i < then.models.size(); ++i) {
    if (context_.view.ReadyReplicas(then.models[i]) == 0) continue;
    request.model_index = i;
    return then.models[i];
  }
  return then.models.front();
}

}  // namespace applehall

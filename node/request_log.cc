#include "node/request_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "core/event_log.h"
#include "core/request_fingerprint.h"

namespace applehall {
namespace {

// Returns -1 for a request that was not written to a connection.
int64_t SendMillis(std::optional<Duration> delay) {
  return delay ? ToMillis(*delay) : -1;
}

}  // namespace

void RequestLog::LogFailedAttempt(const OpenRequest& request,
                                  const AttemptEnded& event) const {
  LogEvent(LogLevel::kInfo, "attempt_failed")
      .With("request", request.arrival.request_id)
      .With("fingerprint", FingerprintText(request.arrival.fingerprint))
      .With("parts", absl::StrJoin(request.arrival.prompt_parts, ","))
      .With("attempt", event.attempt)
      .With("backend", request.backend)
      .With("result", AttemptResultName(event.result))
      .With("cut", event.is_cut ? "yes" : "no")
      .With("answered_ms", ToMillis(event.answered_for))
      .With("started", request.has_started ? "yes" : "no")
      .With("listing", request.listing)
      .With("listing_age_ms", ToMillis(request.listing_age))
      .With("send_ms", SendMillis(event.send_delay))
      .With("sent_ms_ago", ToMillis(context_.now - request.sent_at))
      .With("detail", event.detail);
}

void RequestLog::LogOutcome(const OpenRequest& request,
                            const std::string& action, Verdict verdict,
                            const std::string& reason) {
  Decision decision;
  decision.request_id = request.arrival.request_id;
  decision.caller = request.arrival.facts.caller;
  decision.target = request.target;
  decision.rule = request.RuleLabel();
  decision.action = action;
  decision.backend = request.backend;
  decision.reason = reason;
  decision.model_state = request.was_cold ? "cold" : "warm";
  decision.verdict = verdict;
  decision.attempts = request.attempt;
  decision.arrived_at = request.arrived_at;
  decision.took = context_.now - request.arrived_at;
  decision.waited = request.attempt > 0
                        ? request.first_sent_at - request.arrived_at
                        : decision.took;
  context_.metrics.Count(absl::StrCat("requests_total{action=\"", action,
                                      "\",rule=\"", request.rule().name,
                                      "\"}"));
  context_.metrics.Observe("request", decision.took);
  if (request.was_cold && verdict == Verdict::kRan) {
    context_.metrics.Observe("cold_start", decision.waited);
  }
  LogEvent line(LogLevel::kInfo, "request_end");
  line.With("request", decision.request_id)
      .With("fingerprint", FingerprintText(request.arrival.fingerprint))
      .With("parts", absl::StrJoin(request.arrival.prompt_parts, ","))
      .With("caller", decision.caller)
      .With("rule", decision.rule)
      .With("target", decision.target)
      .With("waited_ms", ToMillis(decision.waited))
      .With("model_state", decision.model_state)
      .With("action", decision.action)
      .With("verdict", VerdictName(verdict))
      .With("backend", decision.backend)
      .With("versions", absl::StrJoin(request.versions, ","))
      .With("resumes", request.arrival.resumes)
      .With("reason", reason)
      .With("key", request.arrival.idempotency_key)
      .With("attempts", request.attempt)
      .With("listing", request.listing)
      .With("listing_age_ms", ToMillis(request.listing_age))
      .With("send_ms", SendMillis(request.send_delay))
      .With("first_ms", request.has_started
                            ? ToMillis(request.started_at - request.arrived_at)
                            : ToMillis(decision.took))
      .With("pause_ms", ToMillis(request.longest_pause))
      .With("took_ms", ToMillis(decision.took));
  if (request.expected) {
    line.With("expected_first_ms", ToMillis(request.expected->first_event))
        .With("expected_pause_ms", ToMillis(request.expected->longest_gap));
    context_.metrics.Count("requests_by_estimate_total");
  }
  context_.decisions.Add(std::move(decision));
}

void RequestLog::LogRefusal(const RequestArrived& event,
                            const std::string& rule, const Refusal& refusal) {
  Decision decision;
  decision.request_id = event.request_id;
  decision.caller = event.facts.caller;
  decision.target =
      event.facts.model.empty() ? event.facts.service : event.facts.model;
  decision.rule = rule;
  decision.action = "refused";
  decision.reason =
      absl::StrCat(RefusalReasonName(refusal.reason), ": ", refusal.detail);
  decision.verdict = refusal.verdict;
  decision.arrived_at = context_.now;
  context_.metrics.Count(absl::StrCat("refused_on_arrival_total{reason=\"",
                                      RefusalReasonName(refusal.reason),
                                      "\"}"));
  LogEvent(LogLevel::kInfo, "request_end")
      .With("request", event.request_id)
      .With("fingerprint", FingerprintText(event.fingerprint))
      .With("parts", absl::StrJoin(event.prompt_parts, ","))
      .With("caller", event.facts.caller)
      .With("rule", rule)
      .With("action", "refused")
      .With("verdict", VerdictName(refusal.verdict))
      .With("reason", decision.reason)
      .With("news_age_ms",
            ToMillis(context_.now - context_.freshness.OldestFreshness()));
  context_.decisions.Add(std::move(decision));
}

}  // namespace applehall

#include "core/verdict.h"

namespace applehall {

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRuleSet:
      return "no_rule_set";
    case RefusalReason::kRefusedByRule:
      return "refused_by_rule";
    case RefusalReason::kBadRequest:
      return "bad_request";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kTooManyInFlight:
      return "too_many_in_flight";
    case RefusalReason::kCannotMeetDeadline:
      return "cannot_meet_deadline";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kNoBackend:
      return "no_backend";
    case RefusalReason::kLoadFailed:
      return "load_failed";
    case RefusalReason::kIdempotencyKeyMissing:
      return "idempotency_key_missing";
    case RefusalReason::kIdempotencyKeyExpired:
      return "idempotency_key_expired";
    case RefusalReason::kDuplicateRequest:
      return "duplicate_request";
    case RefusalReason::kLogUnavailable:
      return "log_unavailable";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kBackendFailed:
      return "backend_failed";
    case RefusalReason::kRetryBudgetSpent:
      return "retry_budget_spent";
    case RefusalReason::kEnginesFull:
      return "engines_full";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kUnauthorized:
      return "unauthorized";
    case RefusalReason::kQuotaUsedUp:
      return "quota_used_up";
    case RefusalReason::kServerLimited:
      return "server_limited";
    case RefusalReason::kRulesMayBeOld:
      return "rules_may_be_old";
    case RefusalReason::kStreamUnknown:
      return "stream_unknown";
    case RefusalReason::kVersionGone:
      return "version_gone";
  }
  return "unknown";
}

std::optional<RefusalReason> ParseRefusalReason(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(RefusalReason::kVersionGone); ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    if (name == RefusalReasonName(reason)) return reason;
  }
  return std::nullopt;
}

int HttpStatus(const Refusal& refusal) {
  if (refusal.reason == RefusalReason::kDuplicateRequest) return 409;
  if (refusal.verdict != Verdict::kNotRun) return 504;
  switch (refusal.reason) {
    case RefusalReason::kRefusedByRule:
      return 403;
    case RefusalReason::kUnauthorized:
      return 401;
    case RefusalReason::kBadRequest:
    case RefusalReason::kIdempotencyKeyMissing:
    case RefusalReason::kIdempotencyKeyExpired:
      return 400;
    case RefusalReason::kQueueFull:
    case RefusalReason::kTooManyInFlight:
    case RefusalReason::kQuotaUsedUp:
      return 429;
    default:
      return 503;
  }
}

}  // namespace applehall

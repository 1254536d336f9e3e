#ifndef APPLEHALL_CORE_VERDICT_H_
#define APPLEHALL_CORE_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace applehall {

// Whether a request may have had an effect on a backend server.
//
// kNotRun is certain: either nothing was sent, or the backend server reported
// that it did not start the request.
enum class Verdict : uint8_t { kNotRun, kMayHaveRun, kRan };

constexpr const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

// Reason for refusing a request. Each value has one HTTP status and one
// meaning, listed for operators in docs/operators/refusals.md.
enum class RefusalReason : uint8_t {
  kNoRuleSet,
  kRefusedByRule,
  kBadRequest,
  kQueueFull,
  kTooManyInFlight,
  kCannotMeetDeadline,
  kDeadlinePassed,
  kNoBackend,
  kLoadFailed,
  kIdempotencyKeyMissing,
  kIdempotencyKeyExpired,
  kDuplicateRequest,
  kLogUnavailable,
  kDraining,
  kBackendFailed,
  kRetryBudgetSpent,
  kEnginesFull,
  kQuarantined,
  kUnauthorized,
  kQuotaUsedUp,
  kServerLimited,
  kRulesMayBeOld,
  kStreamUnknown,  // Which software version began the stream is not known.
  kVersionGone,    // No server of that version is left; the last value, see
                   // ParseRefusalReason().
};

const char* RefusalReasonName(RefusalReason reason);
// Returns the reason with that name; nothing if there is none. Requires:
// nothing. Thread-safe.
std::optional<RefusalReason> ParseRefusalReason(std::string_view name);

// The response to a request that no backend server answered.
struct Refusal {
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kBackendFailed;
  std::string detail;
  // Zero when a retry cannot help.
  Duration retry_after{0};
};

// Returns a refusal of a request that has not run and will not run. Requires:
// nothing. Thread-safe.
inline Refusal NotRun(RefusalReason reason, std::string detail,
                      Duration retry_after = Duration{0}) {
  return {Verdict::kNotRun, reason, std::move(detail), retry_after};
}

// HTTP status of a refusal: 409 for a duplicate, 504 if the request may have
// run, otherwise 400, 401, 403, 429 or 503 by its reason.
int HttpStatus(const Refusal& refusal);

}  // namespace applehall

#endif  // APPLEHALL_CORE_VERDICT_H_

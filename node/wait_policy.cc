#include "node/wait_policy.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Of the time in which an answer must start; what waits longer for a model that
// is not being loaded is refused.
constexpr double kPatienceShare = 0.7;
// Requests for each slot of an engine, of all hosts, beyond which it gets no
// further one: what is sent beyond its slots waits there, and callers of
// streams leave before their turn comes.
constexpr double kMostEngineLoad = 1.25;
// Of the hoped-for latency: a request that has not found a free engine by then
// would be late, in place of a fresh one that would not.
constexpr double kFullWaitShare = 0.6;
// When to come back to engines that are full: a request takes about 2 s there,
// and they should not all come back at once.
constexpr Duration kRetryFull = milliseconds(1500);
constexpr Duration kRetryFullSpread = milliseconds(1500);
// Of the time in which a call to a plain service must end, for how long it may
// wait for a permit.
constexpr double kServicePatience = 0.5;
// A broken stream goes on within a pause that its caller bears.
constexpr Duration kResumePatience = milliseconds(300);
// Callers that were refused together return over this share of the time more.
constexpr double kPermitRetrySpread = 0.5;

}  // namespace

EngineView::Preference WaitPolicy::PreferenceOf(
    const OpenRequest& request, const TargetState* state) const {
  EngineView::Preference preference;
  if (context_.settings.placement != PlacementStyle::kFleet) return preference;
  preference.avoid = request.failed_backend;
  preference.data_centre = context_.settings.data_centre;
  if (request.is_service_call || state == nullptr) return preference;
  // A broken stream goes on at once: its caller leaves after the next pause.
  if (request.has_started) return preference;
  preference.most_load = kMostEngineLoad;
  preference.service_time = state->unloaded_time;
  // What was let through once counts already.
  preference.luck = request.attempt > 0 ? 0 : request.luck;
  return preference;
}

TimePoint WaitPolicy::LastStart(const OpenRequest& request) {
  const Duration max_start_wait = request.rule().then.max_start_wait;
  if (max_start_wait == Duration::zero()) return request.deadline;
  return std::min(request.deadline, request.arrived_at + max_start_wait);
}

// A request that waited longer would be late, in place of a fresh one that
// would not.
TimePoint WaitPolicy::LatestPermit(const OpenRequest& request) const {
  const RuleOutcome& then = request.rule().then;
  const Duration whole = request.deadline - request.arrived_at;
  if (request.has_started) return context_.now + kResumePatience;
  if (request.is_service_call) {
    return request.arrived_at +
           FromSeconds(ToSeconds(whole) * kServicePatience);
  }
  if (then.target_latency == Duration::zero()) return LastStart(request);
  return request.arrived_at +
         FromSeconds(ToSeconds(then.target_latency) * kFullWaitShare);
}

// At once, so that its caller can go elsewhere: a request whose servers have
// all had what they take is not kept until its deadline.
std::optional<Refusal> WaitPolicy::Held(const OpenRequest& request) const {
  const std::optional<TimePoint> until =
      context_.view.HeldUntil(request.target, context_.now);
  if (!until || *until <= LatestPermit(request)) return std::nullopt;
  const Duration wait = *until - context_.now;
  const double spread = 1 + kPermitRetrySpread * context_.random.Unit();
  std::string detail =
      absl::StrCat("all servers with ", request.target,
                   " have had what they take for ", ToMillis(wait), " ms");
  if (!request.permit_server.empty()) {
    absl::StrAppend(&detail, ": ", limits_.Describe(request.permit_server));
  }
  return NotRun(RefusalReason::kServerLimited, std::move(detail),
                FromSeconds(ToSeconds(wait) * spread));
}

// Callers of streams leave long before their deadline if nothing comes, and a
// caller that left is not served at all; one that is told when to come back may
// be.
std::vector<WaitPolicy::Refused> WaitPolicy::Hopeless(
    const std::string& target, const TargetState& state) const {
  if (!context_.settings.policies.Has(Policy::kEarlyRefusal)) return {};
  const bool is_fresh =
      state.has_answer && context_.now - state.answered_at <= kAnswerLife;
  const DemandStatus status =
      is_fresh ? state.answer.status : DemandStatus::kUnknown;
  const Duration expected = is_fresh ? state.answer.expected : Duration{0};
  const Deferral deferral = is_fresh ? state.answer.deferral : Deferral::kNone;
  const TimePoint ready_at = state.answered_at + expected;
  const bool is_dated =
      status == DemandStatus::kLoading || status == DemandStatus::kQueued;
  const std::vector<RequestHandle> hopeless =
      Select(state, [&](const OpenRequest& request) {
        const TimePoint last_start = LastStart(request);
        const Duration span = last_start - request.arrived_at;
        const bool is_late = is_dated && ready_at > last_start;
        const bool is_due = context_.now - request.arrived_at >
                            FromSeconds(ToSeconds(span) * kPatienceShare);
        const bool may_still_come =
            status == DemandStatus::kLoading && !is_late;
        return is_late || (is_due && !may_still_come);
      });
  std::vector<Refused> refused;
  for (const RequestHandle handle : hopeless) {
    refused.push_back(
        {handle, NotRun(RefusalReason::kCannotMeetDeadline,
                        absl::StrCat(target, " is ", DemandStatusName(status),
                                     ", expected in ", ToMillis(expected),
                                     " ms, put off: ", DeferralName(deferral)),
                        std::max(expected, kRetrySoon))});
  }
  return refused;
}

// The queue is kept as short as lets each request that leaves it be in time;
// without that bound a queue under lasting overload makes all late.
std::vector<WaitPolicy::Refused> WaitPolicy::Overflow(
    const std::string& target, const TargetState& state) const {
  if (!context_.settings.policies.Has(Policy::kShortQueues)) return {};
  const std::vector<RequestHandle> overflow =
      Select(state, [&](const OpenRequest& request) {
        const Duration hoped_for = request.rule().then.target_latency;
        if (hoped_for == Duration::zero() || request.has_started) return false;
        const Duration waited = context_.now - request.arrived_at;
        return waited > FromSeconds(ToSeconds(hoped_for) * kFullWaitShare) &&
               context_.view.IsSaturated(target, PreferenceOf(request, &state),
                                         context_.now);
      });
  std::vector<Refused> refused;
  for (const RequestHandle handle : overflow) {
    const Duration retry_after =
        kRetryFull +
        FromSeconds(ToSeconds(kRetryFullSpread) * context_.random.Unit());
    refused.push_back({handle, NotRun(RefusalReason::kEnginesFull,
                                      absl::StrCat("all engines with ", target,
                                                   " run as much as they can"),
                                      retry_after)});
  }
  return refused;
}

}  // namespace applehall

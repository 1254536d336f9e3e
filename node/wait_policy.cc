#include "node/wait_policy.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Share of the time until an answer must start, after which a request is
// refused if its model is not being loaded.
constexpr double kMaxWaitShare = 0.7;
// Maximum requests per slot of an engine, of all hosts. Requests beyond its
// slots wait in the engine, and callers of streams leave before they are
// served.
constexpr double kMaxEngineLoad = 1.25;
// Share of the target latency after which a request that has not found a free
// engine is refused: it would be late, in place of a newer one that would not.
constexpr double kTargetLatencyShare = 0.6;
// Retry-After with full engines, where a request takes about 2 s, and its
// jitter, so that callers do not all return at once.
constexpr Duration kRetryFull = milliseconds(1500);
constexpr Duration kRetryFullSpread = milliseconds(1500);
// Share of a service call's deadline that it may wait for a permit.
constexpr double kServiceMaxWaitShare = 0.5;
// Maximum pause that a caller tolerates before a broken stream resumes.
constexpr Duration kMaxResumeWait = milliseconds(300);
// Jitter of Retry-After as a share of it, so that callers refused together do
// not return together.
constexpr double kPermitRetrySpread = 0.5;
// An engine below this load has room for a request that would be refused
// otherwise. The rest of its slots is left for what other hosts send before
// their loads are reported.
constexpr double kRoomLoad = 0.85;
// Callers follow Retry-After up to this share of the time they have left.
constexpr double kMaxRetryShare = 1.0 / 3;

}  // namespace

EngineView::Preference WaitPolicy::PreferenceFor(
    const OpenRequest& request, const TargetState* state) const {
  EngineView::Preference preference;
  if (context_.settings.placement != PlacementStyle::kFleet) return preference;
  preference.avoid = request.failed_backend;
  preference.data_centre = context_.settings.data_centre;
  if (request.origin) {
    preference.version = request.origin->version;
  } else {
    preference.begins_stream = request.is_resumable();
  }
  AddTargets(request, state, preference);
  if (request.is_service_call || state == nullptr) return preference;
  // A broken stream resumes at once: its caller leaves after the next pause.
  if (request.has_started) return preference;
  preference.max_load = kMaxEngineLoad;
  preference.service_time = state->unloaded_time;
  // A request that was admitted once is counted already.
  const bool is_counted = request.attempt > 0 || request.is_scheduled_return;
  preference.draw = is_counted ? 0 : request.draw;
  if (request.may_use_room) {
    preference.draw = 0;
    preference.max_load = kRoomLoad;
  }
  return preference;
}

// Without a target latency, or a target for the pauses of a stream, no server
// is better than another as long as it has free slots.
void WaitPolicy::AddTargets(const OpenRequest& request,
                            const TargetState* state,
                            EngineView::Preference& preference) const {
  const RuleOutcome& then = request.rule().then;
  const bool has_targets =
      then.target_latency > Duration::zero() &&
      (request.is_service_call || then.target_gap > Duration::zero());
  if (!has_targets) return;
  preference.targets = CompletionTargets{then.target_latency, then.target_gap};
  preference.prompt_tokens = request.arrival.prompt_tokens;
  preference.is_call = request.is_service_call;
  if (state != nullptr) preference.service_time = state->service_time;
}

TimePoint WaitPolicy::LatestStart(const OpenRequest& request) {
  const Duration max_start_wait = request.rule().then.max_start_wait;
  if (max_start_wait == Duration::zero()) return request.deadline;
  return std::min(request.deadline, request.arrived_at + max_start_wait);
}

// A request that waited longer would be late, in place of a newer one that
// would not.
TimePoint WaitPolicy::LatestPermit(const OpenRequest& request) const {
  const RuleOutcome& then = request.rule().then;
  const Duration total = request.deadline - request.arrived_at;
  if (request.has_started) return context_.now + kMaxResumeWait;
  if (request.is_service_call) {
    return request.arrived_at +
           FromSeconds(ToSeconds(total) * kServiceMaxWaitShare);
  }
  if (then.target_latency == Duration::zero()) return LatestStart(request);
  return request.arrived_at +
         FromSeconds(ToSeconds(then.target_latency) * kTargetLatencyShare);
}

// Refuses at once instead of holding the request until its deadline while the
// limits of all its servers are used up, so that its caller can go elsewhere.
std::optional<Refusal> WaitPolicy::CheckHeld(const OpenRequest& request) const {
  const std::optional<TimePoint> until = context_.view.HeldUntil(
      request.target, PreferenceFor(request, nullptr), context_.now);
  if (!until || *until <= LatestPermit(request)) return std::nullopt;
  const Duration wait = *until - context_.now;
  const double spread = 1 + kPermitRetrySpread * context_.random.Unit();
  std::string detail = absl::StrCat(
      "all servers with ", request.target,
      " have used up their request limits for another ", ToMillis(wait), " ms");
  if (!request.permit_server.empty()) {
    absl::StrAppend(&detail, ": ", limits_.Describe(request.permit_server));
  }
  return NotRun(RefusalReason::kServerLimited, std::move(detail),
                FromSeconds(ToSeconds(wait) * spread));
}

// Callers of streams leave long before their deadline if nothing arrives, and a
// caller that has left is not served at all; one that receives Retry-After may
// be.
std::vector<WaitPolicy::Refused> WaitPolicy::FindUnservable(
    const std::string& target, TargetState& state) const {
  if (!context_.settings.policies.Has(Policy::kEarlyRefusal)) return {};
  const bool is_scheduled = UsesReturnSchedule(state.target);
  const bool is_fresh =
      state.has_answer && context_.now - state.answered_at <= kAnswerTtl;
  const DemandStatus status =
      is_fresh ? state.answer.status : DemandStatus::kUnknown;
  const Duration expected = is_fresh ? state.answer.expected : Duration{0};
  const Deferral deferral = is_fresh ? state.answer.deferral : Deferral::kNone;
  const TimePoint ready_at = state.answered_at + expected;
  const bool has_estimate =
      status == DemandStatus::kLoading || status == DemandStatus::kQueued;
  const std::vector<RequestHandle> unservable =
      Select(state, [&](const OpenRequest& request) {
        const TimePoint latest_start = LatestStart(request);
        const Duration span = latest_start - request.arrived_at;
        const bool is_late = has_estimate && ready_at > latest_start;
        const bool is_overdue = context_.now - request.arrived_at >
                                FromSeconds(ToSeconds(span) * kMaxWaitShare);
        // With a schedule, an estimate counts as long as it is in time.
        const bool may_become_ready =
            !is_late && (status == DemandStatus::kLoading ||
                         (is_scheduled && has_estimate));
        return is_late || (is_overdue && !may_become_ready);
      });
  std::vector<Refused> refused;
  const size_t left = state.queue.size() - unservable.size();
  const std::optional<TimePoint> known_ready_at =
      has_estimate ? std::optional(ready_at) : std::nullopt;
  for (const RequestHandle handle : unservable) {
    const Duration retry_after =
        is_scheduled ? UnservableRetry(*requests_.at(handle), left,
                                       known_ready_at, state)
                     : std::max(expected, kRetrySoon);
    refused.push_back(
        {handle, NotRun(RefusalReason::kCannotMeetDeadline,
                        absl::StrCat(target, " is ", DemandStatusName(status),
                                     ", expected in ", ToMillis(expected),
                                     " ms, put off: ", DeferralName(deferral)),
                        retry_after)});
  }
  return refused;
}

Duration WaitPolicy::UnservableRetry(const OpenRequest& request, size_t waiting,
                                     std::optional<TimePoint> ready_at,
                                     TargetState& state) const {
  const TimePoint begins =
      std::max(context_.now, ready_at.value_or(TimePoint{}));
  const std::optional<Duration> scheduled =
      ScheduleReturn(request, waiting, begins, state);
  if (scheduled) return *scheduled;
  const double spread = 1 + ReturnSchedule::kSpread * context_.random.Unit();
  const Duration wait = std::max<Duration>(begins - context_.now, kRetrySoon);
  return FromSeconds(ToSeconds(wait) * spread);
}

bool WaitPolicy::UsesReturnSchedule(const std::string& target) const {
  if (context_.settings.placement != PlacementStyle::kFleet ||
      !context_.settings.policies.Has(Policy::kReturnSchedule)) {
    return false;
  }
  const auto& teams = context_.ListedTeams()->teams();
  const bool has_open_team = std::any_of(
      teams.begin(), teams.end(),
      [](const auto& item) { return !item.second.quota.is_limited(); });
  return has_open_team || context_.view.TargetNeedsPerformance(target);
}

std::optional<Duration> WaitPolicy::ScheduleReturn(const OpenRequest& request,
                                                   size_t waiting,
                                                   TimePoint begins,
                                                   TargetState& state) const {
  const TimePoint now = context_.now;
  const int slots = context_.view.ReadySlots(request.target);
  // All hosts share the slots.
  const double nominal =
      state.service_time > Duration{0}
          ? slots / ToSeconds(state.service_time) / context_.entry_host_count
          : 0.0;
  const double served = state.returns.ServedRate(now);
  const double rate = state.returns.Rate(nominal, now);
  const size_t pending = state.returns.Pending(now);
  std::optional<Duration> retry_after;
  if (rate > 0) {
    retry_after = state.returns.FindReturn({begins, waiting, rate},
                                           context_.random.Unit(), now) -
                  now;
  }
  // Callers retry once. The host that forwarded a request answers its caller,
  // who does not return here.
  const bool is_followed =
      retry_after && !request.is_scheduled_return &&
      !request.arrival.is_forwarded &&
      *retry_after <=
          FromSeconds(ToSeconds(request.deadline - now) * kMaxRetryShare);
  if (is_followed) {
    state.returns.Add(now + *retry_after, request.arrival.fingerprint, now);
  }
  const char* basis = rate == 0 ? "none" : rate == served ? "served" : "slots";
  context_.metrics.Count(
      absl::StrCat("returns_scheduled_total{rate=\"", basis, "\"}"));
  if (retry_after) context_.metrics.Observe("retry_after", *retry_after);
  if (request.is_scheduled_return) {
    context_.metrics.Count("returns_refused_total");
  }
  LogEvent(LogLevel::kInfo, "return_scheduled")
      .With("request", request.arrival.request_id)
      .With("target", request.target)
      .With("waiting", waiting)
      .With("scheduled", pending)
      .With("served_per_s", served)
      .With("nominal_per_s", nominal)
      .With("begins_ms", ToMillis(begins - now))
      .With("left_ms", ToMillis(request.deadline - now))
      .With("retry_after_ms", retry_after ? ToMillis(*retry_after) : -1)
      .With("followed", is_followed ? "yes" : "no");
  return retry_after;
}

bool WaitPolicy::HasRoom(const OpenRequest& request,
                         const TargetState& state) const {
  EngineView::Preference preference = PreferenceFor(request, &state);
  preference.draw = 0;
  preference.max_load = kRoomLoad;
  preference.counts_limit = true;
  return !context_.view.IsSaturated(request.target, preference, context_.now);
}

// All of the queue: the first of it would hold up those behind it.
void WaitPolicy::SetMayUseRoom(bool may_use_room,
                               const TargetState& state) const {
  for (const auto& [handle, entry] : state.queue.entries()) {
    requests_.at(handle)->may_use_room = may_use_room;
  }
}

// Keeps the queue short enough that each request that leaves it is on time.
// Without this bound lasting overload makes all requests late.
std::vector<WaitPolicy::Refused> WaitPolicy::FindOverflow(
    const std::string& target, TargetState& state) const {
  if (!context_.settings.policies.Has(Policy::kShortQueues)) return {};
  const bool is_scheduled = UsesReturnSchedule(state.target);
  if (is_scheduled) {
    state.returns.RecordBacklog(context_.now);
    SetMayUseRoom(false, state);
  }
  const auto is_full_for = [&](const OpenRequest& request) {
    EngineView::Preference preference = PreferenceFor(request, &state);
    preference.counts_limit = is_scheduled;
    return context_.view.IsSaturated(request.target, preference, context_.now);
  };
  // The first of the queue holds up the others, also those whose draw would
  // let them pass.
  const std::optional<RequestHandle> first =
      state.queue.Best(context_.now, true);
  const bool is_held_up =
      is_scheduled && first && is_full_for(*requests_.at(*first));
  const std::vector<RequestHandle> overflow =
      Select(state, [&](const OpenRequest& request) {
        const Duration latency = request.rule().then.target_latency;
        if (latency == Duration::zero() || request.has_started) return false;
        // Its capacity was reserved; it waits until it cannot start in time.
        if (is_scheduled && request.is_scheduled_return) return false;
        const Duration waited = context_.now - request.arrived_at;
        return waited > FromSeconds(ToSeconds(latency) * kTargetLatencyShare) &&
               (is_held_up || is_full_for(request));
      });
  if (is_scheduled && !overflow.empty() &&
      HasRoom(*requests_.at(overflow.front()), state)) {
    // Those that are still late when the room is used up are refused next time.
    SetMayUseRoom(true, state);
    context_.metrics.Count("refusals_put_off_total");
    return {};
  }
  std::vector<Refused> refused;
  const size_t left = state.queue.size() - overflow.size();
  for (const RequestHandle handle : overflow) {
    std::optional<Duration> scheduled;
    if (is_scheduled) {
      scheduled =
          ScheduleReturn(*requests_.at(handle), left, context_.now, state);
    }
    const Duration retry_after =
        scheduled ? *scheduled
                  : kRetryFull + FromSeconds(ToSeconds(kRetryFullSpread) *
                                             context_.random.Unit());
    refused.push_back(
        {handle, NotRun(RefusalReason::kEnginesFull,
                        absl::StrCat("all engines with ", target, " are full"),
                        retry_after)});
  }
  return refused;
}

}  // namespace applehall

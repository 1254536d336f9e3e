// The part of RequestFlow for requests whose servers this host cannot reach.

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "node/request_flow.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Hosts that a request is forwarded to, one after the other.
constexpr size_t kMaxHelpersTried = 3;
// A request on an older connection that waits this long while no new connection
// can be made has probably been lost on the way.
constexpr Duration kMaxHangTime = milliseconds(250);
// Retry-After while no host reaches the service: a quarter of the time that the
// caller has left, because callers wait no longer than a third of it.
constexpr int kRetryShare = 4;
constexpr Duration kMinRetry = milliseconds(100);
constexpr Duration kMaxRetry = std::chrono::seconds(2);
// A link check takes less. A server that was seen to end longer ago is probed
// once more before its end counts.
constexpr Duration kMaxCheckTime = milliseconds(500);

// Whether another host may serve a request that one refused for this reason:
// the reason lies with that host, not with the servers.
bool IsReasonOfHost(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRuleSet:
    case RefusalReason::kRefusedByRule:
    case RefusalReason::kBadRequest:
    case RefusalReason::kUnauthorized:
    case RefusalReason::kRulesMayBeOld:
    case RefusalReason::kQueueFull:
    case RefusalReason::kTooManyInFlight:
    case RefusalReason::kNoBackend:
    case RefusalReason::kDraining:
      return true;
    default:
      return false;
  }
}

}  // namespace

// Forwards once only, so that hosts which cannot reach the service either do
// not pass the request around.
bool RequestFlow::RouteAround(Request& request) {
  if (!IsFleet() || !reach_.IsUnreachable(request.service)) return false;
  const RequestHandle handle = request.arrival.handle;
  const bool is_forwarded = request.arrival.is_forwarded;
  if (!is_forwarded && request.helpers_tried.size() < kMaxHelpersTried) {
    const std::optional<PeerAddress> helper =
        reach_.ChooseHelper(request.service, request.helpers_tried);
    if (helper) {
      ForwardTo(request, *helper);
      return true;
    }
  }
  // Servers that are only silent for a moment may still take it.
  const bool may_wait = !is_forwarded && !reach_.IsOutage(request.service);
  if (may_wait) return false;
  const Duration time_left = request.deadline - context_.now;
  Refuse(handle, NotRun(RefusalReason::kNoBackend,
                        absl::StrCat("no server of ", request.service,
                                     " can be reached from here"),
                        std::clamp<Duration>(time_left / kRetryShare, kMinRetry,
                                             kMaxRetry)));
  return true;
}

void RequestFlow::ForwardTo(Request& request, const PeerAddress& helper) {
  const RequestHandle handle = request.arrival.handle;
  const auto target = targets_.find(request.queue_name());
  if (target != targets_.end()) target->second.queue.Remove(handle);
  backoffs_.erase({request.resume_at, handle});
  RecordTargetArrival(request);
  request.helpers_tried.insert(helper.host);
  request.was_forwarded = true;
  context_.metrics.Count("forwarded_total");
  LogEvent(LogLevel::kInfo, "request_forwarded")
      .With("request", request.arrival.request_id)
      .With("to", helper.host)
      .With("service", request.service)
      .With("after_ms", ToMillis(context_.now - request.arrived_at))
      .With("earlier_attempts", request.attempt);
  SendAttempt(request, BackendKind::kEntryHost, helper.host, helper.address);
}

void RequestFlow::RouteWaitingAround() {
  if (!IsFleet() || !reach_.IsAnyUnreachable()) return;
  std::vector<RequestHandle> affected;
  for (const auto& [handle, request] : requests_) {
    if (reach_.IsUnreachable(request->service)) affected.push_back(handle);
  }
  std::sort(affected.begin(), affected.end());
  for (const RequestHandle handle : affected) {
    Request* request = Find(handle);
    if (request == nullptr) continue;
    // A broken stream continues only where it began.
    const bool is_pinned =
        request->may_resume && !request->rule().then.resumable;
    const bool is_undecided = request->phase == Phase::kClaiming ||
                              request->phase == Phase::kLocating;
    if (is_pinned || is_undecided) continue;
    if (request->phase != Phase::kSent) {
      RouteAround(*request);
    } else if (MayTakeBack(*request)) {
      TakeBack(*request);
    }
  }
}

bool RequestFlow::MayTakeBack(const Request& request) const {
  const RuleOutcome& then = request.rule().then;
  return request.backend_kind != BackendKind::kEntryHost && then.repeatable &&
         !request.has_started && !request.arrival.is_forwarded &&
         request.retries < then.retries &&
         context_.now - request.sent_at > kMaxHangTime;
}

// Guards against a request that waits until its deadline for a server to which
// the connection was cut.
void RequestFlow::TakeBack(Request& request) {
  if (!reach_.HasHelper(request.service)) return;
  if (!TrySpendRetry(request)) return;
  const std::string backend = request.backend;
  context_.Emit(CancelAttempt{request.arrival.handle, request.attempt});
  context_.view.EndRequest(backend, request.target,
                           EngineView::RequestEnd::kOther, request.sent_at,
                           context_.now);
  limits_.ReleaseSlot(request.arrival.handle);
  request.may_have_run = true;
  ++request.retries;
  context_.metrics.Count("retries_total");
  RouteAround(request);
}

void RequestFlow::HandleHelperEnd(Request& request, const AttemptEnded& event) {
  const RequestHandle handle = request.arrival.handle;
  const std::string helper = request.backend;
  if (event.result == AttemptResult::kBroken) {
    if (event.refusal) {
      Refuse(handle, *event.refusal);
      return;
    }
    reach_.RecordHelperFailure(helper, request.service);
    Retry(request, event.result);
    return;
  }
  const bool is_of_host =
      !event.refusal || IsReasonOfHost(event.refusal->reason);
  if (!is_of_host) {
    Refuse(handle, *event.refusal);
    return;
  }
  reach_.RecordHelperFailure(helper, request.service);
  request.phase = Phase::kWaiting;
  if (RouteAround(request)) return;
  if (request.helpers_tried.size() >= kMaxHelpersTried) {
    Refuse(handle, NotRun(RefusalReason::kNoBackend,
                          absl::StrCat("no server of ", request.service,
                                       " can be reached from here, and ",
                                       request.helpers_tried.size(),
                                       " other hosts did not serve it"),
                          kRetrySoon));
    return;
  }
  Backoff(request);
}

// ---- Ends of servers ----

void RequestFlow::HandleProbe(const ServerProbed& probed) {
  if (probed.is_link_check) {
    reach_.HandleLinkCheck(probed);
    CountConfirmedEnds();
    return;
  }
  for (const CutRequest& whole : ends_.FindWhole(probed)) {
    quarantine_.RecordCompleted(whole.fingerprint);
    quarantine_.RecordAnswer(whole.parts);
  }
  std::vector<CutRequest> cuts = ends_.HandleProbe(probed);
  if (cuts.empty()) return;
  const bool is_in_doubt =
      IsFleet() && !reach_.HasWorkingLinks(probed.server, context_.now);
  if (is_in_doubt) reach_.CheckLinksBeside(probed.server);
  if (unconfirmed_ends_.Add({probed.server, std::move(cuts), context_.now})) {
    context_.metrics.Count("server_ends_dropped_total");
    LogEvent(LogLevel::kWarning, "server_end_dropped")
        .With("reason", "too many ends wait for working links");
  }
  CountConfirmedEnds();
}

void RequestFlow::CountConfirmedEnds() {
  if (unconfirmed_ends_.empty()) return;
  const std::vector<UnconfirmedEnds::End> settled =
      unconfirmed_ends_.Take([this](const UnconfirmedEnds::End& end) {
        return !IsFleet() || reach_.HasWorkingLinks(end.server, end.seen_at);
      });
  for (const UnconfirmedEnds::End& end : settled) {
    const EngineDigest* server = context_.view.Find(end.server);
    const bool is_old = context_.now - end.seen_at > kMaxCheckTime;
    if (!is_old || server == nullptr) {
      quarantine_.RecordEnd(end.server, end.cuts);
      continue;
    }
    // The links have healed since: the server may have been there all the time.
    context_.metrics.Count("server_ends_probed_again_total");
    LogEvent(LogLevel::kInfo, "server_end_probed_again")
        .With("server", end.server)
        .With("requests", end.cuts.size())
        .With("after_ms", ToMillis(context_.now - end.seen_at));
    bool is_due = false;
    for (const CutRequest& cut : end.cuts) {
      is_due = ends_.RecordCut(end.server, cut, context_.now) || is_due;
    }
    if (is_due) {
      context_.Emit(ProbeServer{end.server, std::string(server->address)});
    }
  }
  if (!settled.empty()) RefuseQuarantined();
}

}  // namespace applehall

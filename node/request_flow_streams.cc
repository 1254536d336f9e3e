// The part of RequestFlow for streams that go on after they broke.

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/event_log.h"
#include "node/request_flow.h"

namespace applehall {
namespace {

const char* SourceName(StreamManager::Source source) {
  switch (source) {
    case StreamManager::Source::kRecord:
      return "record";
    case StreamManager::Source::kOnlyVersion:
      return "only_version";
    case StreamManager::Source::kOtherHost:
      return "other_host";
    case StreamManager::Source::kForwarder:
      return "forwarder";
  }
  return "record";
}

}  // namespace

bool RequestFlow::LocateStream(Request& request) {
  const bool is_located = request.origin || !request.arrival.is_resumption;
  if (!IsFleet() || !request.is_resumable() || is_located) return true;
  const RequestHandle handle = request.arrival.handle;
  if (request.arrival.origin) {
    return ContinueAt(request,
                      {handle, request.arrival.origin,
                       StreamManager::Source::kForwarder, Duration{0}});
  }
  const std::optional<StreamManager::Finding> finding =
      streams_.Find(handle, request.stream_key(), request.service);
  if (finding) return ContinueAt(request, *finding);
  request.phase = Phase::kLocating;
  // The question may have been answered at once.
  RunResumptions();
  return false;
}

void RequestFlow::RunResumptions() {
  for (const StreamManager::Finding& finding : streams_.TakeFindings()) {
    Request* request = Find(finding.handle);
    if (request == nullptr || request->phase != Phase::kLocating) continue;
    request->phase = Phase::kWaiting;
    if (ContinueAt(*request, finding)) Enqueue(*request);
  }
}

bool RequestFlow::ContinueAt(Request& request,
                             const StreamManager::Finding& finding) {
  const RequestHandle handle = request.arrival.handle;
  context_.metrics.Count(absl::StrCat(
      "streams_located_total{source=\"",
      finding.origin ? SourceName(finding.source) : "none", "\"}"));
  LogEvent(LogLevel::kInfo,
           finding.origin ? "stream_located" : "stream_unknown")
      .With("request", request.arrival.request_id)
      .With("resumes", request.arrival.resumes)
      .With("service", finding.origin ? finding.origin->service : "")
      .With("version", finding.origin ? finding.origin->version : "")
      .With("source", finding.origin ? SourceName(finding.source) : "none")
      .With("listing_age_ms",
            ToMillis(std::min(streams_.ListingAge(), kMaxStreamAge)))
      .With("took_ms", ToMillis(finding.took))
      .With("asked", finding.asked)
      .With("without_record", finding.without_record)
      .With("versions_known_for_ms",
            ToMillis(streams_.versions().KnownFor(context_.now)));
  if (!finding.origin) {
    const std::string detail = absl::StrCat(
        "no record was found of the software version that began the stream ",
        request.arrival.resumes);
    const Duration retry_after =
        streams_.IsRestoring() ? kRetrySoon : Duration{0};
    Refuse(handle, NotRun(RefusalReason::kStreamUnknown, detail, retry_after));
    return false;
  }
  if (!decider_.SetService(request, finding.origin->service)) {
    Refuse(handle, NotRun(RefusalReason::kVersionGone,
                          absl::StrCat("the stream began at service ",
                                       finding.origin->service,
                                       ", which the rule does not name")));
    return false;
  }
  request.origin = finding.origin;
  return true;
}

bool RequestFlow::RefuseStranded(Request& request) {
  if (!request.origin || !fleet_.is_known()) return false;
  const StreamOrigin& origin = *request.origin;
  const bool is_ready =
      context_.view.ReadyReplicas(request.target, origin.version) > 0;
  if (is_ready) return false;
  // A model may be loaded at a server of this version.
  const bool may_become_ready =
      !request.is_service_call && fleet_.OffersVersion(origin);
  if (may_become_ready) return false;
  Refuse(request.arrival.handle,
         NotRun(RefusalReason::kVersionGone,
                absl::StrCat("no server of ", origin.service, " with version ",
                             origin.version, " is left")));
  return true;
}

void RequestFlow::RefuseAllStranded() {
  has_versioned_queues_ = false;
  std::vector<RequestHandle> waiting;
  for (const auto& [name, state] : targets_) {
    if (!state.version || state.queue.empty()) continue;
    has_versioned_queues_ = true;
    for (const auto& [handle, entry] : state.queue.entries()) {
      waiting.push_back(handle);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const RequestHandle handle : waiting) {
    if (Request* request = Find(handle)) RefuseStranded(*request);
  }
}

void RequestFlow::RecordStreamBegun(Request& request,
                                    const AttemptStarted& event) {
  const bool was_local = request.backend_kind != BackendKind::kEntryHost;
  StreamOrigin origin{request.service, VersionOf(request.backend)};
  // A host of an earlier version does not name it; nothing matches this one.
  if (!was_local) origin = event.origin.value_or(StreamOrigin{});
  request.versions.push_back(origin.version);
  if (!IsFleet() || !request.is_resumable()) return;
  if (!request.origin) request.origin = origin;
  streams_.RecordBegun(request.stream_key(), *request.origin);
}

void RequestFlow::RecordResumption(Request& request) {
  if (request.backend_kind == BackendKind::kEntryHost) return;
  const std::string version = VersionOf(request.backend);
  const bool is_same =
      !request.versions.empty() && request.versions.back() == version;
  context_.metrics.Count(
      absl::StrCat("streams_resumed_total{by=\"host\",version=\"",
                   is_same ? "same" : "other", "\"}"));
  if (!is_same) request.versions.push_back(version);
}

}  // namespace applehall

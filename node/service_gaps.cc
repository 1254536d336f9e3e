#include "node/service_gaps.h"

#include <absl/strings/str_cat.h>

#include "core/event_log.h"

namespace applehall {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

bool IsOwed(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kTooManyInFlight:
    case RefusalReason::kCannotMeetDeadline:
    case RefusalReason::kDeadlinePassed:
    case RefusalReason::kNoBackend:
    case RefusalReason::kLoadFailed:
    case RefusalReason::kLogUnavailable:
    case RefusalReason::kBackendFailed:
    case RefusalReason::kRetryBudgetSpent:
    case RefusalReason::kEnginesFull:
    case RefusalReason::kServerLimited:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::string ServiceGaps::NameOf(const OpenRequest& request, Kind kind) {
  switch (kind) {
    case kTarget:
      return request.target;
    case kRule:
      return request.rule().name;
    case kTeam:
      return request.team.value_or("");
    case kSession:
      if (request.arrival.prefix_hash == 0) return "";
      return absl::StrCat(request.rule().name, "/",
                          absl::Hex(request.arrival.prefix_hash));
    case kKinds:
      break;
  }
  return "";
}

const char* ServiceGaps::KindName(Kind kind) {
  switch (kind) {
    case kTarget:
      return "target";
    case kRule:
      return "rule";
    case kTeam:
      return "team";
    case kSession:
      return "session";
    case kKinds:
      break;
  }
  return "";
}

void ServiceGaps::RecordServed(const OpenRequest& request) {
  for (uint8_t i = 0; i < kKinds; ++i) {
    const auto kind = static_cast<Kind>(i);
    const UnservedDemand::Wait* wait =
        demands_[kind].RecordServed(NameOf(request, kind), context_.now);
    if (wait == nullptr || wait->asked_for() < kUnservedBound) continue;
    LogEvent(LogLevel::kInfo, "served_again")
        .With("kind", KindName(kind))
        .With("name", wait->name)
        .With("requests", wait->requests)
        .With("unserved_ms", ToMillis(context_.now - wait->since));
  }
}

void ServiceGaps::RecordRefused(const OpenRequest& request,
                                RefusalReason reason) {
  if (IsOwed(reason)) RecordUnserved(request);
}

void ServiceGaps::RecordAbandoned(const OpenRequest& request) {
  if (!request.has_started) RecordUnserved(request);
}

void ServiceGaps::RecordUnserved(const OpenRequest& request) {
  for (uint8_t i = 0; i < kKinds; ++i) {
    const auto kind = static_cast<Kind>(i);
    const std::string name = NameOf(request, kind);
    if (name.empty()) continue;
    demands_[kind].RecordRequests(name, 1, request.rule().then.worth,
                                  context_.now);
  }
}

void ServiceGaps::RunTick() {
  if (context_.now - ticked_at_ < kInterval) return;
  ticked_at_ = context_.now;
  for (uint8_t i = 0; i < kKinds; ++i) {
    const auto kind = static_cast<Kind>(i);
    UnservedDemand& demand = demands_[kind];
    demand.Expire(context_.now);
    context_.metrics.Set(
        absl::StrCat("longest_unserved_seconds{kind=\"", KindName(kind), "\"}"),
        ToSeconds(demand.Longest()));
    for (const UnservedDemand::Wait& wait :
         demand.TakeOverdue(kUnservedBound, context_.now)) {
      LogEvent(LogLevel::kInfo, "unserved")
          .With("kind", KindName(kind))
          .With("name", wait.name)
          .With("requests", wait.requests)
          .With("asked_for_ms", ToMillis(wait.asked_for()));
    }
  }
}

Json ServiceGaps::ToJson() const {
  Json json = Json::object();
  for (uint8_t i = 0; i < kKinds; ++i) {
    const auto kind = static_cast<Kind>(i);
    json[KindName(kind)] = ToSeconds(demands_[kind].Longest());
  }
  return json;
}

}  // namespace applehall

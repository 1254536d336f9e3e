#include "node/early_requests.h"

#include <algorithm>
#include <utility>

#include "core/event_log.h"

namespace applehall {
namespace {

// By this time after its start a host has read rules and servers, or the store
// is unavailable.
constexpr Duration kMaxHold = std::chrono::milliseconds(800);
// Requests are held with their bodies, in a process of about 100 MB.
constexpr size_t kMaxHeld = 256;

}  // namespace

bool EarlyRequests::MayHold() const {
  return !context_.log_failed && context_.now - context_.started_at < kMaxHold;
}

bool EarlyRequests::TryHold(const RequestArrived& arrival) {
  if (!MayHold() || held_.size() >= kMaxHeld) return false;
  held_.push_back({arrival, context_.now});
  context_.metrics.Count("requests_held_early_total");
  return true;
}

bool EarlyRequests::CancelHeld(RequestHandle handle) {
  const auto it = std::find_if(
      held_.begin(), held_.end(),
      [handle](const Held& held) { return held.arrival.handle == handle; });
  if (it == held_.end()) return false;
  LogEvent(LogLevel::kInfo, "request_end")
      .With("request", it->arrival.request_id)
      .With("action", "caller_left")
      .With("verdict", VerdictName(Verdict::kNotRun))
      .With("reason", "the caller closed before this host had read its rules");
  held_.erase(it);
  return true;
}

std::vector<EarlyRequests::Held> EarlyRequests::TakeOverdue() {
  if (!MayHold()) return TakeAll();
  std::vector<Held> overdue;
  std::erase_if(held_, [&](Held& held) {
    const bool is_overdue =
        held.arrival.deadline &&
        context_.now - held.arrived_at >= *held.arrival.deadline;
    if (is_overdue) overdue.push_back(std::move(held));
    return is_overdue;
  });
  return overdue;
}

std::vector<EarlyRequests::Held> EarlyRequests::TakeAll() {
  return std::exchange(held_, {});
}

}  // namespace applehall

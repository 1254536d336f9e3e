#include "node/early_requests.h"

#include <algorithm>
#include <utility>

#include "core/event_log.h"

namespace applehall {
namespace {

// After its start a host has read rules and servers by then, or the store is
// not there.
constexpr Duration kLearning = std::chrono::milliseconds(800);
// Bodies are held with them, in a process of some 100 MB.
constexpr size_t kMostHeld = 256;

}  // namespace

bool EarlyRequests::MayStillLearn() const {
  return !context_.log_failed && context_.now - context_.started_at < kLearning;
}

bool EarlyRequests::TryHold(const RequestArrived& arrival) {
  if (!MayStillLearn() || held_.size() >= kMostHeld) return false;
  held_.push_back({arrival, context_.now});
  context_.metrics.Count("requests_held_early_total");
  return true;
}

bool EarlyRequests::Drop(RequestHandle handle) {
  const auto it = std::find_if(
      held_.begin(), held_.end(),
      [handle](const Held& held) { return held.arrival.handle == handle; });
  if (it == held_.end()) return false;
  LogEvent(LogLevel::kInfo, "request_end")
      .With("request", it->arrival.request_id)
      .With("action", "caller_left")
      .With("verdict", VerdictName(Verdict::kNotRun))
      .With("reason", "the caller closed before this host knew its rules");
  held_.erase(it);
  return true;
}

std::vector<EarlyRequests::Held> EarlyRequests::TakeOverdue() {
  if (!MayStillLearn()) return TakeAll();
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

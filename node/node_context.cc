#include "node/node_context.h"

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

// A single failed call is no outage, as listings expire only after seconds.
constexpr Duration kMinOutage = std::chrono::seconds(1);

}  // namespace

void NodeContext::RecordLogResponse(TimePoint when) {
  const Duration gap = when - log_answered_at;
  if (log_failed && gap >= kMinOutage) {
    log_recovered_at = now;
    LogEvent(LogLevel::kInfo, "store_back").With("silent_ms", ToMillis(gap));
  }
  log_failed = false;
  store_outage.RecordAnswer();
  log_answered_at = std::max(log_answered_at, when);
}

}  // namespace applehall

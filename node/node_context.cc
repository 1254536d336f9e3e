#include "node/node_context.h"

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

// A single call that fails is no outage: listings lapse after seconds only.
constexpr Duration kOutage = std::chrono::seconds(1);

}  // namespace

void NodeContext::RecordLogResponse(TimePoint when) {
  const Duration silent = when - log_answered_at;
  if (log_failed && silent >= kOutage) {
    log_recovered_at = now;
    LogEvent(LogLevel::kInfo, "store_back").With("silent_ms", ToMillis(silent));
  }
  log_failed = false;
  log_answered_at = std::max(log_answered_at, when);
}

}  // namespace applehall

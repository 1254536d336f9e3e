#include "routing/completion_estimate.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

using std::chrono::milliseconds;

// A typical engine reads about 20 prompt tokens per ms.
constexpr double kTypicalTokensPerSecond = 20000;
// Mean prompt of the requests that share an engine, until it is measured.
constexpr double kTypicalPromptTokens = 1200;
// Typical time between two events of a stream that is alone on its engine.
constexpr Duration kTypicalEventInterval = milliseconds(40);
// Time that a stream occupies a slot: about 170 tokens at 10 ms each.
constexpr Duration kDefaultStreamTime = std::chrono::seconds(2);
// Connection, headers and the way to the engine and back.
constexpr Duration kOverhead = milliseconds(10);
// Prompts arrive in bursts, so an engine is not expected to run above this
// share of its time without a growing queue.
constexpr double kMaxUtilization = 0.9;
// The longest of the gaps of a stream exceeds the expected one, by this factor
// where engines share their machines with other work.
constexpr double kLongestGapFactor = 2.0;
// Costs below this are equal: the estimate is then three times within the
// targets, more than its error.
constexpr double kWideMargin = 0.3;
// Upper bound of a cost, so that weights stay comparable.
constexpr double kMaxCost = 20;

double Factor(const ServerCondition& server) {
  constexpr double kMinSpeed = 0.05;
  return std::max(1.0, server.slowdown) / std::max(kMinSpeed, server.speed);
}

double Ratio(Duration estimate, Duration target) {
  if (target <= Duration::zero()) return 0;
  return ToSeconds(estimate) / ToSeconds(target);
}

}  // namespace

double PromptTokensPerSecond(const ServerCondition& server) {
  return kTypicalTokensPerSecond / Factor(server);
}

CompletionEstimate EstimateStream(const ServerCondition& server,
                                  double prompt_tokens) {
  const double factor = Factor(server);
  const double tokens_per_second = PromptTokensPerSecond(server);
  const double utilization = std::min(
      kMaxUtilization, server.prompt_tokens_per_second / tokens_per_second);
  // Mean time that one more prompt waits behind others (M/M/1).
  const double other_prompt = kTypicalPromptTokens / tokens_per_second;
  const double waiting = utilization / (1 - utilization) * other_prompt;
  const double reading =
      (std::max(0.0, prompt_tokens) + server.unread_tokens) / tokens_per_second;
  const double interval = ToSeconds(kTypicalEventInterval) * factor;
  // Requests beyond the slots wait until others end.
  const double overfill = std::max(0, server.busy + 1 - server.slots) /
                          static_cast<double>(std::max(1, server.slots));
  const double queued = overfill * ToSeconds(kDefaultStreamTime) * factor;
  CompletionEstimate estimate;
  estimate.first_event =
      kOverhead + FromSeconds(waiting + reading + interval + queued);
  // A stream is interrupted by each prompt that is read meanwhile; prompts that
  // arrive together interrupt it for longer.
  const double interruption =
      (std::min(1.0, 4 * utilization) + utilization / (1 - utilization)) *
      other_prompt;
  estimate.longest_gap =
      FromSeconds(kLongestGapFactor * (interval + interruption));
  return estimate;
}

CompletionEstimate EstimateCall(const ServerCondition& server,
                                Duration service_time) {
  const int slots = std::max(1, server.slots);
  const int ahead = std::max(0, server.busy + 1 - slots);
  const double rounds = 1.0 + static_cast<double>(ahead) / slots;
  CompletionEstimate estimate;
  estimate.first_event =
      FromSeconds(ToSeconds(service_time) * Factor(server) * rounds);
  return estimate;
}

double CompletionCost(const CompletionEstimate& estimate,
                      const CompletionTargets& targets) {
  const double first = Ratio(estimate.first_event, targets.first_event);
  const double gap = Ratio(estimate.longest_gap, targets.event_gap);
  return std::clamp(std::hypot(first, gap), kWideMargin, kMaxCost);
}

}  // namespace applehall

#ifndef APPLEHALL_ROUTING_COMPLETION_ESTIMATE_H_
#define APPLEHALL_ROUTING_COMPLETION_ESTIMATE_H_

#include "core/clock.h"

namespace applehall {

// What the caller of a request expects of its answer. Zero: not required.
struct CompletionTargets {
  Duration first_event{0};  // For a call to a plain service, the whole answer.
  Duration event_gap{0};    // Between two events of a stream.

  bool operator==(const CompletionTargets&) const = default;
};

// What determines how fast a server would complete one more request.
struct ServerCondition {
  double speed = 1.0;     // Relative to a typical server of its service.
  double slowdown = 1.0;  // Of this moment, as the server reports it.
  int slots = 1;
  int busy = 0;  // Requests that run or wait there.
  // Engines of streams only: prompt tokens that arrive per second, and those
  // that this host has sent and the engine has not read yet.
  double prompt_tokens_per_second = 0;
  double unread_tokens = 0;
};

// Predicted times of one more request at a server.
struct CompletionEstimate {
  Duration first_event{0};
  Duration longest_gap{0};
};

// Returns the estimate for a stream with a prompt of `prompt_tokens`. An engine
// reads prompts between the tokens of its running streams, so prompts delay the
// first event of later requests and interrupt the streams under way. Requires:
// nothing. Thread-safe.
CompletionEstimate EstimateStream(const ServerCondition& server,
                                  double prompt_tokens);

// Returns the estimate for a call that a typical idle server answers within
// `service_time`. Requires: nothing. Thread-safe.
CompletionEstimate EstimateCall(const ServerCondition& server,
                                Duration service_time);

// Returns how close the estimate comes to missing the targets: 1 if one of them
// is just met. Servers that meet them with a wide margin have the same cost.
// Requires: nothing. Thread-safe.
double CompletionCost(const CompletionEstimate& estimate,
                      const CompletionTargets& targets);

// Returns the prompt tokens that a server of this state reads per second.
// Requires: nothing. Thread-safe.
double PromptTokensPerSecond(const ServerCondition& server);

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_COMPLETION_ESTIMATE_H_

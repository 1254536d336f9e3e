#ifndef APPLEHALL_NODE_REQUEST_LOG_H_
#define APPLEHALL_NODE_REQUEST_LOG_H_

#include <string>

#include "node/node_context.h"
#include "node/open_request.h"

namespace applehall {

// Records the outcomes of this host's requests: a log line for each outcome and
// each failed attempt, the decisions kept for operators, counters and
// durations.
class RequestLog {
 public:
  explicit RequestLog(NodeContext& context) : context_(context) {}

  // Records an attempt without a complete answer. Not thread-safe.
  void LogFailedAttempt(const OpenRequest& request,
                        const AttemptEnded& event) const;
  // Records the outcome of a request. Not thread-safe.
  void LogOutcome(const OpenRequest& request, const std::string& action,
                  Verdict verdict, const std::string& reason);
  // Records a request that was refused on arrival. `rule` is empty if no rule
  // was evaluated. Not thread-safe.
  void LogRefusal(const RequestArrived& event, const std::string& rule,
                  const Refusal& refusal);

 private:
  NodeContext& context_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_LOG_H_

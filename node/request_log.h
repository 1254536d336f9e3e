#ifndef APPLEHALL_NODE_REQUEST_LOG_H_
#define APPLEHALL_NODE_REQUEST_LOG_H_

#include <string>

#include "node/node_context.h"
#include "node/open_request.h"

namespace applehall {

// What this host tells of its requests: a log line for each outcome and each
// failed attempt, the decisions kept for operators, counters and durations.
class RequestLog {
 public:
  explicit RequestLog(NodeContext& context) : context_(context) {}

  // An attempt brought no whole answer. Not thread-safe.
  void AttemptFailed(const OpenRequest& request,
                     const AttemptEnded& event) const;
  // The one outcome of a request. Not thread-safe.
  void Settled(const OpenRequest& request, const std::string& action,
               Verdict verdict, const std::string& reason);
  // The same, of one that was refused before it was taken in. `rule` is empty
  // if none was looked for. Not thread-safe.
  void RefusedOnArrival(const RequestArrived& event, const std::string& rule,
                        const Refusal& refusal);

 private:
  NodeContext& context_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_LOG_H_

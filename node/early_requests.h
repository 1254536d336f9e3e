#ifndef APPLEHALL_NODE_EARLY_REQUESTS_H_
#define APPLEHALL_NODE_EARLY_REQUESTS_H_

#include <vector>

#include "node/node_context.h"

namespace applehall {

// Holds requests that arrive right after a host's start, before it has read
// rules and servers.
//
// When many hosts restart at once, their callers return before the platform can
// tell new processes from ready ones. A refusal makes them retry after a second
// and costs most of them their only retry, while rules and servers are read
// within about 0.3 s. Requests are held only while the host can expect to read
// them: a host that starts without the store refuses at once.
class EarlyRequests {
 public:
  struct Held {
    RequestArrived arrival;
    TimePoint arrived_at;
  };

  explicit EarlyRequests(NodeContext& context) : context_(context) {}

  // Returns false if the request must be decided now. Not thread-safe.
  bool TryHold(const RequestArrived& arrival);
  // Removes a request whose caller has left; returns true if it was held. Not
  // thread-safe.
  bool CancelHeld(RequestHandle handle);
  // Removes and returns the requests that cannot be held any longer. Not
  // thread-safe.
  std::vector<Held> TakeOverdue();
  // Removes and returns all requests in the order of arrival. Not thread-safe.
  std::vector<Held> TakeAll();
  size_t size() const { return held_.size(); }

 private:
  bool MayHold() const;

  NodeContext& context_;
  std::vector<Held> held_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_EARLY_REQUESTS_H_

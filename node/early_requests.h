#ifndef APPLEHALL_NODE_EARLY_REQUESTS_H_
#define APPLEHALL_NODE_EARLY_REQUESTS_H_

#include <vector>

#include "node/node_context.h"

namespace applehall {

// Holds the requests that reach a host in its first moments, before it has read
// rules and servers.
//
// When many hosts are lost at once their callers come back before the platform
// can tell new processes from ready ones. A refusal tells them to return after
// a second, and costs most of them their one retry; rules and servers are read
// within some 0.3 s of a start. Held only as long as the host can expect to
// learn them: a host that starts without the store refuses at once.
class EarlyRequests {
 public:
  struct Held {
    RequestArrived arrival;
    TimePoint arrived_at;
  };

  explicit EarlyRequests(NodeContext& context) : context_(context) {}

  // False if the request must be decided now, with what is known. Not
  // thread-safe.
  bool TryHold(const RequestArrived& arrival);
  // True if it was held; its caller left. Not thread-safe.
  bool Drop(RequestHandle handle);
  // Those that cannot be held any longer. Not thread-safe.
  std::vector<Held> TakeOverdue();
  // All, in the order of their arrival. Not thread-safe.
  std::vector<Held> TakeAll();
  size_t size() const { return held_.size(); }

 private:
  bool MayStillLearn() const;

  NodeContext& context_;
  std::vector<Held> held_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_EARLY_REQUESTS_H_

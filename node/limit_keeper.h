#ifndef APPLEHALL_NODE_LIMIT_KEEPER_H_
#define APPLEHALL_NODE_LIMIT_KEEPER_H_

#include <map>
#include <string>

#include "admission/server_limit.h"
#include "node/node_context.h"

namespace applehall {

// What this host's answers say of the limits of backend servers.
class LimitKeeper {
 public:
  explicit LimitKeeper(NodeContext& context) : context_(context) {}

  // An answer of `server` to an attempt that was sent at `sent_at`. Not
  // thread-safe.
  void TakeWord(const std::string& server, const ServerLimitWord& word,
                TimePoint sent_at);

 private:
  NodeContext& context_;
  std::map<std::string, double> named_;  // A second, as the last answer said.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LIMIT_KEEPER_H_

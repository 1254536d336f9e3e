#ifndef APPLEHALL_NODE_LOG_WRITER_H_
#define APPLEHALL_NODE_LOG_WRITER_H_

#include <map>
#include <string>

#include "node/node_context.h"

namespace applehall {

// Appends to the control stream and tracks pending appends by key, so that a
// record is not written again while its answer is pending. A duplicate is
// harmless: the fold rejects it by its token.
class LogWriter {
 public:
  explicit LogWriter(NodeContext& context) : context_(context) {}

  // Appends `body` unless an append for `key` is pending. Not thread-safe.
  void Append(const std::string& key, Json body);
  // Ends a pending append, whether it succeeded or not. Not thread-safe.
  void HandleAppendEnd(const std::string& record_id);
  // Returns a unique id for a record of this process. Not thread-safe.
  std::string NextId();

 private:
  struct PendingAppend {
    std::string record_id;
    TimePoint sent_at;
  };

  NodeContext& context_;
  std::map<std::string, PendingAppend> pending_;  // By key.
  uint64_t count_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LOG_WRITER_H_

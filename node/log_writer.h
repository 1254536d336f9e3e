#ifndef APPLEHALL_NODE_LOG_WRITER_H_
#define APPLEHALL_NODE_LOG_WRITER_H_

#include <map>
#include <string>

#include "node/node_context.h"

namespace applehall {

// Appends to the control stream and remembers what is under way, so that one
// matter is not written twice while its answer is awaited. A record that
// arrives twice all the same is harmless: the fold judges it by its token.
class LogWriter {
 public:
  explicit LogWriter(NodeContext& context) : context_(context) {}

  // Appends `body` unless a record about `matter` is under way. Not
  // thread-safe.
  void Append(const std::string& matter, Json body);
  // An append ended, one way or another. Not thread-safe.
  void HandleAppendEnd(const std::string& record_id);
  // A new id for a record of this node. Not thread-safe.
  std::string NextId();

 private:
  struct UnderWay {
    std::string record_id;
    TimePoint sent_at;
  };

  NodeContext& context_;
  std::map<std::string, UnderWay> under_way_;  // By matter.
  uint64_t count_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LOG_WRITER_H_

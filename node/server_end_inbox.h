#ifndef APPLEHALL_NODE_SERVER_END_INBOX_H_
#define APPLEHALL_NODE_SERVER_END_INBOX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/server_end_row.h"

namespace applehall {

// Which rows of each host the owner has; each counts once, however often it
// comes.
class ServerEndInbox {
 public:
  // The rows of a report that are new here; nothing if it is malformed. Not
  // thread-safe.
  std::optional<std::vector<ServerEndRow>> Take(const std::string& host,
                                                const Json& report,
                                                TimePoint now);
  // The acknowledgement that `host` is owed; null if none. Not thread-safe.
  Json TakeAck(const std::string& host);

 private:
  struct Heard {
    uint64_t life = 0;
    uint64_t number = 0;
    bool is_ack_owed = false;
    TimePoint at;
  };

  std::map<std::string, Heard> heard_;  // By host.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_INBOX_H_

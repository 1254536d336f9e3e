#ifndef APPLEHALL_NODE_SERVER_END_INBOX_H_
#define APPLEHALL_NODE_SERVER_END_INBOX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/server_end_row.h"

namespace applehall {

// Deduplicates the server end rows that hosts report to the owner, so that a
// row that is sent again counts once.
class ServerEndInbox {
 public:
  // Returns the rows of a report that were not received before; nothing if the
  // report is malformed. Not thread-safe.
  std::optional<std::vector<ServerEndRow>> HandleReport(const std::string& host,
                                                        const Json& report,
                                                        TimePoint now);
  // Returns the acknowledgement that is due to `host` and marks it as sent;
  // null if none is due. Not thread-safe.
  Json TakeOwedAck(const std::string& host);

 private:
  struct Received {
    uint64_t incarnation = 0;
    uint64_t number = 0;
    bool is_ack_owed = false;
    TimePoint at;
  };

  std::map<std::string, Received> received_;  // By host.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_INBOX_H_

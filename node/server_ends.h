#ifndef APPLEHALL_NODE_SERVER_ENDS_H_
#define APPLEHALL_NODE_SERVER_ENDS_H_

#include <map>
#include <string>
#include <vector>

#include "node/messages.h"

namespace applehall {

// A request whose answer a backend server broke off by closing the connection.
struct CutRequest {
  uint64_t fingerprint = 0;
  // For how long its answer had been under way.
  Duration answered_for{0};
};

// Tells servers that ended from servers that only closed a connection.
//
// A server that ends closes all its connections and listens no more; one that
// gives up a single request goes on listening. Its address is asked once for
// all requests that were cut in that moment; the answer takes one round trip,
// where the listing shows a server that ended after some seconds.
class ServerEnds {
 public:
  // True if the server's address must be probed now. Not thread-safe.
  bool NoteCut(const std::string& server, const CutRequest& cut, TimePoint now);
  // The requests under which `probed.server` ended; none if it goes on or does
  // not tell. Not thread-safe.
  std::vector<CutRequest> TakeProbe(const ServerProbed& probed);

 private:
  struct Probe {
    TimePoint asked_at;
    std::vector<CutRequest> cuts;
  };

  std::map<std::string, Probe> open_;  // By server.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_ENDS_H_

#ifndef APPLEHALL_NODE_SERVER_ENDS_H_
#define APPLEHALL_NODE_SERVER_ENDS_H_

#include <map>
#include <string>
#include <vector>

#include "node/messages.h"
#include "routing/prompt_part_ledger.h"

namespace applehall {

// A request whose connection a backend server closed before the answer's end.
struct CutRequest {
  uint64_t fingerprint = 0;
  // For how long its answer had been under way.
  Duration answered_for{0};
  // As in RequestArrived.
  std::vector<std::string> prompt_parts{};
  uint64_t prompt_hash = 0;
  std::vector<PartKeys> parts{};  // Of `prompt_parts`, in the same order.
  // An earlier attempt or this one has answered in part.
  bool has_started = false;
  // The end of the connection also ended the answer. The request was cut only
  // if its server has ended.
  bool may_be_whole = false;
};

// Distinguishes servers that ended from servers that only closed a connection.
//
// A server that ends closes all its connections and its listening socket; one
// that aborts a single request keeps listening. One probe of the address covers
// all requests that were cut at the same time. It takes one round trip, while
// the server list shows the end only after some seconds.
class ServerEnds {
 public:
  // Records a cut request. Returns true if the caller must probe the server's
  // address now. Not thread-safe.
  bool RecordCut(const std::string& server, const CutRequest& cut,
                 TimePoint now);
  // Returns the requests that were under way when `probed.server` ended; none
  // if it still listens or its state is unknown. Not thread-safe.
  std::vector<CutRequest> HandleProbe(const ServerProbed& probed);
  // Returns the requests with a whole answer, if the server still listens.
  // Requires: called before HandleProbe(). Not thread-safe.
  std::vector<CutRequest> FindWhole(const ServerProbed& probed) const;

 private:
  struct Probe {
    TimePoint sent_at;
    std::vector<CutRequest> cuts;
  };

  std::map<std::string, Probe> probes_;  // By server.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_ENDS_H_

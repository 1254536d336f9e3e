#ifndef APPLEHALL_ADMISSION_PERMIT_GATE_H_
#define APPLEHALL_ADMISSION_PERMIT_GATE_H_

#include <deque>
#include <map>
#include <string>

#include "core/clock.h"

namespace applehall {

// Decides what one host may send to limited servers without asking the ledger:
// unused permits of earlier requests and, while no owner is reachable, the
// host's own part of the limit.
class PermitGate {
 public:
  // Not thread-safe, as all below.
  void AddSpare(const std::string& server, TimePoint use_until);
  bool TakeSpare(const std::string& server, TimePoint now);
  // Returns whether an isolated host sends a request to a server that accepts
  // `per_second` requests from `hosts` hosts. `draw` is uniform from 0 to 1.
  //
  // A host's credit accrues in fractions of a request, too slowly to ever wait
  // for a whole one. Each request uses the accrued credit as its probability of
  // being sent, so that all hosts together send the sum of their fractions.
  bool TrySendIsolated(const std::string& server, double per_second, int hosts,
                       double draw, TimePoint now);
  // Removes a server that is gone or no longer limited.
  void Remove(const std::string& server);

 private:
  struct Server {
    std::deque<TimePoint> spares;  // Expiry time of each.
    double credit = 0;             // Requests.
    TimePoint credited_at;
  };

  std::map<std::string, Server> servers_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_PERMIT_GATE_H_

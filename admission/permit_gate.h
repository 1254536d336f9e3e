#ifndef APPLEHALL_ADMISSION_PERMIT_GATE_H_
#define APPLEHALL_ADMISSION_PERMIT_GATE_H_

#include <deque>
#include <map>
#include <string>

#include "core/clock.h"

namespace applehall {

// What one host may send to limited servers without asking: permits that were
// granted for requests that no longer need them and, while no owner is heard,
// its own part.
class PermitGate {
 public:
  // Not thread-safe, as all below.
  void AddSpare(const std::string& server, TimePoint use_until);
  bool TakeSpare(const std::string& server, TimePoint now);
  // Whether a host that cannot ask sends one request to a server that takes
  // `per_second` of `hosts` hosts; `luck` is drawn evenly from 0 to 1.
  //
  // What a host may send builds up in fractions of a request, too few of them
  // to ever wait for a whole one. A request that comes takes what is there as
  // its chance, so that all hosts together send what their fractions sum to.
  bool TrySendIsolated(const std::string& server, double per_second, int hosts,
                       double luck, TimePoint now);
  // The server's limit is gone, or it is.
  void Forget(const std::string& server);

 private:
  struct Server {
    std::deque<TimePoint> spares;  // Until when each may be used.
    double credit = 0;             // Requests.
    TimePoint credited_at;
  };

  std::map<std::string, Server> servers_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_PERMIT_GATE_H_

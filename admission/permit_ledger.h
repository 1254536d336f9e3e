#ifndef APPLEHALL_ADMISSION_PERMIT_LEDGER_H_
#define APPLEHALL_ADMISSION_PERMIT_LEDGER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/host_presence.h"
#include "admission/quota_types.h"
#include "core/json.h"

namespace applehall {

// Share of a server's limit that isolated hosts use together. It is below one
// because each host decides at random and their sum varies.
inline constexpr double kIsolatedShare = 0.5;
// Minimum send rate per second, also to a server with limit zero; without it a
// raised limit would go unnoticed.
inline constexpr double kTrialRate = 0.1;

// Rate at which requests are sent to a server that announces `per_second`.
inline double SendRate(double per_second) {
  return per_second > kTrialRate ? per_second : kTrialRate;
}

// A host's request for a permit to send one request to a limited server.
struct HostPermitRequest {
  std::string host;
  uint64_t id = 0;  // Chosen by the host.
  std::string server;
  std::string caller;  // Counted in this caller's fair share.
  double worth = 1;
  bool is_background = false;
  Duration max_wait{0};  // Maximum wait; zero: refused unless granted at once.
};

struct PermitAnswer {
  std::string host;
  uint64_t id = 0;
  std::string server;
  bool is_granted = false;
  Duration waited{0};       // Time in the ledger's queue.
  Duration retry_after{0};  // If refused: when to try again.
};

// Grants permits for limited servers to all hosts, one request at a time: a
// token bucket for each server, and a queue of the permit requests that can
// wait.
//
// Whole requests do not divide among hosts: a limit of one request a second
// would leave each of 300 hosts one request in five minutes. So only isolated
// hosts have a part of the limit.
class PermitLedger {
 public:
  explicit PermitLedger(int expected_hosts) : presence_(expected_hosts) {}

  // Sets or lifts a server's limit. Lifting it grants all permit requests that
  // wait there. Not thread-safe, as all below.
  void SetLimit(const std::string& server, double per_second, TimePoint now);
  void Lift(const std::string& server, TimePoint now);
  // Records contact of a host, which therefore does not use its own part.
  void RecordHostContact(const std::string& host, TimePoint now);
  // Requests a permit, answered at once or by a later Serve(); see
  // TakeAnswers().
  void RequestPermit(const HostPermitRequest& request, TimePoint now);
  // Grants available permits and refuses requests that can no longer be served
  // in time.
  void Serve(TimePoint now);
  std::vector<PermitAnswer> TakeAnswers() {
    return std::exchange(answers_, {});
  }

  Json ToJson(TimePoint now) const;

 private:
  struct Waiting {
    HostPermitRequest request;
    TimePoint enqueued_at;
    TimePoint expires_at;
  };
  struct Server {
    double per_second = 0;
    QuotaBucket bucket;
    AdmissionQueue queue;
    std::map<RequestHandle, Waiting> requests;
  };

  // Share of each limit that is not set aside for isolated hosts.
  double LedgerShare(TimePoint now) const;
  void Fill(Server& server, TimePoint now);
  void ServeServer(Server& server, TimePoint now);
  void Answer(Server& server, RequestHandle handle, bool is_granted,
              TimePoint now);
  // Time until the request at `position`, counted from 1, is granted.
  Duration TimeUntilTurn(const Server& server, size_t position,
                         TimePoint now) const;

  HostPresence presence_;
  std::map<std::string, Server> servers_;
  RequestHandle last_handle_ = 0;
  std::vector<PermitAnswer> answers_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_PERMIT_LEDGER_H_

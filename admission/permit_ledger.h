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

// Of what a limited server takes, that hosts use without an owner: less than
// all, as each of them goes by chance and their sum varies.
inline constexpr double kIsolatedShare = 0.5;
// A server that takes nothing is tried this often, a second; otherwise nobody
// would learn that it takes requests again.
inline constexpr double kTrialRate = 0.1;

// What a server that names `per_second` is sent.
inline double SendRate(double per_second) {
  return per_second > kTrialRate ? per_second : kTrialRate;
}

// A host asks to send one request to a server that limits itself.
struct HostPermitRequest {
  std::string host;
  uint64_t id = 0;  // The host's own.
  std::string server;
  std::string caller;  // Whose fair share it counts in.
  double worth = 1;
  bool is_background = false;
  Duration patience{0};  // How long it may wait; zero: now or elsewhere.
};

struct PermitAnswer {
  std::string host;
  uint64_t id = 0;
  std::string server;
  bool is_granted = false;
  Duration waited{0};       // At the ledger.
  Duration retry_after{0};  // Refused: when there may be room.
};

// Hands out what limited servers take, one request at a time, to all hosts: a
// token bucket for each server, and a queue of the asks that can wait.
//
// Whole requests do not divide among hosts. A server that takes one a second
// would leave each of 300 hosts one request in five minutes, so nobody has a
// part in advance, except hosts that cannot ask.
class PermitLedger {
 public:
  explicit PermitLedger(int expected_hosts) : presence_(expected_hosts) {}

  // A server's limit. Lifting it grants all that waits there. Not thread-safe,
  // as all below.
  void SetLimit(const std::string& server, double per_second, TimePoint now);
  void Lift(const std::string& server, TimePoint now);
  // A host can ask here, so it does not go by its own part.
  void NoteHost(const std::string& host, TimePoint now);
  // Answered at once or by a later Serve(); see TakeAnswers().
  void Ask(const HostPermitRequest& ask, TimePoint now);
  // Grants what has become free and refuses what can no longer come in time.
  void Serve(TimePoint now);
  std::vector<PermitAnswer> TakeAnswers() {
    return std::exchange(answers_, {});
  }

  Json ToJson(TimePoint now) const;

 private:
  struct Waiting {
    HostPermitRequest ask;
    TimePoint asked_at;
    TimePoint give_up_at;
  };
  struct Server {
    double per_second = 0;
    QuotaBucket bucket;
    AdmissionQueue queue;
    std::map<RequestHandle, Waiting> asks;
  };

  // Of each limit, what is not set aside for hosts that cannot ask.
  double AskedPart(TimePoint now) const;
  void Fill(Server& server, TimePoint now);
  void ServeServer(Server& server, TimePoint now);
  void Answer(Server& server, RequestHandle handle, bool is_granted,
              TimePoint now);
  // Until the one that stands at `position`, from 1 on, is granted.
  Duration TurnOf(const Server& server, size_t position, TimePoint now) const;

  HostPresence presence_;
  std::map<std::string, Server> servers_;
  RequestHandle last_handle_ = 0;
  std::vector<PermitAnswer> answers_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_PERMIT_LEDGER_H_

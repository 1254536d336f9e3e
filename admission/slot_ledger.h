#ifndef APPLEHALL_ADMISSION_SLOT_LEDGER_H_
#define APPLEHALL_ADMISSION_SLOT_LEDGER_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admission/permit_ledger.h"

namespace applehall {

// A host's request for one slot of a brittle server.
struct HostSlotRequest {
  std::string host;
  uint64_t id = 0;  // Chosen by the host.
  std::string server;
  int slots = 1;         // Of the server, as listed.
  Duration max_wait{0};  // Zero: refused unless granted at once.
};

// Grants the slots of brittle servers to all hosts, one for each request.
//
// A server rejects a request only if it has no room, so with no more requests
// than slots it rejects none. Hosts release a slot when the attempt ends; those
// of a host without contact are released after a while.
class SlotLedger {
 public:
  // `now` is the time at which this owner began: hosts announce first which
  // slots they were granted by the owner before.
  explicit SlotLedger(TimePoint now) : started_at_(now) {}

  // Requests a slot, granted or refused at once or by a later Serve(); see
  // TakeAnswers(). Not thread-safe, as all below.
  void RequestSlot(const HostSlotRequest& request, TimePoint now);
  // Records a slot that a host holds by a grant of the owner before.
  void Adopt(const HostSlotRequest& held, TimePoint now);
  // Releases a slot; does nothing if it is not held.
  void Release(const std::string& host, uint64_t id, TimePoint now);
  void RecordHostContact(const std::string& host, TimePoint now);
  // Grants slots that became free and refuses requests that waited too long.
  void Serve(TimePoint now);
  std::vector<PermitAnswer> TakeAnswers() {
    return std::exchange(answers_, {});
  }
  bool empty() const { return servers_.empty(); }
  Json ToJson() const;

 private:
  using Key = std::pair<std::string, uint64_t>;  // Host and id.
  struct Waiting {
    HostSlotRequest request;
    TimePoint since;
  };
  struct Server {
    int slots = 1;
    std::map<Key, TimePoint> held;  // With the time of the grant.
    std::deque<Waiting> waiting;
  };

  void ServeServer(Server& server, TimePoint now);
  void Answer(const Waiting& waiting, bool is_granted, TimePoint now);

  TimePoint started_at_;
  std::map<std::string, Server> servers_;
  std::map<Key, std::string> server_of_;  // Of held slots.
  std::map<std::string, TimePoint> contact_at_;
  std::vector<PermitAnswer> answers_;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_SLOT_LEDGER_H_

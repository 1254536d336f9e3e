#ifndef APPLEHALL_NODE_LIMIT_MANAGER_H_
#define APPLEHALL_NODE_LIMIT_MANAGER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/permit_gate.h"
#include "admission/permit_ledger.h"
#include "admission/slot_ledger.h"
#include "node/limit_registry.h"
#include "node/node_context.h"

namespace applehall {

// Enforces the rate limits that backend servers name in their answers.
//
// A limit applies to all hosts together, so each request to a limited server
// needs a permit of the placement owner, which counts the permits of all hosts.
// A host that reaches no owner applies its own part of the limit. Limits are
// part of the reports and plans of placement. Permits have messages of their
// own, because they cannot wait for the next plan.
class LimitManager {
 public:
  explicit LimitManager(NodeContext& context) : context_(context) {}

  // ---- Requests of this host. Not thread-safe. ----
  // Applies the limit in an answer of `server` to an attempt that was sent at
  // `sent_at`.
  void ApplyReported(const std::string& server, const ReportedLimit& reported,
                     TimePoint sent_at);
  // Records that `server` rejected a request of this host for lack of room. A
  // brittle server gets fewer requests from all hosts for a while, because it
  // crashes if it rejects too many in a second.
  void RecordRejection(const std::string& server);
  // Whether each request to `server` needs a permit: it announced a limit, or
  // is brittle and has fewer slots than there are hosts.
  bool IsLimited(const std::string& server) const {
    return registry_.Find(server).has_value() || IsSlotBound(server);
  }
  enum class Permit : uint8_t {
    kGranted,  // The request may be sent now.
    kPending,  // Requested from the owner; an outcome follows.
    kDenied,   // Not available now, and not requested from the owner.
  };
  struct PermitRequest {
    RequestHandle handle = 0;
    std::string caller;
    double worth = 1;
    bool is_background = false;
    Duration max_wait{0};  // Maximum wait for the permit.
  };
  // Acquires a permit to send one request to `server`. Requires:
  // IsLimited(server).
  Permit Acquire(const std::string& server, const PermitRequest& wanted);
  struct Outcome {
    RequestHandle handle = 0;
    std::string server;
    bool is_granted = false;
    Duration retry_after{0};
  };
  // Returns the outcomes of pending permits since the last call.
  std::vector<Outcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }
  // Returns a granted permit that its request does not need any more.
  void ReturnPermit(const std::string& server, RequestHandle handle);
  // Releases the slot that was granted to the request, if one was: its attempt
  // has ended.
  void ReleaseSlot(RequestHandle handle);
  // Denies the pending permits of a server that leaves, so that their requests
  // go elsewhere.
  void DenyPending(const std::string& server);
  // Describes the limit of `server` for a log line or a refusal.
  std::string Describe(const std::string& server) const;
  // Removes the limit of a server that left or restarted.
  void Remove(const std::string& server);

  // ---- Messages between hosts. Not thread-safe. ----
  void StartPlanning(uint64_t& last_update);
  void StopPlanning() {
    ledger_.reset();
    slots_.reset();
  }
  // `owner` holds the lease under `token`; its host is empty at the owner
  // itself. `is_reachable` is true if a plan of it arrived lately.
  void RunTick(const PeerAddress& owner, FencingToken token, bool is_reachable);
  bool HasNewRows() const {
    return registry_.HasNewRows() || brittle_registry_.HasNewRows();
  }
  Json ReportRows(FencingToken token, const EngineList& servers);
  void HandleReport(const std::string& host, const Json& rows,
                    const EngineList& servers);
  // Records a report of another host, at the owner.
  void RecordHostContact(const std::string& host);
  // The same for which servers are brittle.
  Json BrittleReportRows(FencingToken token, const EngineList& servers);
  void HandleBrittleReport(const Json& rows, const EngineList& servers);
  Json BrittlePlanRows(uint64_t since, const EngineList& servers) const {
    return brittle_registry_.PlanRows(since, servers, context_.now);
  }
  void HandleBrittlePlan(const Json& rows, FencingToken token,
                         const EngineList& servers);
  void NumberRows(uint64_t& last_update) {
    registry_.NumberRows(last_update);
    brittle_registry_.NumberRows(last_update);
  }
  Json PlanRows(uint64_t since, const EngineList& servers) const {
    return registry_.PlanRows(since, servers, context_.now);
  }
  void HandlePlan(const Json& rows, FencingToken token,
                  const EngineList& servers);
  // Permit requests of a host arrive at the owner, and its answers at the host.
  void HandlePermitRequests(const std::string& host, const Json& body);
  void HandlePermitAnswers(const Json& body);

  // Returns the limits in requests a second, by server. Not thread-safe.
  std::map<std::string, double> Limits() const { return registry_.Limits(); }
  Json ToJson() const;

 private:
  struct OpenRequest {
    RequestHandle handle = 0;
    std::string server;
    TimePoint requested_at;
    TimePoint expires_at;
    bool is_slot = false;
  };
  // A slot of a brittle server that a request of this host holds.
  struct HeldSlot {
    uint64_t id = 0;
    std::string server;
    int slots = 1;
  };

  void ReadBrittleness(const std::string& server, const ReportedLimit& reported,
                       TimePoint sent_at);
  // Applies changes of which servers are brittle.
  void ApplyBrittleChanges();
  // Whether the limit of a brittle server follows from a rejection and must not
  // be lifted yet by an answer that names none.
  bool IsUnderPressure(const std::string& server) const;
  // Lifts limits that follow from rejections after a while without one, and
  // keeps this host's part of brittle servers.
  void RunBrittleServers();
  void ApplyChanges();
  bool IsSlotBound(const std::string& server) const;
  Permit AcquireSlot(const std::string& server, const PermitRequest& wanted);
  void SendRelease(uint64_t id);
  // Announces the slots held here to a new owner.
  void AnnounceHeldSlots();
  void HandleSlotRows(const std::string& host, const Json& body);
  void HandleAnswer(const PermitAnswer& answer);
  void SendRequests();
  void SendAnswers();
  void ExpireRequests();

  NodeContext& context_;
  LimitRegistry registry_;
  // The rejections that brittle servers bear, in place of a rate.
  LimitRegistry brittle_registry_;
  PermitGate gate_;
  // While this host is the owner.
  std::unique_ptr<PermitLedger> ledger_;
  std::unique_ptr<SlotLedger> slots_;
  PeerAddress owner_;
  FencingToken token_ = 0;
  bool is_owner_reachable_ = false;
  int known_hosts_ = 0;  // Last host count of an owner; zero: no owner yet.

  uint64_t last_request_id_ = 0;
  std::map<uint64_t, OpenRequest> requests_;
  Json unsent_ = Json::array();           // Rows of permit requests.
  Json unsent_slots_ = Json::array();     // Rows of slot requests.
  Json unsent_held_ = Json::array();      // Rows of slots held already.
  Json unsent_releases_ = Json::array();  // Ids.
  std::map<RequestHandle, HeldSlot> held_slots_;
  TimePoint requests_sent_at_;
  // Owner: peer addresses of the hosts that requested permits, by host.
  std::map<std::string, std::string> requester_addresses_;
  std::vector<Outcome> outcomes_;
  struct BrittleServer {
    double max_rejected = 0;       // Rejections in a second that it can bear.
    bool is_limited_here = false;  // By a rejection of this host's request.
  };
  std::map<std::string, BrittleServer> brittle_;  // By server.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LIMIT_MANAGER_H_

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
#include "node/limit_registry.h"
#include "node/node_context.h"

namespace applehall {

// This host's part in keeping backend servers within the limits that they name.
//
// A limit is for all hosts together, so each request to a limited server needs
// a permit of the placement owner, which counts those of all hosts. A host that
// hears no owner goes by its own part. What is known of limits travels with the
// reports and plans of placement, permits in messages of their own: they cannot
// wait for the next plan.
class LimitManager {
 public:
  explicit LimitManager(NodeContext& context) : context_(context) {}

  // ---- What this host's requests say and want. Not thread-safe. ----
  // An answer of `server` to an attempt that was sent at `sent_at`.
  void ApplyReported(const std::string& server, const ReportedLimit& reported,
                     TimePoint sent_at);
  bool IsLimited(const std::string& server) const {
    return book_.Find(server).has_value();
  }
  enum class Permit : uint8_t {
    kGranted,  // Send it now.
    kPending,  // The owner was asked; an outcome follows.
    kDenied,   // Not now, and the owner cannot be asked.
  };
  // What a request says for itself when it asks.
  struct PermitRequest {
    RequestHandle handle = 0;
    std::string caller;
    double worth = 1;
    bool is_background = false;
    Duration max_wait{0};
  };
  // A permit to send one request to `server`. Requires: IsLimited(server).
  Permit Acquire(const std::string& server, const PermitRequest& wanted);
  struct Outcome {
    RequestHandle handle = 0;
    std::string server;
    bool is_granted = false;
    Duration retry_after{0};
  };
  // Outcomes of what was asked, since the last call.
  std::vector<Outcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }
  // A granted permit that its request does not need any more.
  void ReturnPermit(const std::string& server);
  // How the limit of `server` stands, for a log line or a refusal.
  std::string Describe(const std::string& server) const;
  // The server left, or starts another life.
  void Forget(const std::string& server);

  // ---- Between the hosts. Not thread-safe. ----
  void StartPlanning(uint64_t& last_news);
  void StopPlanning() { ledger_.reset(); }
  // `owner` holds the lease under `token`, and was heard lately if `is_heard`;
  // it has no name at the owner itself.
  void RunTick(const PeerAddress& owner, FencingToken token, bool is_heard);
  bool HasNewRows() const { return book_.HasNewRows(); }
  Json ReportRows(FencingToken token, const EngineList& servers);
  void TakeReport(const std::string& host, const Json& rows,
                  const EngineList& servers);
  // Another host was heard, at the owner.
  void RecordHostContact(const std::string& host);
  void NumberRows(uint64_t& last_news) { book_.NumberRows(last_news); }
  Json PlanRows(uint64_t since, const EngineList& servers) const {
    return book_.PlanRows(since, servers, context_.now);
  }
  void TakePlan(const Json& rows, FencingToken token,
                const EngineList& servers);
  // A host asks for permits, and the owner answers.
  void HandlePermitRequests(const std::string& host, const Json& body);
  void HandlePermitAnswers(const Json& body);

  // Requests a second that limited servers take, by server. Not thread-safe.
  std::map<std::string, double> Limits() const { return book_.Limits(); }
  Json ToJson() const;

 private:
  struct OpenAsk {
    RequestHandle handle = 0;
    std::string server;
    TimePoint asked_at;
    TimePoint give_up_at;
  };

  void ApplyChanges();
  void TakeAnswer(const PermitAnswer& answer);
  void SendAsks();
  void SendAnswers();
  void GiveUpAsks();

  NodeContext& context_;
  LimitRegistry book_;
  PermitGate gate_;
  std::unique_ptr<PermitLedger> ledger_;  // While this host is the owner.
  PeerAddress owner_;
  FencingToken token_ = 0;
  bool is_owner_heard_ = false;
  int told_hosts_ = 0;  // As the last owner that was heard told; zero: none.

  uint64_t last_ask_ = 0;
  std::map<uint64_t, OpenAsk> asks_;
  Json unsent_ = Json::array();  // Rows of asks.
  TimePoint asks_sent_at_;
  std::map<std::string, std::string> askers_;  // Their addresses, at the owner.
  std::vector<Outcome> outcomes_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LIMIT_MANAGER_H_

#ifndef APPLEHALL_STANDINS_DEPLOYMENT_H_
#define APPLEHALL_STANDINS_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "node/node.h"
#include "standins/fake_engine.h"
#include "standins/fake_log.h"
#include "standins/fake_weight_store.h"

namespace applehall {

struct DeploymentSettings {
  uint64_t seed = 1;
  std::vector<std::string> data_centres = {"north", "south"};
  int hosts_per_data_centre = 2;
  int engines = 4;           // Assigned to the data centres round robin.
  int unfenced_engines = 0;  // The last ones of `engines`.
  int services = 2;
  int slots = 8;
  uint64_t engine_bytes = 4'000'000'000;
  uint64_t kv_bytes_per_slot = 50'000'000;
  uint64_t memory_cache_bytes = 1'500'000'000;
  uint64_t disk_cache_bytes = 6'000'000'000;
  Catalogue catalogue;
  double store_loads_per_second = 2.0;
  int store_slots = 4;
  double store_slot_bytes_per_second = 5e8;
  Duration tick = std::chrono::milliseconds(20);
  Duration service_time = std::chrono::milliseconds(200);
  Duration local_delay = std::chrono::microseconds(300);
  Duration remote_delay = std::chrono::milliseconds(2);
  Duration log_delay = std::chrono::milliseconds(3);
  Duration host_list_lag = std::chrono::milliseconds(1000);
  Duration log_retention = std::chrono::hours(24);
  NodeSettings node;  // Names and data centres are set for each host.
};

// Outcome of one request as its caller observed it.
struct RequestOutcome {
  int answer_count = 0;  // Must be exactly 1 in the end.
  bool is_answered = false;
  Refusal refusal;
  TimePoint sent_at;
  TimePoint ended_at;
  TimePoint limit;  // Deadline of the request.
  std::string model;
  std::string key;
  std::string rule;
  double worth = 1.0;
  bool was_cold = false;
};

// Runs several nodes with their production decision code against the fakes
// under a manual clock, for tests and experiments. Injects failures of hosts,
// engines, the log, the store and the network; messages are only delayed, lost
// and duplicated. Not thread-safe.
class Deployment {
 public:
  explicit Deployment(DeploymentSettings settings);
  ~Deployment();

  // ---- Commands ----

  void RunFor(Duration span);
  // Runs until `condition` holds, but at most for `max_duration`.
  void RunUntil(const std::function<bool()>& condition, Duration max_duration);
  // Publishes a rule set on base `base`; returns the record's id.
  std::string Publish(const Json& document, LogOffset base);
  // Sends a caller's request to a host; returns its id for outcome().
  uint64_t Send(const std::string& host, const std::string& model,
                const std::string& caller = "caller",
                std::optional<Duration> deadline = std::nullopt,
                const std::string& key = "");
  // Sends a poison message: it crashes each engine that starts to execute it;
  // the engine restarts under the same name. Returns its id for outcome().
  uint64_t SendPoison(const std::string& host, const std::string& model);
  uint64_t CallService(const std::string& host, const std::string& service,
                       const std::string& key);
  // Disconnects the caller of a request.
  void DisconnectCaller(uint64_t request);

  // Failures. Each lasts until it is reset.
  void KillHost(const std::string& host);
  // Starts the host again as a new incarnation.
  void RestartHost(const std::string& host);
  void PauseHost(const std::string& host);
  void ResumeHost(const std::string& host);
  void DrainHost(const std::string& host);
  // Marks a host or backend server as leaving in the platform's host list, or
  // removes it from the list.
  void MarkLeaving(const std::string& name);
  void RemoveFromHostList(const std::string& name);
  void SetLogUnavailable(bool down) { is_log_down_ = down; }
  // Adds `extra` to the latency of log reads and appends.
  void SetLogDelay(Duration extra) { log_lag_ = extra; }
  // Multiplies the time of weight store fetches.
  void SetStoreSlowdown(double factor) { store_.SetSlowness(factor); }
  void SetReportLag(Duration lag);
  // The next `count` appends take effect, but report a failure.
  void LoseAppendResponses(int count) { lose_append_answers_ = count; }
  // Loses and repeats these shares of the engine orders, and delays orders and
  // their answers by up to `late`.
  void SetOrderFaults(double loss, double repeats, Duration late);
  // Cuts the network between a data centre and all others, log and host list
  // included.
  void PartitionDataCentre(const std::string& name, bool cut);
  void SetEngineFailing(const std::string& name, bool failing);
  // Engines fail this share of the requests that they started.
  void SetEngineFlakiness(double share) { flakiness_ = share; }
  // Services execute calls, but fail before they answer.
  void SetServicesFailing(bool failing);
  void RestartEngine(const std::string& name);
  void SetLoadsFailing(bool fail);
  // Drops this share of the messages between hosts.
  void SetPeerLoss(double share) { peer_loss_ = share; }

  // ---- Queries ----

  TimePoint now() const { return now_; }
  std::vector<std::string> HostNames() const;
  const Node& node(const std::string& host) const;
  bool IsAlive(const std::string& host) const;
  FakeEngine& engine(const std::string& name) { return *engines_.at(name); }
  const std::map<std::string, std::unique_ptr<FakeEngine>>& engines() const {
    return engines_;
  }
  FakeLog& log() { return log_; }
  FakeWeightStore& store() { return store_; }
  const RequestOutcome& outcome(uint64_t id) const { return outcomes_.at(id); }
  const std::map<uint64_t, RequestOutcome>& outcomes() const {
    return outcomes_;
  }
  int RunsOfKey(const std::string& key) const;
  uint64_t dispatched() const { return dispatched_; }
  // Times at which poison requests crashed engines, ascending.
  const std::vector<TimePoint>& poison_crashes() const {
    return poison_crashes_;
  }
  uint64_t total_loads() const;
  // Invariants violated so far, with details; checked after each step against
  // the state of the fakes, not against the nodes' own tables.
  const std::set<std::string>& violations() const { return violations_; }
  Duration idle_time() const;
  double idle_engine_seconds() const;
  // True if a replica of `model` is ready in the data centre of `host`.
  bool HasReadyReplica(const std::string& host, const std::string& model) const;
  Duration held_time() const;

 private:
  struct Host;
  struct Service {
    std::string name;
    std::string service;
    std::string data_centre;
    std::map<std::string, int> runs;
    bool is_failing = false;
  };
  struct Scheduled {
    TimePoint when;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      if (when != other.when) return when > other.when;
      return order > other.order;
    }
  };
  // Sender of the request that a host knows by a handle.
  struct Origin {
    uint64_t request = 0;  // The caller's request.
    std::string from_host;
    RequestHandle from_handle = 0;
    int from_attempt = 0;
    uint64_t from_epoch = 0;
  };

  void After(Duration delay, std::function<void()> run);
  void StartHost(const std::string& name, const std::string& data_centre);
  void Post(const std::string& host, uint64_t epoch, Event event);
  void HandleNow(Host& host, const Event& event);
  void Perform(Host& host, Action action);
  void Execute(Host& host, const DispatchRequest& action);
  void Execute(Host& host, const CancelAttempt& action);
  void Execute(Host& host, const RecallUnsent& action);
  void Execute(Host& host, const RefuseRequest& action);
  void Execute(Host& host, const SendOrder& action);
  void Execute(Host& host, const AppendRecord& action);
  void Execute(Host& host, const SendPeer& action);
  void Execute(Host& host, const SendPeers& action);
  void Execute(Host& host, const Drained& action);
  // Not needed: leases, store updates and the quarantine topic belong to
  // fleets; these hosts place models by groups.
  void Execute(Host&, const ReadLease&) {}
  void Execute(Host&, const AppendLease&) {}
  void Execute(Host&, const AppendPredecessorsEnded&) {}
  void Execute(Host&, const SetStorePolling&) {}
  void Execute(Host&, const ApplyStoreUpdates&) {}
  void Execute(Host&, const ReadQuarantine&) {}
  void Execute(Host&, const ReadVersionRecord&) {}
  void Execute(Host&, const AppendVersionRecord&) {}
  void Execute(Host&, const AppendQuarantine&) {}
  void Execute(Host& host, const ProbeServer& action);
  void DispatchToEngine(Host& host, const DispatchRequest& action);
  void DispatchToService(Host& host, const DispatchRequest& action);
  void Forward(Host& host, const DispatchRequest& action);
  void EndAttempt(const std::string& host, uint64_t epoch,
                  const DispatchRequest& action, AttemptResult result,
                  bool is_cut = false);
  void CrashOnPoison(const std::string& engine);
  bool IsStarting(const std::string& engine) const;
  void DeliverOrder(const std::string& host, uint64_t epoch,
                    const SendOrder& action);
  void Deliver(const std::string& host, RequestArrived event, Origin origin);
  void Finish(const Origin& origin, bool answered, const Refusal& refusal,
              const std::string& rule);
  void PollLog(const std::string& host, uint64_t epoch);
  void PollHostList(const std::string& host, uint64_t epoch);
  void TickHost(const std::string& host, uint64_t epoch);
  bool IsCut(const std::string& from, const std::string& to) const;
  std::string CentreOf(const std::string& host) const;
  Duration Delay(const std::string& from, const std::string& to);
  void CheckVersion(const Host& host);
  void CheckEngines();
  void CheckOpenRequests();
  void Report(const std::string& promise) { violations_.insert(promise); }
  HostList VisibleHostList() const;
  void RecordHistory();

  DeploymentSettings settings_;
  Random random_;
  TimePoint now_;
  uint64_t event_count_ = 0;
  std::priority_queue<Scheduled> queue_;
  FakeLog log_;
  FakeWeightStore store_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::map<std::string, std::unique_ptr<FakeEngine>> engines_;
  std::set<std::string> failing_engines_;
  std::map<std::string, Service> services_;
  std::map<std::string, HostEntry> listed_;
  std::vector<std::pair<TimePoint, std::map<std::string, HostEntry>>> history_;
  std::map<uint64_t, RequestOutcome> outcomes_;
  std::set<uint64_t> open_requests_;
  std::map<uint64_t, int> runs_of_request_;
  std::set<uint64_t> poison_requests_;
  std::vector<TimePoint> poison_crashes_;
  std::map<std::string, TimePoint> starting_until_;  // Crashed engines.
  uint64_t request_count_ = 0;
  uint64_t publish_count_ = 0;
  uint64_t next_incarnation_ = 1;
  uint64_t dispatched_ = 0;
  bool is_log_down_ = false;
  Duration log_lag_{0};
  int lose_append_answers_ = 0;
  double order_loss_ = 0;
  double order_repeats_ = 0;
  Duration order_lag_{0};
  double peer_loss_ = 0;
  double flakiness_ = 0;
  std::set<std::string> partitioned_;
  std::set<std::string> violations_;
  std::map<std::string, LogOffset> versions_seen_;
  ReplicaBoundsTable newest_bounds_;
  LogOffset newest_version_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_DEPLOYMENT_H_

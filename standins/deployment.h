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
  int engines = 4;           // Dealt to the data centres in turn.
  int unfenced_engines = 0;  // Of these, the last ones.
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
  Duration near_delay = std::chrono::microseconds(300);
  Duration far_delay = std::chrono::milliseconds(2);
  Duration log_delay = std::chrono::milliseconds(3);
  Duration host_list_lag = std::chrono::milliseconds(1000);
  Duration log_retention = std::chrono::hours(24);
  NodeSettings node;  // Names and data centres are filled in.
};

// What one caller saw of one request.
struct RequestOutcome {
  int answer_count = 0;  // Must become exactly 1.
  bool is_answered = false;
  Refusal refusal;
  TimePoint sent_at;
  TimePoint ended_at;
  TimePoint limit;  // Its deadline.
  std::string model;
  std::string key;
  std::string rule;
  double worth = 1.0;
  bool was_cold = false;
};

// Several nodes, wired to the fakes under a paused clock, with the failures
// of the brief. Not a simulator of clusters: messages are delayed, lost and
// doubled, and that is all; the tests and the measurements run the production
// decision parts in it.
class Deployment {
 public:
  explicit Deployment(DeploymentSettings settings);
  ~Deployment();

  // ---- Commands ----

  void RunFor(Duration span);
  void RunUntil(const std::function<bool()>& condition, Duration most);
  // Publishes a rule set on base `base`; the record's id.
  std::string Publish(const Json& document, LogOffset base);
  // A caller's request at a host; its id for outcome().
  uint64_t Send(const std::string& host, const std::string& model,
                const std::string& caller = "caller",
                std::optional<Duration> deadline = std::nullopt,
                const std::string& key = "");
  // A request whose content ends each engine that begins to run it; the engine
  // starts again under its name.
  uint64_t SendPoison(const std::string& host, const std::string& model);
  uint64_t CallService(const std::string& host, const std::string& service,
                       const std::string& key);
  void Leave(uint64_t request);

  // Failures. Each lasts until taken back.
  void KillHost(const std::string& host);
  void RestartHost(const std::string& host);  // As a new incarnation.
  void PauseHost(const std::string& host);
  void ResumeHost(const std::string& host);
  void DrainHost(const std::string& host);
  // The platform's host list: marks a host or backend server as leaving, or
  // takes it off.
  void MarkLeaving(const std::string& name);
  void RemoveFromHostList(const std::string& name);
  void SetLogUnavailable(bool down) { log_down_ = down; }
  void SetLogDelay(Duration extra) { log_extra_ = extra; }
  void SetStoreSlowdown(double factor) { store_.SetSlowness(factor); }
  void SetReportLag(Duration lag);
  void LoseAppendResponses(int count) { lose_append_answers_ = count; }
  void SetOrderFaults(double lost, double doubled, Duration late);
  void PartitionDataCentre(const std::string& name, bool cut);
  void SetEngineFailing(const std::string& name, bool failing);
  // Engines break this share of the requests they begin.
  void SetEngineFlakiness(double share) { flakiness_ = share; }
  // Services take calls, and break before they answer.
  void SetServicesFailing(bool failing);
  void RestartEngine(const std::string& name);
  void SetLoadsFailing(bool fail);
  // Before each peer message; false drops it.
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
  // When engines ended under poison requests, in the order of time.
  const std::vector<TimePoint>& poison_crashes() const { return poison_ends_; }
  uint64_t total_loads() const;
  // Promises broken so far, each with what was seen; checked after each step
  // against the fakes, not against the nodes' own tables.
  const std::set<std::string>& violations() const { return broken_; }
  Duration idle_time() const;
  double idle_engine_seconds() const;
  // A replica of `model` is ready in the data centre of `host`.
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
  // Where a request handle of a host came from.
  struct Origin {
    uint64_t request = 0;  // Of a caller, if not forwarded.
    std::string from_host;
    RequestHandle from_handle = 0;
    int from_attempt = 0;
    uint64_t from_life = 0;
  };

  void At(Duration delay, std::function<void()> run);
  void StartHost(const std::string& name, const std::string& data_centre);
  void Tell(const std::string& host, uint64_t life, Event event);
  void HandleNow(Host& host, const Event& event);
  void Perform(Host& host, Action action);
  void On(Host& host, const DispatchRequest& action);
  void On(Host& host, const CancelAttempt& action);
  void On(Host& host, const RefuseRequest& action);
  void On(Host& host, const SendOrder& action);
  void On(Host& host, const AppendRecord& action);
  void On(Host& host, const SendPeer& action);
  void On(Host& host, const SendPeers& action);
  void On(Host& host, const Drained& action);
  // Only fleets have a lease; these hosts place by groups.
  void On(Host&, const ReadLease&) {}
  void On(Host&, const AppendLease&) {}
  void On(Host&, const SetStorePolling&) {}
  void On(Host&, const ApplyStoreUpdates&) {}
  void On(Host&, const ReadQuarantine&) {}
  void On(Host&, const AppendQuarantine&) {}
  void On(Host& host, const ProbeServer& action);
  void DispatchToEngine(Host& host, const DispatchRequest& action);
  void DispatchToService(Host& host, const DispatchRequest& action);
  void Forward(Host& host, const DispatchRequest& action);
  void EndAttempt(const std::string& host, uint64_t life,
                  const DispatchRequest& action, AttemptResult result,
                  bool is_cut = false);
  void EndUnderPoison(const std::string& engine);
  bool IsStarting(const std::string& engine) const;
  void DeliverOrder(const std::string& host, uint64_t life,
                    const SendOrder& action);
  void Arrive(const std::string& host, RequestArrived event, Origin origin);
  void Settle(const Origin& origin, bool answered, const Refusal& refusal,
              const std::string& rule);
  void FollowLog(const std::string& host, uint64_t life);
  void FollowHosts(const std::string& host, uint64_t life);
  void TickHost(const std::string& host, uint64_t life);
  bool IsCut(const std::string& from, const std::string& to) const;
  std::string CentreOf(const std::string& host) const;
  Duration Delay(const std::string& from, const std::string& to);
  void CheckVersion(const Host& host);
  void CheckEngines();
  void CheckOpenRequests();
  void Break(const std::string& promise) { broken_.insert(promise); }
  HostList Listed() const;
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
  std::set<uint64_t> open_;
  std::map<uint64_t, int> runs_of_request_;
  std::set<uint64_t> poisons_;
  std::vector<TimePoint> poison_ends_;
  std::map<std::string, TimePoint> starting_until_;  // Engines that ended.
  uint64_t request_count_ = 0;
  uint64_t publish_count_ = 0;
  uint64_t next_incarnation_ = 1;
  uint64_t dispatched_ = 0;
  bool log_down_ = false;
  Duration log_extra_{0};
  int lose_append_answers_ = 0;
  double order_loss_ = 0;
  double order_doubling_ = 0;
  Duration order_late_{0};
  double peer_loss_ = 0;
  double flakiness_ = 0;
  std::set<std::string> cut_;
  std::set<std::string> broken_;
  std::map<std::string, LogOffset> versions_seen_;
  ReplicaBoundsTable truth_bounds_;
  LogOffset truth_version_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_DEPLOYMENT_H_

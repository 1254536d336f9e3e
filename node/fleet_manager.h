#ifndef APPLEHALL_NODE_FLEET_MANAGER_H_
#define APPLEHALL_NODE_FLEET_MANAGER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/engine_loads.h"
#include "node/limit_manager.h"
#include "node/node_context.h"
#include "node/performance_manager.h"
#include "node/placement_lease.h"
#include "node/quarantine_manager.h"
#include "node/quota_manager.h"
#include "node/reach_manager.h"
#include "node/reader_selector.h"
#include "node/store_relay.h"
#include "node/stream_manager.h"
#include "placement/fleet_planner.h"

namespace applehall {

// Runs this host's side of the placement of all listed engines.
//
// One host, the owner, holds the lease (a record in the platform's store) and
// plans for all hosts. The others report their queued and running requests to
// it and receive from it which models are ready on which engine. The store's
// conditional append decides which host holds the lease; heartbeats only decide
// when another host may claim it. Without contact to an owner, a host keeps
// serving the models that the listing shows as loaded.
class FleetManager {
 public:
  FleetManager(NodeContext& context, QuarantineManager& quarantine,
               QuotaManager& quotas, LimitManager& limits, ReachManager& reach,
               StreamManager& streams)
      : context_(context),
        quarantine_(quarantine),
        quotas_(quotas),
        limits_(limits),
        reach_(reach),
        streams_(streams),
        performance_(context),
        lease_(context) {}

  // ---- Events from the platform and engines. Not thread-safe. ----
  void HandleServerList(const ServerListRead& event);
  void HandleCatalogueChange();
  void HandleLeaseRead(const LeaseRead& event);
  void HandleAppendEnd(const LeaseAppendEnded& event);
  void HandleInventory(const Inventory& inventory, TimePoint requested_at);
  void HandleOrderResult(const OrderAnswered& event);

  // ---- Messages from other hosts. Not thread-safe. ----
  void HandleHostReport(const std::string& host, const Json& body);
  // Returns the plan's answers to this host's demands.
  std::vector<DemandAnswer> HandlePlan(const std::string& host,
                                       const Json& body);

  // ---- Demand of this host's requests. Not thread-safe. ----
  void RecordArrival(const std::string& target, double worth);
  // Sets what this host's callers ask for in vain, to be reported to new
  // owners. It must outlive this. Not thread-safe.
  void SetUnserved(const UnservedDemand* unserved) { unserved_ = unserved; }
  // The measured performance of servers. Not thread-safe.
  PerformanceManager& performance() { return performance_; }
  // Sets the demand of the queue with that name until the next tick.
  void SetDemand(const std::string& queue, const Demand& demand);

  // Confirms or claims the lease, plans, and reports. Returns the answers to
  // this host's own demands if it is the owner. Not thread-safe.
  std::vector<DemandAnswer> RunTick();

  // Whether this host neither holds the lease nor writes a record of it. Not
  // thread-safe.
  bool IsReleased() const { return !planner_ && !lease_.is_appending(); }
  // Whether a listing of backend servers has arrived. Not thread-safe.
  bool is_known() const { return !servers_.empty(); }
  // The host that reads the store for this data centre, as assigned by the
  // placement owner; empty if none is assigned. Not thread-safe.
  const PeerAddress& reader() const { return reader_; }
  // The host that replaces the reader if it fails. Not thread-safe.
  const PeerAddress& backup_reader() const { return backup_reader_; }
  // The newest holder of the lease known here. Not thread-safe.
  KnownOwner NewestOwner() const { return lease_.NewestOwner(); }
  // Records the holder that another host reported. Not thread-safe.
  void RecordOwner(const KnownOwner& owner) { lease_.RecordOwner(owner); }
  // The end of the listing of servers that is in force here, and the age of its
  // freshness; zero if unknown. Not thread-safe.
  LogOffset listing() const { return listing_next_; }
  Duration ListingAge() const;
  // The listing in force here. Not thread-safe.
  const EngineList& servers() const { return servers_; }
  // Whether a backend server of `service` is listed. Not thread-safe.
  bool OffersService(const std::string& service) const;
  // Whether a server of this origin is listed that does not leave. Not
  // thread-safe.
  bool OffersVersion(const StreamOrigin& origin) const;
  Json ToJson() const;

 private:
  // When the shared plan was last sent to a data centre, and the last update it
  // contained.
  struct SharedPlanState {
    TimePoint sent_at;
    uint64_t update = 0;
  };

  void StartPlanning();
  void StopPlanning();
  void HandOver();
  void AnnounceResignation();
  // Whether the lease is unconfirmed here while another host can read the
  // store.
  bool IsHandingOver() const;
  // Whether this host reaches no engine while another one does that can place
  // models.
  bool IsCutOffAlone() const;
  // Gives up the lease of an owner that is cut off alone.
  void HandOverCutOff();
  void Plan();
  void LogNotes();
  void ReportToOwner();
  void SendPlans();
  // Sends `host` the answers to its demands; after its first report, the whole
  // state.
  void SendPlan(const std::string& host, FleetPeer& peer);
  // Sends the part of the plan that all hosts of a data centre share.
  void SendSharedPlans();
  void SendSharedPlan(const std::string& data_centre, SharedPlanState& state);
  void SendUrgentPlan(const std::string& data_centre, SharedPlanState& state);
  // Returns an empty plan to the hosts of a data centre, which have all earlier
  // updates.
  SendPeers AddressPlan(const std::string& data_centre);
  // Returns the fields common to all plans, with the engines' updates after
  // `since`. One-letter keys, as in reports: k token, p address, e engines,
  // w answers, r reader, n hosts, f and u first and last update, q quarantined
  // contents, s limits of servers; in some plans b backup reader, c the backup
  // of that host, and l loads.
  Json PlanBody(const std::string& data_centre, uint64_t since);
  void ApplyUpdates(const Json& body, FencingToken token);
  bool CanReadStore() const;
  int CountPeersIn(const std::string& data_centre) const;
  PeerAddress ChooseReader(const std::string& data_centre);
  std::pair<PeerAddress, PeerAddress> ChooseBackups(
      const std::string& data_centre);
  // True if there is demand for a target that the last report did not contain.
  bool HasNewDemand() const;
  HostReport MakeReport();
  void AddUnserved(HostReport& report);
  EngineLoads SumLoads() const;
  void ApplyLoads(EngineLoads loads);
  // Updates the routing view with the targets that a server can serve.
  void UpdateView(const std::string& id);
  // Logs `reason`.
  // Records a new or changed server and its software version.
  void PutServer(const ListedServer& server);
  void RemoveServer(const std::string& id, std::string_view reason);
  // Whether entries of live servers may be missing from the listing because of
  // an outage of the store.
  bool MayHaveLapsed() const;
  // Takes back the requests for which a server that leaves was chosen and that
  // were not sent yet.
  void RecallRequests(const std::string& id);
  void RemoveDeparted();
  // Removes the state of a server's earlier incarnation; false if `server` is
  // of an earlier incarnation itself.
  bool AcceptIncarnation(const ListedServer& server);

  NodeContext& context_;
  QuarantineManager& quarantine_;
  QuotaManager& quotas_;
  LimitManager& limits_;
  ReachManager& reach_;
  StreamManager& streams_;
  PerformanceManager performance_;
  EngineList servers_;
  std::string listing_topic_;
  LogOffset listing_next_ = 0;
  bool is_listing_partial_ = false;  // The rest could not be read.
  // Servers whose listings lapsed during an outage of the store; they may be
  // listed again soon.
  std::set<std::string> departing_;
  // Ready targets by engine, as announced by the owner.
  std::map<std::string, std::vector<std::string>> announced_;
  // Last state of an engine from this host's planner. `update` numbers the
  // changes of all engines, so that a host receives only those it has not seen.
  struct PlannedState {
    uint64_t version = 0;
    uint64_t update = 0;
  };
  std::map<std::string, PlannedState> planned_states_;
  uint64_t last_update_ = 0;
  EngineLoads loads_;
  TimePoint loads_at_;  // When they were received or summed.
  uint64_t digest_count_ = 0;

  PlacementLease lease_;
  std::unique_ptr<FleetPlanner> planner_;
  FleetPeers peers_;
  ReaderSelector readers_{peers_};
  std::map<std::string, SharedPlanState> shared_plans_;  // By data centre.
  std::string
      last_shared_centre_;  // Data centre of the last shared plan; they rotate.

  // Token of the owner whose updates on engines were received, the last of
  // them, and whether earlier ones were missed.
  FencingToken update_token_ = 0;
  uint64_t known_update_ = 0;
  bool has_update_gap_ = false;

  PeerAddress reader_;          // For this data centre.
  PeerAddress backup_reader_;   // For this data centre.
  PeerAddress resigned_owner_;  // The last owner that resigned.
  // This host's own demand, by target.
  std::map<std::string, Demand> demands_;
  std::map<std::string, std::pair<int, double>> arrivals_;
  const UnservedDemand* unserved_ = nullptr;
  FencingToken unserved_reported_to_ = 0;  // Token of the owner.
  TimePoint unserved_report_until_;
  std::set<std::string> reported_targets_;
  TimePoint reported_at_;
  TimePoint planned_at_;
  TimePoint cut_off_at_;  // The epoch: not cut off alone.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_FLEET_MANAGER_H_

#ifndef APPLEHALL_NODE_FLEET_MANAGER_H_
#define APPLEHALL_NODE_FLEET_MANAGER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/engine_loads.h"
#include "node/limit_manager.h"
#include "node/node_context.h"
#include "node/placement_lease.h"
#include "node/quarantine_manager.h"
#include "node/quota_manager.h"
#include "node/reader_selector.h"
#include "node/store_relay.h"
#include "placement/fleet_planner.h"

namespace applehall {

// This host's part in the placement of all listed engines.
//
// One host holds the lease, a record of the platform's store, and plans for
// all; the others tell it what waits and runs at theirs and learn from it what
// is ready where. The store's conditional append decides who holds the lease;
// signs of life only decide when another host may try. Without an owner, or
// cut off from it, a host goes on serving what the listing shows as loaded.
class FleetManager {
 public:
  FleetManager(NodeContext& context, QuarantineManager& quarantine,
               QuotaManager& quotas, LimitManager& limits)
      : context_(context),
        quarantine_(quarantine),
        quotas_(quotas),
        limits_(limits),
        lease_(context) {}

  // ---- What the platform says. Not thread-safe. ----
  void HandleServerList(const ServerListRead& event);
  void HandleCatalogueChange();
  void HandleLeaseRead(const LeaseRead& event);
  void TakeAppendEnd(const LeaseAppendEnded& event);
  void TakeInventory(const Inventory& inventory, TimePoint asked_at);
  void TakeOrderResult(const OrderAnswered& event);

  // ---- What other hosts say. Not thread-safe. ----
  void HandleHostReport(const std::string& host, const Json& body);
  // The answers in it to this host's demands.
  std::vector<DemandAnswer> TakePlan(const std::string& host, const Json& body);

  // ---- What this host's requests say. Not thread-safe. ----
  void RecordArrival(const std::string& target, double worth);
  // States the level of one target's queue until the next tick.
  void SetDemand(const Demand& demand);

  // Holds or claims the lease, plans, reports. The answers to this host's own
  // demands if it is the owner. Not thread-safe.
  std::vector<DemandAnswer> RunTick();

  // The lease is given back, or never was held. Not thread-safe.
  bool IsReleased() const { return !planner_ && !lease_.is_appending(); }
  bool is_known() const { return !servers_.empty(); }
  // The host that reads the store for this data centre, as the placement owner
  // says; nobody if it said nothing. Not thread-safe.
  const PeerAddress& reader() const { return reader_; }
  // One that may stand in for it. Not thread-safe.
  const PeerAddress& backup_reader() const { return backup_reader_; }
  // Who holds the lease, as far as this host knows. Not thread-safe.
  KnownOwner NewestOwner() const { return lease_.NewestOwner(); }
  // Another host says who does. Not thread-safe.
  void RecordOwner(const KnownOwner& owner) { lease_.RecordOwner(owner); }
  // A backend server of `service` is listed. Not thread-safe.
  bool OffersService(const std::string& service) const;
  Json ToJson() const;

 private:
  // When a data centre was told the shared plan, and up to which news.
  struct SharedPlanState {
    TimePoint at;
    uint64_t news = 0;
  };

  void StartPlanning();
  void StopPlanning();
  void HandOver();
  void SayResigned();
  // The lease cannot be proven here, and another host reaches the store.
  bool IsHandingOver() const;
  void Plan();
  void LogNotes();
  void ReportToOwner();
  void SendPlans();
  // What only `host` asked for, and at its first report all there is.
  void SendPlan(const std::string& host, FleetPeer& peer);
  // What every host of a data centre is told.
  void SendSharedPlans();
  void SendSharedPlan(const std::string& data_centre, SharedPlanState& told);
  // What all plans say, with the news of engines after `since`. One-letter
  // keys, as with reports: k token, p address, e engines, w answers, r reader,
  // n hosts, f and u first and last news, q contents under quarantine, s limits
  // of servers; b backup reader and l loads in some.
  Json PlanBody(const std::string& data_centre, uint64_t since);
  void TakeNews(const Json& body, FencingToken token);
  bool CanReadStore() const;
  int PeersIn(const std::string& data_centre) const;
  PeerAddress ReaderOf(const std::string& data_centre);
  // True if a request here waits for what the last report did not say.
  bool HasNewWaiting() const;
  HostReport MakeReport();
  EngineLoads SumLoads() const;
  void TakeLoads(EngineLoads loads);
  // Shows in the routing view what may be sent to a server.
  void Apply(const std::string& id);
  void Forget(const std::string& id);
  void DropDeparted();
  bool IsLaterLife(const ListedServer& server);

  NodeContext& context_;
  QuarantineManager& quarantine_;
  QuotaManager& quotas_;
  LimitManager& limits_;
  EngineList servers_;
  // Not listed any more, but only since the store was away: they may be back.
  std::set<std::string> departing_;
  std::map<std::string, std::vector<std::string>> announced_;
  // What the own planner said last of an engine; `news` orders the changes of
  // all engines, so that a host is sent only what it has not seen.
  struct Applied {
    uint64_t version = 0;
    uint64_t news = 0;
  };
  std::map<std::string, Applied> applied_;
  uint64_t last_news_ = 0;
  EngineLoads loads_;
  TimePoint loads_at_;  // When they were told or summed up.
  uint64_t digest_count_ = 0;

  PlacementLease lease_;
  std::unique_ptr<FleetPlanner> planner_;
  FleetPeers peers_;
  ReaderSelector readers_{peers_};
  std::map<std::string, SharedPlanState> told_;  // By data centre.
  std::string last_told_;  // Data centres are told by turns.

  // The owner whose news of engines are known here, up to which, and whether
  // some before that were missed.
  FencingToken news_token_ = 0;
  uint64_t known_news_ = 0;
  bool has_missed_news_ = false;

  PeerAddress reader_;         // Of this data centre.
  PeerAddress backup_reader_;  // The same.
  PeerAddress resigned_;       // The last owner that gave its lease up.
  // This host's own usage.
  std::map<std::string, Demand> waiting_;
  std::map<std::string, std::pair<int, double>> arrivals_;
  std::set<std::string> reported_waiting_;
  TimePoint reported_at_;
  TimePoint planned_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_FLEET_MANAGER_H_

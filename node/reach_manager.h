#ifndef APPLEHALL_NODE_REACH_MANAGER_H_
#define APPLEHALL_NODE_REACH_MANAGER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/engine_list.h"
#include "node/helper_selector.h"
#include "node/messages.h"
#include "node/node_context.h"
#include "routing/server_reach.h"

namespace applehall {

// Keeps which services' backend servers this host can open connections to, and
// which other hosts can take its requests while it cannot.
//
// Hosts report unreachable services to the placement owner, whose plans name
// hosts that reach them. A service that no host reaches is down; its requests
// are forwarded nowhere.
class ReachManager {
 public:
  explicit ReachManager(NodeContext& context)
      : context_(context),
        helpers_(context.settings.self.host, context.settings.seed * 17 + 3) {}

  // Sets the listing that names the service of each server. It must outlive
  // this. Not thread-safe.
  void SetServers(const EngineList* servers) { servers_ = servers; }
  // Handles a change of the listing. Not thread-safe.
  void HandleListing();
  // Handles the outcome of a new connection to a backend server. Not
  // thread-safe.
  void HandleConnection(const ServerConnection& event);
  // Handles the result of a check of this host's links. Requires:
  // `probed.is_link_check`. Not thread-safe.
  void HandleLinkCheck(const ServerProbed& probed);
  // Checks links that may have failed or healed. Not thread-safe.
  void RunTick();

  bool IsUnreachable(const std::string& service) const {
    return reach_.IsUnreachable(service);
  }
  bool IsAnyUnreachable() const { return !reach_.unreachable().empty(); }
  // Returns whether the service has been unreachable for longer than servers
  // are silent without a fault. Not thread-safe.
  bool IsOutage(const std::string& service) const;
  // Returns whether no engine of any service can be reached, so that this host
  // can place no models. Not thread-safe.
  bool IsCutOffFromEngines() const;
  // Returns whether this host can serve nothing: it reaches no server of any
  // listed service, and no other host that serves its requests. Not
  // thread-safe.
  bool IsIsolated() const;
  // Returns since when no engine can be reached. Requires:
  // IsCutOffFromEngines(). Not thread-safe.
  TimePoint CutOffSince() const;
  // Returns whether a new connection to another server of the same service was
  // made at `since` or later, so that the links of this host do not explain a
  // failure of `server`. If there is no other server, or `server` is not
  // listed, nothing is in doubt, and the result is true. Not thread-safe.
  bool HasWorkingLinks(const std::string& server, TimePoint since) const;
  // Checks links to other servers of the same service. Not thread-safe.
  void CheckLinksBeside(const std::string& server);

  // Returns a host for a request to `service` that was not sent to the hosts
  // in `tried`. Not thread-safe.
  std::optional<PeerAddress> ChooseHelper(const std::string& service,
                                          const std::set<std::string>& tried) {
    return helpers_.Choose(service, tried, context_.now);
  }
  bool HasHelper(const std::string& service) {
    return helpers_.Choose(service, {}, context_.now).has_value();
  }
  void RecordHelperFailure(const std::string& host,
                           const std::string& service) {
    helpers_.RecordFailure(host, service, context_.now);
    helper_failed_at_ = context_.now;
  }
  void RecordHelperSuccess(const std::string& host,
                           const std::string& service) {
    helpers_.RecordSuccess(host, service);
    helper_failed_at_.reset();
  }

  // ---- Messages between hosts. Not thread-safe. ----
  // Whether the last report differs from the present state.
  bool HasNewRows() const;
  void AddReportRows(Json& body);
  // Merges a report into the owner's record of the host.
  void HandleReport(const Json& body, FleetPeer& peer) const;
  // Adds the helpers of `data_centre` to a plan.
  void AddPlanRows(const std::string& data_centre, const FleetPeers& peers,
                   Json& body);
  void HandlePlan(const Json& body);

  Json ToJson() const;

 private:
  // Number of listed servers of `service` that do not leave.
  int CountServers(const std::string& service) const;
  void Record(const std::string& server, bool is_connected, bool is_check);
  void HandleChange(const std::string& service, const std::string& server,
                    ServerReach::Change change, Duration lasted);
  // Returns when the last new connection to an engine was made.
  TimePoint EnginesReachedAt() const;
  // Returns the other servers of the same service that do not leave.
  std::vector<const ListedServer*> OthersBeside(
      const std::string& server) const;
  void LogIsolation();
  // Checks the links to some servers of `service`.
  void CheckLinks(const std::string& service, int count);
  // Checks the links to `count` of the candidates, drawn at random.
  void SendChecks(std::vector<const ListedServer*> candidates, int count);
  std::string ForwardAddress() const;
  std::set<std::string> UnreachableServices() const;

  NodeContext& context_;
  const EngineList* servers_ = nullptr;
  // Of the listing, without servers that leave: the servers of each service,
  // and the services that have engines.
  std::map<std::string, int> server_counts_;
  std::set<std::string> engine_services_;
  ServerReach reach_;
  HelperSelector helpers_;
  // When the last helper that was asked failed, unless another is named since.
  std::optional<TimePoint> helper_failed_at_;
  bool was_isolated_ = false;                    // At the last tick.
  std::map<std::string, TimePoint> checked_at_;  // By service.
  // As last reported to the owner.
  std::set<std::string> reported_;
  std::string reported_address_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REACH_MANAGER_H_

#ifndef APPLEHALL_NODE_NODE_SETTINGS_H_
#define APPLEHALL_NODE_NODE_SETTINGS_H_

#include <string>

#include "admission/quota_types.h"
#include "claims/claim_guard.h"
#include "core/policy_set.h"
#include "node/freshness_budget.h"
#include "placement/engine_owner.h"
#include "placement/ownership_table.h"

namespace applehall {

inline constexpr char kClaimsStream[] = "claims";
inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

enum class PlacementStyle : uint8_t {
  // Several groups of engines in each data centre, each with its own owner.
  kGroups,
  // One owner for all engines that the platform lists.
  kFleet,
};

// Settings of a node, fixed at its start: identity, capacity and timeouts. What
// operators change at run time is part of the rules.
struct NodeSettings {
  Incarnation self;
  std::string data_centre;
  int group_count = 1;  // Groups of engines in this data centre.
  OwnerSettings owner;
  ClaimSettings claims;
  Duration gossip_interval = std::chrono::milliseconds(500);
  Duration min_gossip_interval = std::chrono::milliseconds(50);
  Duration demand_interval = std::chrono::milliseconds(200);
  // An owner without contact for this long may be replaced.
  Duration owner_lease = std::chrono::seconds(4);
  // Maximum lag of the host list.
  Duration host_list_lag = std::chrono::seconds(5);
  Duration log_down_after = std::chrono::seconds(2);
  // Entries of live servers lapse in an outage of the store only if it lasts
  // longer than this: their heartbeats are missed several times first.
  Duration min_lapse_outage = std::chrono::milliseconds(2400);
  // This long after a fault at its process, its links or the store, a host must
  // keep all bounds again.
  Duration contact_time = std::chrono::seconds(3);
  // The control state is written again when its last snapshot is this old.
  Duration max_snapshot_age = std::chrono::minutes(10);
  Duration max_drain = std::chrono::seconds(60);
  double store_loads_per_second = 2.0;
  double store_slots = 4.0;
  size_t max_in_flight_per_caller = 2000;
  size_t max_open_requests = 20000;
  size_t decisions_kept = 2000;
  uint64_t seed = 1;

  // Which host places models, and on which engines.
  PlacementStyle placement = PlacementStyle::kGroups;
  // For kFleet only: the address at which other hosts reach this one.
  std::string peer_address;
  // The address for requests that other hosts forward; empty: none are taken.
  std::string forward_address;
  bool engines_check_fences = true;
  double cpu_share = 1.0;  // Of a core, for this process.
  double link_mbps = 0;    // Bandwidth of this host's link; 0: unknown.
  // How long a new placement owner leaves its predecessor's orders in place.
  Duration order_lease = std::chrono::seconds(3);
  // Retries, for each service, that all hosts together may send at once in
  // addition to the retry budget's share of the requests.
  double retry_slack = 50;
  // An earlier process of this host may have spent retries just before.
  bool follows_earlier_process = false;
  QuotaTolerance quota_tolerance;
  // Time from the store's acknowledgement of a change until it is in force
  // here.
  FreshnessBudget freshness = FreshnessBudget::Within(std::chrono::seconds(2));
  // Whether all hosts of the deployment start for the first time, so that no
  // stream began before.
  bool is_first_start = false;
  // The deployment has teams: requests need a key, also under a configuration
  // without a list of teams.
  bool has_teams = false;
  // Minimum duration of a drain. The platform takes some time to route callers
  // elsewhere; until then a draining host still serves them.
  Duration min_drain{0};
  bool serves_while_draining = false;
  PolicySet policies;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_SETTINGS_H_

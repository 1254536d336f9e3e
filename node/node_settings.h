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
  // Groups of engines in each data centre, each with its owner.
  kGroups,
  // All engines that the platform lists, with one owner.
  kFleet,
};

// What a node is told at its start. Durations that bound failures stand here,
// what operators decide stands in the rules.
struct NodeSettings {
  Incarnation self;
  std::string data_centre;
  int group_count = 1;  // Groups of engines in this data centre.
  OwnerSettings owner;
  ClaimSettings claims;
  Duration gossip_interval = std::chrono::milliseconds(500);
  Duration min_gossip_interval = std::chrono::milliseconds(50);
  Duration demand_interval = std::chrono::milliseconds(200);
  // An owner not heard of for this long may be replaced.
  Duration owner_lease = std::chrono::seconds(4);
  // By how much the host list may lag.
  Duration host_list_lag = std::chrono::seconds(5);
  Duration log_down_after = std::chrono::seconds(2);
  // Carry the state forward when its record is this old.
  Duration max_snapshot_age = std::chrono::minutes(10);
  Duration max_drain = std::chrono::seconds(60);
  double store_loads_per_second = 2.0;
  double store_slots = 4.0;
  size_t max_in_flight_per_caller = 2000;
  size_t max_open_requests = 20000;
  size_t decisions_kept = 2000;
  uint64_t seed = 1;

  // Who places models, and on which engines.
  PlacementStyle placement = PlacementStyle::kGroups;
  // For kFleet only. Where other hosts reach this one.
  std::string peer_address;
  bool engines_check_fences = true;
  double cpu_share = 1.0;  // Of a core, for this process.
  double link_mbps = 0;    // Of this host's link; zero: not told.
  // How long a new placement owner leaves the orders of the one before it.
  Duration order_lease = std::chrono::seconds(3);
  // Further sends that all hosts together may make at once beside a share of
  // the requests, for each service.
  double retry_slack = 50;
  QuotaTolerance quota_tolerance;
  // From the store's acknowledgement to a change in force here.
  FreshnessBudget news = FreshnessBudget::Within(std::chrono::seconds(2));
  // The platform takes some time to send callers elsewhere; until then a
  // draining host serves them.
  Duration min_drain{0};
  bool serves_while_draining = false;
  PolicySet policies;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_NODE_SETTINGS_H_

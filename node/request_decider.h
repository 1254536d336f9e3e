#ifndef APPLEHALL_NODE_REQUEST_DECIDER_H_
#define APPLEHALL_NODE_REQUEST_DECIDER_H_

#include <optional>
#include <string>

#include "node/fleet_manager.h"
#include "node/node_context.h"
#include "node/open_request.h"
#include "node/quota_manager.h"

namespace applehall {

// Decides on a request when it arrives: the rule, the team that it runs for,
// the service or model that it needs, and whether the team's quota allows it.
class RequestDecider {
 public:
  RequestDecider(NodeContext& context, FleetManager& fleet,
                 QuotaManager& quotas)
      : context_(context), fleet_(fleet), quotas_(quotas) {}

  // Sets rule, team, deadline and target; returns a refusal if one of them
  // requires it. Requires: a rule set is in force. Not thread-safe.
  std::optional<Refusal> Decide(OpenRequest& request);
  // Counts the request against its team's quota, or returns a refusal.
  // Requires: the request was decided and nothing else refuses it. Not
  // thread-safe.
  std::optional<Refusal> CheckQuota(OpenRequest& request);

  // Sends the request to `service`, at which its stream began. Returns false if
  // its rule does not name that service. Requires: the request is decided. Not
  // thread-safe.
  bool SetService(OpenRequest& request, const std::string& service) const;

 private:
  std::optional<Refusal> DecideByRules(OpenRequest& request);
  // Turns a permanent refusal into a temporary one if the rules may be stale.
  Refusal QualifyByFreshness(Refusal refusal) const;
  std::optional<Refusal> Authenticate(OpenRequest& request);
  void ChooseService(OpenRequest& request);
  std::string ChooseTarget(OpenRequest& request) const;
  std::optional<Refusal> CheckTarget(const OpenRequest& request) const;
  bool IsFleet() const {
    return context_.settings.placement == PlacementStyle::kFleet;
  }

  NodeContext& context_;
  FleetManager& fleet_;
  QuotaManager& quotas_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REQUEST_DECIDER_H_

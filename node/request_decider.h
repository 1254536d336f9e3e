#ifndef APPLEHALL_NODE_REQUEST_DECIDER_H_
#define APPLEHALL_NODE_REQUEST_DECIDER_H_

#include <optional>
#include <string>

#include "node/fleet_manager.h"
#include "node/node_context.h"
#include "node/open_request.h"
#include "node/quota_manager.h"

namespace applehall {

// What is decided of a request when it arrives: the rule, the team it runs for,
// the service or model it needs, and whether the team's quota bears it.
class RequestDecider {
 public:
  RequestDecider(NodeContext& context, FleetManager& fleet,
                 QuotaManager& quotas)
      : context_(context), fleet_(fleet), quotas_(quotas) {}

  // Fills in rule, team, deadline and target; a refusal if any of them says so.
  // Requires: a rule set is in force. Not thread-safe.
  std::optional<Refusal> Decide(OpenRequest& request);
  // Counts the request against its team's quota. Requires: it was decided and
  // nothing else refuses it. Not thread-safe.
  std::optional<Refusal> AskQuota(OpenRequest& request);

 private:
  std::optional<Refusal> DecideByRules(OpenRequest& request);
  // A refusal for good, by rules that may have been replaced, becomes one that
  // lets the caller come back.
  Refusal QualifiedByNews(Refusal refusal) const;
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

#ifndef APPLEHALL_NODE_QUOTA_MANAGER_H_
#define APPLEHALL_NODE_QUOTA_MANAGER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admission/quota_gate.h"
#include "admission/quota_ledger.h"
#include "node/node_context.h"

namespace applehall {

// Enforces the quotas of teams: a gate for the requests of this host and, while
// this host holds the placement lease, the ledger of all hosts. Usage and
// shares are part of the reports and plans of placement.
//
// While no owner is reachable, the store reader of a data centre keeps a ledger
// of the data centre's part of each quota for all its hosts. If each host had
// only its own small part, a team with more requests than usual at one host
// would be refused there, although it is within its quota.
class QuotaManager {
 public:
  explicit QuotaManager(NodeContext& context)
      : context_(context),
        gate_(context.settings.quota_tolerance,
              QuotaSplitFor(context.settings.policies)) {}

  // Charges `cost` to the quota of `team`. Returns a refusal if the quota is
  // used up. Not thread-safe.
  std::optional<Refusal> Charge(const Team& team, double cost);
  // Refunds an admitted request that did not run and never will. Not
  // thread-safe.
  void GiveBack(const std::string& team, double cost) {
    gate_.GiveBack(team, cost);
  }

  // Start and end of this host's placement lease. Not thread-safe.
  void StartPlanning();
  void StopPlanning() { ledger_.reset(); }
  // Computes the shares while this host holds the lease. Without shares of an
  // owner, reports to `reader`, the store reader of this data centre. Not
  // thread-safe.
  void RunTick(const PeerAddress& reader);

  // Returns the usage for this host's report; empty if no team has a quota. Not
  // thread-safe.
  Json ReportRows() const;
  void HandleReport(const std::string& host, const std::string& data_centre,
                    const Json& rows);
  // Returns the shares for plans to hosts of `data_centre`; empty until all
  // hosts have reported, or without quotas. Not thread-safe.
  Json PlanRows(const std::string& data_centre) const;
  void HandlePlan(const Json& rows);
  // Handles the usage of a host of this data centre that reaches no owner. Not
  // thread-safe.
  void HandleCentreUsage(const std::string& host, const Json& body);
  // Handles the shares that the store reader of this data centre computed. Not
  // thread-safe.
  void HandleCentreShares(const Json& body);
  // True if a team is throttled, so that its share must follow its demand. Not
  // thread-safe.
  bool IsThrottling() const;

  Json ToJson() const;

 private:
  static QuotaSplit QuotaSplitFor(const PolicySet& policies) {
    if (policies.Has(Policy::kQuotaShares)) return QuotaSplit::kByDemand;
    return policies.Has(Policy::kQuotaUsage) ? QuotaSplit::kByUsage
                                             : QuotaSplit::kEven;
  }
  bool HasQuotas() const;
  // Returns the shares of all hosts that report to `ledger`, including this.
  QuotaShares ComputeShares(QuotaLedger& ledger,
                            std::shared_ptr<const TeamRegistry> teams);
  void RunOwner();
  void RunWithoutOwner(const PeerAddress& reader);
  void RunCentreLedger();
  std::shared_ptr<const TeamRegistry> CentreTeams() const;
  void LogThrottled(const QuotaShares& shares) const;

  NodeContext& context_;
  QuotaGate gate_;
  std::unique_ptr<QuotaLedger> ledger_;
  QuotaShares shares_;  // Last received from the owner, or computed as owner.
  TimePoint computed_at_;
  int known_hosts_ = 0;  // Last host count of an owner; zero: no owner yet.

  // This data centre's part of each quota, by team.
  std::map<std::string, double> centre_parts_;
  std::unique_ptr<QuotaLedger> centre_ledger_;
  QuotaShares centre_shares_;
  TimePoint centre_reported_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_QUOTA_MANAGER_H_

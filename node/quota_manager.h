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

// This host's part in holding teams to their quotas: the gate for its own
// requests and, while it holds the placement lease, the ledger of all hosts.
// Both travel with the reports and plans of placement.
//
// Without word from an owner, the hosts of a data centre go by one of them, the
// reader of the store: it keeps a ledger of their part of each quota. Otherwise
// each host would have its own small part only, which refuses whoever has more
// requests at one host than usual, although the team is within its quota.
class QuotaManager {
 public:
  explicit QuotaManager(NodeContext& context)
      : context_(context),
        gate_(context.settings.quota_tolerance,
              SplitOf(context.settings.policies)) {}

  // A refusal if `team` has used its quota up. Not thread-safe.
  std::optional<Refusal> Charge(const Team& team, double cost);
  // An admitted request has not run and never will. Not thread-safe.
  void GiveBack(const std::string& team, double cost) {
    gate_.GiveBack(team, cost);
  }

  // This host holds the lease from now on, or does not. Not thread-safe.
  void StartPlanning();
  void StopPlanning() { ledger_.reset(); }
  // Decides on the shares while this host holds the lease; without an owner's
  // word, turns to `reader`, that of this data centre. Not thread-safe.
  void RunTick(const PeerAddress& reader);

  // What this host's report says; empty where no team has a quota. Not
  // thread-safe.
  Json ReportRows() const;
  void TakeReport(const std::string& host, const std::string& data_centre,
                  const Json& rows);
  // What plans to hosts of `data_centre` say; empty until all hosts were heard,
  // or without quotas. Not thread-safe.
  Json PlanRows(const std::string& data_centre) const;
  void TakePlan(const Json& rows);
  // A host of this data centre hears no owner. Not thread-safe.
  void HandleCentreUsage(const std::string& host, const Json& body);
  void HandleCentreShares(const Json& body);
  // A team is held back, so its share has to follow what it asks for. Not
  // thread-safe.
  bool IsThrottling() const;

  Json ToJson() const;

 private:
  static QuotaSplit SplitOf(const PolicySet& policies) {
    if (policies.Has(Policy::kQuotaShares)) return QuotaSplit::kByDemand;
    return policies.Has(Policy::kQuotaUsage) ? QuotaSplit::kByUsage
                                             : QuotaSplit::kEven;
  }
  bool HasQuotas() const;
  // The shares of all hosts that report to `ledger`, this one included.
  QuotaShares Decide(QuotaLedger& ledger,
                     std::shared_ptr<const TeamRegistry> teams);
  void RunOwner();
  void RunCentre(const PeerAddress& reader);
  void StandIn();
  std::shared_ptr<const TeamRegistry> CentreTeams() const;
  void LogThrottled(const QuotaShares& shares) const;

  NodeContext& context_;
  QuotaGate gate_;
  std::unique_ptr<QuotaLedger> ledger_;
  QuotaShares shares_;  // As told or decided last.
  TimePoint decided_at_;
  int told_hosts_ = 0;  // As many as an owner told of; zero: none did.

  // Of each quota, that the hosts of this data centre have together.
  std::map<std::string, double> centre_parts_;
  std::unique_ptr<QuotaLedger> centre_ledger_;
  QuotaShares centre_shares_;
  TimePoint asked_centre_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_QUOTA_MANAGER_H_

#ifndef APPLEHALL_NODE_QUOTA_KEEPER_H_
#define APPLEHALL_NODE_QUOTA_KEEPER_H_

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
class QuotaKeeper {
 public:
  explicit QuotaKeeper(NodeContext& context)
      : context_(context),
        gate_(context.settings.quota_tolerance,
              SplitOf(context.settings.policies)) {}

  // A refusal if `team` has used its quota up. Not thread-safe.
  std::optional<Refusal> Ask(const Team& team, double cost);
  // An admitted request has not run and never will. Not thread-safe.
  void GiveBack(const std::string& team, double cost) {
    gate_.GiveBack(team, cost);
  }

  // This host holds the lease from now on, or does not. Not thread-safe.
  void StartPlanning();
  void StopPlanning() { ledger_.reset(); }
  // Decides on the shares while this host holds the lease. Not thread-safe.
  void RunTick();

  // What this host's report says; empty where no team has a quota. Not
  // thread-safe.
  Json ReportRows();
  void TakeReport(const std::string& host, const Json& rows);
  // What plans say; empty until all hosts were heard, or without quotas. Not
  // thread-safe.
  Json PlanRows() const;
  void TakePlan(const Json& rows);
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
  void LogThrottled(const QuotaShares& shares);

  NodeContext& context_;
  QuotaGate gate_;
  std::unique_ptr<QuotaLedger> ledger_;
  QuotaShares shares_;  // As told or decided last.
  TimePoint decided_at_;
  int told_hosts_ = 0;  // As many as an owner told of; zero: none did.
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_QUOTA_KEEPER_H_

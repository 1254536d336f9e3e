#ifndef APPLEHALL_NODE_PERFORMANCE_MANAGER_H_
#define APPLEHALL_NODE_PERFORMANCE_MANAGER_H_

#include <map>
#include <memory>
#include <string>

#include "membership/engine_list.h"
#include "node/node_context.h"
#include "routing/performance_table.h"

namespace applehall {

// Measures how fast servers are and how many prompt tokens they get, summed
// over all hosts.
//
// Hosts report what they sent and measured to the placement owner, whose plans
// name the sums. All of it is a level that the next message states again, so a
// lost message or owner does little harm.
class PerformanceManager {
 public:
  explicit PerformanceManager(NodeContext& context) : context_(context) {}

  // Records a prompt that was sent to `server`, and an answer from it that took
  // `interval` between events, or altogether for a call. Not thread-safe, as
  // all below.
  void RecordPrompt(const std::string& server, double tokens);
  void RecordInterval(const std::string& server, Duration interval);
  // Records a call that `server` answered after `took`, with the load that it
  // reported in the answer.
  void RecordCall(const std::string& server, Duration took,
                  const ReportedLoad& load);

  // Start and end of this host's placement lease.
  void StartPlanning();
  void StopPlanning() { table_.reset(); }
  // Returns and clears the rows for a report to the owner; empty if nothing was
  // sent.
  Json TakeReportRows();
  // Adds a host's rows. Requires: this host holds the lease.
  void HandleReport(const Json& rows, const EngineList& servers);
  // Adds this host's own rows and applies the sums to the routing view.
  // Requires: this host holds the lease.
  void RunOwner(const EngineList& servers);
  // Returns the rows for a plan to `data_centre`: the servers whose figures
  // changed most since they were last sent there.
  Json TakePlanRows(const std::string& data_centre);
  void HandlePlan(const Json& rows);
  // Drops the rates once no owner has stated any for a while.
  void RunFollower();
  // Drops the rates; speeds stay.
  void HandleSilence();
  // Applies what is known of `server` to the routing view, which forgets it
  // with the server.
  void Apply(const std::string& server) const;
  void Remove(const std::string& server);
  // Speeds of the servers that were measured. Requires: this host holds the
  // lease.
  std::map<std::string, double> Speeds() const { return table_->Speeds(); }

 private:
  struct SentRow {
    EnginePerformance performance;
    TimePoint at;
  };

  NodeContext& context_;
  PerformanceSamples samples_;  // Since the last report.
  std::map<std::string, EnginePerformance> known_;
  TimePoint stated_at_;  // When an owner last stated figures.
  std::unique_ptr<PerformanceTable> table_;
  // By data centre and server.
  std::map<std::string, std::map<std::string, SentRow>> sent_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_PERFORMANCE_MANAGER_H_

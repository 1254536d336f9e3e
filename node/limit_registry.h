#ifndef APPLEHALL_NODE_LIMIT_REGISTRY_H_
#define APPLEHALL_NODE_LIMIT_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/server_limit.h"
#include "core/json.h"
#include "membership/engine_list.h"
#include "node/lease_record.h"

namespace applehall {

// Registry of one host for the rate limits of backend servers, as named in
// answers to this host and in plans of the placement owner.
//
// Answers arrive out of order, and so do the reports of many hosts at the
// owner. Therefore the owner assigns each limit a version. A host reports the
// limit of an answer together with the last version that it received, and the
// owner applies only reports about its newest version.
class LimitRegistry {
 public:
  // ---- Answers of servers. Not thread-safe, as all below. ----
  // Applies the limit in an answer of `server` to a request that was sent at
  // `sent_at`. Returns true if the limit changes here.
  bool ApplyReported(const std::string& server, const ReportedLimit& reported,
                     TimePoint sent_at, TimePoint now);
  // Removes a server that left or restarted under its id: a limit applies only
  // to the incarnation that named it.
  void Remove(const std::string& server, TimePoint now);
  // Lifts limits that no answer has named for a long time. For the owner, and
  // for hosts that reach no owner.
  void Expire(TimePoint now);

  // ---- Lookup. ----
  // Returns the limit in requests a second; nothing if the server has none.
  std::optional<double> Find(const std::string& server) const;
  // Returns all limits, by server.
  std::map<std::string, double> Limits() const;
  bool empty() const { return entries_.empty(); }
  // Returns the servers whose limit has changed since the last call.
  std::vector<std::string> TakeChanged() { return std::exchange(changed_, {}); }
  // Returns the time since the limit changed last; the maximum if it is not
  // known. Not thread-safe.
  Duration KnownFor(const std::string& server, TimePoint now) const;
  // Returns the time since the limit was last named in an answer or a plan.
  Duration Age(const std::string& server, TimePoint now) const;

  // ---- Reports and plans between hosts. ----
  // Returns the rows to report to the owner under `token`; empty if none.
  Json ReportRows(FencingToken token, const EngineList& servers, TimePoint now);
  // True if a row must not wait for the next regular report.
  bool HasNewRows() const;
  // Applies the rows of a host's report, at the owner.
  void HandleReport(const Json& rows, const EngineList& servers, TimePoint now);
  // Assigns the next update numbers of the owner to the limits that changed
  // since the last call. `last_update` is the last number assigned.
  void NumberRows(uint64_t& last_update);
  // Assigns new update numbers to all limits, for the first plans of a new
  // owner.
  void RenumberRows(uint64_t& last_update);
  // Returns the rows of a plan with the updates after `since`.
  Json PlanRows(uint64_t since, const EngineList& servers, TimePoint now) const;
  // Applies the rows of a plan of the owner under `token`.
  void HandlePlan(const Json& rows, FencingToken token,
                  const EngineList& servers, TimePoint now);

  Json ToJson(TimePoint now) const;

 private:
  struct Entry {
    std::optional<double> per_second;  // Nothing: the limit was lifted.
    TimePoint known_since;             // Last change of `per_second`.
    TimePoint named_at;                // Last answer to any host that named it.
    FencingToken token = 0;            // Of the owner that assigned `version`.
    uint64_t version = 0;              // Zero: no owner assigned one yet.
    uint64_t base = 0;       // Last version before an observation of this host.
    bool is_own = false;     // Observed here, not confirmed by the owner.
    bool is_unsent = false;  // Observed here, not reported yet.
    TimePoint refreshed_at;  // Last report to the owner that it is still named.
  };
  struct Row {
    std::string server;
    TimePoint started_at;
    std::optional<double> per_second;
    Duration age{0};
    uint64_t version = 0;
  };

  static std::optional<Row> ParseRow(const Json& json);
  static Json RowToJson(const std::string& server, const Entry& entry,
                        uint64_t version, const EngineList& servers,
                        TimePoint now);
  // True if the row is about an incarnation older than the listed one.
  static bool IsOfEarlierIncarnation(const Row& row, const EngineList& servers);
  void Set(const std::string& server, Entry& entry,
           std::optional<double> per_second, TimePoint now);

  std::map<std::string, Entry> entries_;
  // Start of the present incarnation by server. Answers to requests that were
  // sent earlier are ignored.
  std::map<std::string, TimePoint> starts_;
  std::vector<std::string> changed_;
  std::set<std::string> unnumbered_;  // Changed since the last NumberRows().
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LIMIT_REGISTRY_H_

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

// What one host knows of the limits of backend servers, from the answers that
// it got and from the placement owner.
//
// Answers overtake each other, and those of many hosts reach the owner in any
// order. So each limit has the owner's version of it, a host reports what an
// answer says together with the version that it knew when it sent the request,
// and the owner takes only words on its newest version.
class LimitRegistry {
 public:
  // ---- What answers say. Not thread-safe, as all below. ----
  // An answer of `server` to a request that was sent at `sent_at`. True if that
  // changes its limit here.
  bool ApplyReported(const std::string& server, const ReportedLimit& reported,
                     TimePoint sent_at, TimePoint now);
  // It left, or what is listed under its id is a later life: a limit ends with
  // the life that named it.
  void Forget(const std::string& server, TimePoint now);
  // Drops limits that nobody has named for a long time; at the owner, and where
  // none is heard.
  void Expire(TimePoint now);

  // ---- What is known. ----
  // Requests a second; nothing if it names no limit.
  std::optional<double> Find(const std::string& server) const;
  // All of them, by server.
  std::map<std::string, double> Limits() const;
  bool empty() const { return entries_.empty(); }
  // Servers whose limit has changed since the last call.
  std::vector<std::string> TakeChanged() { return std::exchange(changed_, {}); }
  // Since its limit was last named here or by the owner.
  Duration Age(const std::string& server, TimePoint now) const;

  // ---- Between the hosts. ----
  // Rows of the report to the owner under `token`; empty if it knows all.
  Json ReportRows(FencingToken token, const EngineList& servers, TimePoint now);
  // Something in them cannot wait for the next regular report.
  bool HasNewRows() const;
  // The rows of a host's report, at the owner.
  void TakeReport(const Json& rows, const EngineList& servers, TimePoint now);
  // Numbers what has changed since the last call among the owner's news; the
  // last number given is `last_news`.
  void NumberRows(uint64_t& last_news);
  // Numbers all that is known, for a new owner's first plans.
  void RenumberRows(uint64_t& last_news);
  // The rows of a plan with the news after `since`.
  Json PlanRows(uint64_t since, const EngineList& servers, TimePoint now) const;
  // The rows of a plan of the owner under `token`.
  void TakePlan(const Json& rows, FencingToken token, const EngineList& servers,
                TimePoint now);

  Json ToJson(TimePoint now) const;

 private:
  struct Entry {
    std::optional<double> per_second;  // Nothing: it named one before.
    TimePoint known_since;             // This value.
    TimePoint named_at;                // Last time that somebody was told it.
    FencingToken token = 0;            // The owner's whose version this is.
    uint64_t version = 0;              // Zero: no owner knows it yet.
    uint64_t base = 0;       // The version that an own observation is about.
    bool is_own = false;     // Observed here, not confirmed by the owner.
    bool is_unsent = false;  // And in no report yet.
    TimePoint refreshed_at;  // Told the owner that it is still named.
  };
  struct Row {
    std::string server;
    TimePoint started_at;
    std::optional<double> per_second;
    Duration age{0};
    uint64_t version = 0;
  };

  static std::optional<Row> ReadRow(const Json& json);
  static Json RowJson(const std::string& server, const Entry& entry,
                      uint64_t version, const EngineList& servers,
                      TimePoint now);
  // Of a life of the server that is over, by the listing.
  static bool IsOfEarlierLife(const Row& row, const EngineList& servers);
  void Set(const std::string& server, Entry& entry,
           std::optional<double> per_second, TimePoint now);

  std::map<std::string, Entry> entries_;
  // Answers to requests that were sent before are of an earlier life.
  std::map<std::string, TimePoint> lives_;
  std::vector<std::string> changed_;
  std::set<std::string> unnumbered_;  // Changed since NumberRows().
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LIMIT_REGISTRY_H_

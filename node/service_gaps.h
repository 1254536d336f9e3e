#ifndef APPLEHALL_NODE_SERVICE_GAPS_H_
#define APPLEHALL_NODE_SERVICE_GAPS_H_

#include <array>
#include <string>

#include "core/unserved_demand.h"
#include "node/node_context.h"
#include "node/open_request.h"

namespace applehall {

// How long this host's callers have gone unserved while they keep asking, by
// target, rule, team and session. Logs long gaps and exports the longest of
// each kind.
class ServiceGaps {
 public:
  explicit ServiceGaps(NodeContext& context) : context_(context) {}

  // Records a request that was answered. Not thread-safe, as all below.
  void RecordServed(const OpenRequest& request);
  // Records a request that was refused for `reason`. Only reasons that lie in
  // the load or in this system count: who is over a quota is not owed service.
  void RecordRefused(const OpenRequest& request, RefusalReason reason);
  // Records a request whose caller left before its answer began.
  void RecordAbandoned(const OpenRequest& request);
  // Logs the gaps that exceed kUnservedBound and updates the gauges.
  void RunTick();

  // The targets that this host's callers ask for in vain.
  const UnservedDemand& targets() const { return demands_[kTarget]; }
  Json ToJson() const;

 private:
  enum Kind : uint8_t { kTarget, kRule, kTeam, kSession, kKinds };

  static std::string NameOf(const OpenRequest& request, Kind kind);
  static const char* KindName(Kind kind);
  void RecordUnserved(const OpenRequest& request);

  NodeContext& context_;
  std::array<UnservedDemand, kKinds> demands_;
  TimePoint ticked_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVICE_GAPS_H_

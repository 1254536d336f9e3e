#ifndef APPLEHALL_NODE_HELPER_SELECTOR_H_
#define APPLEHALL_NODE_HELPER_SELECTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/json.h"
#include "core/peer_message.h"
#include "core/random.h"
#include "node/reader_selector.h"

namespace applehall {

// A host that forwarded requests can be sent to.
struct HelperHost {
  PeerAddress host;  // With the address for forwarded requests.
  std::set<std::string> unreachable;  // Services whose servers it cannot reach.
};

// Lists the hosts that may serve requests of `data_centre` whose servers cannot
// be reached from there: hosts that report lately, accept forwarded requests
// and reach the most services. Hosts of the data centre come first; others are
// added while those left there are few for the requests of all. `self` is the
// placement owner's own entry and is left out if it has no address.
// Thread-safe.
std::vector<HelperHost> ListHelpers(const std::string& data_centre,
                                    const FleetPeers& peers,
                                    const HelperHost& self,
                                    const std::string& own_centre,
                                    TimePoint now, Random& random);

// Rows of plans: host, address, services that it cannot reach.
Json HelpersToJson(const std::vector<HelperHost>& helpers);

// Selects the host that a request is forwarded to, among those that the
// placement owner named last. Keeps them if the owner cannot be reached.
class HelperSelector {
 public:
  HelperSelector(std::string self, uint64_t seed)
      : self_(std::move(self)), random_(seed) {}

  // Replaces the list by the rows of a plan. Not thread-safe.
  void HandleRows(const Json& rows);
  // Returns a host that is not in `tried` and can reach `service` as far as is
  // known here. Not thread-safe.
  std::optional<PeerAddress> Choose(const std::string& service,
                                    const std::set<std::string>& tried,
                                    TimePoint now);
  // Whether any helper is named, excluded or not. Not thread-safe.
  bool HasAny() const { return !helpers_.empty(); }
  // Whether a named helper reaches `service`, as far as is known here. Not
  // thread-safe.
  bool IsAnyReaching(const std::string& service) const;
  // Excludes a host for `service` for a while: it could not be reached, or
  // cannot reach the servers itself. Not thread-safe.
  void RecordFailure(const std::string& host, const std::string& service,
                     TimePoint now);
  void RecordSuccess(const std::string& host, const std::string& service);
  Random& random() { return random_; }
  Json ToJson() const { return HelpersToJson(helpers_); }

 private:
  std::string self_;
  Random random_;
  std::vector<HelperHost> helpers_;
  // Until when a host is excluded for a service.
  std::map<std::pair<std::string, std::string>, TimePoint> excluded_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_HELPER_SELECTOR_H_

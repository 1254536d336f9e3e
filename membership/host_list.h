#ifndef APPLEHALL_MEMBERSHIP_HOST_LIST_H_
#define APPLEHALL_MEMBERSHIP_HOST_LIST_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "placement/engine_types.h"

namespace applehall {

enum class HostKind : uint8_t { kEntry, kEngine, kService };

// One host in the platform's host list.
struct HostEntry {
  std::string name;
  HostKind kind = HostKind::kEntry;
  std::string data_centre;
  std::string address;       // For callers; of a backend server, its own.
  std::string peer_address;  // Entry hosts only.
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool checks_fence = true;  // Engines only.
  std::string service;       // Services only.
  int slots = 0;             // Services only.
};

// The platform's host list. It lags: `as_of` is the time, by the platform's
// clock, of the state it contains.
struct HostList {
  TimePoint as_of;
  std::vector<HostEntry> hosts;

  Json ToJson() const;
  static HostList FromJson(const Json& json);
};

// The newest host list received by this host.
class HostTable {
 public:
  explicit HostTable(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  // Replaces the list; empty lists and those older than the current one are
  // ignored. True if the list was replaced. Not thread-safe.
  bool Update(const HostList& list);

  // Records that the list has not changed up to `as_of`. Not thread-safe.
  void Confirm(TimePoint as_of) { as_of_ = std::max(as_of_, as_of); }

  bool is_known() const { return !hosts_.empty(); }
  TimePoint as_of() const { return as_of_; }
  // Increases with each replaced list.
  uint64_t version() const { return version_; }
  const HostEntry* Find(const std::string& name) const;
  const std::map<std::string, HostEntry>& hosts() const { return hosts_; }

  // Returns the listed entry hosts of a data centre, sorted by name. Not
  // thread-safe.
  std::vector<const HostEntry*> EntryHosts(const std::string& data_centre,
                                           bool with_leaving) const;
  // Returns the engines of this data centre in `group` of `group_count`. Not
  // thread-safe.
  std::vector<EngineFacts> Engines(int group, int group_count) const;
  std::vector<std::string> DataCentres() const;
  // Whether a backend server, leaving or not, offers the plain service. Not
  // thread-safe.
  bool OffersService(const std::string& service) const;

  // True if this incarnation has ended for good: a list of `since` or later
  // does not contain it, or contains a later incarnation. A host that is not
  // listed yet has not departed. Not thread-safe.
  bool HasDeparted(const Incarnation& host, TimePoint since) const;

 private:
  std::string data_centre_;
  TimePoint as_of_;
  uint64_t version_ = 0;
  std::map<std::string, HostEntry> hosts_;
};

// Returns the hosts that `self` keeps links to, at most four however many hosts
// there are: on the hash ring of its data centre the next one, the one a square
// root of the ring further and the opposite one, and one host in another data
// centre. Gossip reaches all n hosts of a data centre in about sqrt(n) hops.
// Thread-safe.
std::vector<std::string> ChoosePeers(const HostTable& table,
                                     const std::string& self,
                                     const std::string& data_centre);

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_HOST_LIST_H_

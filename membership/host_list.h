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

// One host as the platform's host list shows it.
struct HostEntry {
  std::string name;
  HostKind kind = HostKind::kEntry;
  std::string data_centre;
  std::string address;       // Callers' address, or the backend server's.
  std::string peer_address;  // Entry hosts only.
  uint64_t incarnation = 0;
  bool is_leaving = false;
  bool checks_fence = true;  // Engines only.
  std::string service;       // Services only.
  int slots = 0;             // Services only.
};

// The platform's host list. It lags: `as_of` is the time, by the platform's
// clock, of what it shows.
struct HostList {
  TimePoint as_of;
  std::vector<HostEntry> hosts;

  Json ToJson() const;
  static HostList FromJson(const Json& json);
};

// What one host knows of the others.
class HostTable {
 public:
  explicit HostTable(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  // Takes a list; older ones than the last are ignored. True if it changed
  // something. Not thread-safe.
  bool Update(const HostList& list);

  // The platform says that nothing changed up to `as_of`. Not thread-safe.
  void Confirm(TimePoint as_of) { as_of_ = std::max(as_of_, as_of); }

  bool is_known() const { return !hosts_.empty(); }
  TimePoint as_of() const { return as_of_; }
  // Grows with each list taken.
  uint64_t version() const { return version_; }
  const HostEntry* Find(const std::string& name) const;
  const std::map<std::string, HostEntry>& hosts() const { return hosts_; }

  // Live entry hosts of a data centre, by name. Not thread-safe.
  std::vector<const HostEntry*> EntryHosts(const std::string& data_centre,
                                           bool with_leaving) const;
  // Engines of this data centre in `group` of `group_count`.
  std::vector<EngineFacts> Engines(int group, int group_count) const;
  std::vector<std::string> DataCentres() const;
  // Some backend server, leaving or not, offers the plain service.
  bool OffersService(const std::string& service) const;

  // True if the list shows that this incarnation is gone for good: a list
  // made at `since` or later without it, or with a later incarnation. A host
  // that merely is not listed yet has not departed.
  bool HasDeparted(const Incarnation& host, TimePoint since) const;

 private:
  std::string data_centre_;
  TimePoint as_of_;
  uint64_t version_ = 0;
  std::map<std::string, HostEntry> hosts_;
};

// The few hosts one host keeps a link to: on the ring of its data centre the
// next, the one a square root of the ring further and the one across it, and
// one host in another data centre. Four at most, however many there are; news
// reaches all of n hosts of a data centre in about the square root of n hops.
std::vector<std::string> ChoosePeers(const HostTable& table,
                                     const std::string& self,
                                     const std::string& data_centre);

}  // namespace applehall

#endif  // APPLEHALL_MEMBERSHIP_HOST_LIST_H_

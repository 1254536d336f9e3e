#ifndef APPLEHALL_NODE_REGISTRAR_LIST_H_
#define APPLEHALL_NODE_REGISTRAR_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "node/reader_selector.h"

namespace applehall {

// The hosts of each data centre that keep the origins of streams for others,
// and which of them keep that of a stream.
class RegistrarList {
 public:
  // Lists one in three of the hosts that report to the placement owner, at
  // least two of each data centre; `self` is the owner. Thread-safe.
  static RegistrarList Select(const FleetPeers& peers, const PeerAddress& self,
                              const std::string& own_centre, TimePoint now);
  // Rows of plans: data centre, host, address. Thread-safe.
  Json ToRows() const;
  static RegistrarList FromRows(const Json& rows);

  // Returns the hosts to which `self` in `centre` tells the origin of the
  // stream with `key`: two of its data centre and one of the next, as far as
  // there are. Thread-safe.
  std::vector<PeerAddress> KeepersOf(uint64_t key, const std::string& centre,
                                     const std::string& self) const;
  // Returns the hosts that know the origin of a stream that began anywhere:
  // two of `centre` and the first of each other data centre. Thread-safe.
  std::vector<PeerAddress> LocateKeepers(uint64_t key,
                                         const std::string& centre,
                                         const std::string& self) const;

  bool is_empty() const { return centres_.empty(); }
  bool operator==(const RegistrarList&) const = default;

 private:
  // The hosts of a data centre without `self`, ranked for `key`.
  std::vector<PeerAddress> Rank(uint64_t key, const std::string& centre,
                                const std::string& self) const;

  std::map<std::string, std::vector<PeerAddress>> centres_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_REGISTRAR_LIST_H_

#ifndef APPLEHALL_NODE_LEASE_RECORD_H_
#define APPLEHALL_NODE_LEASE_RECORD_H_

#include <string>

#include "core/json.h"
#include "core/log_record.h"
#include "core/peer_message.h"
#include "placement/ownership_table.h"

namespace applehall {

// Who holds the placement lease, as far as a host knows.
struct KnownOwner {
  PeerAddress peer;  // An empty name: nobody is known.
  FencingToken token = 0;
};

// Who may order the engines, as the newest record of the lease's key says.
// Its offset is the fencing token, so each record has another and a later
// holder always a higher one.
struct LeaseRecord {
  Incarnation holder;
  std::string peer_address;  // Where other hosts reach the holder.
  bool is_released = false;  // The holder says that it orders no more.

  // Requires: nothing. Thread-safe.
  Json ToJson() const {
    return Json{{"host", holder.host},
                {"incarnation", holder.number},
                {"peer", peer_address},
                {"released", is_released}};
  }
  static LeaseRecord FromJson(const Json& json) {
    LeaseRecord record;
    record.holder = {FieldOr<std::string>(json, "host", ""),
                     FieldOr<uint64_t>(json, "incarnation", 0)};
    record.peer_address = FieldOr<std::string>(json, "peer", "");
    record.is_released = FieldOr<bool>(json, "released", false);
    return record;
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LEASE_RECORD_H_

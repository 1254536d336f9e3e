#ifndef APPLEHALL_NODE_LEASE_RECORD_H_
#define APPLEHALL_NODE_LEASE_RECORD_H_

#include <string>

#include "core/json.h"
#include "core/log_record.h"
#include "core/peer_message.h"
#include "placement/ownership_table.h"

namespace applehall {

// The newest holder of the placement lease that a host has recorded.
struct KnownOwner {
  PeerAddress peer;  // Empty host name: no holder is known.
  FencingToken token = 0;
};

// A record of the lease's key in the store; the newest one names the host that
// may send orders to engines. Its offset is the fencing token, so each record
// has a different token and a later holder always has a higher one.
struct LeaseRecord {
  Incarnation holder;
  std::string peer_address;  // Address for messages from other hosts.
  bool is_released = false;  // The holder sends no more orders.
  // The orders of all earlier holders have arrived or expired. False also if
  // the record does not say so, as those of earlier versions.
  bool have_predecessors_ended = false;

  // Whether two records are of processes that listen at one address of one
  // host, so that the earlier process is dead when the later one listens.
  // Thread-safe.
  bool SharesAddressWith(const LeaseRecord& other) const {
    return holder.host == other.holder.host &&
           peer_address == other.peer_address;
  }

  // Requires: nothing. Thread-safe.
  Json ToJson() const {
    return Json{{"host", holder.host},
                {"incarnation", holder.number},
                {"peer", peer_address},
                {"released", is_released},
                {"predecessors_ended", have_predecessors_ended}};
  }
  static LeaseRecord FromJson(const Json& json) {
    LeaseRecord record;
    record.holder = {FieldOr<std::string>(json, "host", ""),
                     FieldOr<uint64_t>(json, "incarnation", 0)};
    record.peer_address = FieldOr<std::string>(json, "peer", "");
    record.is_released = FieldOr<bool>(json, "released", false);
    record.have_predecessors_ended =
        FieldOr<bool>(json, "predecessors_ended", false);
    return record;
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_LEASE_RECORD_H_

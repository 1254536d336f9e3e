#ifndef APPLEHALL_NODE_SERVER_END_REPORTS_H_
#define APPLEHALL_NODE_SERVER_END_REPORTS_H_

#include <cstddef>
#include <deque>

#include "node/server_end_row.h"
#include "placement/ownership_table.h"

namespace applehall {

// The rows that this host owes the placement owner, each sent until the owner
// acknowledges it: a cut may last longer than any number of reports. They are
// kept after that for the next owner, which starts without them.
class ServerEndReports {
 public:
  explicit ServerEndReports(Incarnation self) : self_(std::move(self)) {}

  // Numbers and keeps `row`; its number is given here. Returns how many rows
  // it displaced. Not thread-safe.
  size_t Add(ServerEndRow row);
  // Drops what was told of a content that is cleared. Not thread-safe.
  void Forget(uint64_t fingerprint);
  // A row waits that was never sent to the owner. Not thread-safe.
  bool HasNew() const;
  // What a report to the owner under `token` says: the oldest rows that it has
  // not acknowledged; null if nothing is due. Not thread-safe.
  Json Take(FencingToken token, TimePoint now);
  // The owner under `token` has all rows up to one. Malformed acknowledgements
  // and those of another life are ignored. Not thread-safe.
  void TakeAck(FencingToken token, const Json& ack);
  // Drops rows that matter no more; how many of them no owner had. Not
  // thread-safe.
  size_t DropExpired(TimePoint now);
  // Rows that the present owner has not acknowledged. Not thread-safe.
  size_t owed() const;

 private:
  Incarnation self_;
  std::deque<ServerEndRow> rows_;  // By number.
  uint64_t last_number_ = 0;
  FencingToken token_ = 0;
  uint64_t acked_ = 0;  // By the owner under `token_`.
  uint64_t sent_ = 0;   // To it, up to this row.
  TimePoint sent_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_REPORTS_H_

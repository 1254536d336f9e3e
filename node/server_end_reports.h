#ifndef APPLEHALL_NODE_SERVER_END_REPORTS_H_
#define APPLEHALL_NODE_SERVER_END_REPORTS_H_

#include <cstddef>
#include <deque>

#include "node/server_end_row.h"
#include "placement/ownership_table.h"

namespace applehall {

// Outbox of server end rows for the placement owner. Each row is sent again
// until the owner acknowledges it, because a network partition may outlast any
// fixed number of reports. Acknowledged rows are kept for the next owner, which
// starts without them.
class ServerEndReports {
 public:
  explicit ServerEndReports(Incarnation self) : self_(std::move(self)) {}

  // Assigns the next number to `row` and stores it. Returns the number of
  // unacknowledged rows that were dropped for it. Not thread-safe.
  size_t Add(ServerEndRow row);
  // Removes the rows of a content or prompt part that was cleared. Not
  // thread-safe.
  void Remove(uint64_t key);
  // True if the next report contains a row that was never sent to the owner.
  // Not thread-safe.
  bool HasNew() const;
  // Returns the report to the owner under `token`, with the oldest rows that it
  // has not acknowledged; null if nothing is due. Not thread-safe.
  Json BuildReport(FencingToken token, TimePoint now);
  // Marks all rows up to the acknowledged number as received by the owner under
  // `token`. Malformed acknowledgements and those of another incarnation are
  // ignored. Not thread-safe.
  void HandleAck(FencingToken token, const Json& ack);
  // Drops expired rows. Returns how many of them were not acknowledged. Not
  // thread-safe.
  size_t DropExpired(TimePoint now);
  // Returns the number of rows that the present owner has not acknowledged. Not
  // thread-safe.
  size_t owed() const;

 private:
  Incarnation self_;
  std::deque<ServerEndRow> rows_;  // By number.
  uint64_t last_number_ = 0;
  FencingToken token_ = 0;
  uint64_t acked_ = 0;  // Last number acknowledged by the owner of `token_`.
  uint64_t sent_ = 0;   // Last number sent to it.
  TimePoint sent_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_SERVER_END_REPORTS_H_

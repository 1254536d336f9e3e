#ifndef APPLEHALL_DRIVERS_CONNECTION_POOL_H_
#define APPLEHALL_DRIVERS_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "core/clock.h"
#include "core/memory_budget.h"

namespace applehall {

// A connection from a peer. Thread: the pool's.
struct PooledConnection {
  virtual ~PooledConnection() = default;
  // Closes the connection, discarding what was not sent.
  virtual void Close() = 0;

  MemoryCharge charge;   // Of the request that is read or open.
  TimePoint body_since;  // When the head of this request was whole.
  bool is_waiting = false;
  std::list<std::shared_ptr<PooledConnection>>::iterator waiting_at;
};

// Bounds the connections of all listeners that share it. One that has no whole
// request gives way to others: to a new connection once there are as many as
// allowed, and to another request once the memory for requests is used up. The
// one that has waited longest is first. Not thread-safe: one event loop.
class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<PooledConnection>;

  explicit ConnectionPool(size_t limit) : limit_(limit) {}

  void SetLimit(size_t limit) { limit_ = limit; }
  // Adds a connection. Returns false if there is no room: all others have open
  // requests.
  bool TryAdd();
  void Remove() { --open_; }
  // From here on the connection waits for a whole request. Requires: it does
  // not wait already.
  void BeginWaiting(const ConnectionPtr& connection);
  // Does nothing if the connection does not wait any more.
  void EndWaiting(PooledConnection& connection);
  // Closes the connection whose body has been incomplete for longest, if that
  // is long enough at `now`. Returns false if there is none.
  bool CloseLongestUnfinished(const PooledConnection& except, TimePoint now);

  size_t open() const { return open_; }
  // Number of connections that gave way.
  uint64_t displaced() const { return displaced_; }

 private:
  void Displace(const ConnectionPtr& connection);

  size_t limit_;
  size_t open_ = 0;
  uint64_t displaced_ = 0;
  std::list<ConnectionPtr> waiting_;  // The longest waiting first.
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_CONNECTION_POOL_H_

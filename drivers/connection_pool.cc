#include "drivers/connection_pool.h"

#include <algorithm>

namespace applehall {

namespace {

// A body that has been incomplete for less than this gives way to no other.
constexpr Duration kMinUnfinishedTime = std::chrono::seconds(1);

}  // namespace

bool ConnectionPool::TryAdd() {
  if (open_ >= limit_) {
    if (waiting_.empty()) return false;
    Displace(ConnectionPtr(waiting_.front()));
  }
  ++open_;
  return true;
}

void ConnectionPool::BeginWaiting(const ConnectionPtr& connection) {
  connection->is_waiting = true;
  connection->waiting_at = waiting_.insert(waiting_.end(), connection);
}

void ConnectionPool::EndWaiting(PooledConnection& connection) {
  if (!connection.is_waiting) return;
  connection.is_waiting = false;
  waiting_.erase(connection.waiting_at);
}

bool ConnectionPool::CloseLongestUnfinished(const PooledConnection& except,
                                            TimePoint now) {
  const TimePoint latest = now - kMinUnfinishedTime;
  const auto found = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&except, latest](const ConnectionPtr& connection) {
        return connection.get() != &except && connection->charge.bytes() > 0 &&
               connection->body_since <= latest;
      });
  if (found == waiting_.end()) return false;
  Displace(ConnectionPtr(*found));
  return true;
}

void ConnectionPool::Displace(const ConnectionPtr& connection) {
  EndWaiting(*connection);
  connection->charge.Release();
  ++displaced_;
  connection->Close();
}

}  // namespace applehall

#include "drivers/connection_pool.h"

namespace applehall {

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

void ConnectionPool::Displace(const ConnectionPtr& connection) {
  EndWaiting(*connection);
  ++displaced_;
  connection->Close();
}

}  // namespace applehall

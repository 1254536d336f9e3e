#ifndef APPLEHALL_DRIVERS_PEER_CLOSE_WATCHER_H_
#define APPLEHALL_DRIVERS_PEER_CLOSE_WATCHER_H_

#include <atomic>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "core/clock.h"
#include "core/memory_budget.h"

namespace applehall {

// Detects that the peer of a connection closes it, or its sending half, while
// no read is pending. Further bytes of the peer do not end the watch: a close
// may follow them. Kept alive by its wait, which ends one iteration of the
// event loop after Stop().
class PeerCloseWatcher : public std::enable_shared_from_this<PeerCloseWatcher> {
 public:
  // Begins to watch. Requires: called once; `socket` stays open until Stop().
  // Thread: the one that runs the socket.
  void Start(boost::asio::ip::tcp::socket& socket);
  // Ends the watch; the callback does not run any more. Thread: as above.
  void Stop();
  // Sets a callback that runs at most once, when the peer has closed. Thread:
  // as above.
  void SetOnDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }
  // Charges for the bytes that the peer sends while nothing is read; if they do
  // not fit, the peer counts as gone. Thread: as above.
  void LimitUnread(MemoryCharge charge) { unread_ = std::move(charge); }
  // True once a close has been noticed. Thread-safe.
  bool is_disconnected() const { return is_disconnected_; }
  // Returns how long ago the peer's close reached this machine, also if the
  // event loop has not noticed it yet; nothing while the connection is open,
  // and after Stop() unless the close was noticed before. Zero for a reset.
  // Thread-safe.
  std::optional<Duration> PeerCloseAge() const;

 private:
  enum class PeerState : uint8_t { kOpen, kOpenWithBytes, kClosed };

  // Looks at the socket; sets `age` if the peer has closed.
  PeerState Look(Duration& age) const;
  void AwaitReadable();
  void CheckLater();
  void HandleReadable();
  void ReportClosed(Duration age);
  // Returns false if the unread bytes do not fit into their budget.
  bool ChargeUnread();

  SystemClock clock_;
  mutable std::mutex mutex_;  // Guards `socket_` between threads.
  boost::asio::ip::tcp::socket* socket_ = nullptr;  // Null: not watching.
  boost::asio::cancellation_signal cancel_;
  std::optional<boost::asio::steady_timer> recheck_;
  std::function<void()> on_disconnect_;
  MemoryCharge unread_;
  std::atomic<bool> is_disconnected_{false};
  std::atomic<TimePoint> closed_at_{TimePoint{}};  // If `is_disconnected_`.
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_PEER_CLOSE_WATCHER_H_

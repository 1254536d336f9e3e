#include "drivers/peer_close_watcher.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>

#include "core/event_log.h"
#include "drivers/socket_options.h"

namespace applehall {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Interval of checks while unread bytes make the socket readable at all times.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(50);

}  // namespace

PeerCloseWatcher::PeerState PeerCloseWatcher::Look(Duration& age) const {
  const std::lock_guard lock(mutex_);
  if (socket_ == nullptr) return PeerState::kOpen;
  const int handle = socket_->native_handle();
  char byte = 0;
  const auto size = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size == 0) {
    age = TimeSinceAcknowledgement(handle);
    return PeerState::kClosed;
  }
  if (size < 0) {
    const bool is_open =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return is_open ? PeerState::kOpen : PeerState::kClosed;
  }
  // A close behind unread bytes does not show in a read.
  pollfd state{handle, POLLRDHUP, 0};
  const bool is_closed = ::poll(&state, 1, 0) > 0 &&
                         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  if (!is_closed) return PeerState::kOpenWithBytes;
  age = TimeSinceAcknowledgement(handle);
  return PeerState::kClosed;
}

std::optional<Duration> PeerCloseWatcher::PeerCloseAge() const {
  if (is_disconnected_) return clock_.Now() - closed_at_.load();
  Duration age{0};
  if (Look(age) != PeerState::kClosed) return std::nullopt;
  return age;
}

void PeerCloseWatcher::Start(asio::ip::tcp::socket& socket) {
  {
    const std::lock_guard lock(mutex_);
    socket_ = &socket;
  }
  AwaitReadable();
}

void PeerCloseWatcher::AwaitReadable() {
  socket_->async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::bind_cancellation_slot(
          cancel_.slot(), [self = shared_from_this()](error_code error) {
            if (!error) self->HandleReadable();
          }));
}

void PeerCloseWatcher::CheckLater() {
  if (!recheck_) recheck_.emplace(socket_->get_executor());
  recheck_->expires_after(kRecheckInterval);
  recheck_->async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->HandleReadable();
  });
}

void PeerCloseWatcher::HandleReadable() {
  if (socket_ == nullptr) return;
  Duration age{0};
  switch (Look(age)) {
    case PeerState::kOpen:
      AwaitReadable();
      return;
    case PeerState::kOpenWithBytes:
      // They belong to the next request, which is read later.
      if (ChargeUnread()) {
        CheckLater();
        return;
      }
      LogEvent(LogLevel::kWarning, "caller_sent_ahead")
          .With("unread_bytes", unread_.bytes())
          .With("reason", "the memory for requests is used up");
      ReportClosed(age);
      return;
    case PeerState::kClosed:
      ReportClosed(age);
      return;
  }
}

void PeerCloseWatcher::ReportClosed(Duration age) {
  closed_at_ = clock_.Now() - age;
  is_disconnected_ = true;
  if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
}

bool PeerCloseWatcher::ChargeUnread() {
  int size = 0;
  if (::ioctl(socket_->native_handle(), FIONREAD, &size) != 0) return true;
  return unread_.TryGrowTo(static_cast<size_t>(size));
}

void PeerCloseWatcher::Stop() {
  {
    const std::lock_guard lock(mutex_);
    socket_ = nullptr;
  }
  on_disconnect_ = nullptr;
  unread_.Release();
  if (recheck_) recheck_->cancel();
  cancel_.emit(asio::cancellation_type::all);
}

}  // namespace applehall

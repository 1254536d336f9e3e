#include "drivers/connection_closer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio.hpp>

#include "drivers/socket_options.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Time in which the peer can acknowledge the half-close before the reset.
constexpr Duration kCheckInterval = milliseconds(50);
// Longer cuts of a link end the attempt by the peer's own deadline.
constexpr Duration kMaxClosingTime = std::chrono::seconds(10);
// Each holds a descriptor, of which a host has some thousands.
constexpr size_t kMaxClosing = 256;

void Reset(int socket) {
  SetDiscardOnClose(socket, true);
  ::close(socket);
}

}  // namespace

ConnectionCloser::~ConnectionCloser() {
  for (const Closing& closing : closing_) Reset(closing.socket);
}

void ConnectionCloser::Close(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const int handle = socket.release(error);
  if (error) return;
  const bool is_received = UnacknowledgedBytes(handle) == 0;
  if (!is_received || closing_.size() >= kMaxClosing) {
    Reset(handle);
    return;
  }
  SetUnacknowledgedTimeout(handle, kMaxClosingTime);
  ::shutdown(handle, SHUT_WR);
  closing_.push_back({handle, clock_.Now()});
  if (closing_.size() == 1) ScheduleCheck();
}

void ConnectionCloser::ScheduleCheck() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<ConnectionCloser> self = weak.lock();
        if (!error && self) self->Check();
      });
}

void ConnectionCloser::Check() {
  const TimePoint now = clock_.Now();
  std::erase_if(closing_, [now](const Closing& closing) {
    const Duration age = now - closing.since;
    if (age < kCheckInterval) return false;
    const bool is_acknowledged = UnacknowledgedBytes(closing.socket) == 0;
    if (!is_acknowledged && age < kMaxClosingTime) return false;
    Reset(closing.socket);
    return true;
  });
  if (!closing_.empty()) ScheduleCheck();
}

}  // namespace applehall

#ifndef APPLEHALL_DRIVERS_CONNECTION_CLOSER_H_
#define APPLEHALL_DRIVERS_CONNECTION_CLOSER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "core/clock.h"

namespace applehall {

// Closes connections of cancelled requests so that the peer notices.
//
// A reset is sent once; on a link that loses it the peer works on. So the
// connection is half-closed first, which the kernel repeats until the peer
// acknowledges it, and reset after that, for peers that ignore a half-close. A
// request that the peer has not acknowledged is reset at once: the kernel would
// deliver it later.
class ConnectionCloser : public std::enable_shared_from_this<ConnectionCloser> {
 public:
  explicit ConnectionCloser(boost::asio::io_context& io) : timer_(io) {}
  ~ConnectionCloser();

  // Takes the connection from `socket` and cancels what is pending on it.
  // Requires: a request was written to it. Thread: the one that runs `io`.
  void Close(boost::asio::ip::tcp::socket& socket);

 private:
  struct Closing {
    int socket = -1;
    TimePoint since;
  };

  void ScheduleCheck();
  void Check();

  SystemClock clock_;
  boost::asio::steady_timer timer_;
  std::deque<Closing> closing_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_CONNECTION_CLOSER_H_

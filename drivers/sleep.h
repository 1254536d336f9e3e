#ifndef APPLEHALL_DRIVERS_SLEEP_H_
#define APPLEHALL_DRIVERS_SLEEP_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/clock.h"

namespace applehall {

// Suspends the calling coroutine for `duration`. Requires: it runs on `io`.
// Thread: the one that runs `io`.
inline boost::asio::awaitable<void> Sleep(boost::asio::io_context& io,
                                          Duration duration) {
  boost::asio::steady_timer timer(io, duration);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SLEEP_H_

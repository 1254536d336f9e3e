#ifndef APPLEHALL_DRIVERS_SERVER_PROBE_H_
#define APPLEHALL_DRIVERS_SERVER_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "node/messages.h"

namespace applehall {

// Checks whether the server listens: opens a connection and closes it without
// sending anything. Thread: the one that runs `io`.
boost::asio::awaitable<ServerProbed> RunProbe(boost::asio::io_context& io,
                                              ProbeServer probe);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SERVER_PROBE_H_

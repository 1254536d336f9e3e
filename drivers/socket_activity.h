#ifndef APPLEHALL_DRIVERS_SOCKET_ACTIVITY_H_
#define APPLEHALL_DRIVERS_SOCKET_ACTIVITY_H_

// Includes standard headers only, as websocket_link.h.
#include <chrono>
#include <cstddef>

namespace applehall {

// Whether bytes of a message larger than `backlog` bytes moved on a TCP socket
// within `window`: some arrived, or the peer acknowledged some while more than
// `backlog` bytes wait for it. False if the kernel cannot tell. Thread-safe.
bool HasMovedBytes(int socket, std::chrono::milliseconds window,
                   std::size_t backlog);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SOCKET_ACTIVITY_H_

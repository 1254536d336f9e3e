#include "drivers/socket_activity.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "drivers/socket_options.h"

namespace applehall {

bool HasMovedBytes(int socket, std::chrono::milliseconds window,
                   std::size_t backlog) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  const auto limit = static_cast<unsigned>(window.count());
  if (info.tcpi_last_data_recv < limit) return true;
  const auto waiting = static_cast<std::size_t>(UnacknowledgedBytes(socket));
  return waiting > backlog && info.tcpi_last_ack_recv < limit;
}

}  // namespace applehall

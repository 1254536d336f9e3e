#include "drivers/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace applehall {
namespace {

constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 3;
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(3);

void SetOption(int socket, int level, int option, int value) {
  // If the kernel rejects an option, its default stays; the connection works.
  (void)setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void EnableDeadPeerDetection(int socket) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  SetUnacknowledgedTimeout(socket, kUnacknowledgedTimeout);
}

void SetUnacknowledgedTimeout(int socket, Duration timeout) {
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMillis(timeout)));
}

Duration TimeSinceAcknowledgement(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return Duration{0};
  }
  return std::chrono::milliseconds(info.tcpi_last_ack_recv);
}

int UnacknowledgedBytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

void SetDiscardOnClose(int socket, bool discard) {
  const linger option{discard ? 1 : 0, 0};
  // If the kernel rejects the option, the connection closes normally.
  (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace applehall

#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace applehall {
namespace {

constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 3;
constexpr int kUnacknowledgedTimeoutMillis = 3000;

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
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            kUnacknowledgedTimeoutMillis);
}

void SetDiscardOnClose(int socket, bool discard) {
  const linger option{discard ? 1 : 0, 0};
  // If the kernel rejects the option, the connection closes normally.
  (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace applehall

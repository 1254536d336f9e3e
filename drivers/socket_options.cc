#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace applehall {
namespace {

constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 3;
constexpr int kUnacknowledgedMillis = 3000;

void Set(int socket, int level, int option, int value) {
  // If the kernel rejects an option, its default stays; the connection works.
  (void)setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void NoticeSilence(int socket) {
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMillis);
}

void DiscardOnClose(int socket, bool discard) {
  const linger option{discard ? 1 : 0, 0};
  // If the kernel rejects the option, the connection closes normally.
  (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace applehall

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
  // An option that the kernel refuses leaves its default; the connection works.
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
  // Refused by the kernel, the close is an ordinary one.
  (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace applehall

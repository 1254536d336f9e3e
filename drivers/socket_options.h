#ifndef APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_
#define APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

namespace applehall {

// Makes the kernel end a connection whose peer has fallen silent: lost power,
// was cut off, or whose path drops packets without a reset. Without it such a
// connection hangs for minutes. Data that is not acknowledged, or probes of an
// idle connection that are not, end it after about 3 to 4 s: longer than a
// lost packet takes to be sent again, shorter than callers wait. Thread-safe.
void NoticeSilence(int socket);

// Decides what closing the connection does with bytes that the peer has not
// acknowledged: the kernel discards them, or goes on delivering them for
// minutes. Thread-safe.
void DiscardOnClose(int socket, bool discard);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

#ifndef APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_
#define APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

namespace applehall {

// Makes the kernel close a connection whose peer lost power or became
// unreachable without a reset; it would otherwise hang for minutes.
// Unacknowledged data, or unacknowledged keep-alive probes of an idle
// connection, close it after about 3 to 4 s: longer than a retransmission
// takes, shorter than callers wait. Thread-safe.
void EnableDeadPeerDetection(int socket);

// Sets whether closing the connection discards bytes that the peer has not
// acknowledged; otherwise the kernel tries to deliver them for minutes.
// Thread-safe.
void SetDiscardOnClose(int socket, bool discard);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

#ifndef APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_
#define APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

#include "core/clock.h"

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

// Sets the time after which the kernel gives up a connection whose peer does
// not acknowledge what was sent. Thread-safe.
void SetUnacknowledgedTimeout(int socket, Duration timeout);

// Returns the time since the peer last acknowledged something, which it does
// with its close; zero if the kernel cannot tell. Thread-safe.
Duration TimeSinceAcknowledgement(int socket);

// Returns the number of bytes sent that the peer has not acknowledged; zero if
// the kernel cannot tell. Thread-safe.
int UnacknowledgedBytes(int socket);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_SOCKET_OPTIONS_H_

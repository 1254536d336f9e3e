#ifndef APPLEHALL_DRIVERS_EVENT_STREAM_H_
#define APPLEHALL_DRIVERS_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace applehall {

// Takes all whole server-sent events off the front of `partial`; what stays is
// the start of one. Only whole events go on to a caller, so that a broken
// stream can be resumed at one. Requires: nothing. Thread-safe.
std::string ExtractCompleteEvents(std::string& partial);

// How many events `events`, which are whole, are. Requires: nothing.
// Thread-safe.
int CountEvents(std::string_view events);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_EVENT_STREAM_H_

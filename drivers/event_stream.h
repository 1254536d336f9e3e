#ifndef APPLEHALL_DRIVERS_EVENT_STREAM_H_
#define APPLEHALL_DRIVERS_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace applehall {

// Removes all complete server-sent events from the front of `partial` and
// returns them; an incomplete event stays. Only complete events are sent to a
// caller, so that a broken stream can be resumed between two events. Requires:
// nothing. Thread-safe.
std::string ExtractCompleteEvents(std::string& partial);

// Returns the number of events in `events`. Requires: complete events only.
// Thread-safe.
int CountEvents(std::string_view events);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_EVENT_STREAM_H_

#ifndef APPLEHALL_DRIVERS_EVENT_STREAM_H_
#define APPLEHALL_DRIVERS_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace applehall {

// Splits a stream of server-sent events into whole events. Only whole events
// are sent to a caller, so that a broken stream can be resumed between two
// events.
class EventSplitter {
 public:
  // Far more than an event of some tokens takes; a longer one is no event.
  static constexpr size_t kMaxEventBytes = 256 * 1024;

  // Adds received bytes and returns the events that they complete. Not
  // thread-safe.
  std::string Add(std::string_view bytes);
  // Returns whether an event has begun and is not complete.
  bool has_partial() const { return !partial_.empty(); }
  // Memory that the event that has begun takes up.
  size_t partial_bytes() const { return partial_.capacity(); }
  // Returns whether the event that has begun is longer than kMaxEventBytes.
  bool is_too_long() const { return partial_.size() > kMaxEventBytes; }

 private:
  std::string partial_;
};

// Returns the number of events in `events`. Requires: complete events only.
// Thread-safe.
int CountEvents(std::string_view events);

// Returns the id of the last event that has one; empty if none has. One with
// control bytes is none. Requires: complete events only. Thread-safe.
std::string LastEventId(std::string_view events);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_EVENT_STREAM_H_

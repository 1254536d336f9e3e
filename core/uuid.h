#ifndef APPLEHALL_CORE_UUID_H_
#define APPLEHALL_CORE_UUID_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/random.h"

namespace applehall {

// Returns a UUID of version 7 (RFC 9562), whose first 48 bits are the time of
// issue. Requires: nothing. `random` belongs to the calling thread.
std::string MakeUuid7(TimePoint now, Random& random);

// Returns the time of issue of a version 7 UUID; nothing for any other text.
// Thread-safe.
std::optional<TimePoint> Uuid7Time(std::string_view text);

}  // namespace applehall

#endif  // APPLEHALL_CORE_UUID_H_

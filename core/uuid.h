#ifndef APPLEHALL_CORE_UUID_H_
#define APPLEHALL_CORE_UUID_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/random.h"

namespace applehall {

// A UUID of version 7 (RFC 9562): its first 48 bits are the time of issue.
// Requires: nothing. `random` belongs to the calling thread.
std::string MakeUuid7(TimePoint now, Random& random);

// Time of issue of a version 7 UUID; nothing if it is not one. Thread-safe.
std::optional<TimePoint> Uuid7Time(std::string_view text);

}  // namespace applehall

#endif  // APPLEHALL_CORE_UUID_H_

#ifndef APPLEHALL_CORE_LOG_RECORD_H_
#define APPLEHALL_CORE_LOG_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// Position of a record in a stream of the log service. The first is 1, so 0
// stands for "none".
using LogOffset = uint64_t;

struct LogRecord {
  LogOffset offset = 0;
  TimePoint time;  // By the log service's clock.
  std::string payload;
};

// One answer of the log service to a read.
struct LogBatch {
  std::string stream;
  LogOffset first_offset = 1;  // Oldest record still kept.
  LogOffset next_offset = 1;   // Where the next append will go.
  std::vector<LogRecord> records;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_LOG_RECORD_H_

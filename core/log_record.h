#ifndef APPLEHALL_CORE_LOG_RECORD_H_
#define APPLEHALL_CORE_LOG_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// Position of a record in a stream of the log service. The first is 1; 0 means
// "none".
using LogOffset = uint64_t;

struct LogRecord {
  LogOffset offset = 0;
  TimePoint time;  // Set by the log service's clock.
  std::string payload;
};

// Response of the log service to a read.
struct LogBatch {
  std::string stream;
  LogOffset first_offset = 1;  // Oldest retained record.
  LogOffset next_offset = 1;   // Offset of the next append.
  std::vector<LogRecord> records;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_LOG_RECORD_H_

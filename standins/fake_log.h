#ifndef APPLEHALL_STANDINS_FAKE_LOG_H_
#define APPLEHALL_STANDINS_FAKE_LOG_H_

#include <deque>
#include <map>
#include <string>

#include "core/log_record.h"

namespace applehall {

// The platform's log service without failures: append-only streams with
// offsets and limited retention. Not thread-safe.
class FakeLog {
 public:
  explicit FakeLog(Duration retention) : retention_(retention) {}

  LogOffset Append(const std::string& stream, const std::string& payload,
                   TimePoint now);
  LogBatch Read(const std::string& stream, LogOffset from, size_t max_records,
                TimePoint now);
  // Number of appends so far.
  uint64_t append_count() const { return append_count_; }
  // For tests that make records expire.
  void SetRetention(Duration retention) { retention_ = retention; }

 private:
  struct Stream {
    LogOffset first = 1;
    std::deque<LogRecord> records;
  };

  void Expire(Stream& stream, TimePoint now);

  Duration retention_;
  std::map<std::string, Stream> streams_;
  uint64_t append_count_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_LOG_H_

#ifndef APPLEHALL_ADMISSION_SERVER_LIMIT_H_
#define APPLEHALL_ADMISSION_SERVER_LIMIT_H_

#include <cstdint>
#include <string>

namespace applehall {

// What one answer of a backend server says of the requests that it takes.
struct ReportedLimit {
  enum class Kind : uint8_t {
    kUnknown,    // The answer tells nothing about it.
    kNone,       // A whole answer without a limit: it takes what it can run.
    kNamed,      // It takes `per_second` from all hosts together.
    kMalformed,  // It names one, but `text` makes no sense.
  };
  Kind kind = Kind::kUnknown;
  double per_second = 0;
  std::string text;  // Of kMalformed; cut to a bounded length.
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_SERVER_LIMIT_H_

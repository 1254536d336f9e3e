#ifndef APPLEHALL_ADMISSION_SERVER_LIMIT_H_
#define APPLEHALL_ADMISSION_SERVER_LIMIT_H_

#include <cstdint>
#include <string>

namespace applehall {

// Request limit that a backend server announced in one answer.
struct ReportedLimit {
  enum class Kind : uint8_t {
    kUnknown,    // The answer does not say.
    kNone,       // A complete answer without a limit.
    kNamed,      // `per_second` is accepted from all hosts together.
    kMalformed,  // A limit is present, but `text` cannot be parsed.
  };
  Kind kind = Kind::kUnknown;
  double per_second = 0;
  std::string text;  // Only for kMalformed; truncated.
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_SERVER_LIMIT_H_

#ifndef APPLEHALL_ADMISSION_SERVER_LIMIT_H_
#define APPLEHALL_ADMISSION_SERVER_LIMIT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace applehall {

// What a backend server announced about its limits in one answer.
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
  // Requests in a second that the server can reject for lack of room without
  // crashing, of all hosts together; nothing if it does not say.
  std::optional<double> max_rejected = std::nullopt;
};

}  // namespace applehall

#endif  // APPLEHALL_ADMISSION_SERVER_LIMIT_H_

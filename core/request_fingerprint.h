#ifndef APPLEHALL_CORE_REQUEST_FINGERPRINT_H_
#define APPLEHALL_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace applehall {

// What a request asks for, without what is new each time it is sent: its id,
// its deadline, the headers of the connection.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path with query.
  std::string_view caller;
  std::string_view body;
};

// Tells requests of the same content from all others; the same at every host
// and never zero. With 64 bits, two of a million different ones are taken for
// the same with a chance of one in 37 million. Requires: nothing. Thread-safe.
uint64_t RequestFingerprint(const RequestContent& content);

// The fingerprint of the same content from one caller, where callers are only
// known later. Requires: `fingerprint` is not zero. Thread-safe.
uint64_t FingerprintForCaller(uint64_t fingerprint, std::string_view caller);

// As it stands in logs and records: 16 hexadecimal digits. Thread-safe.
std::string FingerprintText(uint64_t fingerprint);

}  // namespace applehall

#endif  // APPLEHALL_CORE_REQUEST_FINGERPRINT_H_

#ifndef APPLEHALL_CORE_REQUEST_FINGERPRINT_H_
#define APPLEHALL_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace applehall {

// The parts of a request that stay the same when it is sent again, without its
// ID, its deadline and the headers of the connection.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path with query.
  std::string_view caller;
  std::string_view body;
};

// Returns a hash of the content that is equal at every host and never zero.
// With 64 bits, the probability that any two of a million different requests
// collide is one in 37 million. Requires: nothing. Thread-safe.
uint64_t RequestFingerprint(const RequestContent& content);

// Adds the caller to a fingerprint of content whose caller was not yet known.
// Requires: `fingerprint` is not zero. Thread-safe.
uint64_t FingerprintForCaller(uint64_t fingerprint, std::string_view caller);

// Returns a key for a part of prompts, equal at every host and never zero. The
// same part has another key in each scope, such as a service or a model.
// Requires: nothing. Thread-safe.
uint64_t PromptPartKey(std::string_view part, std::string_view scope);

// Format in logs and records: 16 hexadecimal digits. Thread-safe.
std::string FingerprintText(uint64_t fingerprint);

}  // namespace applehall

#endif  // APPLEHALL_CORE_REQUEST_FINGERPRINT_H_

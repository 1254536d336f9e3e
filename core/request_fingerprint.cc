#include "core/request_fingerprint.h"

#include <absl/strings/str_cat.h>

#include "core/hash.h"

namespace applehall {

uint64_t RequestFingerprint(const RequestContent& content) {
  // Each hash seeds the next, so that the boundaries between the parts count:
  // "ab" + "c" and "a" + "bc" give different values.
  uint64_t hash = StableHash(content.method);
  hash = StableHash(content.host, hash);
  hash = StableHash(content.target, hash);
  hash = StableHash(content.caller, hash);
  hash = StableHash(content.body, hash);
  return hash == 0 ? 1 : hash;
}

uint64_t FingerprintForCaller(uint64_t fingerprint, std::string_view caller) {
  const uint64_t hash = StableHash(caller, fingerprint);
  return hash == 0 ? 1 : hash;
}

uint64_t PromptPartKey(std::string_view part, std::string_view scope) {
  const uint64_t hash = StableHash(part, StableHash(scope));
  return hash == 0 ? 1 : hash;
}

std::string FingerprintText(uint64_t fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16));
}

}  // namespace applehall

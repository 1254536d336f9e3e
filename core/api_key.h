#ifndef APPLEHALL_CORE_API_KEY_H_
#define APPLEHALL_CORE_API_KEY_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace applehall {

// The SHA-256 digest of an API key. Only digests are kept and passed on, so
// that no dump, log line or message between hosts can give a key away.
//
// Digests are compared in constant time. Their order is of no use to a guesser:
// a chosen key does not move its digest by a chosen step.
class ApiKeyDigest {
 public:
  static constexpr size_t kBytes = 32;

  // Requires: nothing. Thread-safe.
  static ApiKeyDigest Of(std::string_view key);

  // Where to look the digest up; equal digests have equal prefixes. Requires:
  // nothing. Thread-safe.
  uint64_t Prefix() const;
  // Takes the same time whichever bytes differ. Thread-safe.
  bool operator==(const ApiKeyDigest& other) const;

 private:
  std::array<uint8_t, kBytes> bytes_{};
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_API_KEY_H_

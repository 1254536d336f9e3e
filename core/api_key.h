#ifndef APPLEHALL_CORE_API_KEY_H_
#define APPLEHALL_CORE_API_KEY_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace applehall {

// The SHA-256 digest of an API key. Only digests are stored and sent, so that
// no dump, log line or message between hosts can leak a key.
//
// Digests are compared in constant time. Lookup by prefix leaks nothing useful:
// an attacker cannot choose a key that moves its digest in a chosen way.
class ApiKeyDigest {
 public:
  static constexpr size_t kBytes = 32;

  // Requires: nothing. Thread-safe.
  static ApiKeyDigest FromKey(std::string_view key);

  // Lookup key of the digest; equal digests have equal prefixes. Requires:
  // nothing. Thread-safe.
  uint64_t Prefix() const;
  // Runs in constant time. Thread-safe.
  bool operator==(const ApiKeyDigest& other) const;

 private:
  std::array<uint8_t, kBytes> bytes_{};
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_API_KEY_H_

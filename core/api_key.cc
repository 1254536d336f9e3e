#include "core/api_key.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

namespace applehall {

ApiKeyDigest ApiKeyDigest::FromKey(std::string_view key) {
  static_assert(kBytes == SHA256_DIGEST_LENGTH);
  ApiKeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.bytes_.data());
  return digest;
}

uint64_t ApiKeyDigest::Prefix() const {
  uint64_t prefix = 0;
  std::memcpy(&prefix, bytes_.data(), sizeof(prefix));
  return prefix;
}

bool ApiKeyDigest::operator==(const ApiKeyDigest& other) const {
  return CRYPTO_memcmp(bytes_.data(), other.bytes_.data(), kBytes) == 0;
}

}  // namespace applehall

#include "drivers/forward_proof.h"

#include <absl/strings/escaping.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace applehall {

std::string ForwardProof(const std::string& shared_key,
                         const std::string& request_id) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
       reinterpret_cast<const unsigned char*>(request_id.data()),
       request_id.size(), digest, &size);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest), size));
}

}  // namespace applehall

#ifndef APPLEHALL_DRIVERS_FORWARD_PROOF_H_
#define APPLEHALL_DRIVERS_FORWARD_PROOF_H_

#include <string>

namespace applehall {

// Returns the HMAC of a request id, which proves that the host that forwarded
// the request has the shared key. Requires: nothing. Thread-safe.
std::string ForwardProof(const std::string& shared_key,
                         const std::string& request_id);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_FORWARD_PROOF_H_

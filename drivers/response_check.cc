#include "drivers/response_check.h"

#include <absl/strings/str_format.h>

namespace applehall {
namespace {

// RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

std::string FindHeadFault(const ResponseHead& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return absl::StrFormat("status %03d", status);
  }
  return "";
}

}  // namespace applehall

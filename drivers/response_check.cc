#include "drivers/response_check.h"

#include <absl/strings/str_format.h>

namespace applehall {
namespace {

// RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

std::string FindLineFault(std::string_view head) {
  const bool is_folded = head.find("\r\n ") != std::string_view::npos ||
                         head.find("\r\n\t") != std::string_view::npos;
  return is_folded ? "a line of the head is continued" : "";
}

std::string FindHeadFault(const ResponseHead& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return absl::StrFormat("status %03d", status);
  }
  return "";
}

}  // namespace applehall

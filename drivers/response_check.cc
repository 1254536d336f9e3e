#include "drivers/response_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <iterator>
#include <vector>

namespace applehall {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr int kHttp11 = 11;
// Of a head; a field takes many times its bytes on the wire in memory.
constexpr size_t kMaxLines = 256;
constexpr std::string_view kLineEnd = "\r\n";

// Returns false if the body is coded in a way that the parser does not undo, or
// if the version has no transfer codings (RFC 9112, sections 6.1 and 6.3).
bool IsTransferCodingKnown(const ResponseHead& head) {
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  return std::next(first) == last && head.version() >= kHttp11 &&
         beast::iequals(first->value(), "chunked");
}

// Returns whether the head announces content, whatever its status allows.
bool AnnouncesContent(const ResponseHead& head) {
  const auto length = head.find(http::field::content_length);
  const bool has_length = length != head.end() && length->value() != "0";
  return has_length || head.count(http::field::transfer_encoding) > 0;
}

}  // namespace

std::string FindLineFault(std::string_view head) {
  size_t lines = 0;
  for (size_t end = head.find(kLineEnd); end != std::string_view::npos;
       end = head.find(kLineEnd, end)) {
    end += kLineEnd.size();
    if (++lines > kMaxLines) return "the head has too many lines";
    const bool is_continued =
        end < head.size() && (head[end] == ' ' || head[end] == '\t');
    if (is_continued) return "a line of the head is continued";
  }
  return "";
}

std::string FindHeadFault(const ResponseHead& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return absl::StrFormat("status %03d", status);
  }
  if (!IsTransferCodingKnown(head)) return "unknown transfer coding";
  const bool is_empty = head.result() == http::status::no_content ||
                        head.result() == http::status::reset_content;
  if (is_empty && AnnouncesContent(head)) {
    return absl::StrFormat("content with status %d", status);
  }
  return "";
}

bool HasSkippedContent(const ResponseHead& head) {
  return head.result() == http::status::not_modified && AnnouncesContent(head);
}

void RemoveConnectionOptions(HttpHeaders& headers) {
  const auto connection = headers.find("connection");
  if (connection == headers.end()) return;
  const std::vector<std::string> options =
      absl::StrSplit(absl::AsciiStrToLower(connection->second), ',');
  for (const std::string& option : options) {
    const std::string name(absl::StripAsciiWhitespace(option));
    if (name != "connection" && name != "keep-alive") headers.erase(name);
  }
}

}  // namespace applehall

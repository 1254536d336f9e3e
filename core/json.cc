#include "core/json.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace applehall {

absl::StatusOr<Json> ParseJson(std::string_view text) {
  try {
    return Json::parse(text, nullptr, /*allow_exceptions=*/true,
                       /*ignore_comments=*/true);
  } catch (const Json::exception& error) {
    // Malformed text, or a number that is out of range.
    return absl::InvalidArgumentError(error.what());
  }
}

std::string DumpJson(const Json& json, int indent) {
  return json.dump(indent, ' ', /*ensure_ascii=*/false,
                   Json::error_handler_t::replace);
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return absl::NotFoundError(absl::StrCat("cannot open ", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace applehall

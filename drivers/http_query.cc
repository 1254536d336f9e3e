#include "drivers/http_query.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/url/encode.hpp>
#include <boost/url/parse_query.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace applehall {

namespace urls = boost::urls;

namespace {

std::string Encode(std::string_view text) {
  return urls::encode(urls::string_view(text.data(), text.size()),
                      urls::unreserved_chars);
}

std::string Decode(const urls::pct_string_view& text) {
  return text.decode(urls::encoding_opts(/*space_as_plus=*/true));
}

}  // namespace

absl::StatusOr<HttpQuery> HttpQuery::Parse(const HttpRequest& request) {
  HttpQuery query;
  const auto question = request.target.find('?');
  if (question == std::string::npos) return query;
  const std::string text = request.target.substr(question + 1);
  const auto parameters = urls::parse_query(text);
  if (!parameters) {
    return absl::InvalidArgumentError(
        absl::StrCat("malformed query: ", parameters.error().message()));
  }
  for (const auto& parameter : *parameters) {
    query.values_.try_emplace(Decode(parameter.key), Decode(parameter.value));
  }
  return query;
}

std::string HttpQuery::Value(const std::string& name) const {
  const auto value = values_.find(name);
  return value == values_.end() ? "" : value->second;
}

uint64_t HttpQuery::Number(const std::string& name, uint64_t fallback) const {
  uint64_t number = 0;
  return absl::SimpleAtoi(Value(name), &number) ? number : fallback;
}

std::string TargetWithQuery(std::string_view path,
                            const QueryParameters& parameters) {
  std::string target(path);
  char separator = '?';
  for (const auto& [name, value] : parameters) {
    absl::StrAppend(&target, std::string(1, separator), Encode(name), "=",
                    Encode(value));
    separator = '&';
  }
  return target;
}

}  // namespace applehall

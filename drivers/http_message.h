#ifndef APPLEHALL_DRIVERS_HTTP_MESSAGE_H_
#define APPLEHALL_DRIVERS_HTTP_MESSAGE_H_

#include <map>
#include <set>
#include <string>

namespace applehall {

// Header fields; names in lower case.
using HttpHeaders = std::map<std::string, std::string>;

// Adds a received field. Fields of the same name are joined to a list (RFC 9110
// section 5.3), as the last one would otherwise replace the others. Of several
// set-cookie fields only the last is kept. Returns false if there was one of
// that name. Requires: `name` in lower case. Not thread-safe.
inline bool AddHeader(const std::string& name, const std::string& value,
                      HttpHeaders& headers) {
  const auto [known, is_first] = headers.insert({name, value});
  if (is_first) return true;
  known->second = name == "set-cookie" ? value : known->second + ", " + value;
  return false;
}

struct HttpRequest {
  std::string method;
  std::string target;  // Path with query, as received.
  HttpHeaders headers;
  std::string body;

  // A copy without the body. Thread-safe.
  HttpRequest Head() const { return {method, target, headers, ""}; }
  // The path without its query. Requires: nothing. Thread-safe.
  std::string Path() const { return target.substr(0, target.find('?')); }
  // A header; empty if absent. Thread-safe.
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Names of the received fields that stood more than once; `headers` has the
  // list of their values.
  std::set<std::string> repeated = {};

  // A header; empty if absent. Thread-safe.
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }

  static HttpResponse JsonText(int status, std::string body) {
    return {
        status, {{"content-type", "application/json"}}, std::move(body), {}};
  }
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_MESSAGE_H_

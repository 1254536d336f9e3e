#ifndef APPLEHALL_DRIVERS_HTTP_QUERY_H_
#define APPLEHALL_DRIVERS_HTTP_QUERY_H_

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/http_message.h"

namespace applehall {

// Names and values of a query, in their order.
using QueryParameters = std::vector<std::pair<std::string, std::string>>;

// Names and values of a received query, decoded; of a name that occurs more
// than once, the first value.
class HttpQuery {
 public:
  // Reads the query of a request's target as that of a form: a plus sign is a
  // space. An error if it has a malformed escape or a character that a query
  // cannot contain. Requires: nothing. Thread-safe.
  static absl::StatusOr<HttpQuery> Parse(const HttpRequest& request);

  // Returns a value; empty if it is absent. Thread-safe.
  std::string Value(const std::string& name) const;
  // Returns a number; `fallback` if it is absent or none. Thread-safe.
  uint64_t Number(const std::string& name, uint64_t fallback) const;
  // Returns whether the query has the name. Thread-safe.
  bool Contains(const std::string& name) const {
    return values_.contains(name);
  }

 private:
  std::map<std::string, std::string> values_;
};

// Returns a target with a query of these names and values, of any bytes. What
// is not unreserved (RFC 3986, section 2.3) is escaped, so that a reader which
// takes a plus sign for a space reads the same. Requires: `path` is encoded and
// has no query. Thread-safe.
std::string TargetWithQuery(std::string_view path,
                            const QueryParameters& parameters);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_QUERY_H_

#ifndef APPLEHALL_DRIVERS_RESPONSE_CHECK_H_
#define APPLEHALL_DRIVERS_RESPONSE_CHECK_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>
#include <string_view>

#include "drivers/http_message.h"

namespace applehall {

using ResponseHead = boost::beast::http::response_header<>;

// Returns why the lines of a head, as received, are not to be parsed; empty if
// they are. Their number is bounded, and a line that continues the one before
// it may be neither passed on nor dropped (RFC 9112, section 5.2). Thread-safe.
std::string FindLineFault(std::string_view head);

// Returns why the head is not that of an HTTP/1.1 response, though it can be
// parsed; empty if it is one. The peer may have processed the request all the
// same. Thread-safe.
std::string FindHeadFault(const ResponseHead& head);

// Returns whether the head announces content that its status does not have and
// that is not read. A faulty peer may send it all the same. Thread-safe.
bool HasSkippedContent(const ResponseHead& head);

// Removes the fields that "Connection" names: they concern one connection and
// say nothing of the response (RFC 9110, section 7.6.1). Keep-Alive stays. Not
// thread-safe.
void RemoveConnectionOptions(HttpHeaders& headers);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_RESPONSE_CHECK_H_

#ifndef APPLEHALL_DRIVERS_RESPONSE_CHECK_H_
#define APPLEHALL_DRIVERS_RESPONSE_CHECK_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

namespace applehall {

using ResponseHead = boost::beast::http::response_header<>;

// Returns why the head is not that of an HTTP/1.1 response, though it can be
// parsed; empty if it is one. The peer may have processed the request all the
// same. Thread-safe.
std::string FindHeadFault(const ResponseHead& head);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_RESPONSE_CHECK_H_

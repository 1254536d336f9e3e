#ifndef APPLEHALL_DRIVERS_EVENT_LOOP_H_
#define APPLEHALL_DRIVERS_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <string>

namespace applehall {

// Runs an io_context until it is stopped or has no more work. An exception that
// leaves a handler is logged and counted as a background failure of `name`; the
// other handlers go on. While such exceptions repeat fast, the loop pauses
// after each, so that neither the processor nor the log is used up. A fault
// signal on this thread has a last line also if its stack is exhausted.
// Throws nothing. Thread: any; one for each io_context.
void RunEventLoop(boost::asio::io_context& io, const std::string& name);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_EVENT_LOOP_H_

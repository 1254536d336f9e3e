#ifndef APPLEHALL_DRIVERS_HTTP_CLIENT_H_
#define APPLEHALL_DRIVERS_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/settings_reader.h"
#include "drivers/http_message.h"

namespace applehall {

// Progress of a request. Only kNotSent proves that the peer did not process it.
enum class SendState : uint8_t { kNotSent, kMayBeSent, kAnswered };

// A call whose response is read in chunks.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  // Connects unless an idle connection can be reused, sends the request and
  // reads the response head. Requires: called once. Thread: the client's.
  virtual boost::asio::awaitable<void> Start() = 0;
  virtual SendState state() const = 0;
  // When the request began to be written to the connection; nothing before.
  virtual std::optional<TimePoint> sent_at() const = 0;
  // True if the request was not sent because it was not wanted any more.
  virtual bool is_withheld() const = 0;
  // Requires: state() is kAnswered.
  virtual const HttpResponse& head() const = 0;
  // Returns the next chunk of the body; empty at its end or after an error.
  // Requires: the last call has returned. Thread: the client's.
  virtual boost::asio::awaitable<std::string> ReadSome(Duration timeout) = 0;
  // True if the body was read to its end as HTTP defines it.
  virtual bool is_complete() const = 0;
  // Cancels the call and closes the connection, see ConnectionCloser. Thread:
  // the client's.
  virtual void Cancel() = 0;
  virtual std::string error() const = 0;
  // True if the peer closed or reset the connection before the response was
  // complete.
  virtual bool is_closed_by_peer() const = 0;
  // True if the response has neither a length nor chunks, so that the end of
  // the connection ends it, and also that of a server that crashes. Requires:
  // state() is kAnswered.
  virtual bool ends_with_connection() const = 0;
};

// Bounds of a response body that is read as a whole.
struct BodyLimits {
  size_t max_bytes = 0;
  TimePoint read_by;
  // Charged for the body as it is read; null: not charged.
  MemoryCharge* charge = nullptr;
  // Called while the charge does not fit; waits for memory. Returns false if
  // there will be none in time. Null: does not wait.
  std::function<boost::asio::awaitable<bool>()> await_memory = nullptr;
};

// Reads the rest of the response body. Returns why it is not whole, which is
// empty if it is. Cancels the call if a limit is exceeded. Thread: the
// client's.
boost::asio::awaitable<std::string> ReadBody(HttpStream& stream,
                                             BodyLimits limits,
                                             std::string& body);

struct HttpCall {
  Address address;
  HttpRequest request;
  // Sent as the body instead of that of `request`, without a copy.
  std::shared_ptr<const std::string> shared_body = nullptr;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration header_timeout = std::chrono::seconds(10);
  // Opens a new connection instead of reusing an idle one. The peer may have
  // closed an idle one unnoticed; it is then unknown whether the request was
  // read.
  bool fresh_connection = false;
  // Max time from the creation of the call to the response head, including time
  // in which the machine was suspended. After it nothing is sent, and bytes
  // that the peer has not acknowledged are discarded.
  std::optional<Duration> total_timeout = std::nullopt;
  // Max size of the response body; for Fetch() only.
  size_t max_body_bytes = 16 * 1024 * 1024;
  // Charged for the response body while it is read, which fails once it is used
  // up; for Fetch() only. Null: not charged.
  std::shared_ptr<MemoryBudget> body_budget = nullptr;
  // Called once a new connection was made, or failed or timed out; not for a
  // reused connection or a cancelled call.
  std::function<void(bool is_connected, Duration took)> on_connect = nullptr;
  // Called before a connection is made and again right before the request is
  // written, on a new or reused one; if it returns false, nothing is sent.
  // Null: the request is always sent.
  std::function<bool()> is_wanted = nullptr;
};

struct HttpResult {
  SendState state = SendState::kNotSent;
  HttpResponse response;
  std::string error;

  bool is_ok() const {
    return state == SendState::kAnswered && response.status / 100 == 2;
  }
};

// GCC 12 generates wrong code for a co_await behind "&&", "||" or "?:" and for
// braced temporaries in the arguments of an awaited call (seen as a crash on
// the first call and as a double free), and rejects initializer lists inside
// coroutines. This code base uses none of these.

// HTTP/1.1 client with Boost.Beast, on the thread that runs `io`. Keeps a
// bounded number of idle connections for each address.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  // Creates a call without starting it, so that it can be cancelled at any
  // time; never null. Thread: the one that runs `io`.
  std::shared_ptr<HttpStream> Prepare(const HttpCall& call);
  // Sends the request and reads the complete response. Thread: the one that
  // runs `io`.
  boost::asio::awaitable<HttpResult> Fetch(const HttpCall& call);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Runs a blocking call on an io_context of its own, for command lines and
// tests.
HttpResult FetchBlocking(const HttpCall& call);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_CLIENT_H_

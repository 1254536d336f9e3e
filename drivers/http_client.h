#ifndef APPLEHALL_DRIVERS_HTTP_CLIENT_H_
#define APPLEHALL_DRIVERS_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/settings_reader.h"
#include "drivers/http_message.h"

namespace applehall {

// How far a request got. Only kNotSent proves that the peer did nothing.
enum class SendState : uint8_t { kNotSent, kMayBeSent, kAnswered };

// A response being read piece by piece.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  // Connects if it must, sends the request and reads the answer's head.
  // Requires: called once. Thread: the client's.
  virtual boost::asio::awaitable<void> Start() = 0;
  virtual SendState state() const = 0;
  // Requires: state() is kAnswered.
  virtual const HttpResponse& head() const = 0;
  // The next piece of the body; empty at its end or when it broke. Requires:
  // the last call has returned. Thread: the client's.
  virtual boost::asio::awaitable<std::string> ReadSome(Duration timeout) = 0;
  // True if the body ended as the protocol says it must.
  virtual bool is_complete() const = 0;
  // Ends what is under way and closes the connection. Thread: the client's.
  virtual void Cancel() = 0;
  virtual std::string error() const = 0;
  // The peer closed or reset the connection before the answer was whole.
  virtual bool is_closed_by_peer() const = 0;
};

struct HttpCall {
  Address address;
  HttpRequest request;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration header_timeout = std::chrono::seconds(10);
  // Never a kept connection: the peer may have closed it unseen, and then it
  // is not known whether the request was read.
  bool fresh_connection = false;
  // From here to the head of the answer, at most; counts the time in which the
  // machine was suspended. Nothing is sent after it, and what was sent and not
  // yet received is taken back.
  std::optional<Duration> total_timeout = std::nullopt;
};

struct HttpResult {
  SendState state = SendState::kNotSent;
  HttpResponse response;
  std::string error;

  bool is_ok() const {
    return state == SendState::kAnswered && response.status / 100 == 2;
  }
};

// In this project a co_await never stands behind "&&", "||" or "?:", and the
// arguments of an awaited call hold no braced temporaries: GCC 12 builds wrong
// code for both (seen as a crash on the first call and as a double free), and
// rejects initializer lists inside coroutines.

// Calls HTTP/1.1 servers, by Boost.Beast, on the thread that runs `io`.
// Keeps a few idle connections for each address.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  // A call that is not begun yet, so that it can be cancelled at any time;
  // never null. Thread: the one that runs `io`.
  std::shared_ptr<HttpStream> Prepare(const HttpCall& call);
  // Sends and reads everything. Thread: the one that runs `io`.
  boost::asio::awaitable<HttpResult> Fetch(const HttpCall& call);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// A blocking call on a context of its own, for command lines and tests.
HttpResult FetchBlocking(const HttpCall& call);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_CLIENT_H_

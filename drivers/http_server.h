#ifndef APPLEHALL_DRIVERS_HTTP_SERVER_H_
#define APPLEHALL_DRIVERS_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/settings_reader.h"
#include "drivers/http_message.h"

namespace applehall {

// Bounds on all that a peer can make grow.
struct HttpServerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  size_t connections = 4096;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(75);
  Duration write_timeout = std::chrono::seconds(30);
};

// One request and its one response. Belongs to the server's thread.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // True once the peer closed its side while the handler was at work.
  virtual bool is_peer_disconnected() const = 0;
  // Called at most once, when the peer closes before the response is done.
  // Requires: set before the first await. Thread: the server's.
  virtual void SetOnPeerDisconnected(std::function<void()> callback) = 0;

  // Each is false if the peer is gone or too slow. Requires: either one
  // Respond(), or BeginStream(), any number of Write() and EndStream().
  virtual boost::asio::awaitable<bool> Respond(HttpResponse&& response) = 0;
  virtual boost::asio::awaitable<bool> BeginStream(
      int status, const HttpHeaders& headers) = 0;
  virtual boost::asio::awaitable<bool> Write(const std::string& data) = 0;
  virtual boost::asio::awaitable<bool> EndStream() = 0;
  // Closes without an end, so that the peer sees the answer is not whole.
  virtual void Abort() = 0;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(HttpExchange& exchange)>;

// Serves HTTP/1.1 on one address, by Boost.Beast, on the thread that runs
// `io`.
class HttpServer {
 public:
  // Binds at once; port 0 lets the kernel choose. Throws
  // boost::system::system_error if the address cannot be bound.
  HttpServer(boost::asio::io_context& io, const Address& address,
             HttpHandler handler, HttpServerLimits limits);
  ~HttpServer();

  // The bound port. Thread-safe.
  uint16_t port() const;
  // For requests read from now on. Thread: the server's.
  void SetLimits(const HttpServerLimits& limits);
  // Answers from now on ask the peer to close the connection. Thread: the
  // server's.
  void CloseAfterAnswers();
  // Takes no new connections; open ones go on. Requires: called on the
  // server's thread.
  void StopAccepting();
  // Connections refused because of the limit. Thread-safe.
  uint64_t refused_connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_SERVER_H_

#ifndef APPLEHALL_DRIVERS_HTTP_SERVER_H_
#define APPLEHALL_DRIVERS_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/settings_reader.h"
#include "drivers/connection_pool.h"
#include "drivers/http_message.h"

namespace applehall {

// Limits on the resources that a peer can use.
struct HttpServerLimits {
  // Of the head, of each line between the chunks of a body, and of all
  // trailers.
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 4 * 1024 * 1024;
  size_t connections = 4096;  // See ConnectionPool.
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(75);
  Duration write_timeout = std::chrono::seconds(30);
};

// What several servers of a process share. Null: the server has its own
// connections, and requests are not bounded together.
struct HttpServerResources {
  // Charged for each request from its head to its response; what does not fit
  // is refused with 503.
  std::shared_ptr<MemoryBudget> memory;
  // Replaces HttpServerLimits::connections.
  std::shared_ptr<ConnectionPool> connections;
};

// One request and its response. Thread: the server's.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  // The same, to be kept beyond the exchange. Never null.
  virtual std::shared_ptr<const HttpRequest> shared_request() const = 0;
  // True once the peer closed its side while the handler was running.
  virtual bool is_peer_disconnected() const = 0;
  // Sets a callback that runs at most once, when the peer closes before the
  // response is complete. Requires: set before the first await. Thread: the
  // server's.
  virtual void SetOnPeerDisconnected(std::function<void()> callback) = 0;
  // Returns a function that looks at the connection and returns how long ago
  // the peer's close, or that of its sending half, arrived, noticed or not;
  // nothing while it is open. The function is thread-safe and may outlive the
  // exchange. Thread: the server's.
  virtual std::function<std::optional<Duration>()> PeerCloseProbe() const = 0;

  // Each returns false if the peer disconnected or timed out. Requires: either
  // one Respond(), or BeginStream(), any number of Write() and EndStream().
  virtual boost::asio::awaitable<bool> Respond(HttpResponse&& response) = 0;
  virtual boost::asio::awaitable<bool> BeginStream(
      int status, const HttpHeaders& headers) = 0;
  virtual boost::asio::awaitable<bool> Write(const std::string& data) = 0;
  virtual boost::asio::awaitable<bool> EndStream() = 0;
  // Closes the connection without ending the response, so that the peer detects
  // an incomplete response.
  virtual void Abort() = 0;
  // Aborts and ends a pending Respond(), Write() or EndStream(), discarding
  // what the peer has not read. Thread: the server's.
  virtual void Reset() = 0;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(HttpExchange& exchange)>;

// HTTP/1.1 server on one address with Boost.Beast, on the thread that runs
// `io`.
class HttpServer {
 public:
  // Binds now, or later while that fails for a passing reason (PortBinder);
  // with port 0 the kernel chooses the port. `name` stands in the log. Throws
  // std::runtime_error if the address can never be bound.
  HttpServer(boost::asio::io_context& io, const Address& address,
             HttpHandler handler, HttpServerLimits limits,
             HttpServerResources resources = {}, std::string name = "http");
  ~HttpServer();

  // The bound port; until is_bound() that of the address. Thread-safe.
  uint16_t port() const;
  // True once callers can connect. Thread-safe.
  bool is_bound() const;
  // Sets the limits for requests read from now on. Thread: the server's.
  void SetLimits(const HttpServerLimits& limits);
  // Sends "Connection: close" with all further responses. Thread: the server's.
  void CloseAfterAnswers();
  // While set, new connections are closed unread, so that their callers go
  // elsewhere; open ones continue. Thread: the server's.
  void SetOverloaded(bool is_overloaded);
  // Accepts no new connections; open ones continue. Requires: called on the
  // server's thread.
  void StopAccepting();
  // Number of connections refused because of overload or because all others
  // have open requests. Thread-safe.
  uint64_t refused_connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_HTTP_SERVER_H_

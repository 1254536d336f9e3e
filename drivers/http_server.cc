#include "drivers/http_server.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "core/event_log.h"
#include "drivers/background_task.h"
#include "drivers/peer_close_watcher.h"
#include "drivers/port_binder.h"
#include "drivers/socket_options.h"

namespace applehall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

// Read ahead of the parser beyond the longest line that it waits for.
constexpr size_t kReadAheadBytes = 4 * 1024;
// Bytes on the wire for each byte of a body that comes in chunks of one byte,
// with some room for extensions.
constexpr size_t kMaxFramingFactor = 8;
// Memory for a request besides its fields and its body.
constexpr size_t kRequestBytes = 16 * 1024;
// Memory for a field besides its text, in one map of fields.
constexpr size_t kFieldBytes = 128;
// Maps that hold the fields of an open request: the exchange, its session, the
// facts for the rules, the call to a server and the message that is sent.
constexpr size_t kFieldCopies = 5;
constexpr char kRetryAfterSeconds[] = "1";
// Time and bytes for which what a peer still sends is discarded after a
// refusal: a close with unread bytes would discard the refusal.
constexpr Duration kDiscardTime = std::chrono::seconds(1);
constexpr size_t kDiscardBlockBytes = 4 * 1024;
// Of a connection, in the kernel; twice as much is set aside.
constexpr int kReceiveBufferBytes = 64 * 1024;

using RequestParser = http::request_parser<http::string_body>;

// Reads the head. Fields of trailers are not taken into it later: nothing that
// a decision depends on may come after the body.
HttpRequest ReadHead(const RequestParser& parser) {
  const auto& message = parser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    const std::string name = absl::AsciiStrToLower(absl::string_view(
        field.name_string().data(), field.name_string().size()));
    AddHeader(name, std::string(field.value()), request.headers);
  }
  return request;
}

// Returns the memory that a request takes up while it is open, without its
// body.
size_t HeadCost(const HttpRequest& head) {
  size_t cost = head.target.size() * kFieldCopies + kRequestBytes;
  for (const auto& [name, value] : head.headers) {
    cost += (kFieldBytes + name.size() + value.size()) * kFieldCopies;
  }
  return cost;
}

// Returns false for a status with which a length must not be sent, or is that
// of another response (RFC 9110, section 8.6).
bool HasContent(int status) {
  return status != static_cast<int>(http::status::no_content) &&
         status != static_cast<int>(http::status::not_modified);
}

class BeastExchange : public HttpExchange {
 public:
  BeastExchange(beast::tcp_stream& stream, HttpRequest request, bool keep_alive,
                const HttpServerLimits& limits, const bool& is_closing)
      : stream_(stream),
        request_(std::make_shared<const HttpRequest>(std::move(request))),
        wants_keep_alive_(keep_alive),
        is_closing_(is_closing),
        limits_(limits),
        watch_(std::make_shared<PeerCloseWatcher>()) {
    watch_->Start(stream_.socket());
  }
  ~BeastExchange() override { watch_->Stop(); }

  const HttpRequest& request() const override { return *request_; }
  std::shared_ptr<const HttpRequest> shared_request() const override {
    return request_;
  }
  bool is_peer_disconnected() const override {
    return watch_->is_disconnected();
  }
  void SetOnPeerDisconnected(std::function<void()> callback) override {
    watch_->SetOnDisconnect(std::move(callback));
  }
  std::function<std::optional<Duration>()> PeerCloseProbe() const override {
    return [watch = watch_] { return watch->PeerCloseAge(); };
  }

  asio::awaitable<bool> Respond(HttpResponse&& response) override {
    http::response<http::string_body> message{
        static_cast<http::status>(response.status), 11};
    for (const auto& [name, value] : response.headers) message.set(name, value);
    keep_alive_ = wants_keep_alive_ && !is_closing_;
    message.keep_alive(keep_alive_);
    if (HasContent(response.status)) {
      message.body() = std::move(response.body);
      message.prepare_payload();
    }
    has_begun_ = true;
    stream_.expires_after(limits_.write_timeout);
    const auto [error, size] =
        co_await http::async_write(stream_, message, kToken);
    is_ok_ = !error;
    is_complete_ = is_ok_;
    co_return is_ok_;
  }

  asio::awaitable<bool> BeginStream(int status,
                                    const HttpHeaders& headers) override {
    http::response<http::empty_body> message{static_cast<http::status>(status),
                                             11};
    for (const auto& [name, value] : headers) message.set(name, value);
    message.chunked(true);
    keep_alive_ = wants_keep_alive_ && !is_closing_;
    message.keep_alive(keep_alive_);
    http::response_serializer<http::empty_body> serializer{message};
    has_begun_ = true;
    stream_.expires_after(limits_.write_timeout);
    const auto [error, size] =
        co_await http::async_write_header(stream_, serializer, kToken);
    is_ok_ = !error;
    co_return is_ok_;
  }

  asio::awaitable<bool> Write(const std::string& data) override {
    if (!is_ok_) co_return false;
    if (data.empty()) co_return true;
    stream_.expires_after(limits_.write_timeout);
    const auto [error, size] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(data)), kToken);
    is_ok_ = !error;
    co_return is_ok_;
  }

  asio::awaitable<bool> EndStream() override {
    if (!is_ok_) co_return false;
    stream_.expires_after(limits_.write_timeout);
    const auto [error, size] =
        co_await asio::async_write(stream_, http::make_chunk_last(), kToken);
    is_ok_ = !error;
    is_complete_ = is_ok_;
    co_return is_ok_;
  }

  void Abort() override { is_ok_ = false; }

  void Reset() override {
    is_ok_ = false;
    SetDiscardOnClose(stream_.socket().native_handle(), true);
    stream_.close();
  }

  // Charges for what the peer sends ahead while the request is open.
  void LimitUnread(MemoryCharge charge) {
    watch_->LimitUnread(std::move(charge));
  }

  // True if a part of the response may have been sent.
  bool has_begun() const { return has_begun_; }

  // True if the connection can serve another request.
  bool can_serve_next() const {
    return is_complete_ && keep_alive_ && !is_peer_disconnected();
  }

 private:
  beast::tcp_stream& stream_;
  std::shared_ptr<const HttpRequest> request_;
  bool wants_keep_alive_;
  bool keep_alive_ = false;
  const bool& is_closing_;
  const HttpServerLimits& limits_;
  std::shared_ptr<PeerCloseWatcher> watch_;
  bool is_ok_ = true;
  bool has_begun_ = false;
  bool is_complete_ = false;
};

// Why a request was not read.
struct ReadRefusal {
  int status = 0;
  std::string reason;
};

HttpResponse RefusalResponse(const ReadRefusal& refusal) {
  HttpResponse response = HttpResponse::JsonText(
      refusal.status, "{\"error\":{\"verdict\":\"not_run\",\"reason\":\"" +
                          refusal.reason + "\"}}");
  if (refusal.status == 503) {
    response.headers["retry-after"] = kRetryAfterSeconds;
  }
  return response;
}

// It is unknown how far the request got.
HttpResponse InternalError() {
  return HttpResponse::JsonText(500,
                                "{\"error\":{\"verdict\":\"may_have_run\","
                                "\"reason\":\"internal_error\"}}");
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const Address& address, HttpHandler handler,
       HttpServerLimits limits, HttpServerResources resources, std::string name)
      : io_(io),
        binder_(io, std::move(name), address.ip, address.port),
        handler_(std::move(handler)),
        limits_(limits),
        budget_(std::move(resources.memory)),
        has_own_pool_(!resources.connections),
        pool_(has_own_pool_
                  ? std::make_shared<ConnectionPool>(limits.connections)
                  : std::move(resources.connections)) {}

  void Start() {
    binder_.Start([weak = weak_from_this()] {
      const std::shared_ptr<Impl> self = weak.lock();
      if (!self) return;
      // Inherited by the connections. Without it the kernel lets the buffer of
      // a connection grow to megabytes, whatever the process may use.
      error_code ignored;
      self->binder_.acceptor().set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
      StartDuty(self->io_, "accept", [self] { return Accept(self); });
    });
  }

  uint16_t port() const { return binder_.port(); }
  bool is_bound() const { return binder_.is_bound(); }
  uint64_t refused() const { return refused_; }
  void SetLimits(const HttpServerLimits& limits) {
    limits_ = limits;
    if (has_own_pool_) pool_->SetLimit(limits.connections);
  }
  void CloseAfterAnswers() { is_closing_ = true; }
  void SetOverloaded(bool is_overloaded) { is_overloaded_ = is_overloaded; }
  void StopAccepting() { binder_.Stop(); }

 private:
  struct Connection : PooledConnection {
    explicit Connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket)) {}
    void Close() override {
      SetDiscardOnClose(stream.socket().native_handle(), true);
      stream.close();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    HttpRequest head;  // Of the request that is being read.
  };

  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    PortBinder::Acceptor& acceptor = self->binder_.acceptor();
    while (acceptor.is_open()) {
      auto [error, socket] = co_await acceptor.async_accept(kToken);
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        // For example out of file descriptors: retry after some were closed.
        asio::steady_timer pause(self->io_, std::chrono::milliseconds(50));
        co_await pause.async_wait(kToken);
        continue;
      }
      if (self->is_overloaded_ || !self->pool_->TryAdd()) {
        ++self->refused_;
        continue;  // The socket's destructor closes it.
      }
      error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      EnableDeadPeerDetection(socket.native_handle());
      const auto connection = std::make_shared<Connection>(std::move(socket));
      StartTask(self->io_, "serve_connection", Serve(self, connection),
                [self, connection] {
                  self->pool_->EndWaiting(*connection);
                  self->pool_->Remove();
                });
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     std::shared_ptr<Connection> connection) {
    bool keep_open = true;
    bool is_first = true;
    while (keep_open) {
      keep_open = co_await ServeOne(self, connection, is_first);
      is_first = false;
    }
    error_code ignored;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                         ignored);
    self->pool_->Remove();
  }

  static asio::awaitable<bool> ServeOne(std::shared_ptr<Impl> self,
                                        std::shared_ptr<Connection> connection,
                                        bool is_first) {
    const HttpServerLimits& limits = self->limits_;
    beast::tcp_stream& stream = connection->stream;
    std::optional<RequestParser> parser(std::in_place);
    parser->eager(true);
    parser->header_limit(static_cast<uint32_t>(limits.header_bytes));
    parser->body_limit(limits.body_bytes);
    connection->charge = MemoryCharge(self->budget_);
    self->pool_->BeginWaiting(connection);
    const ReadResult read =
        co_await ReadRequest(*self, *connection, *parser, is_first);
    if (read.refusal) {
      // A refused request keeps no memory until it is closed.
      connection->head = {};
      parser.reset();
      connection->charge.Release();
      co_await Refuse(*self, *connection, *read.refusal);
    }
    const bool is_displaced = !connection->is_waiting;
    self->pool_->EndWaiting(*connection);
    if (read.error || read.refusal || is_displaced) co_return false;
    HttpRequest request = std::move(connection->head);
    request.body = std::move(parser->get().body());
    const bool keep_alive = parser->keep_alive();
    parser.reset();
    BeastExchange exchange(stream, std::move(request), keep_alive, limits,
                           self->is_closing_);
    exchange.LimitUnread(MemoryCharge(self->budget_));
    stream.expires_never();
    std::exception_ptr failure;
    try {
      co_await self->handler_(exchange);
    } catch (...) {
      failure = std::current_exception();
    }
    if (failure) {
      RecordBackgroundFailure("serve_request", failure);
      if (!exchange.has_begun()) co_await exchange.Respond(InternalError());
      co_return false;
    }
    connection->charge.Release();
    co_return exchange.can_serve_next();
  }

  // How the reading of a request ended: whole if neither is set.
  struct ReadResult {
    error_code error;
    std::optional<ReadRefusal> refusal;
  };

  // Reads a request into the parser and charges for it as its bytes arrive. A
  // body whose length is known is charged for before it is read.
  static asio::awaitable<ReadResult> ReadRequest(Impl& server,
                                                 Connection& connection,
                                                 RequestParser& parser,
                                                 bool is_first) {
    const HttpServerLimits& limits = server.limits_;
    beast::tcp_stream& stream = connection.stream;
    beast::flat_buffer& buffer = connection.buffer;
    ReadResult result;
    // An idle connection keeps no more than what it sent ahead.
    buffer.shrink_to_fit();
    buffer.max_size(std::max(buffer.size(), limits.header_bytes) +
                    kReadAheadBytes);
    stream.expires_after(is_first ? limits.header_timeout
                                  : limits.idle_timeout);
    if (buffer.size() == 0) {
      const auto [error, size] = co_await stream.async_read_some(
          buffer.prepare(kReadAheadBytes), kToken);
      result.error = error;
      if (error) co_return result;
      buffer.commit(size);
    }
    if (!is_first) stream.expires_after(limits.header_timeout);
    const auto [head_error, head_size] =
        co_await http::async_read_header(stream, buffer, parser, kToken);
    result.error = head_error;
    if (!head_error) {
      connection.head = ReadHead(parser);
      connection.body_since = server.clock_.Now();
      const size_t head_cost = HeadCost(connection.head);
      const size_t declared = parser.content_length().value_or(0);
      const size_t max_bytes =
          limits.header_bytes + kMaxFramingFactor * limits.body_bytes;
      stream.expires_after(limits.header_timeout);
      size_t read_bytes = 0;
      while (!result.error) {
        const size_t body = std::max(declared, parser.get().body().capacity());
        bool is_charged = connection.charge.TryGrowTo(head_cost + body);
        while (!is_charged && server.pool_->CloseLongestUnfinished(
                                  connection, server.clock_.Now())) {
          is_charged = connection.charge.TryGrowTo(head_cost + body);
        }
        if (!is_charged) {
          result.refusal = ReadRefusal{503, "memory_used_up"};
          break;
        }
        if (read_bytes > max_bytes) {
          result.refusal = ReadRefusal{431, "framing_too_large"};
          break;
        }
        if (parser.is_done()) break;
        const auto [error, size] =
            co_await http::async_read_some(stream, buffer, parser, kToken);
        result.error = error;
        read_bytes += size;
      }
    }
    if (result.error) result.refusal = RefusalOf(result.error);
    co_return result;
  }

  // Returns nothing if the peer disconnected or timed out.
  static std::optional<ReadRefusal> RefusalOf(error_code error) {
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow) {
      return ReadRefusal{431, "header_too_large"};
    }
    if (error == http::error::body_limit) {
      return ReadRefusal{413, "body_too_large"};
    }
    const bool is_syntax =
        error.category() ==
        http::make_error_code(http::error::bad_version).category();
    if (!is_syntax || error == http::error::end_of_stream ||
        error == http::error::partial_message) {
      return std::nullopt;
    }
    return ReadRefusal{400, "malformed_http"};
  }

  // Sends the refusal and lets it arrive: the peer may still be sending.
  static asio::awaitable<void> Refuse(Impl& server, Connection& connection,
                                      ReadRefusal refusal) {
    beast::tcp_stream& stream = connection.stream;
    LogEvent(LogLevel::kWarning, "request_not_read")
        .With("status", refusal.status)
        .With("reason", refusal.reason)
        .With("memory_used", server.budget_ ? server.budget_->used() : 0);
    {
      BeastExchange exchange(stream, {}, /*keep_alive=*/false, server.limits_,
                             server.is_closing_);
      HttpResponse response = RefusalResponse(refusal);
      co_await exchange.Respond(std::move(response));
    }
    error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    connection.buffer.consume(connection.buffer.size());
    stream.expires_after(kDiscardTime);
    while (!error) {
      const auto [read_error, size] = co_await stream.async_read_some(
          connection.buffer.prepare(kDiscardBlockBytes), kToken);
      error = read_error;
    }
  }

  asio::io_context& io_;
  PortBinder binder_;
  HttpHandler handler_;
  HttpServerLimits limits_;
  std::shared_ptr<MemoryBudget> budget_;
  const bool has_own_pool_;
  std::shared_ptr<ConnectionPool> pool_;
  const SystemClock clock_{};
  bool is_closing_ = false;
  bool is_overloaded_ = false;
  std::atomic<uint64_t> refused_{0};
};

HttpServer::HttpServer(asio::io_context& io, const Address& address,
                       HttpHandler handler, HttpServerLimits limits,
                       HttpServerResources resources, std::string name)
    : impl_(std::make_shared<Impl>(io, address, std::move(handler), limits,
                                   std::move(resources), std::move(name))) {
  impl_->Start();
}

HttpServer::~HttpServer() { impl_->StopAccepting(); }
uint16_t HttpServer::port() const { return impl_->port(); }
bool HttpServer::is_bound() const { return impl_->is_bound(); }
void HttpServer::SetLimits(const HttpServerLimits& limits) {
  impl_->SetLimits(limits);
}
void HttpServer::CloseAfterAnswers() { impl_->CloseAfterAnswers(); }
void HttpServer::SetOverloaded(bool is_overloaded) {
  impl_->SetOverloaded(is_overloaded);
}
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
uint64_t HttpServer::refused_connections() const { return impl_->refused(); }

}  // namespace applehall

#include "drivers/http_client.h"

#include <absl/strings/ascii.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <map>

#include "core/clock.h"
#include "drivers/socket_options.h"

namespace applehall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMostIdlePerAddress = 64;
constexpr size_t kMostHeaderBytes = 64 * 1024;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

// Some servers do not say how long they keep an idle connection.
constexpr Duration kUntoldIdle = std::chrono::seconds(1);
// The part of the told time that is trusted: the server counts from another
// moment, and its close must not cross a request.
constexpr double kTrustedIdleShare = 0.5;

bool IsStillOpen(beast::tcp_stream& stream) {
  char byte = 0;
  const auto size = ::recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// How long the connection may be idle and still be used again.
Duration TrustedIdle(std::string_view keep_alive) {
  const auto at = keep_alive.find("timeout=");
  int seconds = 0;
  if (at == std::string_view::npos ||
      std::sscanf(std::string(keep_alive.substr(at + 8)).c_str(), "%d",
                  &seconds) != 1) {
    return kUntoldIdle;
  }
  return FromSeconds(seconds * kTrustedIdleShare);
}

bool IsPeerClose(const error_code& error) {
  return error == http::error::end_of_stream ||
         error == http::error::partial_message || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

class IdleConnections {
 public:
  StreamPtr Take(const std::string& address) {
    const auto now = std::chrono::steady_clock::now();
    std::deque<Idle>& idle = idle_[address];
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (last.use_until > now && IsStillOpen(*last.stream)) {
        return std::move(last.stream);
      }
    }
    return nullptr;
  }
  void Give(const std::string& address, StreamPtr stream, Duration trusted) {
    std::deque<Idle>& idle = idle_[address];
    if (idle.size() >= kMostIdlePerAddress) return;
    idle.push_back(
        {std::move(stream), std::chrono::steady_clock::now() + trusted});
  }

 private:
  struct Idle {
    StreamPtr stream;
    std::chrono::steady_clock::time_point use_until;
  };
  std::map<std::string, std::deque<Idle>> idle_;
};

class BeastStream : public HttpStream {
 public:
  BeastStream(asio::io_context& io, std::shared_ptr<IdleConnections> idle,
              HttpCall call)
      : io_(io),
        idle_(std::move(idle)),
        call_(std::move(call)),
        address_(call_.address.ToString()),
        begun_at_(clock_.Now()) {
    parser_.header_limit(kMostHeaderBytes);
    parser_.body_limit(boost::none);
  }
  ~BeastStream() override {
    if (is_complete_ && parser_.keep_alive() && buffer_.size() == 0 &&
        stream_) {
      const auto keep_alive = head_.headers.find("keep-alive");
      idle_->Give(
          address_, std::move(stream_),
          TrustedIdle(keep_alive == head_.headers.end() ? ""
                                                        : keep_alive->second));
    }
  }

  SendState state() const override { return state_; }
  const HttpResponse& head() const override { return head_; }
  bool is_complete() const override { return is_complete_; }
  std::string error() const override { return error_; }
  bool is_closed_by_peer() const override { return is_closed_by_peer_; }
  void Cancel() override {
    is_complete_ = false;
    is_cancelled_ = true;
    if (stream_) stream_->close();
  }

  asio::awaitable<std::string> ReadSome(Duration timeout) override {
    std::string piece = std::exchange(parser_.get().body(), {});
    while (piece.empty() && !parser_.is_done()) {
      stream_->expires_after(timeout);
      const auto [error, size] =
          co_await http::async_read_some(*stream_, buffer_, parser_, kToken);
      piece = std::exchange(parser_.get().body(), {});
      if (!error || error == http::error::need_buffer) continue;
      if (parser_.is_done()) break;
      error_ = error.message();
      is_closed_by_peer_ = IsPeerClose(error);
      co_return piece;
    }
    if (parser_.is_done()) {
      is_complete_ = true;
      if (stream_) stream_->expires_never();
    }
    co_return piece;
  }

  asio::awaitable<void> Start() override {
    const HttpCall& call = call_;
    if (is_cancelled_) {
      error_ = "cancelled before it was sent";
      co_return;
    }
    if (!call.fresh_connection) stream_ = idle_->Take(address_);
    if (!stream_) {
      const bool is_connected = co_await Connect(io_, call);
      if (!is_connected) co_return;
    }
    if (is_cancelled_) co_return;
    if (IsOver()) {
      error_ = "too late to send";
      co_return;
    }
    const bool is_sent = co_await Send(call);
    if (!is_sent) co_return;
    co_await ReadHead(call);
  }

 private:
  // The part of `timeout` that the whole call still has.
  Duration Within(Duration timeout) const {
    if (!call_.total_timeout) return timeout;
    const Duration left = begun_at_ + *call_.total_timeout - clock_.Now();
    return std::clamp(left, Duration{0}, timeout);
  }
  bool IsOver() const {
    return call_.total_timeout &&
           clock_.Now() >= begun_at_ + *call_.total_timeout;
  }

  asio::awaitable<bool> Connect(asio::io_context& io, const HttpCall& call) {
    stream_ = std::make_unique<beast::tcp_stream>(io);
    stream_->expires_after(Within(call.connect_timeout));
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(call.address.ip), call.address.port);
    const auto [error] = co_await stream_->async_connect(endpoint, kToken);
    if (error) {
      error_ = "cannot connect: " + error.message();
      co_return false;
    }
    error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    NoticeSilence(stream_->socket().native_handle());
    co_return true;
  }

  asio::awaitable<bool> Send(const HttpCall& call) {
    http::request<http::string_body> message;
    message.method_string(call.request.method);
    message.target(call.request.target);
    message.version(11);
    message.set(http::field::host, call.address.ToString());
    for (const auto& [name, value] : call.request.headers) {
      message.set(name, value);
    }
    message.body() = call.request.body;
    message.prepare_payload();
    // From here on the peer may have read it.
    state_ = SendState::kMayBeSent;
    // Guards against a request that outlives its sender's decision. Sent into a
    // cut and closed politely after its timeout, its bytes stay with the
    // kernel, which delivers them when the path is back, seconds later: an
    // order of an owner that was superseded meanwhile, or work for a caller
    // that has left. A reset discards them. Once the answer's head is here, so
    // were they.
    DiscardOnClose(stream_->socket().native_handle(), true);
    stream_->expires_after(Within(call.header_timeout));
    const auto [error, size] =
        co_await http::async_write(*stream_, message, kToken);
    if (!error) co_return true;
    error_ = "cannot send: " + error.message();
    is_closed_by_peer_ = IsPeerClose(error);
    co_return false;
  }

  asio::awaitable<void> ReadHead(const HttpCall& call) {
    stream_->expires_after(Within(call.header_timeout));
    const auto [error, size] =
        co_await http::async_read_header(*stream_, buffer_, parser_, kToken);
    if (error) {
      error_ = "no answer: " + error.message();
      is_closed_by_peer_ = IsPeerClose(error);
      co_return;
    }
    state_ = SendState::kAnswered;
    DiscardOnClose(stream_->socket().native_handle(), false);
    head_.status = static_cast<int>(parser_.get().result_int());
    for (const auto& field : parser_.get()) {
      const std::string name = absl::AsciiStrToLower(absl::string_view(
          field.name_string().data(), field.name_string().size()));
      AddHeader(name, std::string(field.value()), head_.headers);
    }
  }

  asio::io_context& io_;
  std::shared_ptr<IdleConnections> idle_;
  const HttpCall call_;
  std::string address_;
  const SystemClock clock_;
  const TimePoint begun_at_;
  StreamPtr stream_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  SendState state_ = SendState::kNotSent;
  HttpResponse head_;
  bool is_complete_ = false;
  bool is_cancelled_ = false;
  bool is_closed_by_peer_ = false;
  std::string error_;
};

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& io_context)
      : io(io_context), idle(std::make_shared<IdleConnections>()) {}

  asio::io_context& io;
  std::shared_ptr<IdleConnections> idle;
};

HttpClient::HttpClient(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}
HttpClient::~HttpClient() = default;

std::shared_ptr<HttpStream> HttpClient::Prepare(const HttpCall& call) {
  return std::make_shared<BeastStream>(impl_->io, impl_->idle, call);
}

asio::awaitable<HttpResult> HttpClient::Fetch(const HttpCall& call) {
  const Duration timeout = call.header_timeout;
  const std::shared_ptr<HttpStream> stream = Prepare(call);
  co_await stream->Start();
  HttpResult result;
  result.state = stream->state();
  result.error = stream->error();
  if (result.state != SendState::kAnswered) co_return result;
  result.response = stream->head();
  while (!stream->is_complete()) {
    const std::string piece = co_await stream->ReadSome(timeout);
    result.response.body += piece;
    if (piece.empty() && !stream->is_complete()) {
      result.state = SendState::kMayBeSent;
      result.error = stream->error();
      co_return result;
    }
  }
  co_return result;
}

HttpResult FetchBlocking(const HttpCall& call) {
  asio::io_context io;
  HttpClient client(io);
  HttpResult result;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> { result = co_await client.Fetch(call); },
      asio::detached);
  io.run();
  return result;
}

}  // namespace applehall

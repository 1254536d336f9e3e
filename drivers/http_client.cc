#include "drivers/http_client.h"

#include <absl/strings/ascii.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <map>

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

bool IsStillOpen(beast::tcp_stream& stream) {
  char byte = 0;
  const auto size = ::recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class IdleConnections {
 public:
  StreamPtr Take(const std::string& address) {
    std::deque<StreamPtr>& idle = idle_[address];
    while (!idle.empty()) {
      StreamPtr stream = std::move(idle.back());
      idle.pop_back();
      if (IsStillOpen(*stream)) return stream;
    }
    return nullptr;
  }
  void Give(const std::string& address, StreamPtr stream) {
    std::deque<StreamPtr>& idle = idle_[address];
    if (idle.size() < kMostIdlePerAddress) idle.push_back(std::move(stream));
  }

 private:
  std::map<std::string, std::deque<StreamPtr>> idle_;
};

class BeastStream : public HttpStream {
 public:
  BeastStream(std::shared_ptr<IdleConnections> idle, std::string address)
      : idle_(std::move(idle)), address_(std::move(address)) {
    parser_.header_limit(kMostHeaderBytes);
    parser_.body_limit(boost::none);
  }
  ~BeastStream() override {
    if (is_whole_ && parser_.keep_alive() && buffer_.size() == 0 && stream_) {
      idle_->Give(address_, std::move(stream_));
    }
  }

  SendState state() const override { return state_; }
  const HttpResponse& head() const override { return head_; }
  bool is_whole() const override { return is_whole_; }
  std::string error() const override { return error_; }
  void Cancel() override {
    is_whole_ = false;
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
      co_return piece;
    }
    if (parser_.is_done()) {
      is_whole_ = true;
      if (stream_) stream_->expires_never();
    }
    co_return piece;
  }

  asio::awaitable<void> Run(asio::io_context& io, const HttpCall& call) {
    if (!call.fresh_connection) stream_ = idle_->Take(address_);
    if (!stream_) {
      const bool is_connected = co_await Connect(io, call);
      if (!is_connected) co_return;
    }
    const bool is_sent = co_await Send(call);
    if (!is_sent) co_return;
    co_await ReadHead(call);
  }

 private:
  asio::awaitable<bool> Connect(asio::io_context& io, const HttpCall& call) {
    stream_ = std::make_unique<beast::tcp_stream>(io);
    stream_->expires_after(call.connect_timeout);
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(call.address.ip), call.address.port);
    const auto [error] = co_await stream_->async_connect(endpoint, kToken);
    if (error) {
      error_ = "cannot connect: " + error.message();
      co_return false;
    }
    error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
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
    stream_->expires_after(call.header_timeout);
    const auto [error, size] =
        co_await http::async_write(*stream_, message, kToken);
    if (!error) co_return true;
    error_ = "cannot send: " + error.message();
    co_return false;
  }

  asio::awaitable<void> ReadHead(const HttpCall& call) {
    stream_->expires_after(call.header_timeout);
    const auto [error, size] =
        co_await http::async_read_header(*stream_, buffer_, parser_, kToken);
    if (error) {
      error_ = "no answer: " + error.message();
      co_return;
    }
    state_ = SendState::kAnswered;
    head_.status = static_cast<int>(parser_.get().result_int());
    for (const auto& field : parser_.get()) {
      head_.headers[absl::AsciiStrToLower(absl::string_view(
          field.name_string().data(), field.name_string().size()))] =
          std::string(field.value());
    }
  }

  std::shared_ptr<IdleConnections> idle_;
  std::string address_;
  StreamPtr stream_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  SendState state_ = SendState::kNotSent;
  HttpResponse head_;
  bool is_whole_ = false;
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

asio::awaitable<std::shared_ptr<HttpStream>> HttpClient::Open(
    const HttpCall& call) {
  const std::shared_ptr<Impl> impl = impl_;
  auto stream =
      std::make_shared<BeastStream>(impl->idle, call.address.ToString());
  co_await stream->Run(impl->io, call);
  co_return stream;
}

asio::awaitable<HttpResult> HttpClient::Fetch(const HttpCall& call) {
  const Duration timeout = call.header_timeout;
  const std::shared_ptr<HttpStream> stream = co_await Open(call);
  HttpResult result;
  result.state = stream->state();
  result.error = stream->error();
  if (result.state != SendState::kAnswered) co_return result;
  result.response = stream->head();
  while (!stream->is_whole()) {
    const std::string piece = co_await stream->ReadSome(timeout);
    result.response.body += piece;
    if (piece.empty() && !stream->is_whole()) {
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

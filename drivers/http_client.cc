#include "drivers/http_client.h"

#include <absl/strings/ascii.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/beast/core/buffer_ref.hpp>
#include <deque>
#include <map>
#include <optional>

#include "core/clock.h"
#include "drivers/background_task.h"
#include "drivers/connection_closer.h"
#include "drivers/response_body.h"
#include "drivers/response_check.h"
#include "drivers/socket_options.h"

namespace applehall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxIdlePerAddress = 64;
constexpr size_t kMaxHeaderBytes = 64 * 1024;
// What is read ahead of the parser, which holds the head and, in chunked
// bodies, the line before each chunk.
constexpr size_t kMaxBufferBytes = 2 * kMaxHeaderBytes;

// Kept between the head and the body.
constexpr size_t kMaxIdleBufferBytes = 16 * 1024;

// Heads such as "103 Early Hints" before a response.
constexpr int kMaxInterimHeads = 10;
constexpr unsigned kSwitchingProtocols = 101;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

// Returns whether a text can stand in the head of a request: a byte that ends a
// line would begin a field or a request of its own.
bool IsOneLine(std::string_view text, bool allows_spaces) {
  return std::all_of(text.begin(), text.end(), [allows_spaces](char c) {
    if (c == ' ' || c == '\t') return allows_spaces;
    return !absl::ascii_iscntrl(static_cast<unsigned char>(c));
  });
}

bool HasSoundHead(const HttpRequest& request) {
  if (!IsOneLine(request.method, /*allows_spaces=*/false) ||
      !IsOneLine(request.target, /*allows_spaces=*/false)) {
    return false;
  }
  return std::all_of(request.headers.begin(), request.headers.end(),
                     [](const auto& field) {
                       return IsOneLine(field.first, /*allows_spaces=*/false) &&
                              IsOneLine(field.second, /*allows_spaces=*/true);
                     });
}

// For servers that do not send a keep-alive timeout.
constexpr Duration kDefaultReuseTime = std::chrono::seconds(1);
// Part of the server's keep-alive timeout in which a connection is reused: the
// server's timer starts at another time, and its close must not cross a
// request.
constexpr double kReuseTimeFraction = 0.5;

bool IsStillOpen(beast::tcp_stream& stream) {
  char byte = 0;
  const auto size = ::recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns how long a connection may be idle and still be reused.
Duration ReuseTime(std::string_view keep_alive) {
  const auto at = keep_alive.find("timeout=");
  int seconds = 0;
  if (at == std::string_view::npos ||
      std::sscanf(std::string(keep_alive.substr(at + 8)).c_str(), "%d",
                  &seconds) != 1) {
    return kDefaultReuseTime;
  }
  return FromSeconds(seconds * kReuseTimeFraction);
}

bool IsPeerClose(const error_code& error) {
  return error == http::error::end_of_stream ||
         error == http::error::partial_message || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

class IdleConnections {
 public:
  StreamPtr Acquire(const std::string& address) {
    const auto now = std::chrono::steady_clock::now();
    std::deque<Idle>& idle = idle_[address];
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (last.reusable_until > now && IsStillOpen(*last.stream)) {
        return std::move(last.stream);
      }
    }
    return nullptr;
  }
  void Release(const std::string& address, StreamPtr stream,
               Duration reuse_time) {
    std::deque<Idle>& idle = idle_[address];
    if (idle.size() >= kMaxIdlePerAddress) return;
    idle.push_back(
        {std::move(stream), std::chrono::steady_clock::now() + reuse_time});
  }

 private:
  struct Idle {
    StreamPtr stream;
    std::chrono::steady_clock::time_point reusable_until;
  };
  std::map<std::string, std::deque<Idle>> idle_;
};

class BeastStream : public HttpStream {
 public:
  BeastStream(asio::io_context& io, std::shared_ptr<IdleConnections> idle,
              std::shared_ptr<ConnectionCloser> closer, HttpCall call)
      : io_(io),
        idle_(std::move(idle)),
        closer_(std::move(closer)),
        call_(std::move(call)),
        address_(call_.address.ToString()),
        created_at_(clock_.Now()) {
    BeginParsing();
  }
  ~BeastStream() override {
    if (is_complete_ && parser_->keep_alive() && buffer_.size() == 0 &&
        !has_skipped_content_ && stream_) {
      const auto keep_alive = head_.headers.find("keep-alive");
      idle_->Release(
          address_, std::move(stream_),
          ReuseTime(keep_alive == head_.headers.end() ? ""
                                                      : keep_alive->second));
    }
  }

  SendState state() const override { return state_; }
  std::optional<TimePoint> sent_at() const override { return sent_at_; }
  bool is_withheld() const override { return is_withheld_; }
  const HttpResponse& head() const override { return head_; }
  bool is_complete() const override { return is_complete_; }
  std::string error() const override { return error_; }
  bool is_closed_by_peer() const override { return is_closed_by_peer_; }
  bool ends_with_connection() const override {
    return parser_->is_header_done() && parser_->need_eof();
  }
  void Cancel() override {
    is_complete_ = false;
    is_cancelled_ = true;
    if (!stream_) return;
    if (state_ != SendState::kNotSent) closer_->Close(stream_->socket());
    stream_->close();
  }

  asio::awaitable<std::string> ReadSome(Duration timeout) override {
    std::string chunk = std::exchange(parser_->get().body(), {});
    while (chunk.empty() && !parser_->is_done()) {
      stream_->expires_after(timeout);
      const auto [error, size] =
          co_await http::async_read_some(*stream_, buffer_, *parser_, kToken);
      chunk = std::exchange(parser_->get().body(), {});
      if (!error || error == http::error::need_buffer) continue;
      if (parser_->is_done()) break;
      error_ = error.message();
      is_closed_by_peer_ = IsPeerClose(error);
      co_return chunk;
    }
    if (parser_->is_done()) {
      is_complete_ = true;
      if (stream_) stream_->expires_never();
    }
    co_return chunk;
  }

  asio::awaitable<void> Start() override {
    const HttpCall& call = call_;
    if (is_cancelled_) {
      error_ = "cancelled before it was sent";
      co_return;
    }
    // Saves the connection; Send() decides.
    if (!IsWanted()) co_return;
    if (!HasSoundHead(call.request)) {
      error_ = "the request has control characters in its head";
      co_return;
    }
    if (!call.fresh_connection) stream_ = idle_->Acquire(address_);
    if (!stream_) {
      const bool is_connected = co_await Connect(io_, call);
      if (!is_connected) co_return;
    }
    if (is_cancelled_) co_return;
    if (IsTotalTimeoutOver()) {
      error_ = "timeout before the request was sent";
      co_return;
    }
    const bool is_sent = co_await Send(call);
    if (!is_sent) co_return;
    co_await ReadHead(call);
  }

 private:
  // Returns `timeout`, limited to the time left for the whole call.
  Duration ClampToTotalTimeout(Duration timeout) const {
    if (!call_.total_timeout) return timeout;
    const Duration time_left =
        created_at_ + *call_.total_timeout - clock_.Now();
    return std::clamp(time_left, Duration{0}, timeout);
  }
  bool IsTotalTimeoutOver() const {
    return call_.total_timeout &&
           clock_.Now() >= created_at_ + *call_.total_timeout;
  }

  asio::awaitable<bool> Connect(asio::io_context& io, const HttpCall& call) {
    stream_ = std::make_unique<beast::tcp_stream>(io);
    stream_->expires_after(ClampToTotalTimeout(call.connect_timeout));
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(call.address.ip), call.address.port);
    const TimePoint started_at = clock_.Now();
    const auto [error] = co_await stream_->async_connect(endpoint, kToken);
    if (call.on_connect && !is_cancelled_) {
      call.on_connect(!error, clock_.Now() - started_at);
    }
    if (error) {
      error_ = "cannot connect: " + error.message();
      co_return false;
    }
    error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    EnableDeadPeerDetection(stream_->socket().native_handle());
    co_return true;
  }

  bool IsWanted() {
    if (!call_.is_wanted || call_.is_wanted()) return true;
    is_withheld_ = true;
    error_ = "not wanted any more";
    return false;
  }

  asio::awaitable<bool> Send(const HttpCall& call) {
    if (!IsWanted()) co_return false;
    const std::string& body =
        call.shared_body ? *call.shared_body : call.request.body;
    http::request<http::span_body<const char>> message;
    message.method_string(call.request.method);
    message.target(call.request.target);
    message.version(11);
    message.set(http::field::host, call.address.ToString());
    for (const auto& [name, value] : call.request.headers) {
      message.set(name, value);
    }
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    // From here on the peer may have received the request.
    state_ = SendState::kMayBeSent;
    sent_at_ = clock_.Now();
    // Guards against a request that is delivered after its timeout. After a
    // normal close during a network partition, the kernel keeps the bytes and
    // delivers them seconds later, when the partition ends: an order of an
    // owner that was superseded meanwhile, or work for a caller that has
    // disconnected. A reset discards them. A response head shows that the
    // request was received.
    SetDiscardOnClose(stream_->socket().native_handle(), true);
    stream_->expires_after(ClampToTotalTimeout(call.header_timeout));
    const auto [error, size] =
        co_await http::async_write(*stream_, message, kToken);
    if (!error) co_return true;
    error_ = "cannot send: " + error.message();
    is_closed_by_peer_ = IsPeerClose(error);
    co_return false;
  }

  void BeginParsing() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(boost::none);
  }

  // Reads one head and parses it. Returns false if it is none.
  asio::awaitable<bool> ReadOneHead() {
    // The lines are checked before the parser joins them.
    buffer_.max_size(kMaxHeaderBytes);
    const auto [read_error, head_size] = co_await asio::async_read_until(
        *stream_, beast::ref(buffer_), "\r\n\r\n", kToken);
    error_code error = read_error;
    std::string fault;
    if (!error) {
      const std::string_view head(
          static_cast<const char*>(buffer_.data().data()), head_size);
      fault = FindLineFault(head);
    }
    buffer_.max_size(kMaxBufferBytes);
    if (!error && fault.empty()) {
      const auto [parse_error, size] =
          co_await http::async_read_header(*stream_, buffer_, *parser_, kToken);
      error = parse_error;
    }
    if (error) {
      is_closed_by_peer_ = IsPeerClose(error);
      fault = error == asio::error::not_found ? "the head is too long"
                                              : error.message();
    }
    if (fault.empty()) fault = FindHeadFault(parser_->get());
    if (!fault.empty()) error_ = "no response: " + fault;
    co_return fault.empty();
  }

  // Interim heads (1xx) may precede the response; none is one.
  asio::awaitable<void> ReadHead(const HttpCall& call) {
    stream_->expires_after(ClampToTotalTimeout(call.header_timeout));
    for (int interim_heads = 0;; ++interim_heads) {
      const bool is_head = co_await ReadOneHead();
      if (!is_head) co_return;
      const unsigned status = parser_->get().result_int();
      if (status / 100 != 1) break;
      if (status == kSwitchingProtocols || interim_heads == kMaxInterimHeads) {
        error_ = "no response: unexpected interim head";
        co_return;
      }
      BeginParsing();
    }
    state_ = SendState::kAnswered;
    SetDiscardOnClose(stream_->socket().native_handle(), false);
    head_.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      const std::string name = absl::AsciiStrToLower(absl::string_view(
          field.name_string().data(), field.name_string().size()));
      const bool is_first =
          AddHeader(name, std::string(field.value()), head_.headers);
      if (!is_first) head_.repeated.insert(name);
    }
    RemoveConnectionOptions(head_.headers);
    has_skipped_content_ = HasSkippedContent(parser_->get());
    // The head is held once while the body is read.
    parser_->get().clear();
    if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  }

  asio::io_context& io_;
  std::shared_ptr<IdleConnections> idle_;
  std::shared_ptr<ConnectionCloser> closer_;
  const HttpCall call_;
  std::string address_;
  const SystemClock clock_{};
  const TimePoint created_at_;
  StreamPtr stream_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  std::optional<http::response_parser<ResponseBody>> parser_;
  SendState state_ = SendState::kNotSent;
  std::optional<TimePoint> sent_at_;
  HttpResponse head_;
  bool is_complete_ = false;
  bool has_skipped_content_ = false;
  bool is_cancelled_ = false;
  bool is_withheld_ = false;
  bool is_closed_by_peer_ = false;
  std::string error_;
};

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& io_context)
      : io(io_context),
        idle(std::make_shared<IdleConnections>()),
        closer(std::make_shared<ConnectionCloser>(io_context)) {}

  asio::io_context& io;
  std::shared_ptr<IdleConnections> idle;
  std::shared_ptr<ConnectionCloser> closer;
};

HttpClient::HttpClient(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}
HttpClient::~HttpClient() = default;

std::shared_ptr<HttpStream> HttpClient::Prepare(const HttpCall& call) {
  return std::make_shared<BeastStream>(impl_->io, impl_->idle, impl_->closer,
                                       call);
}

asio::awaitable<HttpResult> HttpClient::Fetch(const HttpCall& call) {
  const std::shared_ptr<HttpStream> stream = Prepare(call);
  co_await stream->Start();
  HttpResult result;
  result.state = stream->state();
  result.error = stream->error();
  if (result.state != SendState::kAnswered) co_return result;
  result.response = stream->head();
  BodyLimits limits;
  limits.max_bytes = call.max_body_bytes;
  limits.read_by = SystemClock().Now() + call.header_timeout;
  MemoryCharge charge(call.body_budget);
  limits.charge = &charge;
  result.error = co_await ReadBody(*stream, limits, result.response.body);
  if (!result.error.empty()) result.state = SendState::kMayBeSent;
  co_return result;
}

asio::awaitable<std::string> ReadBody(HttpStream& stream, BodyLimits limits,
                                      std::string& body) {
  const SystemClock clock{};
  std::string error;
  while (!stream.is_complete() && error.empty()) {
    const Duration time_left = limits.read_by - clock.Now();
    if (time_left <= Duration::zero()) {
      error = "timeout before the end of the body";
      break;
    }
    const std::string piece = co_await stream.ReadSome(time_left);
    if (piece.empty() && !stream.is_complete()) co_return stream.error();
    const size_t size = body.size() + piece.size();
    if (size > limits.max_bytes) {
      error = "the body is longer than " + std::to_string(limits.max_bytes) +
              " bytes";
      break;
    }
    // A string that grows has up to twice its size.
    while (limits.charge != nullptr && !limits.charge->TryGrowTo(2 * size)) {
      bool has_memory = false;
      if (limits.await_memory) has_memory = co_await limits.await_memory();
      if (has_memory) continue;
      error = "the memory for answers is used up";
      break;
    }
    if (error.empty()) body += piece;
  }
  if (!error.empty()) stream.Cancel();
  co_return error;
}

HttpResult FetchBlocking(const HttpCall& call) {
  asio::io_context io;
  HttpClient client(io);
  HttpResult result;
  const auto fetch = [&]() -> asio::awaitable<void> {
    result = co_await client.Fetch(call);
  };
  StartTask(io, "fetch", fetch());
  io.run();
  return result;
}

}  // namespace applehall

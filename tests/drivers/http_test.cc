// Tests of HTTP client and HTTP server on loopback, with faulty peers.

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/sleep.h"

namespace applehall {
namespace {

namespace asio = boost::asio;

// A server on a thread of its own that echoes the body.
class HttpTest : public testing::Test {
 protected:
  void StartServer(HttpServerLimits limits,
                   HttpServerResources resources = {}) {
    server_ = std::make_unique<HttpServer>(
        io_, Address{"127.0.0.1", 0},
        [this](HttpExchange& exchange) { return Handle(exchange); }, limits,
        std::move(resources));
    thread_ = std::thread([this] { io_.run(); });
  }

  void TearDown() override {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.request().Path() == "/broken") {
      const HttpHeaders headers;
      co_await exchange.BeginStream(200, headers);
      const std::string part = "half of it";
      co_await exchange.Write(part);
      exchange.Abort();
      co_return;
    }
    if (exchange.request().Path() == "/head") {
      HttpResponse fields;
      for (const auto& [name, value] : exchange.request().headers) {
        fields.body += name + "=" + value + ";";
      }
      co_await exchange.Respond(std::move(fields));
      co_return;
    }
    if (exchange.request().Path() == "/hold") {
      is_held_ = true;
      while (!is_released_) co_await Sleep(io_, std::chrono::milliseconds(1));
    }
    if (exchange.request().Path() == "/throw") {
      throw std::runtime_error("a fault of the handler");
    }
    HttpResponse response;
    response.body = exchange.request().body;
    co_await exchange.Respond(std::move(response));
  }

  HttpCall Call(const std::string& target, std::string body) {
    HttpCall call;
    call.address = {"127.0.0.1", server_->port()};
    call.request.method = "POST";
    call.request.target = target;
    call.request.body = std::move(body);
    return call;
  }

  // Sends raw bytes; returns all that is received until the server closes.
  std::string SendRaw(const std::string& bytes) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ignored);
    return answer;
  }

  asio::io_context io_;
  std::atomic<bool> is_held_{false};  // A request to /hold was read.
  std::atomic<bool> is_released_{false};
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

TEST_F(HttpTest, AnswersRepeatedCalls) {
  StartServer({});
  for (int i = 0; i < 3; ++i) {
    const HttpResult result = FetchBlocking(Call("/x", "hello"));
    EXPECT_TRUE(result.is_ok());
    EXPECT_EQ(result.response.body, "hello");
  }
}

TEST_F(HttpTest, OversizedRequestsAreRefused) {
  HttpServerLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = 100;
  StartServer(limits);
  EXPECT_EQ(FetchBlocking(Call("/x", std::string(101, 'a'))).response.status,
            413);
  HttpCall call = Call("/x", "");
  call.request.headers["x-long"] = std::string(2000, 'a');
  EXPECT_EQ(FetchBlocking(call).response.status, 431);
}

TEST_F(HttpTest, MalformedRequestsAreRefusedWith400) {
  StartServer({});
  for (const char* bytes :
       {"what is this\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_NE(SendRaw(bytes).find("400"), std::string::npos) << bytes;
  }
}

// Bound of a wait for another thread; only a fault reaches it.
constexpr int kMaxPolls = 10000;
constexpr char kChunkedHead[] =
    "POST /head HTTP/1.1\r\nConnection: close\r\nX-Model: mine\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Guards against a trailer that changes what a decision was to go by.
TEST_F(HttpTest, TrailersAreNotFieldsOfTheHead) {
  StartServer({});
  const std::string answer =
      SendRaw(std::string(kChunkedHead) +
              "2\r\nhi\r\n0\r\nX-Model: other\r\nX-New: 1\r\n\r\n");
  EXPECT_NE(answer.find("x-model=mine;"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("other"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("x-new"), std::string::npos) << answer;
}

// Guards against a refusal that the close of its connection discards.
TEST_F(HttpTest, LinesBetweenChunksAreBounded) {
  StartServer({});
  const std::string filler(64 * 1024, 'e');
  for (const std::string& body :
       {"1;" + filler, std::string(64 * 1024, '0'), "0\r\nX-Long: " + filler}) {
    const std::string answer = SendRaw(std::string(kChunkedHead) + body);
    EXPECT_NE(answer.find("HTTP/1.1 431"), std::string::npos)
        << body.substr(0, 20);
  }
}

// Guards against a bound that a caller inside the limits meets.
TEST_F(HttpTest, ChunksOfOneByteAndShortLinesPass) {
  HttpServerLimits limits;
  limits.body_bytes = 20000;
  StartServer(limits);
  std::string body;
  for (size_t i = 0; i < limits.body_bytes; ++i) body += "1\r\nx\r\n";
  const std::string answer =
      SendRaw(std::string(kChunkedHead) + body + "0\r\nX-Trailer: 1\r\n\r\n");
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos);
}

// Guards against a request that does not fit into the memory and is not told
// so, and against a long one that keeps a short one out.
TEST_F(HttpTest, RequestsBeyondTheMemoryAreRefusedWith503) {
  const auto memory = std::make_shared<MemoryBudget>(256 * 1024);
  StartServer({}, {.memory = memory, .connections = nullptr});
  const HttpResult refused =
      FetchBlocking(Call("/x", std::string(300 * 1024, 'a')));
  EXPECT_EQ(refused.response.status, 503);
  EXPECT_TRUE(refused.response.headers.contains("retry-after"));
  EXPECT_NE(refused.response.body.find("not_run"), std::string::npos);
  MemoryCharge others(memory);
  EXPECT_TRUE(others.TryGrowTo(192 * 1024));
  EXPECT_EQ(
      FetchBlocking(Call("/x", std::string(100 * 1024, 'a'))).response.status,
      503);
  EXPECT_TRUE(FetchBlocking(Call("/x", "short")).is_ok());
  others.Release();
  EXPECT_TRUE(FetchBlocking(Call("/x", std::string(100 * 1024, 'a'))).is_ok());
  // The server releases the memory after the client has its answer.
  for (int i = 0; i < kMaxPolls && memory->used() > 0; ++i) ::usleep(1000);
  EXPECT_EQ(memory->used(), 0u);
}

// Guards against a timed-out request that the kernel still delivers when a
// network partition ends, after the client has closed the connection normally.
// A peer that receives a reset discards the bytes.
TEST(HttpClientTest, TimedOutRequestIsDiscarded) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  HttpCall call;
  call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
  call.request.method = "POST";
  call.request.target = "/order";
  call.total_timeout = std::chrono::milliseconds(50);
  const HttpResult result = FetchBlocking(call);
  EXPECT_EQ(result.state, SendState::kMayBeSent);
  boost::system::error_code error;
  asio::ip::tcp::socket peer = acceptor.accept();
  std::string bytes;
  asio::read(peer, asio::dynamic_buffer(bytes), error);
  EXPECT_EQ(error, asio::error::connection_reset) << error.message();
}

// Guards against a request that is sent after the timeout of the whole call.
TEST(HttpClientTest, NothingIsSentAfterTotalTimeout) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  HttpCall call;
  call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
  call.total_timeout = Duration{0};
  EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
}

// Guards against names of others that begin a field or a request of their own.
TEST(HttpClientTest, NothingIsSentWithControlCharactersInItsHead) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  HttpCall call;
  call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
  for (const char* text : {"a\r\nx-other: b", "a\nb", "a\x01", "a\x7f"}) {
    call.request.target = "/";
    call.request.headers = {{"x-name", text}};
    EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
    call.request.headers.clear();
    call.request.target = text;
    EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
  }
  call.request.target = "/a b";
  EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
}

// Guards against a caller that holds a connection for ever by never completing
// its header.
TEST_F(HttpTest, ConnectionWithIncompleteHeaderIsClosed) {
  HttpServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(50);
  StartServer(limits);
  EXPECT_EQ(SendRaw("GET / HTTP/1.1\r\nHost: "), "");
}

// Guards against connections that count as open for ever after a fault, until
// the server takes no more.
TEST_F(HttpTest, HandlerThatThrowsIsAnsweredAndFreesItsConnection) {
  HttpServerLimits limits;
  limits.connections = 1;
  StartServer(limits);
  for (int i = 0; i < 3; ++i) {
    const HttpResult result = FetchBlocking(Call("/throw", ""));
    EXPECT_EQ(result.response.status, 500);
    EXPECT_NE(result.response.body.find("internal_error"), std::string::npos);
  }
  EXPECT_TRUE(FetchBlocking(Call("/x", "hello")).is_ok());
}

// Connections past the limit are closed at once while the others have open
// requests, which continue.
TEST_F(HttpTest, ConnectionsAreLimited) {
  HttpServerLimits limits;
  limits.connections = 1;
  StartServer(limits);
  asio::io_context io;
  asio::ip::tcp::socket first(io);
  first.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
  asio::write(first,
              asio::buffer(std::string(
                  "POST /hold HTTP/1.1\r\nContent-Length: 2\r\n\r\nok")));
  while (!is_held_) std::this_thread::yield();
  for (int i = 0; i < 10; ++i) {
    EXPECT_NE(FetchBlocking(Call("/x", "a")).state, SendState::kAnswered);
  }
  EXPECT_EQ(server_->refused_connections(), 10u);
  is_released_ = true;
  std::string answer(12, ' ');
  asio::read(first, asio::buffer(answer));
  EXPECT_EQ(answer, "HTTP/1.1 200");
}

// Guards against a caller that never completes its request and keeps all others
// out.
TEST_F(HttpTest, UnfinishedRequestGivesWayToANewConnection) {
  HttpServerLimits limits;
  limits.connections = 1;
  StartServer(limits);
  asio::io_context io;
  asio::ip::tcp::socket first(io);
  first.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
  asio::write(first, asio::buffer(std::string("POST / HTTP/1.1\r\n")));
  EXPECT_TRUE(FetchBlocking(Call("/x", "a")).is_ok());
  boost::system::error_code error;
  std::string answer;
  asio::read(first, asio::dynamic_buffer(answer), error);
  EXPECT_EQ(answer, "");
  EXPECT_EQ(server_->refused_connections(), 0u);
}

// Guards against a host that takes more callers than it can serve, so that
// those whose requests it has read wait; and against one that cuts these off.
TEST_F(HttpTest, OverloadedServerClosesNewConnectionsUnread) {
  StartServer({});
  asio::io_context io;
  asio::ip::tcp::socket open(io);
  open.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
  std::string answer(12, ' ');
  const std::string request = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
  asio::write(open, asio::buffer(request));
  asio::read(open, asio::buffer(answer));
  std::promise<void> is_set;
  asio::post(io_, [&] {
    server_->SetOverloaded(true);
    is_set.set_value();
  });
  is_set.get_future().wait();
  EXPECT_NE(FetchBlocking(Call("/x", "a")).state, SendState::kAnswered);
  EXPECT_EQ(server_->refused_connections(), 1u);
  asio::write(open, asio::buffer(request));
  std::string rest;
  boost::system::error_code ignored;
  while (rest.find("ok") == std::string::npos ||
         rest.find("HTTP/1.1 200") == std::string::npos) {
    char piece[256];
    const size_t size = open.read_some(asio::buffer(piece), ignored);
    ASSERT_FALSE(ignored) << rest;
    rest.append(piece, size);
  }
  asio::post(io_, [&] { server_->SetOverloaded(false); });
  HttpResult later = FetchBlocking(Call("/x", "a"));
  for (int i = 0; i < 100 && !later.is_ok(); ++i) {
    later = FetchBlocking(Call("/x", "a"));
  }
  EXPECT_TRUE(later.is_ok());
}

// Guards against a truncated response that the client reports as complete.
TEST_F(HttpTest, TruncatedResponseIsReported) {
  StartServer({});
  const HttpResult result = FetchBlocking(Call("/broken", ""));
  EXPECT_EQ(result.state, SendState::kMayBeSent);
  EXPECT_EQ(result.response.body, "half of it");
}

TEST_F(HttpTest, RefusedConnectionCountsAsNotSent) {
  StartServer({});
  HttpCall call = Call("/x", "a");
  asio::io_context io;
  asio::ip::tcp::acceptor closed(io, {asio::ip::make_address("127.0.0.1"), 0});
  call.address.port = closed.local_endpoint().port();
  closed.close();
  EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
}

}  // namespace
}  // namespace applehall

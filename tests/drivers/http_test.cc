// The HTTP drivers against each other on loopback, with what peers do wrong.

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/websocket_link.h"

namespace applehall {
namespace {

namespace asio = boost::asio;

// A server on a thread of its own that echoes the body.
class HttpTest : public testing::Test {
 protected:
  void StartServer(HttpServerLimits limits) {
    server_ = std::make_unique<HttpServer>(
        io_, Address{"127.0.0.1", 0},
        [this](HttpExchange& exchange) { return Handle(exchange); }, limits);
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

  // Sends bytes as they are; what comes back until the server closes.
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
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

TEST_F(HttpTest, AnswersAndKeepsConnections) {
  StartServer({});
  for (int i = 0; i < 3; ++i) {
    const HttpResult result = FetchBlocking(Call("/x", "hello"));
    EXPECT_TRUE(result.is_ok());
    EXPECT_EQ(result.response.body, "hello");
  }
}

TEST_F(HttpTest, LimitsAreRefusedWithTheirReason) {
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

TEST_F(HttpTest, MalformedRequestsAreToldSo) {
  StartServer({});
  for (const char* bytes :
       {"what is this\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_NE(SendRaw(bytes).find("400"), std::string::npos) << bytes;
  }
}

// A request goes into a connection whose peer is cut off; the caller gives up
// after its timeout. Closed politely, the kernel would deliver the bytes when
// the path is back, and the peer would act on what nobody stands for any more.
// A peer that sees a reset has been told to discard them.
TEST(HttpClientTest, GivenUpRequestIsTakenBack) {
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

// The time for a whole call has passed before anything was sent: the peer must
// not see it.
TEST(HttpClientTest, NothingIsSentAfterTheWholeTimeout) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  HttpCall call;
  call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
  call.total_timeout = Duration{0};
  EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
}

// A caller opens a connection and never sends its header. It must not hold
// the connection for ever.
TEST_F(HttpTest, SlowHeaderIsCutOff) {
  HttpServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(50);
  StartServer(limits);
  EXPECT_EQ(SendRaw("GET / HTTP/1.1\r\nHost: "), "");
}

// More connections than allowed: those past the limit are closed at once,
// the others go on.
TEST_F(HttpTest, ConnectionsAreLimited) {
  HttpServerLimits limits;
  limits.connections = 1;
  StartServer(limits);
  asio::io_context io;
  asio::ip::tcp::socket first(io);
  first.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
  asio::write(first, asio::buffer(std::string("POST / HTTP/1.1\r\n")));
  // The first connection is open for sure once a second one is refused.
  HttpResult second = FetchBlocking(Call("/x", "a"));
  for (int i = 0; i < 100 && second.is_ok(); ++i) {
    second = FetchBlocking(Call("/x", "a"));
  }
  EXPECT_NE(second.state, SendState::kAnswered);
  asio::write(first, asio::buffer(std::string("Content-Length: 2\r\n\r\nok")));
  std::string answer(12, ' ');
  asio::read(first, asio::buffer(answer));
  EXPECT_EQ(answer, "HTTP/1.1 200");
}

// The server breaks amid a stream. The client must not take the half for the
// whole.
TEST_F(HttpTest, BrokenStreamIsNotWhole) {
  StartServer({});
  const HttpResult result = FetchBlocking(Call("/broken", ""));
  EXPECT_EQ(result.state, SendState::kMayBeSent);
  EXPECT_EQ(result.response.body, "half of it");
}

TEST_F(HttpTest, RefusedConnectionIsNotSent) {
  StartServer({});
  HttpCall call = Call("/x", "a");
  asio::io_context io;
  asio::ip::tcp::acceptor closed(io, {asio::ip::make_address("127.0.0.1"), 0});
  call.address.port = closed.local_endpoint().port();
  closed.close();
  EXPECT_EQ(FetchBlocking(call).state, SendState::kNotSent);
}

// Two links, and what each was told; a test waits for what it expects.
class WebsocketLinkTest : public testing::Test {
 protected:
  struct End {
    std::unique_ptr<WebsocketLink> link;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> messages;
    std::vector<std::string> events;
  };

  void Start(End& end, const std::string& name, const std::string& key) {
    WebsocketLinkSettings settings;
    settings.listen_ip = "127.0.0.1";
    settings.self = name;
    settings.shared_key = key;
    end.link = std::make_unique<WebsocketLink>(
        settings,
        [&end](const std::string& host, const std::vector<uint8_t>& bytes) {
          const std::string text(bytes.begin(), bytes.end());
          const std::lock_guard<std::mutex> lock(end.mutex);
          end.messages.push_back(host + ":" + text);
          end.changed.notify_all();
          return text != "malformed";
        },
        [&end](const std::string& event, const std::string& host,
               const std::string&) {
          const std::lock_guard<std::mutex> lock(end.mutex);
          end.events.push_back(event + ":" + host);
          end.changed.notify_all();
        });
    end.link->Start();
  }

  static std::string AddressOf(const End& end) {
    return "127.0.0.1:" + std::to_string(end.link->port());
  }

  static void Send(End& from, const std::string& host, const End& to,
                   const std::string& text) {
    from.link->Send(host, AddressOf(to),
                    std::vector<uint8_t>(text.begin(), text.end()));
  }

  static bool Await(End& end, std::vector<std::string> End::*list,
                    const std::string& wanted) {
    std::unique_lock<std::mutex> lock(end.mutex);
    return end.changed.wait_for(lock, std::chrono::seconds(20), [&] {
      const auto& all = end.*list;
      return std::find(all.begin(), all.end(), wanted) != all.end();
    });
  }
};

TEST_F(WebsocketLinkTest, MessagesGoBothWaysOverOneLink) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "the shared key");
  Send(a, "b", b, "to b");
  EXPECT_TRUE(Await(b, &End::messages, "a:to b"));
  Send(b, "a", a, "to a");
  EXPECT_TRUE(Await(a, &End::messages, "b:to a"));
  a.link->Stop();
  b.link->Stop();
}

// A host with another key must not be listened to.
TEST_F(WebsocketLinkTest, WrongKeyIsRefused) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "another key");
  Send(b, "a", a, "let me in");
  EXPECT_TRUE(Await(a, &End::events, "peer_rejected:b"));
  a.link->Stop();
  b.link->Stop();
  EXPECT_TRUE(a.messages.empty());
}

TEST_F(WebsocketLinkTest, MalformedMessageClosesTheLink) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "the shared key");
  Send(b, "a", a, "malformed");
  EXPECT_TRUE(Await(a, &End::events, "peer_rejected:b"));
  EXPECT_EQ(a.link->Counters().at("malformed"), 1u);
  a.link->Stop();
  b.link->Stop();
}

}  // namespace
}  // namespace applehall

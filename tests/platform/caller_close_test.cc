// Callers that leave: what is sent on for them and when their work ends, over
// real sockets with the test in the node's place.

#include <poll.h>

#include "tests/platform/edge_fixture.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] =
    "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id-1\r\n"
    "X-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi";

// Accepts one connection, keeps it open and answers each request on it but
// those after `max_answers`.
class KeptServer {
 public:
  KeptServer(asio::io_context& io, int max_answers)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        max_answers_(max_answers) {
    asio::co_spawn(io, Serve(), asio::detached);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int requests = 0;
  // How its connection ended.
  std::optional<boost::system::error_code> end;

 private:
  asio::awaitable<void> Serve() {
    tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    std::string bytes;
    while (true) {
      const auto [error, size] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(bytes), "\r\n\r\nhi",
          asio::as_tuple(asio::use_awaitable));
      if (error) {
        end = error;
        co_return;
      }
      bytes.erase(0, size);
      if (++requests > max_answers_) continue;
      const std::string answer = kAnswer;
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::use_awaitable);
    }
  }

  tcp::acceptor acceptor_;
  int max_answers_;
};

class CallerCloseTest : public EdgeTest {
 protected:
  void Send(RequestHandle handle, const std::string& address,
            bool is_repeatable = true) {
    DispatchRequest dispatch;
    dispatch.handle = handle;
    dispatch.attempt = 1;
    dispatch.backend = "i-7";
    dispatch.address = address;
    dispatch.is_repeatable = is_repeatable;
    dispatch.deadline = SystemClock().Now() + std::chrono::seconds(4);
    engines_.Dispatch(dispatch, ingress_.Find(handle));
  }
  tcp::socket Connect() {
    tcp::socket caller(io_);
    caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_));
    return caller;
  }
  // Handles events at once, as the host does: each request is sent on.
  void SendOnArrival(const std::string& address) {
    while (!events_.empty()) {
      const Event event = std::move(events_.front());
      events_.pop_front();
      if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
        Send(arrived->handle, address);
      }
      if (const auto* left = std::get_if<CallerDisconnected>(&event)) {
        ++callers_left_;
        withheld_ += left->withheld_attempt;
      }
    }
  }
  template <typename Condition>
  bool ServeUntil(const std::string& address, Condition is_done) {
    for (int i = 0; i < 5'000 && !is_done(); ++i) {
      // One handler at a time, so that each event is handled where it occurs.
      io_.run_one_for(milliseconds(1));
      io_.restart();
      SendOnArrival(address);
    }
    return is_done();
  }

  int callers_left_ = 0;
  int withheld_ = 0;
};

// Guards against a request that is sent on although its caller's close came
// with it, while the host stood.
TEST_F(CallerCloseTest, RequestReadTogetherWithItsCloseIsNotSent) {
  KeptServer server(io_, 1);
  tcp::socket first = Connect();
  asio::write(first, asio::buffer(std::string(kRequest)));
  ASSERT_TRUE(ServeUntil(server.address(), [&] { return first.available(); }));
  ASSERT_EQ(server.requests, 1);
  constexpr int kCallers = 20;
  for (int i = 0; i < kCallers; ++i) {
    tcp::socket caller = Connect();
    asio::write(caller, asio::buffer(std::string(kRequest)));
    // Every other caller resets its connection.
    if (i % 2 == 1) caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
  }
  // Resets may end their requests unread.
  EXPECT_TRUE(ServeUntil(server.address(),
                         [&] { return callers_left_ >= kCallers / 2; }));
  RunUntil([&] { return ingress_.is_idle(); });
  EXPECT_EQ(server.requests, 1);
  EXPECT_GT(withheld_, 0);
}

// Guards against a close that is never noticed because bytes of a next request
// were received before it.
class CloseBehindBytesTest : public CallerCloseTest,
                             public testing::WithParamInterface<const char*> {};

TEST_P(CloseBehindBytesTest, CloseIsNoticed) {
  KeptServer server(io_, 0);
  tcp::socket caller = Connect();
  asio::write(caller, asio::buffer(std::string(kRequest)));
  ASSERT_TRUE(
      ServeUntil(server.address(), [&] { return server.requests == 1; }));
  // Sent later, as the host may read them with the request otherwise.
  asio::write(caller, asio::buffer(std::string(GetParam())));
  // The watch has seen the bytes by now.
  io_.run_for(milliseconds(20));
  io_.restart();
  EXPECT_EQ(callers_left_, 0);
  caller.close();
  EXPECT_TRUE(ServeUntil(server.address(), [&] { return callers_left_ == 1; }));
}
INSTANTIATE_TEST_SUITE_P(Bytes, CloseBehindBytesTest,
                         testing::Values("\r\n", kRequest, "POST /half"));

// Guards against a next request that is sent on after its caller has closed.
TEST_F(CallerCloseTest, NextRequestOfCallerThatLeftIsNotSent) {
  KeptServer server(io_, 1);
  tcp::socket caller = Connect();
  asio::write(caller, asio::buffer(std::string(kRequest) + kRequest));
  caller.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(ServeUntil(server.address(), [&] { return callers_left_ > 0; }));
  RunUntil([&] { return ingress_.is_idle(); });
  SendOnArrival(server.address());
  io_.run_for(milliseconds(50));
  EXPECT_EQ(server.requests, 0);
}

// Guards against a request whose caller leaves while the connection to its
// server is being made.
TEST_F(CallerCloseTest, RequestIsNotSentIfItsCallerLeavesDuringConnect) {
  KeptServer server(io_, 1);
  HttpClient client(io_);
  HttpCall call;
  const absl::StatusOr<Address> address = ParseAddress(server.address());
  ASSERT_TRUE(address.ok());
  call.address = *address;
  call.request.body = "hi";
  int looks = 0;
  call.is_wanted = [&looks] { return ++looks < 2; };
  const std::shared_ptr<HttpStream> stream = client.Prepare(call);
  bool is_done = false;
  asio::co_spawn(
      io_,
      [&]() -> asio::awaitable<void> {
        co_await stream->Start();
        is_done = true;
      },
      asio::detached);
  ASSERT_TRUE(RunUntil([&] { return is_done; }));
  EXPECT_TRUE(stream->is_withheld());
  EXPECT_EQ(stream->state(), SendState::kNotSent);
  EXPECT_FALSE(stream->sent_at());
  EXPECT_EQ(looks, 2);
}

// Guards against an attempt that may not be repeated and is still connecting
// when its caller leaves: it would be sent.
TEST_F(CallerCloseTest, UnsentAttemptIsCancelledWhateverMayBeRepeated) {
  KeptServer server(io_, 0);
  const RequestHandle handle = SendRequest().handle;
  Send(handle, server.address(), /*is_repeatable=*/false);
  engines_.Cancel(CancelAttempt{handle, 1, /*only_unsent=*/true});
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kNotSent);
  EXPECT_EQ(server.requests, 0);
}

// Guards against cutting off a call that a service has received and that may
// not be sent again.
TEST_F(CallerCloseTest, SentAttemptGoesOnIfOnlyUnsentOnesAreCancelled) {
  KeptServer server(io_, 0);
  const RequestHandle handle = SendRequest().handle;
  Send(handle, server.address(), /*is_repeatable=*/false);
  ASSERT_TRUE(RunUntil([&] { return server.requests == 1; }));
  engines_.Cancel(CancelAttempt{handle, 1, /*only_unsent=*/true});
  io_.run_for(milliseconds(100));
  io_.restart();
  EXPECT_FALSE(server.end);
  engines_.Cancel(CancelAttempt{handle, 1});
  EXPECT_TRUE(RunUntil([&] { return server.end.has_value(); }));
}

// Guards against a cancel that is a reset only, which a lossy link can lose: a
// half-close is repeated until the server acknowledges it.
TEST_F(CallerCloseTest, CancelOfReceivedRequestHalfClosesFirst) {
  KeptServer server(io_, 0);
  const RequestHandle handle = SendRequest().handle;
  Send(handle, server.address());
  ASSERT_TRUE(RunUntil([&] { return server.requests == 1; }));
  engines_.Cancel(CancelAttempt{handle, 1});
  ASSERT_TRUE(RunUntil([&] { return server.end.has_value(); }));
  EXPECT_EQ(*server.end, asio::error::eof);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kBroken);
}

// Guards against servers that work on after a half-close.
TEST_F(CallerCloseTest, CancelEndsWithReset) {
  tcp::acceptor acceptor(io_,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const RequestHandle handle = SendRequest().handle;
  Send(handle, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  io_.run_for(milliseconds(50));
  io_.restart();
  tcp::socket peer = acceptor.accept();
  engines_.Cancel(CancelAttempt{handle, 1});
  const auto is_reset = [&] {
    pollfd state{peer.native_handle(), POLLIN, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & POLLHUP) != 0;
  };
  EXPECT_TRUE(RunUntil(is_reset));
}

// Guards against a cancelled request that is delivered later, when the server
// reads again: what it has not acknowledged is discarded.
TEST_F(CallerCloseTest, CancelOfUnreceivedRequestIsReset) {
  tcp::acceptor acceptor(io_,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  constexpr size_t kBodyBytes = 3'900'000;
  tcp::socket caller = Connect();
  asio::co_spawn(
      io_,
      [&caller]() -> asio::awaitable<void> {
        const std::string request =
            "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id-1\r\n"
            "Content-Length: " +
            std::to_string(kBodyBytes) + "\r\n\r\n" +
            std::string(kBodyBytes, 'x');
        co_await asio::async_write(caller, asio::buffer(request),
                                   asio::use_awaitable);
      },
      asio::detached);
  ASSERT_TRUE(RunUntil([this] { return Find<RequestArrived>() != nullptr; }));
  const RequestHandle handle = Find<RequestArrived>()->handle;
  tcp::socket peer(io_);
  // A small window, so that the request cannot be received as a whole.
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  Send(handle, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  io_.run_for(milliseconds(50));
  io_.restart();
  engines_.Cancel(CancelAttempt{handle, 1});
  WaitForAttemptEnd();
  peer = acceptor.accept();
  std::string bytes;
  boost::system::error_code error;
  asio::read(peer, asio::dynamic_buffer(bytes), error);
  EXPECT_EQ(error, asio::error::connection_reset) << error.message();
  EXPECT_LT(bytes.size(), kBodyBytes);
}

}  // namespace
}  // namespace applehall

// Ingress and engine client over loopback, with scripted servers; the test
// takes the node's place.

#ifndef APPLEHALL_TESTS_PLATFORM_EDGE_FIXTURE_H_
#define APPLEHALL_TESTS_PLATFORM_EDGE_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "platform/engine_client.h"
#include "platform/ingress.h"

namespace applehall {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
    "Content-Length: 5\r\n\r\nhello";

// Serves one connection at a time: reads a request, sends the next scripted
// text, then the filler again and again until the caller closes, and closes,
// unless it keeps connections.
class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& io)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(io, Serve(), asio::detached);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::deque<std::string> answers;
  std::vector<std::string> requests;
  // Ends the test of a caller that never closes.
  static constexpr size_t kMaxFillerBytes = 64 * 1024 * 1024;
  std::string filler;
  size_t filler_bytes = 0;  // Written so far.
  bool is_filler_refused = false;
  // Serves the next requests on the same connection and others beside it.
  bool keeps_connections = false;
  int connections = 0;

 private:
  asio::awaitable<void> Keep(tcp::socket socket) {
    std::string buffer;
    while (true) {
      const auto [error, size] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
          asio::as_tuple(asio::use_awaitable));
      if (error || answers.empty()) co_return;
      requests.push_back(buffer.substr(0, size));
      buffer.erase(0, size);
      const std::string answer = answers.front();
      answers.pop_front();
      const auto written = co_await asio::async_write(
          socket, asio::buffer(answer), asio::as_tuple(asio::use_awaitable));
      (void)written;
    }
  }

  asio::awaitable<void> Serve() {
    while (true) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections;
      if (keeps_connections) {
        asio::co_spawn(acceptor_.get_executor(), Keep(std::move(socket)),
                       asio::detached);
        continue;
      }
      std::string request;
      const auto read = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(request), "\r\n\r\n",
          asio::as_tuple(asio::use_awaitable));
      requests.push_back(request);
      if (answers.empty()) continue;
      const std::string answer = answers.front();
      answers.pop_front();
      const auto written = co_await asio::async_write(
          socket, asio::buffer(answer), asio::as_tuple(asio::use_awaitable));
      (void)read;
      (void)written;
      while (!filler.empty() && filler_bytes < kMaxFillerBytes) {
        const auto [error, size] = co_await asio::async_write(
            socket, asio::buffer(filler), asio::as_tuple(asio::use_awaitable));
        filler_bytes += size;
        if (!error) continue;
        is_filler_refused = true;
        break;
      }
    }
  }

  tcp::acceptor acceptor_;
};

// Connects a caller to the ingress and the engine client; the test takes the
// node's place.
class EdgeTest : public testing::Test {
 protected:
  EdgeTest()
      : server_(io_),
        ingress_(io_, Address{"127.0.0.1", ChoosePort()},
                 Address{"127.0.0.1", 0}, "key", /*max_connections=*/1000,
                 memory_,
                 [this](Event event) { events_.push_back(std::move(event)); }),
        engines_(
            io_, "edge-1", "key",
            [this](Event event) { events_.push_back(std::move(event)); },
            [this](Duration) { ++cancels_after_close_; }) {}

  // Returns a free port, chosen by the kernel.
  uint16_t FindUnusedPort() {
    tcp::acceptor probe(io_,
                        tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
  }
  uint16_t ChoosePort() { return port_ = FindUnusedPort(); }

  bool RunUntil(const std::function<bool()>& is_done) {
    for (int i = 0; i < 2000 && !is_done(); ++i) {
      io_.run_for(std::chrono::milliseconds(5));
      io_.restart();
    }
    return is_done();
  }

  template <typename T>
  const T* Find() const {
    for (const Event& event : events_) {
      if (const T* found = std::get_if<T>(&event)) return found;
    }
    return nullptr;
  }

  // Sends a caller's request and waits for its event.
  const RequestArrived& SendRequest(const std::string& extra = "") {
    caller_ = std::make_unique<tcp::socket>(io_);
    caller_->connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_));
    const std::string request =
        "POST /a/b?q=1 HTTP/1.1\r\nHost: Shop.Example:80\r\n"
        "X-Attempt-Id: id-1\r\nX-Deadline-Ms: 5000\r\nX-Model: m\r\n" +
        extra + "Content-Length: 2\r\n\r\nhi";
    asio::write(*caller_, asio::buffer(request));
    EXPECT_TRUE(RunUntil([this] { return Find<RequestArrived>() != nullptr; }));
    return *Find<RequestArrived>();
  }

  void Dispatch(RequestHandle handle, int attempt = 1, bool resume = false) {
    DispatchRequest dispatch;
    dispatch.handle = handle;
    dispatch.attempt = attempt;
    dispatch.backend = "i-7";
    dispatch.address = server_.address();
    dispatch.resume = resume;
    dispatch.deadline = SystemClock().Now() + std::chrono::seconds(4);
    dispatch.priority = 2;
    dispatch.team = team_;
    dispatch.is_repeatable = is_repeatable_;
    dispatch.has_retries = has_retries_;
    engines_.Dispatch(dispatch, ingress_.Find(handle));
  }

  const AttemptEnded& WaitForAttemptEnd() {
    static const AttemptEnded kNone;
    const bool has_ended =
        RunUntil([this] { return Find<AttemptEnded>() != nullptr; });
    EXPECT_TRUE(has_ended);
    return has_ended ? *Find<AttemptEnded>() : kNone;
  }

  // Returns everything that the caller has received so far.
  std::string ReceivedByCaller() {
    io_.run_for(std::chrono::milliseconds(20));
    io_.restart();
    while (caller_->available() > 0) {
      std::string bytes(caller_->available(), '\0');
      boost::system::error_code error;
      bytes.resize(caller_->read_some(asio::buffer(bytes), error));
      if (error) break;
      received_ += bytes;
    }
    return received_;
  }

  asio::io_context io_;
  ScriptedServer server_;
  uint16_t port_ = 0;
  std::deque<Event> events_;
  CallerMemory memory_;
  Ingress ingress_;
  EngineClient engines_;
  std::unique_ptr<tcp::socket> caller_;
  std::string received_;
  std::optional<std::string> team_;  // Of the dispatched request.
  bool is_repeatable_ = true;        // The dispatched request.
  bool has_retries_ = false;         // The dispatched request.
  int cancels_after_close_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PLATFORM_EDGE_FIXTURE_H_

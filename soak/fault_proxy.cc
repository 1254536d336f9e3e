#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio.hpp>

namespace applehall {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration kLate = std::chrono::milliseconds(150);
constexpr Duration kSilencePoll = std::chrono::milliseconds(50);
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

struct Pair {
  explicit Pair(asio::io_context& io) : near(io), far(io) {}
  tcp::socket near;
  tcp::socket far;
};

}  // namespace

struct FaultProxy::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, Address to)
      : io(context),
        target(std::move(to)),
        acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  asio::awaitable<void> Accept() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      auto [error, socket] = co_await acceptor.async_accept(kToken);
      if (error) co_return;
      const auto pair = std::make_shared<Pair>(io);
      pair->near = std::move(socket);
      pairs.insert(pair);
      asio::co_spawn(io, Connect(self, pair), asio::detached);
    }
  }

  static asio::awaitable<void> Connect(std::shared_ptr<State> self,
                                       std::shared_ptr<Pair> pair) {
    const tcp::endpoint endpoint(asio::ip::make_address(self->target.ip),
                                 self->target.port);
    const auto [error] = co_await pair->far.async_connect(endpoint, kToken);
    if (error) {
      self->Close(pair);
      co_return;
    }
    asio::co_spawn(self->io, Relay(self, pair, true), asio::detached);
    asio::co_spawn(self->io, Relay(self, pair, false), asio::detached);
  }

  static asio::awaitable<void> Relay(std::shared_ptr<State> self,
                                     std::shared_ptr<Pair> pair,
                                     bool is_forward) {
    tcp::socket& from = is_forward ? pair->near : pair->far;
    tcp::socket& to = is_forward ? pair->far : pair->near;
    std::array<char, 16384> bytes{};
    while (true) {
      const auto [error, size] =
          co_await from.async_read_some(asio::buffer(bytes), kToken);
      if (error) break;
      asio::steady_timer timer(self->io);
      if (self->mode == Mode::kDelay) {
        timer.expires_after(kLate);
        co_await timer.async_wait(kToken);
      }
      // Stalled bytes are delivered when the fault ends, as after a partition.
      while (self->mode == Mode::kSilent ||
             (self->mode == Mode::kOneWay && !is_forward)) {
        timer.expires_after(kSilencePoll);
        co_await timer.async_wait(kToken);
        if (!from.is_open()) co_return;
      }
      const auto [failed, written] =
          co_await asio::async_write(to, asio::buffer(bytes, size), kToken);
      if (failed) break;
    }
    self->Close(pair);
  }

  void Close(const std::shared_ptr<Pair>& pair) {
    boost::system::error_code ignored;
    pair->near.close(ignored);
    pair->far.close(ignored);
    pairs.erase(pair);
  }

  asio::io_context& io;
  Address target;
  tcp::acceptor acceptor;
  Mode mode = Mode::kPass;
  std::set<std::shared_ptr<Pair>> pairs;
};

FaultProxy::FaultProxy(asio::io_context& io, Address target)
    : state_(std::make_shared<State>(io, std::move(target))) {
  asio::co_spawn(io, state_->Accept(), asio::detached);
}

FaultProxy::~FaultProxy() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

Address FaultProxy::address() const {
  return {"127.0.0.1", state_->acceptor.local_endpoint().port()};
}

void FaultProxy::SetMode(Mode mode) { state_->mode = mode; }

void FaultProxy::ResetAll() {
  const auto pairs = state_->pairs;
  for (const auto& pair : pairs) {
    boost::system::error_code ignored;
    pair->near.set_option(asio::socket_base::linger(true, 0), ignored);
    state_->Close(pair);
  }
}

}  // namespace applehall

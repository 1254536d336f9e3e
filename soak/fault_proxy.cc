#include "soak/fault_proxy.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio.hpp>
#include <vector>

namespace applehall {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration kPieceDelay = std::chrono::milliseconds(150);
constexpr Duration kStallPoll = std::chrono::milliseconds(50);
// More than the kernel queues for a listener with a backlog of zero.
constexpr int kQueueFillers = 4;
constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

struct RelayedConnection {
  explicit RelayedConnection(asio::io_context& io) : near(io), far(io) {}
  tcp::socket near;
  tcp::socket far;
  bool is_silent_forward = false;
  bool is_silent_back = false;
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
      const auto connection = std::make_shared<RelayedConnection>(io);
      connection->near = std::move(socket);
      connections.insert(connection);
      asio::co_spawn(io, Connect(self, connection), asio::detached);
    }
  }

  static asio::awaitable<void> Connect(
      std::shared_ptr<State> self,
      std::shared_ptr<RelayedConnection> connection) {
    const tcp::endpoint endpoint(asio::ip::make_address(self->target.ip),
                                 self->target.port);
    const auto [error] =
        co_await connection->far.async_connect(endpoint, kToken);
    if (error) {
      self->Close(connection);
      co_return;
    }
    asio::co_spawn(self->io, Relay(self, connection, true), asio::detached);
    asio::co_spawn(self->io, Relay(self, connection, false), asio::detached);
  }

  static asio::awaitable<void> Relay(
      std::shared_ptr<State> self,
      std::shared_ptr<RelayedConnection> connection, bool is_forward) {
    tcp::socket& from = is_forward ? connection->near : connection->far;
    tcp::socket& to = is_forward ? connection->far : connection->near;
    std::array<char, 16384> bytes{};
    while (true) {
      const auto [error, size] =
          co_await from.async_read_some(asio::buffer(bytes), kToken);
      if (error) break;
      const bool is_silent = is_forward ? connection->is_silent_forward
                                        : connection->is_silent_back;
      if (is_silent) continue;
      asio::steady_timer timer(self->io);
      if (self->mode == Mode::kDelay) {
        timer.expires_after(kPieceDelay);
        co_await timer.async_wait(kToken);
      }
      // Stalled bytes are delivered when the fault ends, as after a partition.
      while (self->mode == Mode::kStalled ||
             (self->mode == Mode::kOneWay && !is_forward)) {
        timer.expires_after(kStallPoll);
        co_await timer.async_wait(kToken);
        if (!from.is_open()) co_return;
      }
      const auto [failed, written] =
          co_await asio::async_write(to, asio::buffer(bytes, size), kToken);
      if (failed) break;
    }
    self->Close(connection);
  }

  void Close(const std::shared_ptr<RelayedConnection>& connection) {
    boost::system::error_code ignored;
    connection->near.close(ignored);
    connection->far.close(ignored);
    connections.erase(connection);
  }

  asio::io_context& io;
  Address target;
  tcp::acceptor acceptor;
  Mode mode = Mode::kPass;
  uint16_t port = 0;
  // Connections that fill the queue of the acceptor.
  std::vector<std::shared_ptr<tcp::socket>> queue_fillers;
  std::set<std::shared_ptr<RelayedConnection>> connections;
};

FaultProxy::FaultProxy(asio::io_context& io, Address target)
    : state_(std::make_shared<State>(io, std::move(target))) {
  state_->port = state_->acceptor.local_endpoint().port();
  asio::co_spawn(io, state_->Accept(), asio::detached);
}

FaultProxy::~FaultProxy() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

Address FaultProxy::address() const { return {"127.0.0.1", state_->port}; }

void FaultProxy::SetMode(Mode mode) { state_->mode = mode; }

void FaultProxy::RefuseConnections() {
  boost::system::error_code ignored;
  state_->queue_fillers.clear();
  state_->acceptor.close(ignored);
}

// With a full queue the kernel drops the opening packets of new connections.
void FaultProxy::HangConnections() {
  if (!state_->acceptor.is_open()) return;
  boost::system::error_code ignored;
  state_->acceptor.cancel(ignored);
  (void)::listen(state_->acceptor.native_handle(), 0);
  for (int i = 0; i < kQueueFillers; ++i) {
    const auto filler = std::make_shared<tcp::socket>(state_->io);
    state_->queue_fillers.push_back(filler);
    filler->async_connect(state_->acceptor.local_endpoint(),
                          [filler](const boost::system::error_code&) {});
  }
}

void FaultProxy::AcceptConnections() {
  boost::system::error_code error;
  state_->queue_fillers.clear();
  state_->acceptor.close(error);
  const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                               state_->port);
  state_->acceptor.open(endpoint.protocol(), error);
  state_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  state_->acceptor.bind(endpoint, error);
  if (error) return;
  state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  asio::co_spawn(state_->io, state_->Accept(), asio::detached);
}

void FaultProxy::ResetAll() {
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    boost::system::error_code ignored;
    connection->near.set_option(asio::socket_base::linger(true, 0), ignored);
    state_->Close(connection);
  }
}

void FaultProxy::SilenceAll(bool is_one_way) {
  for (const auto& connection : state_->connections) {
    connection->is_silent_forward = !is_one_way;
    connection->is_silent_back = true;
  }
}

}  // namespace applehall

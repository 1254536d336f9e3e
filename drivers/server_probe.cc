#include "drivers/server_probe.h"

#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "core/settings_reader.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

// A running machine refuses a connection within one round trip, at most 3 ms
// between data centres. Without a response in this time the state of the server
// is unknown.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);

}  // namespace

asio::awaitable<ServerProbed> RunProbe(asio::io_context& io,
                                       ProbeServer probe) {
  ServerProbed probed;
  probed.server = probe.server;
  probed.is_link_check = probe.is_link_check;
  const absl::StatusOr<Address> address = ParseAddress(probe.address);
  if (!address.ok()) co_return probed;
  boost::beast::tcp_stream stream(io);
  stream.expires_after(kProbeTimeout);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->ip),
                                         address->port);
  const auto [error] = co_await stream.async_connect(
      endpoint, asio::as_tuple(asio::use_awaitable));
  if (!error) probed.state = ServerState::kListening;
  if (error == asio::error::connection_refused) {
    probed.state = ServerState::kGone;
  }
  co_return probed;
}

}  // namespace applehall

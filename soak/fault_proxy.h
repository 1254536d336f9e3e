#ifndef APPLEHALL_SOAK_FAULT_PROXY_H_
#define APPLEHALL_SOAK_FAULT_PROXY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "core/settings_reader.h"

namespace applehall {

// Relays TCP connections over loopback and injects link faults. Thread of all
// methods: the one that runs `io`.
class FaultProxy {
 public:
  enum class Mode : uint8_t {
    kPass,
    kDelay,    // Delays each piece by 150 ms.
    kOneWay,   // Stalls bytes from the target.
    kStalled,  // Stalls both directions; connections stay open.
  };

  FaultProxy(boost::asio::io_context& io, Address target);
  ~FaultProxy();

  Address address() const;
  void SetMode(Mode mode);
  // Refuses new connections; open ones continue.
  void RefuseConnections();
  // Lets new connections hang; open ones continue.
  void HangConnections();
  // Ends both. Requires: the port was not taken meanwhile; if it was, new
  // connections stay refused.
  void AcceptConnections();
  // Resets every open connection.
  void ResetAll();
  // Drops what arrives on the open connections, without a reset; new ones work.
  // `is_one_way`: only what arrives from the target.
  void SilenceAll(bool is_one_way);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_FAULT_PROXY_H_

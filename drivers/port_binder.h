#ifndef APPLEHALL_DRIVERS_PORT_BINDER_H_
#define APPLEHALL_DRIVERS_PORT_BINDER_H_

// Compiles as C++17 as well, for websocket_link.cc.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace applehall {

// Binds a listener to its address. While the address is in use, is not there
// yet or the process or the machine lacks descriptors or memory, it tries again
// in the background.
//
// The address can be reused (SO_REUSEADDR), but never shared: two processes of
// a host must not both accept callers.
class PortBinder {
 public:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  // `listener` names it in messages and in the log, as the settings do.
  PortBinder(boost::asio::io_context& io, std::string listener, std::string ip,
             uint16_t port);
  // Thread: that of Stop().
  ~PortBinder();
  PortBinder(const PortBinder&) = delete;
  PortBinder& operator=(const PortBinder&) = delete;

  // Binds now if that is possible. `on_bound` runs once the acceptor listens:
  // in this call or later on the thread that runs `io`. Throws
  // std::runtime_error, which names listener, address and reason, if the
  // address can never be bound. Requires: called once. Thread: the one that
  // runs `io`, or any before it runs.
  void Start(std::function<void()> on_bound);
  // Closes the acceptor and ends the tries. Thread: the one that runs `io`, or
  // any while none does.
  void Stop();
  // Thread: as for Stop().
  Acceptor& acceptor();
  // True once the acceptor has listened. Thread-safe.
  bool is_bound() const;
  // Returns the bound port, until then the one that is wanted; with port 0 the
  // kernel chooses it. Thread-safe.
  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_PORT_BINDER_H_

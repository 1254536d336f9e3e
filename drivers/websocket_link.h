#ifndef APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_
#define APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_

// Includes standard headers only: websocket_link.cc is the one translation unit
// in C++17, because websocketpp does not compile as C++20.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace applehall {

struct WebsocketLinkSettings {
  std::string listen_ip;
  uint16_t listen_port = 0;
  std::string self;
  std::string shared_key;
  std::size_t max_links = 128;
  // Accepted connections that have not proved the shared key.
  std::size_t max_unknown_peers = 256;
  std::size_t max_queued_messages = 256;
  std::size_t max_message_bytes = 4 * 1024 * 1024;
  long dial_timeout_ms = 2000;
};

// Links to other hosts by WebSocket, on a thread of its own.
//
// Both sides authenticate with the shared key before the first message: each
// sends a random challenge and answers the other's with an HMAC over it and its
// own name. A link that fails authentication or sends a malformed message is
// closed. A link on which nothing arrives any more is closed and replaced
// (LinkLiveness), also if its TCP connection shows no error.
class WebsocketLink {
 public:
  // Returns true if the message is well-formed; otherwise the link is closed.
  using OnMessage = std::function<bool(const std::string& host,
                                       const std::vector<uint8_t>& bytes)>;
  using OnEvent =
      std::function<void(const std::string& event, const std::string& host,
                         const std::string& detail)>;

  // Binds now, or later while that fails for a passing reason (PortBinder);
  // other hosts can be dialled meanwhile. Throws std::exception if the address
  // can never be bound. The callbacks run on the link's thread.
  WebsocketLink(WebsocketLinkSettings settings, OnMessage on_message,
                OnEvent on_event);
  ~WebsocketLink();

  // Starts and stops the thread. Thread: the owner's.
  void Start();
  void Stop();
  // Queues a message for `host` and dials `address` ("IP:PORT") if there is no
  // link. The message is dropped and counted if the queue is full. Thread-safe.
  void Send(const std::string& host, const std::string& address,
            std::vector<uint8_t> bytes);
  // The bound port; until is_bound() that of the settings. Thread-safe.
  uint16_t port() const;
  // True once other hosts can connect. Thread-safe.
  bool is_bound() const;
  // Counts of bytes and messages sent and received, dropped messages, malformed
  // messages, rejected links and silent links. Thread-safe.
  std::map<std::string, uint64_t> Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_

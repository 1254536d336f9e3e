#ifndef APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_
#define APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_

// Standard headers only: its source is the one translation unit in C++17,
// because websocketpp does not compile as C++20.
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
  std::size_t max_queued_messages = 256;
  std::size_t max_message_bytes = 4 * 1024 * 1024;
  long dial_timeout_ms = 2000;
};

// Links to other hosts by WebSocket, on a thread of its own.
//
// Both ends prove that they hold the shared key before the first message: each
// sends a random challenge and answers the other's with an HMAC over it and
// its own name. A link that fails this, or sends what is malformed, is closed.
class WebsocketLink {
 public:
  // True if the message was well-formed; else the link is closed.
  using OnMessage = std::function<bool(const std::string& host,
                                       const std::vector<uint8_t>& bytes)>;
  using OnEvent =
      std::function<void(const std::string& event, const std::string& host,
                         const std::string& detail)>;

  // Binds at once; throws std::exception if it cannot. The callbacks run on
  // the link's thread.
  WebsocketLink(WebsocketLinkSettings settings, OnMessage on_message,
                OnEvent on_event);
  ~WebsocketLink();

  // Starts and stops the thread. Thread: the owner's.
  void Start();
  void Stop();
  // Queues a message for `host`, dialling `address` ("IP:PORT") if there is no
  // link. Dropped, and counted, if too much is queued. Thread-safe.
  void Send(const std::string& host, const std::string& address,
            std::vector<uint8_t> bytes);
  // The bound port. Thread-safe.
  uint16_t port() const;
  // Bytes and messages sent and received, drops, rejects. Thread-safe.
  std::map<std::string, uint64_t> Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_WEBSOCKET_LINK_H_

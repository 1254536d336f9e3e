#include "tests/processes/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace applehall {

namespace {

// Kept small, so that what a client does not read stays at its server.
constexpr int kReceiveBufferBytes = 4096;
constexpr size_t kStatusLineBytes = 12;
// Sent at once, as far as the socket takes it.
constexpr size_t kMinBlockBytes = 64 * 1024;
constexpr size_t kBytesBetweenCalls = 1024 * 1024;
// Turns in which nothing moves and the peer is idle end a script; each waits
// for this time. So does a number of waits that no sound peer needs.
constexpr int kIdleTurns = 3;
constexpr int kIdleWaitMillis = 200;
constexpr int kMaxWaits = 300;

}  // namespace

ClientCrowd::~ClientCrowd() {
  for (const Client& client : clients_) ::close(client.socket);
}

int ClientCrowd::Connect(int count) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(address_.port);
  ::inet_pton(AF_INET, address_.ip.c_str(), &address.sin_addr);
  int connected = 0;
  for (int i = 0; i < count; ++i) {
    Client client;
    client.socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes));
    client.is_open =
        ::connect(client.socket, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0;
    ::fcntl(client.socket, F_SETFL, O_NONBLOCK);
    if (client.is_open) ++connected;
    clients_.push_back(std::move(client));
  }
  return connected;
}

bool ClientCrowd::Turn(const ClientScript& script, Client& client) {
  const size_t total =
      script.head.size() + script.filler_bytes + script.tail.size();
  bool has_moved = false;
  if (client.sent == total && client.runs < script.repeats) {
    client.sent = 0;
    ++client.runs;
  }
  if (client.sent < total) {
    const char* data = nullptr;
    size_t size = 0;
    if (client.sent < script.head.size()) {
      data = script.head.data() + client.sent;
      size = script.head.size() - client.sent;
    } else if (client.sent < script.head.size() + script.filler_bytes) {
      const size_t at = client.sent - script.head.size();
      const size_t offset = at % script.filler.size();
      data = script.filler.data() + offset;
      size = std::min(script.filler.size() - offset, script.filler_bytes - at);
    } else {
      const size_t at = client.sent - script.head.size() - script.filler_bytes;
      data = script.tail.data() + at;
      size = script.tail.size() - at;
    }
    const ssize_t sent = ::send(client.socket, data, size, MSG_NOSIGNAL);
    if (sent > 0) {
      client.sent += static_cast<size_t>(sent);
      sent_bytes_ += static_cast<size_t>(sent);
      has_moved = true;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      client.is_open = false;
    }
  }
  if (!script.reads_answers) return has_moved;
  char bytes[16 * 1024];
  const ssize_t size = ::recv(client.socket, bytes, sizeof(bytes), 0);
  if (size > 0) {
    has_moved = true;
    const bool is_known = client.received.size() >= kStatusLineBytes;
    client.received.append(bytes, static_cast<size_t>(size));
    client.received.resize(std::min(client.received.size(), kStatusLineBytes));
    if (!is_known && client.received.size() == kStatusLineBytes) {
      answers_.push_back(client.received);
    }
  } else if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    client.is_open = false;
  }
  return has_moved;
}

void ClientCrowd::Send(ClientScript script,
                       const std::function<bool()>& is_peer_busy) {
  const std::string filler = script.filler;
  while (!filler.empty() && script.filler.size() < kMinBlockBytes) {
    script.filler += filler;
  }
  for (Client& client : clients_) {
    client.sent = 0;
    client.runs = 0;
  }
  size_t sent_before = sent_bytes_;
  int idle_turns = 0;
  for (int waits = 0; idle_turns < kIdleTurns && waits < kMaxWaits;) {
    bool has_moved = false;
    for (Client& client : clients_) {
      if (client.is_open && Turn(script, client)) has_moved = true;
    }
    if (has_moved) {
      idle_turns = 0;
      if (sent_bytes_ - sent_before < kBytesBetweenCalls) continue;
      sent_before = sent_bytes_;
      (void)is_peer_busy();
      continue;
    }
    ::poll(nullptr, 0, kIdleWaitMillis);
    ++waits;
    idle_turns = is_peer_busy() ? 0 : idle_turns + 1;
  }
}

int ClientCrowd::open_clients() const {
  return static_cast<int>(
      std::count_if(clients_.begin(), clients_.end(), [](const Client& client) {
        char byte = 0;
        const ssize_t size =
            ::recv(client.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return client.is_open && (size > 0 || (size < 0 && errno == EAGAIN));
      }));
}

}  // namespace applehall

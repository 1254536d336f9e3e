#ifndef APPLEHALL_TESTS_PROCESSES_CLIENT_CROWD_H_
#define APPLEHALL_TESTS_PROCESSES_CLIENT_CROWD_H_

#include <functional>
#include <string>
#include <vector>

#include "core/settings_reader.h"

namespace applehall {

// What one client of a crowd sends.
struct ClientScript {
  std::string head = "";    // Sent first.
  std::string filler = "";  // Then repeated until `filler_bytes` are sent.
  size_t filler_bytes = 0;
  std::string tail = "";  // Sent last.
  // Keeps what is received in the socket.
  bool reads_answers = true;
  // Sends the whole script again as long as the connection is open, at most
  // this often.
  int repeats = 0;
};

// Clients that send without regard to any limit, over non-blocking sockets on
// the thread of the test.
class ClientCrowd {
 public:
  explicit ClientCrowd(Address address) : address_(std::move(address)) {}
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Connects `count` clients. Returns how many were accepted by the kernel.
  int Connect(int count);
  // Sends the script from each client until it has been sent, the connection
  // is closed, or nothing moves on any connection while the peer is idle too.
  // Calls `is_peer_busy` after each megabyte, and whenever nothing moves.
  void Send(ClientScript script, const std::function<bool()>& is_peer_busy);
  // Number of clients whose connections the peer has not closed.
  int open_clients() const;
  size_t sent_bytes() const { return sent_bytes_; }
  // Starts of the answers that were read, such as "HTTP/1.1 431".
  const std::vector<std::string>& answers() const { return answers_; }

 private:
  struct Client {
    int socket = -1;
    size_t sent = 0;  // Of the present run of the script.
    int runs = 0;
    bool is_open = true;
    std::string received;
  };

  // Returns whether anything was sent or received.
  bool Turn(const ClientScript& script, Client& client);

  Address address_;
  std::vector<Client> clients_;
  size_t sent_bytes_ = 0;
  std::vector<std::string> answers_;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PROCESSES_CLIENT_CROWD_H_

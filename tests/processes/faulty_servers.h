#ifndef APPLEHALL_TESTS_PROCESSES_FAULTY_SERVERS_H_
#define APPLEHALL_TESTS_PROCESSES_FAULTY_SERVERS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "core/settings_reader.h"

namespace applehall {

// What a faulty server sends in place of an answer.
struct FaultyAnswer {
  // Sent first; kIdField in it becomes the field with the request's id.
  std::string head = "";
  std::string filler = "";  // Then repeated until the connection is closed.
  size_t max_filler_bytes = 64 * 1024 * 1024;  // For each connection.
  // No server begins to answer before so many requests for this answer have
  // arrived at all servers together.
  int min_arrivals = 0;
};

inline constexpr char kIdField[] = "{id}";

// A server that sends chosen bytes to each request, over any number of
// connections, on a thread of its own.
class FaultyServer {
 public:
  FaultyServer();
  ~FaultyServer();
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  Address address() const;
  // An answer that several servers give, and the requests that arrived for it.
  struct SharedAnswer {
    FaultyAnswer answer;
    std::atomic<int> arrivals = 0;
  };
  // Of the requests that arrive from now on. Thread-safe.
  void SetAnswer(std::shared_ptr<SharedAnswer> answer);
  // Returns how often each request arrived, by its id. Thread-safe.
  std::map<std::string, int> Arrivals() const;

 private:
  class Connection;

  void Accept();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::shared_ptr<SharedAnswer> answer_;
  std::map<std::string, int> arrivals_;
  std::thread thread_;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PROCESSES_FAULTY_SERVERS_H_

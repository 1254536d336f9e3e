#include "tests/processes/faulty_servers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <boost/asio.hpp>
#include <utility>

namespace applehall {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Interval at which a held answer looks for further arrivals.
constexpr auto kHoldInterval = std::chrono::milliseconds(5);
constexpr char kIdName[] = "x-attempt-id: ";

// Returns the id in the head of a request of a host, whose names are in lower
// case.
std::string IdOf(const std::string& head) {
  const size_t at = head.find(kIdName);
  if (at == std::string::npos) return "";
  const size_t from = at + sizeof(kIdName) - 1;
  return head.substr(from, head.find('\r', from) - from);
}

}  // namespace

// Serves one connection.
class FaultyServer::Connection
    : public std::enable_shared_from_this<FaultyServer::Connection> {
 public:
  Connection(FaultyServer& server, tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        hold_(socket_.get_executor()) {}

  void Read() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
        [self = shared_from_this()](const error_code& error, size_t size) {
          if (!error) self->Answer(self->request_.substr(0, size));
        });
  }

 private:
  void Answer(const std::string& request) {
    const std::string id = IdOf(request);
    {
      const std::lock_guard lock(server_.mutex_);
      ++server_.arrivals_[id];
      answer_ = server_.answer_;
    }
    ++answer_->arrivals;
    head_ = absl::StrReplaceAll(
        answer_->answer.head, {{kIdField, absl::StrCat("X-Attempt-Id: ", id)}});
    AwaitArrivals();
  }

  void AwaitArrivals() {
    if (answer_->arrivals >= answer_->answer.min_arrivals) {
      SendHead();
      return;
    }
    hold_.expires_after(kHoldInterval);
    hold_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->AwaitArrivals();
    });
  }

  void SendHead() {
    asio::async_write(
        socket_, asio::buffer(head_),
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) self->Fill();
        });
  }

  void Fill() {
    const FaultyAnswer& answer = answer_->answer;
    if (answer.filler.empty() || filled_ >= answer.max_filler_bytes) return;
    asio::async_write(
        socket_, asio::buffer(answer.filler),
        [self = shared_from_this()](const error_code& error, size_t size) {
          self->filled_ += size;
          if (!error) self->Fill();
        });
  }

  FaultyServer& server_;
  tcp::socket socket_;
  asio::steady_timer hold_;
  std::string request_;
  std::string head_;
  std::shared_ptr<SharedAnswer> answer_;
  size_t filled_ = 0;
};

FaultyServer::FaultyServer()
    : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      answer_(std::make_shared<SharedAnswer>()) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

FaultyServer::~FaultyServer() {
  io_.stop();
  thread_.join();
}

Address FaultyServer::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void FaultyServer::SetAnswer(std::shared_ptr<SharedAnswer> answer) {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
}

std::map<std::string, int> FaultyServer::Arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

void FaultyServer::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;
    std::make_shared<Connection>(*this, std::move(socket))->Read();
    Accept();
  });
}

}  // namespace applehall

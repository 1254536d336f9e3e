#include "drivers/port_binder.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <optional>
#include <stdexcept>

#include "core/event_log.h"
#include "core/retry_schedule.h"

namespace applehall {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr RetryPauses kPauses{.min = std::chrono::milliseconds(20),
                              .max = std::chrono::milliseconds(500)};

bool IsPassing(const error_code& error) {
  switch (error.value()) {
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

}  // namespace

class PortBinder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::string listener, std::string ip,
       uint16_t port)
      : listener_(std::move(listener)),
        ip_(std::move(ip)),
        address_(ip_ + ":" + std::to_string(port)),
        timer_(io),
        acceptor_(io),
        port_(port) {}

  void Start(std::function<void()> on_bound) {
    on_bound_ = std::move(on_bound);
    schedule_.emplace(kPauses, clock_.Now());
    const error_code error = Bind();
    if (!error) {
      HandleBound();
    } else if (IsPassing(error)) {
      HandleFailure(error);
    } else {
      throw std::runtime_error(listener_ + ": cannot listen on " + address_ +
                               ": " + error.message());
    }
  }

  void Stop() {
    is_stopped_ = true;
    on_bound_ = nullptr;
    timer_.cancel();
    error_code ignored;
    acceptor_.close(ignored);
  }

  Acceptor& acceptor() { return acceptor_; }
  bool is_bound() const { return is_bound_; }
  uint16_t port() const { return port_; }

 private:
  error_code Bind() {
    error_code error;
    const asio::ip::address ip = asio::ip::make_address(ip_, error);
    if (error) return error;
    const asio::ip::tcp::endpoint endpoint(ip, port_);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(Acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    // Can fail as well: another socket that is bound here may listen first.
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      error_code ignored;
      acceptor_.close(ignored);
      return error;
    }
    port_ = acceptor_.local_endpoint().port();
    return {};
  }

  void HandleBound() {
    if (has_failed_) {
      LogEvent(LogLevel::kInfo, "listener_bound")
          .With("listener", listener_)
          .With("address", address_)
          .With("waited_ms", ToMillis(schedule_->Waited(clock_.Now())));
    }
    const std::function<void()> on_bound = std::move(on_bound_);
    on_bound();
    is_bound_ = true;
  }

  void HandleFailure(const error_code& error) {
    has_failed_ = true;
    const TimePoint now = clock_.Now();
    const RetrySchedule::Step step = schedule_->RecordFailure(now);
    if (step.is_logged) {
      LogEvent(LogLevel::kWarning, "listener_unavailable")
          .With("listener", listener_)
          .With("address", address_)
          .With("reason", error.message())
          .With("waited_ms", ToMillis(schedule_->Waited(now)));
    }
    timer_.expires_after(step.pause);
    timer_.async_wait([weak = weak_from_this()](const error_code& cancelled) {
      const std::shared_ptr<Impl> self = weak.lock();
      if (cancelled || !self || self->is_stopped_) return;
      // An error of any kind is passing now: the first one was.
      const error_code next = self->Bind();
      if (next) {
        self->HandleFailure(next);
      } else {
        self->HandleBound();
      }
    });
  }

  const std::string listener_;
  const std::string ip_;
  const std::string address_;
  const SystemClock clock_{};
  std::function<void()> on_bound_;
  std::optional<RetrySchedule> schedule_;
  asio::steady_timer timer_;
  Acceptor acceptor_;
  bool has_failed_ = false;
  bool is_stopped_ = false;
  std::atomic<bool> is_bound_{false};
  std::atomic<uint16_t> port_;
};

PortBinder::PortBinder(asio::io_context& io, std::string listener,
                       std::string ip, uint16_t port)
    : impl_(std::make_shared<Impl>(io, std::move(listener), std::move(ip),
                                   port)) {}
PortBinder::~PortBinder() { impl_->Stop(); }
void PortBinder::Start(std::function<void()> on_bound) {
  impl_->Start(std::move(on_bound));
}
void PortBinder::Stop() { impl_->Stop(); }
PortBinder::Acceptor& PortBinder::acceptor() { return impl_->acceptor(); }
bool PortBinder::is_bound() const { return impl_->is_bound(); }
uint16_t PortBinder::port() const { return impl_->port(); }

}  // namespace applehall

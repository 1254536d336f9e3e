#include "drivers/caller_session.h"

#include <boost/asio.hpp>

namespace applehall {

namespace asio = boost::asio;

void CallerSession::Push(ReplyPart part) {
  if (is_closed_) return;
  PushAlways(std::move(part));
}

void CallerSession::PushAlways(ReplyPart part) {
  bytes_waiting_ += part.data.size();
  asio::post(io_,
             [self = shared_from_this(), part = std::move(part)]() mutable {
               self->parts_.push_back(std::move(part));
               self->wake_.cancel();
             });
}

asio::awaitable<ReplyPart> CallerSession::Next() {
  while (parts_.empty()) {
    wake_.expires_at(asio::steady_timer::time_point::max());
    co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  ReplyPart part = std::move(parts_.front());
  parts_.pop_front();
  bytes_waiting_ -= part.data.size();
  co_return part;
}

asio::awaitable<void> CallerSession::PauseBackend(Duration duration) {
  asio::steady_timer pause(io_, duration);
  co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace applehall

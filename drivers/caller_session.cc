#include "drivers/caller_session.h"

#include <boost/asio.hpp>

#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

// Interval at which a full buffer is checked for free space.
constexpr Duration kFreeSpaceCheckInterval = std::chrono::milliseconds(2);

}  // namespace

void CallerSession::Push(ReplyPart part) {
  if (is_closed_) return;
  PushUnchecked(std::move(part));
}

void CallerSession::PushUnchecked(ReplyPart part) {
  buffered_bytes_ += part.data.size();
  asio::post(io_,
             [self = shared_from_this(), part = std::move(part)]() mutable {
               self->parts_.push_back(std::move(part));
               self->part_added_.cancel();
             });
}

asio::awaitable<ReplyPart> CallerSession::Next() {
  while (parts_.empty()) {
    part_added_.expires_at(asio::steady_timer::time_point::max());
    co_await part_added_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  ReplyPart part = std::move(parts_.front());
  parts_.pop_front();
  buffered_bytes_ -= part.data.size();
  co_return part;
}

asio::awaitable<void> CallerSession::AwaitFreeSpace(
    asio::io_context& backend_io) {
  while (is_full() && !is_closed()) {
    co_await Sleep(backend_io, kFreeSpaceCheckInterval);
  }
}

void CallerSession::PushChunk(std::string data) {
  ReplyPart part;
  part.kind = ReplyPart::Kind::kChunk;
  part.data = std::move(data);
  part.charge = MemoryCharge(budget_);
  part.charge.Set(part.data.size());
  Push(std::move(part));
}

void CallerSession::PushEnd() {
  ReplyPart part;
  part.kind = ReplyPart::Kind::kEnd;
  Push(std::move(part));
}

void CallerSession::PushRefusal(Refusal refusal, std::string rule) {
  ReplyPart part;
  part.kind = ReplyPart::Kind::kRefusal;
  part.refusal = std::move(refusal);
  part.rule = std::move(rule);
  Push(std::move(part));
}

std::optional<TimePoint> CallerSession::disconnected_at() const {
  const TimePoint at = disconnected_at_;
  if (at == TimePoint{}) return std::nullopt;
  return at;
}

void CallerSession::HandleDisconnect(TimePoint at) {
  disconnected_at_ = at;
  Close();
  // Ends a pending Next(), whose caller treats a refusal as the end.
  ReplyPart end;
  end.kind = ReplyPart::Kind::kRefusal;
  PushUnchecked(std::move(end));
}

}  // namespace applehall

#ifndef APPLEHALL_DRIVERS_CALLER_SESSION_H_
#define APPLEHALL_DRIVERS_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/verdict.h"
#include "drivers/http_message.h"

namespace applehall {

// A part of a response, passed from the backend thread to the callers' thread.
struct ReplyPart {
  enum class Kind : uint8_t { kWhole, kBegin, kChunk, kEnd, kRefusal };
  Kind kind = Kind::kWhole;
  HttpResponse response;  // kWhole, and the head of kBegin.
  std::string data;       // kChunk.
  Refusal refusal;        // kRefusal.
  std::string rule;
  MemoryCharge charge;  // For `response.body` and `data`.
};

// An open request of one caller with the queue of its response parts. The one
// response of the request is sent only through it.
//
// The backend thread pushes parts, the callers' thread reads them. The buffered
// bytes are bounded: a slow caller slows down its engine instead of filling the
// memory.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  // Chunks are charged to `budget` until they are written; null: unbounded
  // together.
  CallerSession(boost::asio::io_context& io, uint64_t handle,
                std::shared_ptr<const HttpRequest> request,
                std::shared_ptr<MemoryBudget> budget = nullptr)
      : io_(io),
        part_added_(io),
        handle_(handle),
        request_(std::move(request)),
        budget_(std::move(budget)) {}

  // Thread-safe. Parts pushed after Close() are ignored.
  void Push(ReplyPart part);
  void PushChunk(std::string data);
  void PushEnd();
  void PushRefusal(Refusal refusal, std::string rule);
  // True while too many bytes are buffered for the caller. Thread-safe.
  bool is_full() const { return buffered_bytes_ > kMaxBufferedBytes; }
  bool is_closed() const { return is_closed_; }

  // Waits for the next part and returns it. Thread: the callers'.
  boost::asio::awaitable<ReplyPart> Next();
  // Waits until the buffer has free space or the session is closed. Thread: the
  // backend's, which runs `backend_io`.
  boost::asio::awaitable<void> AwaitFreeSpace(
      boost::asio::io_context& backend_io);
  // Closes the session: the caller disconnected or has its response. Thread:
  // the callers'.
  void Close() { is_closed_ = true; }
  // Closes the session after a disconnect of the caller, which reached this
  // host at `at`, and ends a pending Next(). Thread: the callers'.
  void HandleDisconnect(TimePoint at);
  // Sets what tells whether the caller's close has arrived. Requires: called
  // before the session is shared. Thread: the callers'.
  void SetCloseProbe(std::function<std::optional<Duration>()> probe) {
    close_probe_ = std::move(probe);
  }
  // Returns whether the session is closed or the caller's close has reached
  // this host, also if its event is still to come. Costs a system call.
  // Thread-safe.
  bool HasCallerLeft() const { return is_closed_ || CloseAge().has_value(); }
  // Returns how long ago the caller's close reached this host; nothing before.
  // Costs a system call. Thread-safe.
  std::optional<Duration> CloseAge() const {
    return close_probe_ ? close_probe_() : std::nullopt;
  }
  // Time at which the caller disconnected; nothing before. Thread-safe.
  std::optional<TimePoint> disconnected_at() const;

  uint64_t handle() const { return handle_; }
  const HttpRequest& request() const { return *request_; }
  std::shared_ptr<const HttpRequest> shared_request() const { return request_; }
  // Number of stream events sent to the caller; a broken stream is resumed
  // after them. Thread: the backend's.
  int delivered_events = 0;
  std::string last_event_id;
  bool has_begun = false;

 private:
  // Pushes a part even after Close(), to end a pending Next(). Thread-safe.
  void PushUnchecked(ReplyPart part);

  static constexpr size_t kMaxBufferedBytes = 256 * 1024;

  boost::asio::io_context& io_;
  boost::asio::steady_timer part_added_;
  uint64_t handle_;
  std::shared_ptr<const HttpRequest> request_;
  std::shared_ptr<MemoryBudget> budget_;
  std::function<std::optional<Duration>()> close_probe_;
  std::deque<ReplyPart> parts_;
  std::atomic<size_t> buffered_bytes_{0};
  std::atomic<bool> is_closed_{false};
  std::atomic<TimePoint> disconnected_at_{TimePoint{}};
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_CALLER_SESSION_H_

#ifndef APPLEHALL_DRIVERS_CALLER_SESSION_H_
#define APPLEHALL_DRIVERS_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/verdict.h"
#include "drivers/http_message.h"

namespace applehall {

// A piece of the answer on its way from the backend thread to the caller's.
struct ReplyPart {
  enum class Kind : uint8_t { kWhole, kBegin, kChunk, kEnd, kRefusal };
  Kind kind = Kind::kWhole;
  HttpResponse response;  // kWhole, and the head of kBegin.
  std::string data;       // kChunk.
  Refusal refusal;        // kRefusal.
  std::string rule;
};

// One caller's request while it is open: the only way to its one answer.
//
// The backend thread pushes parts, the callers' thread takes them. The bytes
// under way are bounded: a slow caller slows the engine down, it does not
// fill the memory.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::io_context& io, uint64_t handle,
                HttpRequest request)
      : io_(io), wake_(io), handle_(handle), request_(std::move(request)) {}

  // Thread-safe. Parts after the end of an answer are ignored.
  void Push(ReplyPart part);
  void PushChunk(std::string data);
  void PushEnd();
  void PushRefusal(Refusal refusal, std::string rule);
  // True while the caller has too much waiting already. Thread-safe.
  bool is_full() const { return bytes_waiting_ > kMostBytesWaiting; }
  bool is_closed() const { return is_closed_; }

  // The next part; waits for it. Thread: the callers'.
  boost::asio::awaitable<ReplyPart> Next();
  // Waits until a slow caller has caught up, or closed. Thread: the backend's,
  // which runs `backend_io`.
  boost::asio::awaitable<void> AwaitFreeSpace(
      boost::asio::io_context& backend_io);
  // The caller is gone or has its answer. Thread: the callers'.
  void Close() { is_closed_ = true; }
  // Close(), and whoever waits in Next() is told. Thread: the callers'.
  void HandleDisconnect(TimePoint now);
  // When it did; nothing before. Thread-safe.
  std::optional<TimePoint> disconnected_at() const;

  uint64_t handle() const { return handle_; }
  const HttpRequest& request() const { return request_; }
  // Events of a stream that the caller holds; where a broken one goes on.
  // Thread: the backend's.
  int delivered_events = 0;
  std::string last_event_id;
  bool has_begun = false;

 private:
  // Also after Close(), to wake whoever waits in Next(). Thread-safe.
  void PushAlways(ReplyPart part);

  static constexpr size_t kMostBytesWaiting = 256 * 1024;

  boost::asio::io_context& io_;
  boost::asio::steady_timer wake_;
  uint64_t handle_;
  HttpRequest request_;
  std::deque<ReplyPart> parts_;
  std::atomic<size_t> bytes_waiting_{0};
  std::atomic<bool> is_closed_{false};
  std::atomic<TimePoint> disconnected_at_{TimePoint{}};
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_CALLER_SESSION_H_

#ifndef APPLEHALL_DRIVERS_IO_THREAD_H_
#define APPLEHALL_DRIVERS_IO_THREAD_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "drivers/event_loop.h"

namespace applehall {

// A thread that runs one io_context by RunEventLoop(), with a bounded queue of
// work from other threads.
class IoThread {
 public:
  explicit IoThread(size_t max_queued)
      : max_queued_(max_queued), guard_(boost::asio::make_work_guard(io_)) {}
  ~IoThread() { Stop(); }

  // Throws std::system_error if there is no thread. Requires: called once.
  // Thread: the owner's.
  void Start() {
    thread_ = std::thread([this] { RunEventLoop(io_, "io_thread"); });
  }
  // Stops the thread and drops queued work. Thread: the owner's.
  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }
  // Runs `work` on the thread. Returns false, and drops `work`, if the queue is
  // full. Thread-safe.
  template <typename Work>
  bool TryPost(Work work) {
    if (queued_.fetch_add(1) >= max_queued_) {
      queued_.fetch_sub(1);
      return false;
    }
    boost::asio::post(io_, [this, work = std::move(work)]() mutable {
      queued_.fetch_sub(1);
      work();
    });
    return true;
  }
  boost::asio::io_context& io() { return io_; }
  size_t queued() const { return queued_; }

 private:
  size_t max_queued_;
  std::atomic<size_t> queued_{0};
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_IO_THREAD_H_

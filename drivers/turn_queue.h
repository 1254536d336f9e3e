#ifndef APPLEHALL_DRIVERS_TURN_QUEUE_H_
#define APPLEHALL_DRIVERS_TURN_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <functional>
#include <utility>

namespace applehall {

// Queue of bulk work that an event loop handles one item per iteration.
//
// An event loop runs all ready handlers in order before it polls its sockets
// again. With one posted handler per item, a burst of items would delay socket
// events, such as the disconnect of a caller, until all items are handled.
template <typename T>
class TurnQueue {
 public:
  // `handler` must not block. Requires: `io` outlives this, and one thread runs
  // it.
  TurnQueue(boost::asio::io_context& io, size_t capacity,
            std::function<void(T)> handler)
      : io_(io), capacity_(capacity), handler_(std::move(handler)) {}

  // Adds an item. Returns false if the queue was full and its oldest item was
  // dropped. Thread: the one that runs `io`.
  bool Push(T item) {
    items_.push_back(std::move(item));
    const bool has_capacity = items_.size() <= capacity_;
    if (!has_capacity) items_.pop_front();
    Schedule();
    return has_capacity;
  }

  // Number of queued items. Thread: the one that runs `io`.
  size_t size() const { return items_.size(); }

 private:
  void Schedule() {
    if (is_scheduled_ || items_.empty()) return;
    is_scheduled_ = true;
    boost::asio::post(io_, [this] { HandleNext(); });
  }

  void HandleNext() {
    is_scheduled_ = false;
    T item = std::move(items_.front());
    items_.pop_front();
    // Scheduled first, as handling the item may push others.
    Schedule();
    handler_(std::move(item));
  }

  boost::asio::io_context& io_;
  const size_t capacity_;
  std::function<void(T)> handler_;
  std::deque<T> items_;
  bool is_scheduled_ = false;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_TURN_QUEUE_H_

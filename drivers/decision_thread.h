#ifndef APPLEHALL_DRIVERS_DECISION_THREAD_H_
#define APPLEHALL_DRIVERS_DECISION_THREAD_H_

#include <atomic>
#include <boost/fiber/buffered_channel.hpp>
#include <functional>
#include <thread>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "node/node.h"

namespace applehall {

// Runs one Node on a thread of its own, with Boost.Fiber: one fiber handles
// events from a bounded channel, another sends the ticks.
class DecisionThread {
 public:
  using ActionSink = std::function<void(Action action)>;
  using Query = std::function<void(const Node& node)>;

  // `sink` runs on the decision thread and must not block.
  DecisionThread(NodeSettings settings, ActionSink sink);
  ~DecisionThread();

  // Throws std::exception if the node or the thread cannot be made. Thread: the
  // owner's.
  void Start();
  void Stop();

  // Queues an event. Returns false, and drops the event, if the channel is
  // full. Thread-safe.
  bool TryPush(Event event);
  // Runs `query` on the decision thread, between events. Returns false if the
  // channel is full. Thread-safe.
  bool TryQuery(Query query);

  // State of the node as last published for other threads. Thread-safe.
  LogOffset control_offset() const { return control_offset_; }
  bool wants_control_reads() const { return wants_control_reads_; }
  bool is_ready() const { return is_ready_; }
  Duration cpu_time() const { return Duration(cpu_time_us_); }

 private:
  using Work = std::variant<Event, Query>;

  void Run();
  // An exception of an event or a query is recorded as a background failure;
  // later ones are handled.
  void HandleWork(Work work, std::vector<Action>& actions);
  void SendTicks();
  void Publish();

  NodeSettings settings_;
  ActionSink sink_;
  SystemClock clock_;
  boost::fibers::buffered_channel<Work> inbox_;
  std::thread thread_;
  std::atomic<LogOffset> control_offset_{1};
  std::atomic<bool> wants_control_reads_{true};
  std::atomic<bool> is_ready_{false};
  std::atomic<int64_t> cpu_time_us_{0};
  std::unique_ptr<Node> node_;  // Used only on thread_ once it runs.
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_DECISION_THREAD_H_

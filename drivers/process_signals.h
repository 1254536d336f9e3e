#ifndef APPLEHALL_DRIVERS_PROCESS_SIGNALS_H_
#define APPLEHALL_DRIVERS_PROCESS_SIGNALS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>

namespace applehall {

// Blocks the signals that a daemon handles or ignores, so that none ends it by
// its default action before ProcessSignals exists. Safe before the constructors
// of the process and of its libraries: it makes one system call. Thread: the
// main one, before any other has started.
void HoldSignals();

// Ignores the signals that have no meaning for a daemon and whose default
// action ends it, and releases them. Stop signals and SIGHUP stay held. Signals
// of faults keep their default action, and real-time signals belong to the
// libraries that allocate them. Thread: as for HoldSignals().
void IgnoreUnusedSignals();

// The stop signals (SIGTERM, SIGINT, SIGQUIT) and SIGHUP of a daemon.
class ProcessSignals {
 public:
  using Handler = std::function<void()>;

  // Makes the handlers; signals stay held until Start().
  explicit ProcessSignals(boost::asio::io_context& io);
  // From now on the signals are ignored: the process is about to end.
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  // Releases the signals, also those that the parent process had blocked. From
  // now on `on_stop` is called for each stop signal and `on_hangup` for
  // each SIGHUP, on the thread of the io_context. Requires: called once.
  // Thread: the main one.
  void Start(Handler on_stop, Handler on_hangup);

 private:
  void Await();

  std::optional<boost::asio::signal_set> signals_;
  Handler on_stop_;
  Handler on_hangup_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_PROCESS_SIGNALS_H_

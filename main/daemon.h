#ifndef APPLEHALL_MAIN_DAEMON_H_
#define APPLEHALL_MAIN_DAEMON_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "drivers/backend_client.h"
#include "drivers/caller_session.h"
#include "drivers/decision_thread.h"
#include "drivers/http_server.h"
#include "drivers/io_thread.h"
#include "drivers/platform_client.h"
#include "drivers/process_signals.h"
#include "drivers/websocket_link.h"
#include "main/daemon_settings.h"

namespace applehall {

// One applehall process: a Node with one thread each for callers, operators,
// backend servers, peers, platform, decisions and log lines.
class Daemon {
 public:
  // Binds all addresses, or goes on trying while the process runs (PortBinder);
  // throws std::exception if one can never be bound.
  explicit Daemon(DaemonSettings settings);
  ~Daemon();

  // Runs until a drain has finished. Thread: the main one.
  void Run();
  // Starts a drain, as SIGTERM does; has no effect if one has started already.
  // Thread-safe.
  void Drain();
  // The bound ports. Thread-safe.
  uint16_t callers_port() const { return caller_server_->port(); }
  uint16_t operators_port() const { return operator_server_->port(); }
  uint16_t peers_port() const { return peers_->port(); }

 private:
  using Task = boost::asio::awaitable<void>;

  // Main thread.
  // Starts to act as the host once callers can connect.
  void ServeWhenBound();
  void HandleStopSignal();

  // Callers' thread.
  Task HandleCaller(HttpExchange& exchange);
  Task ListModels(HttpExchange& exchange);
  Task ServeRequest(HttpExchange& exchange);
  Task SendResponse(HttpExchange& exchange, CallerSession& session,
                    const std::string& request_id);
  // Operators' thread.
  Task HandleOperator(HttpExchange& exchange);
  // Runs a query on the decision thread and returns its result; empty if the
  // thread is overloaded.
  boost::asio::awaitable<std::string> RunQuery(
      IoThread& thread, const std::function<std::string(const Node&)>& query);

  // Decision thread.
  void Perform(Action action);
  void Execute(const DispatchRequest& action);
  void Execute(const CancelAttempt& action);
  void Execute(const RecallUnsent& action);
  void Execute(const RefuseRequest& action);
  void Execute(const SendOrder& action);
  void Execute(const ProbeServer& action);
  void Execute(const AppendRecord& action);
  void Execute(const SendPeer& action);
  void Execute(const SendPeers& action);
  void Execute(const Drained& action);
  // No-ops: only fleets have a lease; this platform has engine groups.
  void Execute(const ReadLease&) {}
  void Execute(const AppendLease&) {}
  void Execute(const AppendPredecessorsEnded&) {}
  void Execute(const SetStorePolling&) {}
  void Execute(const ApplyStoreUpdates&) {}
  void Execute(const ReadQuarantine&) {}
  void Execute(const ReadVersionRecord&) {}
  void Execute(const AppendVersionRecord&) {}
  void Execute(const AppendQuarantine&) {}

  std::shared_ptr<CallerSession> FindSession(RequestHandle handle);
  void WriteAddresses() const;
  std::string MetricsText(const Node& node) const;

  DaemonSettings settings_;
  DecisionThread decisions_;
  IoThread callers_;
  IoThread operators_;
  BackendClient backends_;
  PlatformClient platform_;
  std::unique_ptr<WebsocketLink> peers_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  boost::asio::io_context main_io_;
  boost::asio::steady_timer bound_check_{main_io_};
  bool is_serving_ = false;  // Main thread.
  // Ends after all threads, to which a signal could be delivered.
  std::optional<ProcessSignals> signals_;
  std::atomic<uint64_t> next_handle_{1};
  std::mutex sessions_mutex_;
  std::map<RequestHandle, std::shared_ptr<CallerSession>> sessions_;
  Random id_random_;  // Callers' thread.
};

}  // namespace applehall

#endif  // APPLEHALL_MAIN_DAEMON_H_

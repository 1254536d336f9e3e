#ifndef APPLEHALL_DRIVERS_BACKEND_CLIENT_H_
#define APPLEHALL_DRIVERS_BACKEND_CLIENT_H_

#include <map>
#include <memory>
#include <string>

#include "drivers/caller_session.h"
#include "drivers/decision_thread.h"
#include "drivers/http_client.h"
#include "drivers/io_thread.h"

namespace applehall {

// Sends requests and orders to backend servers and streams the responses to the
// callers.
class BackendClient {
 public:
  // `shared_key` signs forwarded requests, so that other data centres accept
  // them as forwarded.
  BackendClient(std::string data_centre, std::string shared_key,
                DecisionThread& decisions);

  // Thread: the owner's.
  void Start();
  void Stop();
  // Thread-safe. Results are reported to `decisions` as events.
  void Dispatch(const DispatchRequest& action,
                std::shared_ptr<CallerSession> session);
  void Cancel(const CancelAttempt& action);
  void Recall(const RecallUnsent& action);
  void SendEngineOrder(const SendOrder& action);
  void Probe(const ProbeServer& action);

 private:
  using Task = boost::asio::awaitable<void>;

  Task RunAttempt(DispatchRequest action, std::shared_ptr<HttpStream> stream,
                  std::shared_ptr<CallerSession> session);
  boost::asio::awaitable<AttemptEnded> ExecuteAttempt(
      const DispatchRequest& action, HttpStream& stream,
      CallerSession& session);
  boost::asio::awaitable<AttemptEnded> ForwardResponse(
      const DispatchRequest& action, HttpStream& stream,
      CallerSession& session);
  boost::asio::awaitable<AttemptEnded> ForwardStream(
      const DispatchRequest& action, HttpStream& stream,
      CallerSession& session);
  Task RunOrder(SendOrder action);
  Task ProbeAndReport(ProbeServer action);
  Task Deliver(const Event& event);
  HttpCall MakeCall(const DispatchRequest& action,
                    const CallerSession& session) const;

  std::string data_centre_;
  std::string shared_key_;
  DecisionThread& decisions_;
  SystemClock clock_;
  IoThread thread_;
  HttpClient client_;
  struct OpenAttempt {
    std::shared_ptr<HttpStream> stream;
    std::string backend;
  };
  // Running attempts, for Cancel() and Recall(). Thread: the backend's.
  std::map<std::pair<RequestHandle, int>, OpenAttempt> attempts_;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_BACKEND_CLIENT_H_

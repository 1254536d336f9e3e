#include "drivers/backend_client.h"

#include <absl/strings/str_cat.h>

#include <boost/asio.hpp>

#include "core/event_log.h"
#include "drivers/background_task.h"
#include "drivers/event_stream.h"
#include "drivers/forward_proof.h"
#include "drivers/server_probe.h"
#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxQueuedActions = 32768;
constexpr Duration kOrderTimeout = std::chrono::seconds(3);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
// Max time between two chunks of a response; after it the attempt is broken.
constexpr Duration kStreamIdleTimeout = std::chrono::seconds(15);
constexpr Duration kFullChannelWait = std::chrono::milliseconds(1);
// Max body of a response that is passed on as a whole.
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;

// Maps an error response of a backend server to the result of the attempt.
AttemptResult RefusalResult(const HttpResponse& response) {
  const absl::StatusOr<Json> body = ParseJson(response.body);
  if (!body.ok() || !body->is_object()) return AttemptResult::kBroken;
  const Json& error = body->contains("error") ? (*body)["error"] : *body;
  if (FieldOr<std::string>(error, "verdict", "") != "not_run") {
    return AttemptResult::kBroken;
  }
  const std::string reason = FieldOr<std::string>(error, "reason", "");
  if (reason == "model_absent") return AttemptResult::kModelAbsent;
  if (reason == "full") return AttemptResult::kFull;
  return AttemptResult::kRefused;
}

bool MayBeRefusal(BackendKind kind, int status) {
  if (kind == BackendKind::kService) return false;
  return status == 404 || status == 409 || status == 429 || status >= 500;
}

// Returns the body with its model replaced by the one that the rule chose.
std::string ReplaceModel(const std::string& body, const std::string& model) {
  absl::StatusOr<Json> json = ParseJson(body);
  if (!json.ok() || !json->is_object()) return body;
  if (FieldOr<std::string>(*json, "model", "") == model) return body;
  (*json)["model"] = model;
  return json->dump();
}

Json OrderBody(const EngineOrder& order) { return order.ToJson(); }

}  // namespace

BackendClient::BackendClient(std::string data_centre, std::string shared_key,
                             DecisionThread& decisions)
    : data_centre_(std::move(data_centre)),
      shared_key_(std::move(shared_key)),
      decisions_(decisions),
      thread_(kMaxQueuedActions),
      client_(thread_.io()) {}

void BackendClient::Start() { thread_.Start(); }
void BackendClient::Stop() { thread_.Stop(); }

asio::awaitable<void> BackendClient::Deliver(const Event& event) {
  while (!decisions_.TryPush(event)) {
    co_await Sleep(thread_.io(), kFullChannelWait);
  }
}

void BackendClient::Dispatch(const DispatchRequest& action,
                             std::shared_ptr<CallerSession> session) {
  const bool is_posted = thread_.TryPost([this, action, session] {
    // Registered before its coroutine starts: Cancel() may run first.
    HttpCall call = MakeCall(action, *session);
    call.is_wanted = [session] { return !session->HasCallerLeft(); };
    const std::shared_ptr<HttpStream> stream = client_.Prepare(call);
    attempts_[{action.handle, action.attempt}] = {stream, action.backend};
    StartTask(thread_.io(), "attempt", RunAttempt(action, stream, session),
              [this, action, stream] {
                attempts_.erase({action.handle, action.attempt});
                const bool is_sent = stream->sent_at().has_value();
                stream->Cancel();
                (void)decisions_.TryPush(MakeFailedAttemptEnd(action, is_sent));
              });
  });
  if (is_posted) return;
  (void)decisions_.TryPush(MakeAttemptEnd(action, AttemptResult::kNotSent,
                                          "this host's queue is full"));
}

void BackendClient::Cancel(const CancelAttempt& action) {
  (void)thread_.TryPost([this, action] {
    const auto it = attempts_.find({action.handle, action.attempt});
    if (it == attempts_.end()) return;
    HttpStream& stream = *it->second.stream;
    if (!action.only_unsent || !stream.sent_at()) stream.Cancel();
  });
}

void BackendClient::Recall(const RecallUnsent& action) {
  const bool is_posted = thread_.TryPost([this, backend = action.backend] {
    for (auto& [key, open] : attempts_) {
      if (open.backend == backend && !open.stream->sent_at()) {
        open.stream->Cancel();
      }
    }
  });
  if (is_posted) return;
  LogEvent(LogLevel::kWarning, "recall_dropped")
      .With("backend", action.backend)
      .With("reason", "the queue is full");
}

HttpCall BackendClient::MakeCall(const DispatchRequest& action,
                                 const CallerSession& session) const {
  HttpCall call;
  const absl::StatusOr<Address> address = ParseAddress(action.address);
  if (address.ok()) call.address = *address;
  call.request = session.request();
  call.request.headers.erase("connection");
  call.request.headers.erase("host");
  call.request.headers.erase("content-length");
  call.request.headers.erase("transfer-encoding");
  call.request.headers["applehall-data-centre"] = data_centre_;
  call.request.headers["applehall-priority"] =
      action.is_background ? "background" : "urgent";
  call.connect_timeout = kConnectTimeout;
  const Duration time_left = action.deadline - clock_.Now();
  call.header_timeout =
      std::max<Duration>(time_left, std::chrono::milliseconds(1));
  // An idle connection may already be closed by the peer, which shows only when
  // the request on it is lost.
  call.fresh_connection = action.is_claimed;
  if (action.resume) {
    call.request.headers["applehall-resume-from"] =
        std::to_string(session.delivered_events);
  }
  if (action.kind == BackendKind::kEngine) {
    call.request.body = ReplaceModel(call.request.body, action.model);
  } else if (action.kind == BackendKind::kService) {
    // The service receives "/services/NAME/rest" as "/rest".
    const auto name_end = call.request.target.find('/', 10);
    call.request.target = name_end == std::string::npos
                              ? "/"
                              : call.request.target.substr(name_end);
  } else {
    const std::string id = session.request().Header("x-request-id");
    call.request.headers["applehall-forwarded"] = ForwardProof(shared_key_, id);
    call.request.headers["applehall-deadline-ms"] =
        std::to_string(std::max<int64_t>(1, ToMillis(time_left)));
  }
  return call;
}

asio::awaitable<void> BackendClient::RunAttempt(
    DispatchRequest action, std::shared_ptr<HttpStream> stream,
    std::shared_ptr<CallerSession> session) {
  const TimePoint dispatched_at = clock_.Now();
  AttemptEnded result = co_await ExecuteAttempt(action, *stream, *session);
  if (stream->sent_at()) result.send_delay = *stream->sent_at() - dispatched_at;
  const Event ended = std::move(result);
  attempts_.erase({action.handle, action.attempt});
  co_await Deliver(ended);
}

asio::awaitable<AttemptEnded> BackendClient::ExecuteAttempt(
    const DispatchRequest& action, HttpStream& stream, CallerSession& session) {
  co_await stream.Start();
  if (stream.is_withheld()) {
    LogEvent(LogLevel::kInfo, "send_withheld")
        .With("request", session.request().Header("x-request-id"))
        .With("server", action.backend)
        .With("attempt", action.attempt)
        .With("reason", "the caller closed");
    const Event left = CallerDisconnected{action.handle, action.attempt};
    co_await Deliver(left);
  }
  if (stream.state() == SendState::kNotSent) {
    co_return MakeAttemptEnd(action, AttemptResult::kNotSent, stream.error());
  }
  if (stream.state() == SendState::kMayBeSent) {
    co_return MakeBrokenAttemptEnd(action, stream.error(),
                                   stream.is_closed_by_peer());
  }
  const auto type = stream.head().headers.find("content-type");
  const bool is_stream = type != stream.head().headers.end() &&
                         type->second.starts_with("text/event-stream");
  if (is_stream) co_return co_await ForwardStream(action, stream, session);
  co_return co_await ForwardResponse(action, stream, session);
}

asio::awaitable<AttemptEnded> BackendClient::ForwardResponse(
    const DispatchRequest& action, HttpStream& stream, CallerSession& session) {
  HttpResponse response = stream.head();
  BodyLimits limits;
  limits.max_bytes = kMaxBodyBytes;
  limits.read_by = action.deadline;
  const std::string error = co_await ReadBody(stream, limits, response.body);
  if (!error.empty()) {
    co_return MakeBrokenAttemptEnd(action, error, stream.is_closed_by_peer());
  }
  if (MayBeRefusal(action.kind, response.status)) {
    co_return MakeAttemptEnd(action, RefusalResult(response),
                             absl::StrCat("status ", response.status));
  }
  response.headers.erase("content-length");
  response.headers.erase("connection");
  response.headers.erase("transfer-encoding");
  ReplyPart part;
  part.kind = ReplyPart::Kind::kWhole;
  part.response = std::move(response);
  part.rule = action.rule;
  session.Push(std::move(part));
  co_return MakeAttemptEnd(action, AttemptResult::kCompleted, "");
}

asio::awaitable<AttemptEnded> BackendClient::ForwardStream(
    const DispatchRequest& action, HttpStream& stream, CallerSession& session) {
  if (!session.has_begun) {
    session.has_begun = true;
    ReplyPart begin;
    begin.kind = ReplyPart::Kind::kBegin;
    begin.response.status = stream.head().status;
    begin.rule = action.rule;
    session.Push(std::move(begin));
    const Event started = AttemptStarted{action.handle};
    co_await Deliver(started);
  }
  const TimePoint started_at = clock_.Now();
  EventSplitter splitter;
  while (!stream.is_complete()) {
    co_await session.AwaitFreeSpace(thread_.io());
    if (session.is_closed()) {
      stream.Cancel();
      co_return MakeAttemptEnd(action, AttemptResult::kBroken,
                               "the caller disconnected");
    }
    const std::string piece = co_await stream.ReadSome(kStreamIdleTimeout);
    std::string events = splitter.Add(piece);
    if (splitter.is_too_long()) {
      stream.Cancel();
      AttemptEnded broken = MakeAttemptEnd(action, AttemptResult::kBroken,
                                           "an event does not end");
      broken.has_delivered = true;
      co_return broken;
    }
    if (!events.empty()) {
      session.delivered_events += CountEvents(events);
      session.PushChunk(std::move(events));
    }
    if (stream.is_complete() || stream.error().empty()) continue;
    AttemptEnded broken = MakeBrokenAttemptEnd(action, stream.error(),
                                               stream.is_closed_by_peer());
    broken.answered_for = clock_.Now() - started_at;
    broken.has_delivered = true;
    broken.can_resume = stream.head().headers.contains("applehall-can-resume");
    co_return broken;
  }
  if (splitter.has_partial()) {
    AttemptEnded broken =
        MakeBrokenAttemptEnd(action, "the stream ended within an event",
                             stream.ends_with_connection());
    broken.answered_for = clock_.Now() - started_at;
    broken.has_delivered = true;
    broken.can_resume = stream.head().headers.contains("applehall-can-resume");
    co_return broken;
  }
  session.PushEnd();
  co_return MakeAttemptEnd(action, AttemptResult::kCompleted, "");
}

void BackendClient::Probe(const ProbeServer& action) {
  // If the queue is full, the server's state is reported as unknown.
  const bool is_posted = thread_.TryPost([this, action] {
    StartTask(thread_.io(), "probe_server", ProbeAndReport(action),
              [this, action] {
                (void)decisions_.TryPush(ServerProbed{action.server});
              });
  });
  if (is_posted) return;
  (void)decisions_.TryPush(ServerProbed{action.server});
}

asio::awaitable<void> BackendClient::ProbeAndReport(ProbeServer action) {
  const Event probed = co_await RunProbe(thread_.io(), action);
  co_await Deliver(probed);
}

void BackendClient::SendEngineOrder(const SendOrder& action) {
  // If the queue is full, the order is dropped, as if lost in transit; the
  // ledger keeps its reservation until the loss is proven.
  (void)thread_.TryPost([this, action] {
    StartTask(thread_.io(), "send_order", RunOrder(action));
  });
}

asio::awaitable<void> BackendClient::RunOrder(SendOrder action) {
  const TimePoint requested_at = clock_.Now();
  // Guards against a process that was paused between decision and sending:
  // another host may have taken over ownership meanwhile.
  if (requested_at > action.order.send_by) co_return;
  HttpCall call;
  const absl::StatusOr<Address> address = ParseAddress(action.address);
  if (!address.ok()) co_return;
  call.address = *address;
  call.request.method = "POST";
  call.request.target = "/orders";
  call.request.headers["applehall-data-centre"] = data_centre_;
  call.request.body = DumpJson(OrderBody(action.order));
  call.connect_timeout = kConnectTimeout;
  call.header_timeout = kOrderTimeout;
  const HttpResult result = co_await client_.Fetch(call);
  if (!result.is_ok()) co_return;
  const absl::StatusOr<Json> body = ParseJson(result.response.body);
  if (!body.ok() || !body->is_object()) co_return;
  InventoryReceived answered;
  answered.inventory = Inventory::FromJson(*body, clock_.Now());
  answered.requested_at = requested_at;
  const Event event = std::move(answered);
  co_await Deliver(event);
}

}  // namespace applehall

#include "drivers/backend_client.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/hmac.h>

#include <boost/asio.hpp>

#include "drivers/event_stream.h"
#include "drivers/server_probe.h"
#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr size_t kMostQueuedActions = 32768;
constexpr Duration kOrderTimeout = std::chrono::seconds(3);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
// Between pieces of a stream; past it the engine counts as broken.
constexpr Duration kStreamSilence = std::chrono::seconds(15);
constexpr Duration kFullChannelWait = std::chrono::milliseconds(1);

// What the backend server says about a request that it did not answer.
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

// The body with the model that the rule chose instead of the one asked for.
std::string BodyFor(const std::string& body, const std::string& model) {
  absl::StatusOr<Json> json = ParseJson(body);
  if (!json.ok() || !json->is_object()) return body;
  if (FieldOr<std::string>(*json, "model", "") == model) return body;
  (*json)["model"] = model;
  return json->dump();
}

Json OrderBody(const EngineOrder& order) { return order.ToJson(); }

}  // namespace

std::string ForwardProof(const std::string& shared_key,
                         const std::string& request_id) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
       reinterpret_cast<const unsigned char*>(request_id.data()),
       request_id.size(), digest, &size);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest), size));
}

BackendClient::BackendClient(std::string data_centre, std::string shared_key,
                             DecisionThread& decisions)
    : data_centre_(std::move(data_centre)),
      shared_key_(std::move(shared_key)),
      decisions_(decisions),
      thread_(kMostQueuedActions),
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
    // Known before its coroutine begins: a cancel may come first.
    const std::shared_ptr<HttpStream> stream =
        client_.Prepare(MakeCall(action, *session));
    open_[{action.handle, action.attempt}] = stream;
    asio::co_spawn(thread_.io(), RunAttempt(action, stream, session),
                   asio::detached);
  });
  if (is_posted) return;
  (void)decisions_.TryPush(MakeAttemptEnd(action, AttemptResult::kNotSent,
                                          "this host's queue is full"));
}

void BackendClient::Cancel(RequestHandle handle, int attempt) {
  (void)thread_.TryPost([this, handle, attempt] {
    const auto it = open_.find({handle, attempt});
    if (it != open_.end()) it->second->Cancel();
  });
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
  const Duration left = action.deadline - clock_.Now();
  call.header_timeout = std::max<Duration>(left, std::chrono::milliseconds(1));
  // Whether a kept connection was already closed by the other side is not
  // known before the request is lost on it.
  call.fresh_connection = action.is_claimed;
  if (action.resume) {
    call.request.headers["applehall-resume-from"] =
        std::to_string(session.delivered_events);
  }
  if (action.kind == BackendKind::kEngine) {
    call.request.body = BodyFor(call.request.body, action.model);
  } else if (action.kind == BackendKind::kService) {
    // "/services/NAME/rest" is "/rest" to the service.
    const auto name_end = call.request.target.find('/', 10);
    call.request.target = name_end == std::string::npos
                              ? "/"
                              : call.request.target.substr(name_end);
  } else {
    const std::string id = session.request().Header("x-request-id");
    call.request.headers["applehall-forwarded"] = ForwardProof(shared_key_, id);
    call.request.headers["applehall-deadline-ms"] =
        std::to_string(std::max<int64_t>(1, ToMillis(left)));
  }
  return call;
}

asio::awaitable<void> BackendClient::RunAttempt(
    DispatchRequest action, std::shared_ptr<HttpStream> stream,
    std::shared_ptr<CallerSession> session) {
  const Event ended = co_await Attempt(action, *stream, *session);
  open_.erase({action.handle, action.attempt});
  co_await Deliver(ended);
}

asio::awaitable<AttemptEnded> BackendClient::Attempt(
    const DispatchRequest& action, HttpStream& stream, CallerSession& session) {
  if (session.is_closed()) {
    co_return MakeAttemptEnd(action, AttemptResult::kNotSent,
                             "the caller has left");
  }
  co_await stream.Start();
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
  if (is_stream) co_return co_await PassStream(action, stream, session);
  co_return co_await PassWhole(action, stream, session);
}

asio::awaitable<AttemptEnded> BackendClient::PassWhole(
    const DispatchRequest& action, HttpStream& stream, CallerSession& session) {
  HttpResponse response = stream.head();
  while (!stream.is_complete()) {
    const std::string piece = co_await stream.ReadSome(kStreamSilence);
    response.body += piece;
    if (piece.empty() && !stream.is_complete()) {
      co_return MakeBrokenAttemptEnd(action, stream.error(),
                                     stream.is_closed_by_peer());
    }
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

asio::awaitable<AttemptEnded> BackendClient::PassStream(
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
  const TimePoint begun_at = clock_.Now();
  std::string partial;
  while (!stream.is_complete()) {
    co_await session.AwaitFreeSpace(thread_.io());
    if (session.is_closed()) {
      stream.Cancel();
      co_return MakeAttemptEnd(action, AttemptResult::kBroken,
                               "the caller closed");
    }
    partial += co_await stream.ReadSome(kStreamSilence);
    std::string events = ExtractCompleteEvents(partial);
    if (!events.empty()) {
      session.delivered_events += CountEvents(events);
      session.PushChunk(std::move(events));
    }
    if (stream.is_complete() || stream.error().empty()) continue;
    AttemptEnded broken = MakeBrokenAttemptEnd(action, stream.error(),
                                               stream.is_closed_by_peer());
    broken.answered_for = clock_.Now() - begun_at;
    broken.has_delivered = true;
    broken.can_resume = stream.head().headers.contains("applehall-can-resume");
    co_return broken;
  }
  if (!partial.empty()) session.PushChunk(std::move(partial));
  session.PushEnd();
  co_return MakeAttemptEnd(action, AttemptResult::kCompleted, "");
}

void BackendClient::Probe(const ProbeServer& action) {
  // A probe that does not fit into the queue leaves the server's state unknown.
  const bool is_posted = thread_.TryPost([this, action] {
    asio::co_spawn(thread_.io(), RunProbeOf(action), asio::detached);
  });
  if (is_posted) return;
  (void)decisions_.TryPush(ServerProbed{action.server});
}

asio::awaitable<void> BackendClient::RunProbeOf(ProbeServer action) {
  const Event probed = co_await RunProbe(thread_.io(), action);
  co_await Deliver(probed);
}

void BackendClient::SendEngineOrder(const SendOrder& action) {
  // An order that does not fit into the queue is lost, like one on the wire;
  // the ledger keeps its reservation until that is proven.
  (void)thread_.TryPost([this, action] {
    asio::co_spawn(thread_.io(), RunOrder(action), asio::detached);
  });
}

asio::awaitable<void> BackendClient::RunOrder(SendOrder action) {
  const TimePoint asked_at = clock_.Now();
  // A process that was paused between decision and sending must not act on
  // what it believed then: its ownership may be another's by now.
  if (asked_at > action.order.send_by) co_return;
  HttpCall call;
  const absl::StatusOr<Address> address = ParseAddress(action.address);
  if (!address.ok()) co_return;
  call.address = *address;
  call.request.method = "POST";
  call.request.target = "/orders";
  call.request.headers["applehall-data-centre"] = data_centre_;
  call.request.body = OrderBody(action.order).dump();
  call.connect_timeout = kConnectTimeout;
  call.header_timeout = kOrderTimeout;
  const HttpResult result = co_await client_.Fetch(call);
  if (!result.is_ok()) co_return;
  const absl::StatusOr<Json> body = ParseJson(result.response.body);
  if (!body.ok() || !body->is_object()) co_return;
  InventoryReceived answered;
  answered.inventory = Inventory::FromJson(*body, clock_.Now());
  answered.asked_at = asked_at;
  const Event event = std::move(answered);
  co_await Deliver(event);
}

}  // namespace applehall

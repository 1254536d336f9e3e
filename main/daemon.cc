#include "main/daemon.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/asio.hpp>
#include <fstream>

#include "core/hash.h"
#include "core/request_fingerprint.h"
#include "core/uuid.h"
#include "drivers/background_task.h"
#include "drivers/event_loop.h"
#include "drivers/forward_proof.h"
#include "drivers/http_query.h"
#include "drivers/process_signals.h"
#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxQueued = 32768;
constexpr size_t kPrefixBytes = 256;
constexpr size_t kMaxIdLength = 128;
constexpr Duration kBoundCheckInterval = std::chrono::milliseconds(25);
constexpr Duration kFullChannelWait = std::chrono::milliseconds(1);
constexpr Duration kQueryTimeout = std::chrono::seconds(5);
constexpr char kServicesPath[] = "/services/";
constexpr char kAnonymous[] = "anonymous";

Json ErrorJson(const std::string& rule, const Refusal& refusal) {
  Json error{{"verdict", VerdictName(refusal.verdict)},
             {"reason", RefusalReasonName(refusal.reason)},
             {"message", refusal.detail},
             {"rule", rule}};
  if (refusal.retry_after > Duration::zero()) {
    error["retry_after_ms"] = ToMillis(refusal.retry_after);
  }
  return Json{{"error", error}};
}

HttpResponse RefusalResponse(const std::string& rule, const Refusal& refusal) {
  HttpResponse response = HttpResponse::JsonText(
      HttpStatus(refusal), DumpJson(ErrorJson(rule, refusal)));
  if (refusal.retry_after > Duration::zero()) {
    const int64_t millis = ToMillis(refusal.retry_after);
    response.headers["retry-after"] = std::to_string((millis + 999) / 1000);
  }
  return response;
}

Refusal BadRequest(std::string detail) {
  return {Verdict::kNotRun, RefusalReason::kBadRequest, std::move(detail),
          Duration{0}};
}

Refusal Overloaded() {
  return {Verdict::kNotRun, RefusalReason::kQueueFull,
          "this host is overloaded", std::chrono::seconds(1)};
}

// Returns a hash of the start of the prompt, by which requests that share a
// cached prefix are recognised; 0 without a prompt.
uint64_t PrefixHash(const Json& body) {
  std::string prompt = FieldOr<std::string>(body, "prompt", "");
  if (body.contains("messages")) prompt = DumpJson(body["messages"]);
  if (prompt.empty()) return 0;
  return StableHash(prompt.substr(0, kPrefixBytes));
}

// Reads the service or model from path and body; an error if there is none.
absl::Status ReadTarget(const HttpRequest& request, RequestArrived& event) {
  const std::string path = request.Path();
  event.facts.path = path;
  if (path.starts_with(kServicesPath)) {
    const size_t from = std::string(kServicesPath).size();
    event.facts.service = path.substr(from, path.find('/', from) - from);
    if (event.facts.service.empty()) {
      return absl::InvalidArgumentError("the path names no service");
    }
    return absl::OkStatus();
  }
  if (path != "/v1/chat/completions" && path != "/v1/completions") {
    return absl::NotFoundError("unknown path");
  }
  if (request.method != "POST") {
    return absl::InvalidArgumentError("the method must be POST");
  }
  const absl::StatusOr<Json> body = ParseJson(request.body);
  if (!body.ok() || !body->is_object()) {
    return absl::InvalidArgumentError("the body must be a JSON object");
  }
  event.facts.model = FieldOr<std::string>(*body, "model", "");
  if (event.facts.model.empty()) {
    return absl::InvalidArgumentError("the body must name a model");
  }
  event.prefix_hash = PrefixHash(*body);
  return absl::OkStatus();
}

absl::Status ReadDeadline(const HttpRequest& request, RequestArrived& event) {
  const std::string text = request.Header("applehall-deadline-ms");
  if (text.empty()) return absl::OkStatus();
  int64_t millis = 0;
  if (!absl::SimpleAtoi(text, &millis) || millis <= 0) {
    return absl::InvalidArgumentError(
        "Applehall-Deadline-Ms must be a positive integer");
  }
  event.deadline = std::chrono::milliseconds(millis);
  return absl::OkStatus();
}

std::string ModelListText(const Node& node) {
  Json list{{"object", "list"}, {"data", Json::array()}};
  for (const auto& [name, entry] : node.context().catalogue) {
    list["data"].push_back(
        {{"id", name},
         {"object", "model"},
         {"ready_replicas", node.context().view.ReadyReplicas(name)}});
  }
  return DumpJson(list);
}

std::string ErrorEvent(const std::string& rule, const Refusal& refusal) {
  return absl::StrCat("data: ", DumpJson(ErrorJson(rule, refusal)), "\n\n");
}

HttpHeaders AnswerHeaders(const std::string& request_id,
                          const std::string& rule) {
  HttpHeaders headers;
  headers["x-request-id"] = request_id;
  if (!rule.empty()) headers["applehall-rule"] = rule;
  return headers;
}

HttpHeaders StreamHeaders(const std::string& request_id,
                          const std::string& rule) {
  HttpHeaders headers = AnswerHeaders(request_id, rule);
  headers["content-type"] = "text/event-stream";
  headers["cache-control"] = "no-cache";
  return headers;
}

HttpResponse PlainText(int status, const std::string& text) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "text/plain; charset=utf-8";
  response.body = text;
  return response;
}

}  // namespace

Daemon::Daemon(DaemonSettings settings)
    : settings_(std::move(settings)),
      decisions_(settings_.node,
                 [this](Action action) { Perform(std::move(action)); }),
      callers_(kMaxQueued),
      operators_(kMaxQueued),
      backends_(settings_.node.data_centre, settings_.shared_key, decisions_),
      platform_(settings_.platform, settings_.node.data_centre, decisions_),
      id_random_(settings_.node.seed * 977 + 3) {
  WebsocketLinkSettings link;
  link.listen_ip = settings_.peers.ip;
  link.listen_port = settings_.peers.port;
  link.self = settings_.node.self.host;
  link.shared_key = settings_.shared_key;
  peers_ = std::make_unique<WebsocketLink>(
      link,
      [this](const std::string& host, const std::vector<uint8_t>& bytes) {
        std::optional<PeerMessage> message = PeerMessage::Decode(bytes);
        if (!message) return false;
        // If the channel is full, the message is dropped, as if lost in
        // transit.
        (void)decisions_.TryPush(
            PeerMessageReceived{host, *std::move(message)});
        return true;
      },
      [](const std::string& event, const std::string& host,
         const std::string& detail) {
        LogEvent(
            event == "peer_rejected" ? LogLevel::kWarning : LogLevel::kInfo,
            event)
            .With("peer", host)
            .With("detail", detail);
      });
  caller_server_ = std::make_unique<HttpServer>(
      callers_.io(), settings_.callers,
      [this](HttpExchange& exchange) { return HandleCaller(exchange); },
      settings_.caller_limits, HttpServerResources{}, "callers");
  operator_server_ = std::make_unique<HttpServer>(
      operators_.io(), settings_.operators,
      [this](HttpExchange& exchange) { return HandleOperator(exchange); },
      HttpServerLimits{}, HttpServerResources{}, "operators");
}

Daemon::~Daemon() {
  callers_.Stop();
  operators_.Stop();
  backends_.Stop();
  platform_.Stop();
  peers_->Stop();
  decisions_.Stop();
}

void Daemon::WriteAddresses() const {
  if (settings_.addresses_file.empty()) return;
  const Json addresses{
      {"host", settings_.node.self.host},
      {"data_centre", settings_.node.data_centre},
      {"incarnation", settings_.node.self.number},
      {"callers",
       absl::StrCat(settings_.callers.ip, ":", caller_server_->port())},
      {"operators",
       absl::StrCat(settings_.operators.ip, ":", operator_server_->port())},
      {"peers", absl::StrCat(settings_.peers.ip, ":", peers_->port())}};
  const std::string temporary_path = settings_.addresses_file + ".new";
  std::ofstream(temporary_path) << addresses.dump(2) << "\n";
  std::rename(temporary_path.c_str(), settings_.addresses_file.c_str());
}

void Daemon::Run() {
  callers_.Start();
  operators_.Start();
  signals_.emplace(main_io_);
  signals_->Start([this] { HandleStopSignal(); },
                  [] {
                    LogEvent(LogLevel::kInfo, "settings_kept")
                        .With("in_force", "at the next start");
                  });
  ServeWhenBound();
  const auto guard = asio::make_work_guard(main_io_);
  RunEventLoop(main_io_, "main_loop");
  // Waits until the callers' thread has sent the last responses.
  for (int i = 0; i < 200; ++i) {
    {
      const std::lock_guard<std::mutex> lock(sessions_mutex_);
      if (sessions_.empty()) break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  LogEvent(LogLevel::kInfo, "stopped");
}

// A process has the callers' address until it exits. Another one of the same
// host that acted meanwhile would count as its successor.
void Daemon::ServeWhenBound() {
  if (is_serving_) return;
  // Tried again also if a part cannot be started.
  bound_check_.expires_after(kBoundCheckInterval);
  bound_check_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ServeWhenBound();
  });
  if (!caller_server_->is_bound()) return;
  decisions_.Start();
  platform_.Start();
  backends_.Start();
  peers_->Start();
  is_serving_ = true;
  bound_check_.cancel();
  WriteAddresses();
  LogEvent(LogLevel::kInfo, "started")
      .With("data_centre", settings_.node.data_centre)
      .With("callers_port", caller_server_->port())
      .With("operators_port", operator_server_->port())
      .With("peers_port", peers_->port());
}

void Daemon::HandleStopSignal() {
  if (is_serving_) {
    Drain();
  } else {
    main_io_.stop();  // Nothing has begun that a drain would end.
  }
}

void Daemon::Drain() {
  StartDuty(main_io_, "drain", [this]() -> Task {
    while (!decisions_.TryPush(DrainRequested{})) {
      co_await Sleep(main_io_, kFullChannelWait);
    }
  });
}

std::shared_ptr<CallerSession> Daemon::FindSession(RequestHandle handle) {
  const std::lock_guard<std::mutex> lock(sessions_mutex_);
  const auto it = sessions_.find(handle);
  return it == sessions_.end() ? nullptr : it->second;
}

// ---- Decision thread ----

void Daemon::Perform(Action action) {
  std::visit([this](const auto& a) { Execute(a); }, action);
}

void Daemon::Execute(const DispatchRequest& action) {
  std::shared_ptr<CallerSession> session = FindSession(action.handle);
  // The caller has just disconnected; the event for it is still queued.
  if (!session) return;
  backends_.Dispatch(action, std::move(session));
}

void Daemon::Execute(const CancelAttempt& action) { backends_.Cancel(action); }

void Daemon::Execute(const RecallUnsent& action) { backends_.Recall(action); }

void Daemon::Execute(const RefuseRequest& action) {
  const std::shared_ptr<CallerSession> session = FindSession(action.handle);
  if (!session) return;
  session->PushRefusal(action.refusal, action.rule);
}

void Daemon::Execute(const SendOrder& action) {
  backends_.SendEngineOrder(action);
}
void Daemon::Execute(const ProbeServer& action) { backends_.Probe(action); }
void Daemon::Execute(const AppendRecord& action) { platform_.Append(action); }

void Daemon::Execute(const SendPeer& action) {
  peers_->Send(action.host, action.address, action.message.Encode());
}

void Daemon::Execute(const SendPeers& action) {
  const std::vector<uint8_t> bytes = action.message.Encode();
  for (const PeerAddress& peer : action.peers) {
    peers_->Send(peer.host, peer.address, bytes);
  }
}

void Daemon::Execute(const Drained&) {
  asio::post(main_io_, [this] { main_io_.stop(); });
}

// ---- Callers' thread ----

asio::awaitable<void> Daemon::HandleCaller(HttpExchange& exchange) {
  const std::string path = exchange.request().Path();
  if (path == "/v1/models" && exchange.request().method == "GET") {
    co_await ListModels(exchange);
    co_return;
  }
  co_await ServeRequest(exchange);
}

asio::awaitable<void> Daemon::ListModels(HttpExchange& exchange) {
  std::string text = co_await RunQuery(callers_, &ModelListText);
  if (text.empty()) {
    co_await exchange.Respond(RefusalResponse("", Overloaded()));
    co_return;
  }
  co_await exchange.Respond(HttpResponse::JsonText(200, std::move(text)));
}

asio::awaitable<void> Daemon::ServeRequest(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  RequestArrived event;
  event.handle = next_handle_++;
  event.request_id = request.Header("x-request-id");
  if (event.request_id.empty() || event.request_id.size() > kMaxIdLength) {
    event.request_id = MakeUuid7(SystemClock().Now(), id_random_);
  }
  event.facts.method = request.method;
  event.facts.caller = request.Header("applehall-caller");
  if (event.facts.caller.empty()) event.facts.caller = kAnonymous;
  event.facts.headers = request.headers;
  // Leaves out the Host header, which rules do not use and which changes when a
  // data centre forwards the request.
  event.fingerprint = RequestFingerprint(
      {request.method, "", request.target, event.facts.caller, request.body});
  event.idempotency_key = request.Header("idempotency-key");
  const std::string proof = request.Header("applehall-forwarded");
  event.is_forwarded =
      !proof.empty() &&
      proof == ForwardProof(settings_.shared_key, event.request_id);
  absl::Status status = ReadTarget(request, event);
  if (status.ok()) status = ReadDeadline(request, event);
  if (!status.ok()) {
    HttpResponse response =
        RefusalResponse("", BadRequest(std::string(status.message())));
    if (absl::IsNotFound(status)) response.status = 404;
    response.headers["x-request-id"] = event.request_id;
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  HttpRequest session_request = request;
  session_request.headers["x-request-id"] = event.request_id;
  const RequestHandle handle = event.handle;
  const std::string request_id = event.request_id;
  const auto session = std::make_shared<CallerSession>(
      callers_.io(), handle,
      std::make_shared<const HttpRequest>(std::move(session_request)));
  session->SetCloseProbe(exchange.PeerCloseProbe());
  {
    const std::lock_guard<std::mutex> lock(sessions_mutex_);
    sessions_[handle] = session;
  }
  exchange.SetOnPeerDisconnected([this, session, handle] {
    session->HandleDisconnect(SystemClock().Now() -
                              session->CloseAge().value_or(Duration{0}));
    (void)decisions_.TryPush(CallerDisconnected{handle});
  });
  if (decisions_.TryPush(std::move(event))) {
    co_await SendResponse(exchange, *session, request_id);
  } else {
    co_await exchange.Respond(RefusalResponse("", Overloaded()));
  }
  session->Close();
  const std::lock_guard<std::mutex> lock(sessions_mutex_);
  sessions_.erase(handle);
}

asio::awaitable<void> Daemon::SendResponse(HttpExchange& exchange,
                                           CallerSession& session,
                                           const std::string& request_id) {
  bool has_begun = false;
  bool is_ok = true;
  while (is_ok && !exchange.is_peer_disconnected()) {
    ReplyPart part = co_await session.Next();
    switch (part.kind) {
      case ReplyPart::Kind::kWhole: {
        HttpResponse response = std::move(part.response);
        for (const auto& [name, value] : AnswerHeaders(request_id, part.rule)) {
          response.headers[name] = value;
        }
        co_await exchange.Respond(std::move(response));
        co_return;
      }
      case ReplyPart::Kind::kBegin:
        has_begun = true;
        is_ok = co_await exchange.BeginStream(
            part.response.status, StreamHeaders(request_id, part.rule));
        break;
      case ReplyPart::Kind::kChunk:
        is_ok = co_await exchange.Write(std::move(part.data));
        break;
      case ReplyPart::Kind::kEnd:
        co_await exchange.EndStream();
        co_return;
      case ReplyPart::Kind::kRefusal:
        if (exchange.is_peer_disconnected()) co_return;
        if (has_begun) {
          // The head has been sent: an error event and the missing end of the
          // stream show the caller that its response is incomplete.
          co_await exchange.Write(ErrorEvent(part.rule, part.refusal));
          exchange.Abort();
          co_return;
        }
        HttpResponse response = RefusalResponse(part.rule, part.refusal);
        for (const auto& [name, value] : AnswerHeaders(request_id, part.rule)) {
          response.headers[name] = value;
        }
        co_await exchange.Respond(std::move(response));
        co_return;
    }
  }
  if (!exchange.is_peer_disconnected()) {
    (void)decisions_.TryPush(CallerDisconnected{session.handle()});
  }
}

// ---- Operators' thread ----

asio::awaitable<std::string> Daemon::RunQuery(
    IoThread& thread, const std::function<std::string(const Node&)>& query) {
  struct Answer {
    explicit Answer(asio::io_context& io) : ready(io) {}
    asio::steady_timer ready;
    std::string text;
  };
  const auto answer = std::make_shared<Answer>(thread.io());
  answer->ready.expires_after(kQueryTimeout);
  const bool is_queued =
      decisions_.TryQuery([answer, query, &thread](const Node& node) {
        std::string text = query(node);
        asio::post(thread.io(), [answer, text = std::move(text)]() mutable {
          answer->text = std::move(text);
          answer->ready.cancel();
        });
      });
  if (!is_queued) co_return std::string();
  co_await answer->ready.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return answer->text;
}

std::string Daemon::MetricsText(const Node& node) const {
  std::string text = node.MetricsText();
  for (const auto& [name, value] : peers_->Counters()) {
    absl::StrAppend(&text, "applehall_peer_", name, " ", value, "\n");
  }
  absl::StrAppend(
      &text, "applehall_decision_cpu_seconds ",
      ToSeconds(decisions_.cpu_time()), "\n", "applehall_open_requests ",
      node.flow().open_requests(), "\napplehall_refused_connections ",
      caller_server_->refused_connections(),
      "\napplehall_log_lines_dropped_total ", DroppedLogLines(),
      "\napplehall_background_failures_total ", BackgroundFailures(), "\n");
  const std::pair<const char*, bool> listeners[] = {
      {"callers", caller_server_->is_bound()},
      {"operators", operator_server_->is_bound()},
      {"peers", peers_->is_bound()}};
  for (const auto& [listener, is_bound] : listeners) {
    absl::StrAppend(&text, "applehall_listener_bound{listener=\"", listener,
                    "\"} ", is_bound ? 1 : 0, "\n");
  }
  return text;
}

asio::awaitable<void> Daemon::HandleOperator(HttpExchange& exchange) {
  const std::string path = exchange.request().Path();
  if (path == "/healthz") {
    co_await exchange.Respond(PlainText(200, "ok\n"));
    co_return;
  }
  if (path == "/readyz") {
    const bool is_ready = decisions_.is_ready() && caller_server_->is_bound();
    HttpResponse answer =
        is_ready ? PlainText(200, "ready\n") : PlainText(503, "not ready\n");
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  std::function<std::string(const Node&)> query;
  bool is_json = true;
  if (path == "/metrics") {
    is_json = false;
    query = [this](const Node& node) { return MetricsText(node); };
  } else if (path == "/state") {
    query = [](const Node& node) { return DumpJson(node.StateDump(), 2); };
  } else if (path == "/decisions") {
    const absl::StatusOr<HttpQuery> parameters =
        HttpQuery::Parse(exchange.request());
    if (!parameters.ok()) {
      HttpResponse answer =
          PlainText(400, absl::StrCat(parameters.status().message(), "\n"));
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    query = [request = parameters->Value("request")](const Node& node) {
      return DumpJson(node.Decisions(request), 2);
    };
  } else {
    co_await exchange.Respond(PlainText(404, "unknown path\n"));
    co_return;
  }
  std::string text = co_await RunQuery(operators_, query);
  if (text.empty()) {
    co_await exchange.Respond(PlainText(503, "overloaded\n"));
    co_return;
  }
  if (is_json) {
    co_await exchange.Respond(HttpResponse::JsonText(200, std::move(text)));
  } else {
    co_await exchange.Respond(PlainText(200, text));
  }
}

}  // namespace applehall

#include "standins/standin_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "standins/answer_text.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxRecordsPerRead = 500;
constexpr Duration kLogPoll = std::chrono::milliseconds(2);
constexpr Duration kMaxLogWait = std::chrono::seconds(10);
constexpr int kDefaultTokens = 16;
constexpr char kDataCentreHeader[] = "applehall-data-centre";

Address AnyPort(const std::string& ip) { return {ip, 0}; }

HttpServerLimits StandinLimits() {
  HttpServerLimits limits;
  limits.body_bytes = 32 * 1024 * 1024;
  return limits;
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return HttpResponse::JsonText(status, Json{{"error", message}}.dump());
}

HttpResponse OkResponse(const Json& json) {
  return HttpResponse::JsonText(200, json.dump());
}

// JSON is built outside of the coroutines: this compiler cannot compile
// initializer lists inside of them.
HttpResponse CatalogueResponse(const Catalogue& catalogue) {
  Json list = Json::array();
  for (const CatalogueEntry& entry : catalogue) {
    list.push_back(
        {{"name", entry.name}, {"base", entry.base}, {"bytes", entry.bytes}});
  }
  return OkResponse(list);
}

HttpResponse OffsetResponse(LogOffset offset) {
  return OkResponse(Json{{"offset", offset}});
}

HttpResponse BatchResponse(const LogBatch& batch) {
  Json records = Json::array();
  for (const LogRecord& record : batch.records) {
    records.push_back({{"offset", record.offset},
                       {"time_ms", ToUnixMillis(record.time)},
                       {"payload", record.payload}});
  }
  return OkResponse(Json{{"first_offset", batch.first_offset},
                         {"next_offset", batch.next_offset},
                         {"records", std::move(records)}});
}

HttpResponse NotRunResponse(int status, const std::string& reason) {
  return HttpResponse::JsonText(
      status, Json{{"verdict", "not_run"}, {"reason", reason}}.dump());
}

HttpResponse CompletionResponse(const std::string& model,
                                const std::string& prompt, int tokens) {
  return OkResponse(
      Json{{"object", "chat.completion"},
           {"model", model},
           {"choices",
            {{{"index", 0},
              {"finish_reason", "stop"},
              {"message",
               {{"role", "assistant"},
                {"content", WholeAnswer(model, prompt, tokens)}}}}}}});
}

HttpResponse ServiceResponse(const std::string& service, const std::string& by,
                             const HttpRequest& request) {
  return OkResponse(Json{{"service", service},
                         {"by", by},
                         {"path", request.target},
                         {"body", request.body}});
}

HttpHeaders StreamHeaders() {
  return {{"content-type", "text/event-stream"}, {"applehall-can-resume", "1"}};
}

HostList SingleHostList(const Json& entry) {
  return HostList::FromJson(Json{{"hosts", Json::array({entry})}});
}

std::string PromptOf(const Json& body) {
  if (body.contains("messages")) return body["messages"].dump();
  return FieldOr<std::string>(body, "prompt", "");
}

Json ChunkJson(const std::string& model, const std::string& text) {
  return Json{{"object", "chat.completion.chunk"},
              {"model", model},
              {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
}

}  // namespace

struct StandinServer::Engine {
  FakeEngine fake;
  std::unique_ptr<HttpServer> server;
  Duration first_token;
  Duration per_token;
  uint64_t requests_done = 0;
  uint64_t requests_begun = 0;
};

struct StandinServer::Service {
  std::string name;
  std::string service;
  std::unique_ptr<HttpServer> server;
  Duration service_time;
  std::map<std::string, int> runs;  // Keyed by idempotency key.
  uint64_t calls = 0;
};

StandinServer::StandinServer(asio::io_context& io, const Json& config)
    : io_(io),
      log_(std::chrono::milliseconds(
          FieldOr<int64_t>(config, "log_retention_ms", 3600000))),
      store_(FieldOr<double>(config, "store_loads_per_second", 2.0),
             FieldOr<int>(config, "store_slots", 4),
             FieldOr<double>(config, "store_slot_bytes_per_second", 5e8)),
      host_list_lag_(std::chrono::milliseconds(
          FieldOr<int64_t>(config, "host_list_lag_ms", 500))),
      ip_(FieldOr<std::string>(config, "ip", "127.0.0.1")) {
  for (const Json& model : config.value("models", Json::array())) {
    store_.AddModel({FieldOr<std::string>(model, "name", ""),
                     FieldOr<std::string>(model, "base", ""),
                     FieldOr<uint64_t>(model, "bytes", 0)});
  }
  platform_ = std::make_unique<HttpServer>(
      io_, AnyPort(ip_),
      [this](HttpExchange& exchange) { return HandlePlatform(exchange); },
      StandinLimits());
  for (const Json& item : config.value("engines", Json::array())) {
    FakeEngineSettings settings;
    settings.name = FieldOr<std::string>(item, "name", "");
    settings.data_centre = FieldOr<std::string>(item, "data_centre", "");
    settings.memory_bytes = FieldOr<uint64_t>(item, "memory_bytes", 0);
    settings.kv_bytes_per_slot =
        FieldOr<uint64_t>(item, "kv_bytes_per_slot", 0);
    settings.slots = FieldOr<int>(item, "slots", 8);
    settings.checks_fence = FieldOr<bool>(item, "checks_fence", true);
    settings.memory_cache_bytes =
        FieldOr<uint64_t>(item, "memory_cache_bytes", 0);
    settings.disk_cache_bytes = FieldOr<uint64_t>(item, "disk_cache_bytes", 0);
    auto engine = std::unique_ptr<Engine>(new Engine{
        FakeEngine(settings, store_), nullptr,
        std::chrono::milliseconds(FieldOr<int64_t>(item, "first_token_ms", 20)),
        std::chrono::microseconds(FieldOr<int64_t>(item, "per_token_us", 2000)),
        0, 0});
    Engine& reference = *engine;
    engine->server = std::make_unique<HttpServer>(
        io_, AnyPort(ip_),
        [this, &reference](HttpExchange& exchange) {
          return HandleEngine(reference, exchange);
        },
        StandinLimits());
    HostEntry entry;
    entry.name = settings.name;
    entry.kind = HostKind::kEngine;
    entry.data_centre = settings.data_centre;
    entry.address = absl::StrCat(ip_, ":", engine->server->port());
    entry.incarnation = settings.incarnation;
    entry.checks_fence = settings.checks_fence;
    hosts_[entry.name] = entry;
    engines_.push_back(std::move(engine));
  }
  for (const Json& item : config.value("services", Json::array())) {
    auto service = std::make_unique<Service>();
    service->name = FieldOr<std::string>(item, "name", "");
    service->service = FieldOr<std::string>(item, "service", "");
    service->service_time =
        std::chrono::milliseconds(FieldOr<int64_t>(item, "took_ms", 5));
    Service& reference = *service;
    service->server = std::make_unique<HttpServer>(
        io_, AnyPort(ip_),
        [this, &reference](HttpExchange& exchange) {
          return HandleService(reference, exchange);
        },
        StandinLimits());
    HostEntry entry;
    entry.name = service->name;
    entry.kind = HostKind::kService;
    entry.data_centre = FieldOr<std::string>(item, "data_centre", "");
    entry.address = absl::StrCat(ip_, ":", service->server->port());
    entry.incarnation = 1;
    entry.service = service->service;
    entry.slots = FieldOr<int>(item, "slots", 64);
    hosts_[entry.name] = entry;
    services_.push_back(std::move(service));
  }
  history_.emplace_back(TimePoint{}, hosts_);
}

StandinServer::~StandinServer() = default;

Json StandinServer::Addresses() const {
  Json json{{"platform", absl::StrCat(ip_, ":", platform_->port())}};
  for (const auto& [name, entry] : hosts_) json[name] = entry.address;
  return json;
}

asio::awaitable<bool> StandinServer::ApplyFaults(const std::string& name,
                                                 HttpExchange& exchange) {
  const std::string from = exchange.request().Header(kDataCentreHeader);
  const Faults faults = faults_[name];
  if (faults.is_down || faults.unreachable_from.contains(from)) {
    exchange.Abort();
    co_return false;
  }
  if (faults.is_frozen) {
    while (faults_[name].is_frozen && !exchange.is_peer_disconnected()) {
      co_await Sleep(io_, std::chrono::milliseconds(20));
    }
  }
  if (faults.response_delay > Duration::zero())
    co_await Sleep(io_, faults.response_delay);
  co_return !exchange.is_peer_disconnected();
}

asio::awaitable<void> StandinServer::SendResponse(const std::string& name,
                                                  HttpExchange& exchange,
                                                  HttpResponse&& response) {
  Faults& faults = faults_[name];
  if (faults.lose_answers > 0) {
    --faults.lose_answers;
    exchange.Abort();
    co_return;
  }
  if (faults.reorder > 0) {
    // Long enough for the answers after this one to overtake it.
    --faults.reorder;
    co_await Sleep(io_, std::chrono::milliseconds(150));
  }
  co_await exchange.Respond(std::move(response));
}

// ---- Platform ----

asio::awaitable<void> StandinServer::HandlePlatform(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.Path();
  const absl::StatusOr<HttpQuery> query = HttpQuery::Parse(request);
  if (!query.ok()) {
    co_await exchange.Respond(
        ErrorResponse(400, std::string(query.status().message())));
  } else if (path == "/fault") {
    co_await HandleFault(exchange);
  } else if (path == "/truth") {
    co_await HandleTruth(exchange);
  } else if (path == "/hosts" && request.method == "POST") {
    co_await HandleHostChange(exchange);
  } else if (path == "/hosts") {
    if (!co_await ApplyFaults("hosts", exchange)) co_return;
    HttpResponse answer = HostListResponse(request, *query);
    co_await SendResponse("hosts", exchange, std::move(answer));
  } else if (path == "/catalogue") {
    if (!co_await ApplyFaults("store", exchange)) co_return;
    co_await SendResponse("store", exchange,
                          CatalogueResponse(store_.ListCatalogue()));
  } else if (path.starts_with("/log/")) {
    const std::string rest = path.substr(5);
    const std::string stream = rest.substr(0, rest.find('/'));
    if (!co_await ApplyFaults("log", exchange)) co_return;
    if (rest.ends_with("/append")) {
      co_await HandleLogAppend(exchange, stream);
    } else {
      co_await HandleLogRead(exchange, stream, *query);
    }
  } else {
    co_await exchange.Respond(ErrorResponse(404, "no such path"));
  }
}

asio::awaitable<void> StandinServer::HandleLogAppend(
    HttpExchange& exchange, const std::string& stream) {
  const std::string& body = exchange.request().body;
  const LogOffset offset = log_.Append(stream, body, Now());
  if (faults_["log"].duplicate > 0) {
    --faults_["log"].duplicate;
    log_.Append(stream, body, Now());
  }
  co_await SendResponse("log", exchange, OffsetResponse(offset));
}

asio::awaitable<void> StandinServer::HandleLogRead(HttpExchange& exchange,
                                                   const std::string& stream,
                                                   const HttpQuery& query) {
  const LogOffset from = query.Number("from", 1);
  const std::chrono::milliseconds wait(
      std::min<uint64_t>(query.Number("wait_ms", 0), ToMillis(kMaxLogWait)));
  const TimePoint until = Now() + wait;
  LogBatch batch = log_.Read(stream, from, kMaxRecordsPerRead, Now());
  while (batch.records.empty() && Now() < until &&
         !exchange.is_peer_disconnected()) {
    co_await Sleep(io_, kLogPoll);
    if (faults_["log"].is_down) {
      exchange.Abort();
      co_return;
    }
    batch = log_.Read(stream, from, kMaxRecordsPerRead, Now());
  }
  co_await SendResponse("log", exchange, BatchResponse(batch));
}

HostList StandinServer::VisibleHostList() {
  const TimePoint as_of = Now() - host_list_lag_;
  while (history_.size() > 1 && history_[1].first <= as_of) {
    history_.pop_front();
    ++history_version_;
  }
  HostList list;
  list.as_of = as_of;
  for (const auto& [name, entry] : history_.front().second) {
    list.hosts.push_back(entry);
  }
  return list;
}

HttpResponse StandinServer::HostListResponse(const HttpRequest& request,
                                             const HttpQuery& query) {
  HostList list = VisibleHostList();
  const std::string near = query.Value("near");
  if (!near.empty()) {
    // Engines of other data centres are left out.
    std::erase_if(list.hosts, [&near](const HostEntry& entry) {
      return entry.kind == HostKind::kEngine && entry.data_centre != near;
    });
  }
  const std::string tag = absl::StrCat("\"", history_version_, "\"");
  HttpResponse answer = OkResponse(Json::object());
  if (request.Header("if-none-match") == tag) {
    answer.status = 304;
    answer.body.clear();
  } else {
    answer.body = list.ToJson().dump();
  }
  answer.headers["etag"] = tag;
  answer.headers["applehall-as-of-ms"] =
      std::to_string(ToUnixMillis(list.as_of));
  return answer;
}

// {"put": {entry}} adds or replaces an entry, {"leave": name} marks it as
// leaving, {"remove": name} removes it, {"restart": engine} starts the engine's
// next incarnation.
asio::awaitable<void> StandinServer::HandleHostChange(HttpExchange& exchange) {
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  if (!body.ok() || !body->is_object()) {
    co_await exchange.Respond(ErrorResponse(400, "expected a JSON object"));
    co_return;
  }
  if (body->contains("put")) {
    const HostList one = SingleHostList((*body)["put"]);
    for (const HostEntry& entry : one.hosts) hosts_[entry.name] = entry;
  }
  const std::string leaving = FieldOr<std::string>(*body, "leave", "");
  if (hosts_.contains(leaving)) hosts_[leaving].is_leaving = true;
  hosts_.erase(FieldOr<std::string>(*body, "remove", ""));
  const std::string restarted = FieldOr<std::string>(*body, "restart", "");
  for (auto& engine : engines_) {
    if (engine->fake.settings().name != restarted) continue;
    engine->fake.Restart(Now());
    hosts_[restarted].incarnation = engine->fake.settings().incarnation;
  }
  history_.emplace_back(Now(), hosts_);
  co_await exchange.Respond(OkResponse(Json::object()));
}

asio::awaitable<void> StandinServer::HandleFault(HttpExchange& exchange) {
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  const std::string target =
      body.ok() ? FieldOr<std::string>(*body, "target", "") : "";
  const std::string kind =
      body.ok() ? FieldOr<std::string>(*body, "kind", "") : "";
  if (target.empty() || kind.empty()) {
    co_await exchange.Respond(
        ErrorResponse(400, "a fault needs \"target\" and \"kind\""));
    co_return;
  }
  Faults& faults = faults_[target];
  const bool on = FieldOr<bool>(*body, "on", true);
  const int count = FieldOr<int>(*body, "count", 1);
  const Duration span =
      std::chrono::milliseconds(FieldOr<int64_t>(*body, "ms", 0));
  const std::string from = FieldOr<std::string>(*body, "data_centre", "");
  bool is_known = true;
  if (kind == "slow") {
    faults.response_delay = on ? span : Duration{0};
    if (target == "store") {
      store_.SetSlowness(on ? FieldOr<double>(*body, "factor", 4.0) : 1.0);
    }
  } else if (kind == "down") {
    faults.is_down = on;
  } else if (kind == "frozen") {
    faults.is_frozen = on;
  } else if (kind == "lose_answer") {
    faults.lose_answers = count;
  } else if (kind == "duplicate") {
    faults.duplicate = count;
  } else if (kind == "reorder") {
    faults.reorder = count;
  } else if (kind == "break_stream") {
    faults.break_streams = count;
  } else if (kind == "partition") {
    on ? (void)faults.unreachable_from.insert(from)
       : (void)faults.unreachable_from.erase(from);
  } else if (kind == "report_lag") {
    for (auto& engine : engines_) engine->fake.SetReportLag(span);
  } else if (kind == "fail_loads") {
    for (auto& engine : engines_) {
      if (engine->fake.settings().name == target) engine->fake.SetFailLoads(on);
    }
  } else if (kind == "clear") {
    faults = {};
  } else {
    is_known = false;
  }
  HttpResponse answer = is_known ? OkResponse(Json::object())
                                 : ErrorResponse(400, "unknown kind of fault");
  co_await exchange.Respond(std::move(answer));
}

void StandinServer::CountReplicas() {
  std::map<std::string, int> now;
  for (const auto& engine : engines_) {
    engine->fake.Advance(Now());
    for (const std::string& name : engine->fake.ResidentTargets()) {
      ++now[engine->fake.settings().data_centre + "/" + name];
    }
  }
  for (const auto& [name, count] : now) {
    peak_replicas_[name] = std::max(peak_replicas_[name], count);
  }
}

Json StandinServer::TruthJson() {
  CountReplicas();
  Json json{{"log_appends", log_.append_count()},
            {"store_fetches", store_.fetch_count()},
            {"store_wait_ms", ToMillis(store_.total_wait())},
            {"engines", Json::object()},
            {"services", Json::object()},
            {"most_replicas", peak_replicas_}};
  for (const auto& engine : engines_) {
    const FakeEngine& fake = engine->fake;
    json["engines"][fake.settings().name] =
        Json{{"data_centre", fake.settings().data_centre},
             {"memory_bytes", fake.settings().memory_bytes},
             {"memory_high_water", fake.memory_high_water()},
             {"overcommitted", fake.was_overcommitted()},
             {"loads", fake.loads_begun()},
             {"unloads", fake.unloads_done()},
             {"requests_begun", engine->requests_begun},
             {"requests_done", engine->requests_done},
             {"resident", fake.ResidentTargets()},
             {"idle_seconds", ToSeconds(fake.idle_time())},
             {"held_seconds", ToSeconds(fake.held_time())}};
  }
  for (const auto& service : services_) {
    int max_runs = 0;
    for (const auto& [key, runs] : service->runs)
      max_runs = std::max(max_runs, runs);
    json["services"][service->name] = Json{{"service", service->service},
                                           {"calls", service->calls},
                                           {"runs", service->runs},
                                           {"most_runs_of_a_key", max_runs}};
  }
  return json;
}

asio::awaitable<void> StandinServer::HandleTruth(HttpExchange& exchange) {
  co_await exchange.Respond(OkResponse(TruthJson()));
}

// ---- Engines ----

asio::awaitable<void> StandinServer::HandleEngine(Engine& engine,
                                                  HttpExchange& exchange) {
  const std::string& name = engine.fake.settings().name;
  if (!co_await ApplyFaults(name, exchange)) co_return;
  const std::string path = exchange.request().Path();
  if (path == "/orders") {
    const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
    if (!body.ok()) {
      co_await exchange.Respond(ErrorResponse(400, "expected a JSON order"));
      co_return;
    }
    const EngineOrder order = EngineOrder::FromJson(*body);
    Inventory inventory = engine.fake.HandleOrder(order, Now());
    if (faults_[name].duplicate > 0) {
      --faults_[name].duplicate;
      inventory = engine.fake.HandleOrder(order, Now());
    }
    CountReplicas();
    co_await SendResponse(name, exchange, OkResponse(inventory.ToJson(Now())));
    co_return;
  }
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await HandleCompletion(engine, exchange);
    co_return;
  }
  co_await exchange.Respond(ErrorResponse(404, "no such path"));
}

asio::awaitable<void> StandinServer::HandleCompletion(Engine& engine,
                                                      HttpExchange& exchange) {
  const std::string name = engine.fake.settings().name;
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  if (!body.ok()) {
    co_await exchange.Respond(ErrorResponse(400, "expected JSON"));
    co_return;
  }
  const std::string model = FieldOr<std::string>(*body, "model", "");
  const std::string prompt = PromptOf(*body);
  const int tokens = FieldOr<int>(*body, "max_tokens", kDefaultTokens);
  int resume_from = 0;
  (void)absl::SimpleAtoi(exchange.request().Header("applehall-resume-from"),
                         &resume_from);
  const FakeEngine::StartResult start = engine.fake.StartRequest(model, Now());
  if (start != FakeEngine::StartResult::kStarted) {
    const bool is_absent = start == FakeEngine::StartResult::kModelAbsent;
    HttpResponse refusal = is_absent ? NotRunResponse(404, "model_absent")
                                     : NotRunResponse(429, "full");
    co_await SendResponse(name, exchange, std::move(refusal));
    co_return;
  }
  ++engine.requests_begun;
  co_await Sleep(io_, engine.first_token);
  if (FieldOr<bool>(*body, "stream", false)) {
    co_await StreamCompletion(engine, exchange, model, prompt, tokens,
                              resume_from);
    engine.fake.EndRequest(model, Now());
    co_return;
  }
  co_await Sleep(io_, engine.per_token * tokens);
  engine.fake.EndRequest(model, Now());
  ++engine.requests_done;
  co_await SendResponse(name, exchange,
                        CompletionResponse(model, prompt, tokens));
}

asio::awaitable<void> StandinServer::StreamCompletion(
    Engine& engine, HttpExchange& exchange, const std::string& model,
    const std::string& prompt, int tokens, int resume_from) {
  const std::string name = engine.fake.settings().name;
  Faults& faults = faults_[name];
  int break_at = -1;
  if (faults.break_streams > 0) {
    --faults.break_streams;
    break_at = resume_from + (tokens - resume_from) / 2;
  }
  if (!co_await exchange.BeginStream(200, StreamHeaders())) co_return;
  for (int i = resume_from; i < tokens; ++i) {
    if (i == break_at) {
      exchange.Abort();
      co_return;
    }
    co_await Sleep(io_, engine.per_token);
    const Json chunk = ChunkJson(model, AnswerToken(model, prompt, i));
    if (!co_await exchange.Write("data: " + chunk.dump() + "\n\n")) co_return;
  }
  if (!co_await exchange.Write("data: [DONE]\n\n")) co_return;
  ++engine.requests_done;
  co_await exchange.EndStream();
}

// ---- Services ----

asio::awaitable<void> StandinServer::HandleService(Service& service,
                                                   HttpExchange& exchange) {
  if (!co_await ApplyFaults(service.name, exchange)) co_return;
  const std::string key = exchange.request().Header("idempotency-key");
  ++service.calls;
  if (!key.empty()) ++service.runs[key];
  co_await Sleep(io_, service.service_time);
  co_await SendResponse(
      service.name, exchange,
      ServiceResponse(service.service, service.name, exchange.request()));
}

}  // namespace applehall

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

constexpr size_t kMostRecordsPerRead = 500;
constexpr Duration kLogPoll = std::chrono::milliseconds(2);
constexpr Duration kMostLogWait = std::chrono::seconds(10);
constexpr int kDefaultTokens = 16;
constexpr char kDataCentreHeader[] = "applehall-data-centre";

Address AnyPort(const std::string& ip) { return {ip, 0}; }

HttpServerLimits StandinLimits() {
  HttpServerLimits limits;
  limits.body_bytes = 32 * 1024 * 1024;
  return limits;
}

HttpResponse Error(int status, const std::string& message) {
  return HttpResponse::JsonText(status, Json{{"error", message}}.dump());
}

HttpResponse Ok(const Json& json) {
  return HttpResponse::JsonText(200, json.dump());
}

// JSON is put together outside of the coroutines: this compiler cannot build
// initializer lists inside of them.
HttpResponse CatalogueAnswer(const Catalogue& catalogue) {
  Json list = Json::array();
  for (const CatalogueEntry& entry : catalogue) {
    list.push_back(
        {{"name", entry.name}, {"base", entry.base}, {"bytes", entry.bytes}});
  }
  return Ok(list);
}

HttpResponse OffsetAnswer(LogOffset offset) {
  return Ok(Json{{"offset", offset}});
}

HttpResponse BatchAnswer(const LogBatch& batch) {
  Json records = Json::array();
  for (const LogRecord& record : batch.records) {
    records.push_back({{"offset", record.offset},
                       {"time_ms", ToUnixMillis(record.time)},
                       {"payload", record.payload}});
  }
  return Ok(Json{{"first_offset", batch.first_offset},
                 {"next_offset", batch.next_offset},
                 {"records", std::move(records)}});
}

HttpResponse NotRunAnswer(int status, const std::string& reason) {
  return HttpResponse::JsonText(
      status, Json{{"verdict", "not_run"}, {"reason", reason}}.dump());
}

HttpResponse WholeCompletion(const std::string& model,
                             const std::string& prompt, int tokens) {
  return Ok(Json{{"object", "chat.completion"},
                 {"model", model},
                 {"choices",
                  {{{"index", 0},
                    {"finish_reason", "stop"},
                    {"message",
                     {{"role", "assistant"},
                      {"content", WholeAnswer(model, prompt, tokens)}}}}}}});
}

HttpResponse ServiceAnswer(const std::string& service, const std::string& by,
                           const HttpRequest& request) {
  return Ok(Json{{"service", service},
                 {"by", by},
                 {"path", request.target},
                 {"body", request.body}});
}

HttpHeaders StreamHeaders() {
  return {{"content-type", "text/event-stream"}, {"applehall-can-resume", "1"}};
}

HostList OneHost(const Json& entry) {
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
  Duration took;
  std::map<std::string, int> runs;  // By idempotency key.
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
    service->took =
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

asio::awaitable<bool> StandinServer::PassFaults(const std::string& name,
                                                HttpExchange& exchange) {
  const std::string from = exchange.request().Header(kDataCentreHeader);
  const Faults faults = faults_[name];
  if (faults.is_down || faults.cut_from.contains(from)) {
    exchange.Abort();
    co_return false;
  }
  if (faults.is_frozen) {
    while (faults_[name].is_frozen && !exchange.is_peer_disconnected()) {
      co_await Sleep(io_, std::chrono::milliseconds(20));
    }
  }
  if (faults.slow > Duration::zero()) co_await Sleep(io_, faults.slow);
  co_return !exchange.is_peer_disconnected();
}

asio::awaitable<void> StandinServer::Answer(const std::string& name,
                                            HttpExchange& exchange,
                                            HttpResponse&& response) {
  Faults& faults = faults_[name];
  if (faults.lose_answers > 0) {
    --faults.lose_answers;
    exchange.Abort();
    co_return;
  }
  if (faults.reorder > 0) {
    // Held back long enough for the answers after it to overtake it.
    --faults.reorder;
    co_await Sleep(io_, std::chrono::milliseconds(150));
  }
  co_await exchange.Respond(std::move(response));
}

// ---- Platform ----

asio::awaitable<void> StandinServer::HandlePlatform(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.Path();
  if (path == "/fault") {
    co_await SetFault(exchange);
  } else if (path == "/truth") {
    co_await Truth(exchange);
  } else if (path == "/hosts" && request.method == "POST") {
    co_await ChangeHosts(exchange);
  } else if (path == "/hosts") {
    if (!co_await PassFaults("hosts", exchange)) co_return;
    HttpResponse answer = HostsAnswer(request);
    co_await Answer("hosts", exchange, std::move(answer));
  } else if (path == "/catalogue") {
    if (!co_await PassFaults("store", exchange)) co_return;
    co_await Answer("store", exchange, CatalogueAnswer(store_.ListCatalogue()));
  } else if (path.starts_with("/log/")) {
    const std::string rest = path.substr(5);
    const std::string stream = rest.substr(0, rest.find('/'));
    if (!co_await PassFaults("log", exchange)) co_return;
    if (rest.ends_with("/append")) {
      co_await AppendToLog(exchange, stream);
    } else {
      co_await ReadLog(exchange, stream);
    }
  } else {
    co_await exchange.Respond(Error(404, "no such path"));
  }
}

asio::awaitable<void> StandinServer::AppendToLog(HttpExchange& exchange,
                                                 const std::string& stream) {
  const std::string& body = exchange.request().body;
  const LogOffset offset = log_.Append(stream, body, Now());
  if (faults_["log"].duplicate > 0) {
    --faults_["log"].duplicate;
    log_.Append(stream, body, Now());
  }
  co_await Answer("log", exchange, OffsetAnswer(offset));
}

asio::awaitable<void> StandinServer::ReadLog(HttpExchange& exchange,
                                             const std::string& stream) {
  const HttpRequest& request = exchange.request();
  uint64_t from = 1;
  int64_t wait_ms = 0;
  (void)absl::SimpleAtoi(request.QueryParameter("from"), &from);
  (void)absl::SimpleAtoi(request.QueryParameter("wait_ms"), &wait_ms);
  const TimePoint until =
      Now() +
      std::min<Duration>(std::chrono::milliseconds(wait_ms), kMostLogWait);
  LogBatch batch = log_.Read(stream, from, kMostRecordsPerRead, Now());
  while (batch.records.empty() && Now() < until &&
         !exchange.is_peer_disconnected()) {
    co_await Sleep(io_, kLogPoll);
    if (faults_["log"].is_down) {
      exchange.Abort();
      co_return;
    }
    batch = log_.Read(stream, from, kMostRecordsPerRead, Now());
  }
  co_await Answer("log", exchange, BatchAnswer(batch));
}

HostList StandinServer::ListedHosts() {
  const TimePoint as_of = Now() - host_list_lag_;
  while (history_.size() > 1 && history_[1].first <= as_of) {
    history_.pop_front();
    ++dropped_history_;
  }
  HostList list;
  list.as_of = as_of;
  for (const auto& [name, entry] : history_.front().second) {
    list.hosts.push_back(entry);
  }
  return list;
}

HttpResponse StandinServer::HostsAnswer(const HttpRequest& request) {
  HostList list = ListedHosts();
  const std::string near = request.QueryParameter("near");
  if (!near.empty()) {
    // Of other data centres only the entry hosts and the services are shown.
    std::erase_if(list.hosts, [&near](const HostEntry& entry) {
      return entry.kind == HostKind::kEngine && entry.data_centre != near;
    });
  }
  const std::string tag = absl::StrCat("\"", dropped_history_, "\"");
  HttpResponse answer = Ok(Json::object());
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

// {"put": {entry}} adds or changes, {"leave": name} marks, {"remove": name}
// takes away, {"restart": engine} gives an engine its next incarnation.
asio::awaitable<void> StandinServer::ChangeHosts(HttpExchange& exchange) {
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  if (!body.ok() || !body->is_object()) {
    co_await exchange.Respond(Error(400, "expected a JSON object"));
    co_return;
  }
  if (body->contains("put")) {
    const HostList one = OneHost((*body)["put"]);
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
  co_await exchange.Respond(Ok(Json::object()));
}

asio::awaitable<void> StandinServer::SetFault(HttpExchange& exchange) {
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  const std::string target =
      body.ok() ? FieldOr<std::string>(*body, "target", "") : "";
  const std::string kind =
      body.ok() ? FieldOr<std::string>(*body, "kind", "") : "";
  if (target.empty() || kind.empty()) {
    co_await exchange.Respond(Error(400, "expected target and kind"));
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
    faults.slow = on ? span : Duration{0};
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
    on ? (void)faults.cut_from.insert(from) : (void)faults.cut_from.erase(from);
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
  HttpResponse answer =
      is_known ? Ok(Json::object()) : Error(400, "unknown kind of fault");
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
    most_replicas_[name] = std::max(most_replicas_[name], count);
  }
}

Json StandinServer::TruthJson() {
  CountReplicas();
  Json json{{"log_appends", log_.append_count()},
            {"store_fetches", store_.fetch_count()},
            {"store_wait_ms", ToMillis(store_.total_wait())},
            {"engines", Json::object()},
            {"services", Json::object()},
            {"most_replicas", most_replicas_}};
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
    int most = 0;
    for (const auto& [key, runs] : service->runs) most = std::max(most, runs);
    json["services"][service->name] = Json{{"service", service->service},
                                           {"calls", service->calls},
                                           {"runs", service->runs},
                                           {"most_runs_of_a_key", most}};
  }
  return json;
}

asio::awaitable<void> StandinServer::Truth(HttpExchange& exchange) {
  co_await exchange.Respond(Ok(TruthJson()));
}

// ---- Engines ----

asio::awaitable<void> StandinServer::HandleEngine(Engine& engine,
                                                  HttpExchange& exchange) {
  const std::string& name = engine.fake.settings().name;
  if (!co_await PassFaults(name, exchange)) co_return;
  const std::string path = exchange.request().Path();
  if (path == "/orders") {
    const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
    if (!body.ok()) {
      co_await exchange.Respond(Error(400, "expected a JSON order"));
      co_return;
    }
    const EngineOrder order = EngineOrder::FromJson(*body);
    Inventory inventory = engine.fake.HandleOrder(order, Now());
    if (faults_[name].duplicate > 0) {
      --faults_[name].duplicate;
      inventory = engine.fake.HandleOrder(order, Now());
    }
    CountReplicas();
    co_await Answer(name, exchange, Ok(inventory.ToJson(Now())));
    co_return;
  }
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await Complete(engine, exchange);
    co_return;
  }
  co_await exchange.Respond(Error(404, "no such path"));
}

asio::awaitable<void> StandinServer::Complete(Engine& engine,
                                              HttpExchange& exchange) {
  const std::string name = engine.fake.settings().name;
  const absl::StatusOr<Json> body = ParseJson(exchange.request().body);
  if (!body.ok()) {
    co_await exchange.Respond(Error(400, "expected JSON"));
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
    HttpResponse refusal = is_absent ? NotRunAnswer(404, "model_absent")
                                     : NotRunAnswer(429, "full");
    co_await Answer(name, exchange, std::move(refusal));
    co_return;
  }
  ++engine.requests_begun;
  co_await Sleep(io_, engine.first_token);
  if (FieldOr<bool>(*body, "stream", false)) {
    co_await StreamAnswer(engine, exchange, model, prompt, tokens, resume_from);
    engine.fake.EndRequest(model, Now());
    co_return;
  }
  co_await Sleep(io_, engine.per_token * tokens);
  engine.fake.EndRequest(model, Now());
  ++engine.requests_done;
  co_await Answer(name, exchange, WholeCompletion(model, prompt, tokens));
}

asio::awaitable<void> StandinServer::StreamAnswer(Engine& engine,
                                                  HttpExchange& exchange,
                                                  const std::string& model,
                                                  const std::string& prompt,
                                                  int tokens, int resume_from) {
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
  if (!co_await PassFaults(service.name, exchange)) co_return;
  const std::string key = exchange.request().Header("idempotency-key");
  ++service.calls;
  if (!key.empty()) ++service.runs[key];
  co_await Sleep(io_, service.took);
  co_await Answer(
      service.name, exchange,
      ServiceAnswer(service.service, service.name, exchange.request()));
}

}  // namespace applehall

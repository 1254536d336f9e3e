#include "soak/platform_standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "core/hash.h"
#include "drivers/sleep.h"
#include "platform/wire_names.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr char kLoopback[] = "127.0.0.1";
constexpr char kServersTopic[] = "keyed.servers";
constexpr uint64_t kMaxReadKilobytes = 1024;
constexpr uint64_t kBytesPerMegabyte = 1000000;
constexpr int kEvents = 12;
constexpr Duration kEventGap = milliseconds(8);
constexpr Duration kPoll = milliseconds(10);
// How long a plain server works on a request.
constexpr Duration kWork = milliseconds(5);
constexpr Duration kBrittleWork = milliseconds(60);
// The same while servers have different speeds, at one of speed 1.
constexpr Duration kUnevenWork = kUnevenTarget / 3;
constexpr double kSpeeds[] = {0.4, 1.0, 1.6};
// Each server is slowed down for 15 % of the time, 600 ms at a stretch.
constexpr double kSlowdown = 2.5;
constexpr Duration kSlowPeriod = milliseconds(4000);
constexpr Duration kSlowTime = milliseconds(600);
// Time until a crashed server is removed from the list and replaced.
constexpr Duration kReplaceDelay = milliseconds(1500);
constexpr Duration kUnresponsiveTime = std::chrono::seconds(60);
// Brittle servers accept fewer requests this long after they announce it.
constexpr Duration kBrittleNotice = std::chrono::seconds(3);

HttpResponse StampedResponse(const std::string& attempt, std::string body) {
  HttpResponse response;
  response.headers["x-attempt-id"] = attempt;
  response.headers["x-server-stamp"] = "stamp-" + attempt;
  response.body = std::move(body);
  return response;
}

HttpResponse NotExecutedResponse(const std::string& attempt, int status) {
  HttpResponse response;
  response.status = status;
  response.headers["x-attempt-id"] = attempt;
  response.headers["x-not-executed"] = "1";
  return response;
}

// Returns the count in a header; zero if there is none.
size_t ReadCount(const HttpRequest& request, const char* header) {
  size_t count = 0;
  (void)absl::SimpleAtoi(request.Header(header), &count);
  return count;
}

// Returns what makes the request crash its server: its body, or a part of its
// prompt; empty if nothing does.
std::string PoisonOf(const HttpRequest& request) {
  if (request.body.starts_with(kPoisonBody)) return request.body;
  const std::string prompt = request.Header("x-prompt-prefix");
  const size_t begin = prompt.find(kBadPart);
  if (begin == std::string::npos) return "";
  return prompt.substr(begin, prompt.find(':', begin) - begin);
}

}  // namespace

PlatformStandin::PlatformStandin(asio::io_context& io, uint64_t seed,
                                 int models)
    : io_(io),
      seed_(seed),
      models_(models),
      store_(
          io, Address{kLoopback, 0},
          [this](HttpExchange& exchange) { return ServeStore(exchange, {}); },
          HttpServerLimits{}) {}

Address PlatformStandin::store_address() const {
  return {kLoopback, store_.port()};
}

Address PlatformStandin::AddStoreView(Translate translate) {
  store_views_.push_back(std::make_unique<HttpServer>(
      io_, Address{kLoopback, 0},
      [this, translate = std::move(translate)](HttpExchange& exchange) {
        return ServeStore(exchange, translate);
      },
      HttpServerLimits{}));
  return {kLoopback, store_views_.back()->port()};
}

FakeKeyedLog::Translate PlatformStandin::EntryTranslation(
    const std::string& topic, const Translate& translate) {
  if (!translate || topic != kServersTopic) return nullptr;
  return [translate](const std::string& value) {
    absl::StatusOr<Json> entry = ParseJson(value);
    if (value.empty() || !entry.ok()) return value;
    const absl::StatusOr<Address> address =
        ParseAddress(FieldOr<std::string>(*entry, "address", ""));
    if (address.ok()) (*entry)["address"] = translate(*address).ToString();
    return DumpJson(*entry);
  };
}

// ---- The store ----

asio::awaitable<void> PlatformStandin::ServeStore(HttpExchange& exchange,
                                                  Translate translate) {
  const HttpRequest& request = exchange.request();
  if (store_mode_ == StoreMode::kUnresponsive) {
    co_await Sleep(io_, kUnresponsiveTime);
    exchange.Abort();
    co_return;
  }
  const absl::StatusOr<HttpQuery> query = HttpQuery::Parse(request);
  HttpResponse response;
  if (store_mode_ == StoreMode::kRefusing) {
    response.status = 503;
  } else if (!query.ok()) {
    ++refused_queries_;
    response.status = 400;
  } else if (request.Path() == "/v1/log-read") {
    co_await HandleLogRead(exchange, *query, translate);
    co_return;
  } else if (request.Path() == "/v1/log-newest") {
    HandleNewestRead(*query, response, translate);
  } else {
    HandleAppend(request, *query, response);
  }
  co_await exchange.Respond(std::move(response));
}

asio::awaitable<void> PlatformStandin::HandleLogRead(HttpExchange& exchange,
                                                     HttpQuery query,
                                                     Translate translate) {
  const std::string topic = query.Value("topic");
  const uint64_t from = query.Number("from", 0);
  const size_t max_bytes = query.Number("max_kb", kMaxReadKilobytes) * 1024;
  const TimePoint until =
      clock_.Now() + milliseconds(query.Number("wait_ms", 0));
  while (log_.End(topic) <= from && clock_.Now() < until) {
    co_await Sleep(io_, kPoll);
  }
  std::optional<std::string> records =
      log_.Read(topic, from, max_bytes, EntryTranslation(topic, translate));
  HttpResponse response;
  if (records) {
    response.body = *std::move(records);
  } else {
    response = HttpResponse::JsonText(410, log_.DeletedText(topic));
  }
  co_await exchange.Respond(std::move(response));
}

void PlatformStandin::HandleNewestRead(const HttpQuery& query,
                                       HttpResponse& response,
                                       const Translate& translate) const {
  const std::string topic = query.Value("topic");
  if (!log_.Contains(topic)) {
    response.status = 404;
    return;
  }
  std::optional<std::string> after;
  if (query.Contains("after")) after = query.Value("after");
  response = HttpResponse::JsonText(
      200, log_.NewestPage(topic, after, EntryTranslation(topic, translate)));
}

void PlatformStandin::HandleAppend(const HttpRequest& request,
                                   const HttpQuery& query,
                                   HttpResponse& response) {
  const std::string topic = query.Value("topic");
  if (topic == kServersTopic || topic == kConfigTopic) {
    response.status = 403;
    return;
  }
  const uint64_t end = log_.End(topic);
  if (query.Number("at", end) != end) {
    response = HttpResponse::JsonText(412, DumpJson({{"end", end}}));
    return;
  }
  const std::string& body = request.body;
  const size_t key_size = body.size() > 4 ? static_cast<uint8_t>(body[4]) : 0;
  if (body.size() < 5 + key_size) {
    response.status = 400;
    return;
  }
  log_.Append(topic, body.substr(5, key_size), body.substr(5 + key_size));
  response = HttpResponse::JsonText(
      200, DumpJson({{"offset", end}, {"end", end + 1}}));
}

// ---- Backend servers ----

std::string PlatformStandin::NextId() const {
  return absl::StrCat("i-", seed_, "-", started_);
}

std::string PlatformStandin::Start(std::unique_ptr<FakeCountedEngine> engine,
                                   const std::string& service) {
  const std::string id = NextId();
  const auto server = std::make_shared<Server>();
  server->service = service;
  server->version = engine ? version_ : "v1";
  server->engine = std::move(engine);
  server->http = std::make_unique<HttpServer>(
      io_, Address{kLoopback, 0},
      [this, id](HttpExchange& exchange) { return ServeServer(id, exchange); },
      HttpServerLimits{});
  servers_[id] = server;
  if (is_uneven_) server->speed = kSpeeds[started_ % std::size(kSpeeds)];
  ++started_;
  PublishEntry(id);
  return id;
}

std::string PlatformStandin::StartEngine(
    const std::vector<std::string>& models) {
  auto engine = std::make_unique<FakeCountedEngine>(
      NextId(), "llm", kEngineMegabytes * kBytesPerMegabyte, 8);
  engine->load_from_disk = milliseconds(200);
  engine->load_from_store = milliseconds(600);
  for (const std::string& model : models) {
    engine->Place(model, kModelMegabytes * kBytesPerMegabyte);
  }
  return Start(std::move(engine), "llm");
}

std::string PlatformStandin::StartApp() { return Start(nullptr, "app"); }

std::string PlatformStandin::EntryText(const std::string& id) const {
  const Server& server = *servers_.at(id);
  Json entry{{"service", server.service},
             {"address", absl::StrCat(kLoopback, ":", server.http->port())},
             {"zone", "hall"},
             {"version", server.version},
             {"capacity", capacity_},
             {"state", server.is_leaving ? "draining" : "ready"},
             {"seq", server.entry_sequence}};
  if (server.engine) {
    entry["models"] = Json::array();
    entry["at_hand"] = Json{{"on_disk", Json::array()}};
    const ListedServer listing = server.engine->ListedEntry();
    for (const auto& [model, adapters] : listing.models) {
      entry["models"].push_back({{"name", model}, {"version", 1}});
    }
    for (const std::string& model : listing.on_disk) {
      entry["at_hand"]["on_disk"].push_back(model);
    }
  }
  return DumpJson(entry);
}

void PlatformStandin::PublishEntry(const std::string& id) {
  ++servers_.at(id)->entry_sequence;
  PutServerRecord(id, EntryText(id));
}

void PlatformStandin::PutServerRecord(const std::string& key,
                                      const std::string& value) {
  log_.Append(kServersTopic, key, value);
}

void PlatformStandin::PutRecord(const std::string& topic,
                                const std::string& key,
                                const std::string& value) {
  log_.Append(topic, key, value);
}

void PlatformStandin::PutMalformedServerRecord(const std::string& content) {
  log_.AppendMalformed(kServersTopic, content);
}

void PlatformStandin::Drain(const std::string& id) {
  servers_.at(id)->is_leaving = true;
  withdrawn_at_[id] = clock_.Now();
  PublishEntry(id);
}

void PlatformStandin::Stop(const std::string& id, bool is_delisted) {
  Server& server = *servers_.at(id);
  server.is_stopped = true;
  server.http->StopAccepting();
  if (!is_delisted) return;
  if (!withdrawn_at_.contains(id)) withdrawn_at_[id] = clock_.Now();
  log_.Append(kServersTopic, id, "");
}

std::vector<std::string> PlatformStandin::Servers(bool engines) const {
  std::vector<std::string> ids;
  for (const auto& [id, server] : servers_) {
    if (server->is_stopped || server->is_leaving) continue;
    if ((server->engine != nullptr) == engines) ids.push_back(id);
  }
  return ids;
}

void PlatformStandin::HandleOrder(Server& server, const HttpRequest& request,
                                  HttpResponse& response) {
  const absl::StatusOr<Json> body = ParseJson(request.body);
  if (!body.ok()) {
    response.status = 400;
    return;
  }
  EngineOrder order;
  order.kind = FieldOr<std::string>(*body, "operation", "") == "load"
                   ? OrderKind::kLoad
                   : OrderKind::kUnload;
  order.name = FieldOr<std::string>(*body, "model", "");
  order.bytes = kModelMegabytes * kBytesPerMegabyte;
  order.fence.token = FieldOr<uint64_t>(*body, "fence_token", 0);
  if (body->contains("precondition")) {
    order.after_orders = FieldOr<uint64_t>(*body, "precondition", 0);
  }
  switch (server.engine->Execute(order, clock_.Now())) {
    case OrderResult::kAccepted:
      response.status = 202;
      break;
    case OrderResult::kDone:
      response.status = 200;
      break;
    case OrderResult::kStaleFence:
      response.status = 412;
      break;
    default:
      response.status = 409;
  }
  if (server.engine->was_overcommitted()) {
    violations_.push_back(
        "MEMORY an engine was ordered to load more than fits");
  }
}

void PlatformStandin::AnnounceLimit(const std::string& id,
                                    std::optional<double> per_second) {
  limits_[id].push_back({clock_.Now(), per_second});
}

void PlatformStandin::BeginBrittle(bool engines, int max_rejected) {
  is_brittle_ = true;
  are_engines_brittle_ = engines;
  none_wait_from_ = clock_.Now() + kBrittleNotice;
  brittle_times_.push_back({clock_.Now(), TimePoint::max(), max_rejected,
                            Servers(engines).size(), 0, 0});
}

void PlatformStandin::EndBrittle() {
  is_brittle_ = false;
  brittle_times_.back().to = clock_.Now();
}

bool PlatformStandin::IsBrittle(const Server& server) const {
  return is_brittle_ && (server.engine != nullptr) == are_engines_brittle_;
}

void PlatformStandin::RejectForRoom(const std::string& id) {
  Server& server = *servers_.at(id);
  const TimePoint now = clock_.Now();
  BrittleTime& time = brittle_times_.back();
  ++time.rejected;
  server.rejected_at.push_back(now);
  std::erase_if(server.rejected_at, [now](TimePoint at) {
    return now - at > std::chrono::seconds(1);
  });
  const auto rejected = static_cast<int>(server.rejected_at.size());
  if (rejected <= time.max_rejected || server.is_stopped) return;
  ++time.crashes;
  asio::co_spawn(io_, CrashAndReplace(id), asio::detached);
}

asio::awaitable<void> PlatformStandin::AwaitSilence(const std::string& id) {
  while (silent_until_.contains(id) && clock_.Now() < silent_until_[id]) {
    co_await Sleep(io_, kPoll);
  }
}

double PlatformStandin::SlowdownOf(const std::string& id) const {
  if (!is_uneven_) return 1;
  const Duration phase = milliseconds(StableHash(id) % ToMillis(kSlowPeriod));
  const Duration at = (clock_.Now().time_since_epoch() + phase) % kSlowPeriod;
  return at < kSlowTime ? kSlowdown : 1;
}

asio::awaitable<void> PlatformStandin::Work(const std::string& id,
                                            Server& server) {
  if (!is_uneven_) {
    co_await Sleep(io_, IsBrittle(server) ? kBrittleWork : kWork);
    co_return;
  }
  while (server.working >= capacity_) co_await Sleep(io_, kWork);
  ++server.working;
  TimePoint last = clock_.Now();
  for (double left = ToSeconds(kUnevenWork); left > 0;) {
    const double pace = server.speed / SlowdownOf(id);
    co_await Sleep(io_, kWork);
    left -= pace * ToSeconds(clock_.Now() - last);
    last = clock_.Now();
  }
  --server.working;
}

void PlatformStandin::AddServerHeaders(const std::string& id,
                                       HttpHeaders& headers) const {
  headers[kServerHeader] = id;
  if (is_uneven_) {
    const int count = servers_.at(id)->running;
    const int running = std::min(count, capacity_);
    headers[wire::kInstanceLoad] =
        absl::StrCat(running, ",", count - running, ",", capacity_, ",",
                     SlowdownOf(id) * 100);
  }
  if (IsBrittle(*servers_.at(id))) {
    headers[kBrittleHeader] = absl::StrCat(brittle_times_.back().max_rejected);
  }
  const auto found = limits_.find(id);
  if (found == limits_.end() || !found->second.back().per_second) return;
  headers[kLimitHeader] = absl::StrCat(*found->second.back().per_second);
}

asio::awaitable<void> PlatformStandin::ServeServer(std::string id,
                                                   HttpExchange& exchange) {
  const std::shared_ptr<Server> server = servers_.at(id);
  const HttpRequest& request = exchange.request();
  const std::string attempt = request.Header("x-attempt-id");
  const std::string expected = request.Header("x-expect-instance");
  if (server->is_stopped) {
    exchange.Abort();
    co_return;
  }
  co_await AwaitSilence(id);
  if (server->engine) server->engine->Advance(clock_.Now());
  if (!attempt.empty()) arrivals_[id].push_back({attempt, clock_.Now()});
  HttpResponse response;
  if (!expected.empty() && expected != id) {
    response = NotExecutedResponse(attempt, 421);
  } else if (request.Path() == "/v1/report" && server->engine) {
    const Inventory inventory = server->engine->Report();
    Json report{{"models", Json::array()},
                {"busy", inventory.is_busy},
                {"seq", inventory.accepted_orders}};
    for (const Replica& replica : inventory.replicas) {
      report["models"].push_back({{"name", replica.name}, {"version", 1}});
    }
    response = HttpResponse::JsonText(200, report.dump());
  } else if (request.Path() == "/v1/order" && server->engine) {
    HandleOrder(*server, request, response);
  } else if (server->engine &&
             !server->engine->IsLoaded(request.Header("x-model"))) {
    response = NotExecutedResponse(attempt, 421);
  } else if (IsBrittle(*server) && clock_.Now() >= none_wait_from_ &&
             server->running >= capacity_) {
    response = NotExecutedResponse(attempt, 503);
    RejectForRoom(id);
  } else if (const std::string poison = PoisonOf(request); !poison.empty()) {
    exchange.Abort();
    asio::co_spawn(io_, CrashOnPoison(id, attempt, poison), asio::detached);
    co_return;
  } else {
    for (const char* name : {"x-hold", "x-pin-ms", "kv-from"}) {
      if (!request.Header(name).empty()) {
        violations_.push_back(
            absl::StrCat("UNASKED caller header was forwarded: ", name));
      }
    }
    runs_[attempt].push_back({id, clock_.Now()});
    ++server->running;
    const bool is_wanted = co_await WorkOnDemand(exchange);
    if (!is_wanted) {
      --server->running;
      exchange.Abort();
      co_return;
    }
    if (server->engine) {
      co_await ServeStream(id, exchange);
      --server->running;
      co_return;
    }
    co_await Work(id, *server);
    --server->running;
    std::string body = absl::StrCat("answer to ", attempt);
    const size_t size = ReadCount(request, kAnswerBytesHeader);
    if (size > body.size()) body.resize(size, 'x');
    response = StampedResponse(attempt, std::move(body));
  }
  AddServerHeaders(id, response.headers);
  co_await exchange.Respond(std::move(response));
}

asio::awaitable<void> PlatformStandin::CrashOnPoison(std::string id,
                                                     std::string attempt,
                                                     std::string poison) {
  poison_runs_[poison].push_back({attempt, clock_.Now()});
  co_await CrashAndReplace(id);
}

asio::awaitable<void> PlatformStandin::CrashAndReplace(std::string id) {
  const bool is_engine = servers_.at(id)->engine != nullptr;
  Stop(id, /*is_delisted=*/false);
  co_await Sleep(io_, kReplaceDelay);
  Stop(id, /*is_delisted=*/true);
  if (is_engine) {
    StartEngine({});
  } else {
    StartApp();
  }
}

asio::awaitable<void> PlatformStandin::ServeStream(std::string id,
                                                   HttpExchange& exchange) {
  const Server& server = *servers_.at(id);
  const std::string attempt = exchange.request().Header("x-attempt-id");
  const bool names_version =
      !exchange.request().Header(kVersionsHeader).empty();
  const size_t padding = ReadCount(exchange.request(), kEventBytesHeader);
  int from = 0;
  (void)absl::SimpleAtoi(exchange.request().Header("last-event-id"), &from);
  HttpResponse head = StampedResponse(attempt, "");
  head.headers["content-type"] = "text/event-stream";
  AddServerHeaders(id, head.headers);
  const bool breaks = break_every_ > 0 && ++streams_ % break_every_ == 0;
  bool is_ok = co_await exchange.BeginStream(200, head.headers);
  for (int event = from + 1; event <= kEvents && is_ok; ++event) {
    const double pace = server.speed / SlowdownOf(id);
    co_await Sleep(io_, FromSeconds(ToSeconds(kEventGap) / pace));
    co_await AwaitSilence(id);
    if (server.is_stopped || (breaks && event == kEvents / 2)) {
      exchange.Abort();
      co_return;
    }
    const std::string version =
        names_version ? absl::StrCat("version: ", server.version, "\n") : "";
    const std::string text =
        absl::StrCat("id: ", event, "\n", version, "data: ", attempt,
                     std::string(padding, 'x'), "\n\n");
    is_ok = co_await exchange.Write(text);
  }
  if (is_ok) co_await exchange.EndStream();
}

}  // namespace applehall

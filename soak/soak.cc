#include "soak/soak.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kStreamCallers = 12;
constexpr Duration kCoolDown = seconds(9);
// A leaving server gets no new requests after 2 s; the remainder allows for a
// loaded machine.
constexpr Duration kDrainBound = milliseconds(3500);
// Minimum share of the requests without faults that must be served; below it
// the soak proves nothing.
constexpr double kMinServedShare = 0.5;

// Time without other faults, so that the quarantine bound applies to all hosts:
// two servers of a kind crash within 3 s, as a crashed one is replaced after
// 1.5 s, and the hosts quarantine the message within 4.5 s.
constexpr Duration kPoisonOnlyTime = seconds(15);
// Within 4 s a limited server may receive 1.5 times its limit plus five
// requests. Counts requests of hosts that forwarded a response with the limit
// at least 0.5 s before; each limit applies 3 s after its announcement.
constexpr Duration kLimitWindow = seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr int kLimitSlack = 5;
constexpr Duration kLimitPropagation = seconds(3);
constexpr Duration kLimitGrace = milliseconds(500);
// Time after which a cut of a host counts.
constexpr Duration kTimeToRecover = seconds(3);
// Time without other faults in a soak with cuts.
constexpr Duration kCutsOnlyTime = seconds(25);
// Slots of each server in a soak with cuts: few, so that servers are filled.
constexpr int kFewSlots = 4;
constexpr const char* kPoisonKinds[] = {"once", "again", "stream", "rare"};
constexpr const char* kBadParts[] = {"bad-1", "bad-2"};

bool MeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool MayRepeat(const std::string& kind) {
  return kind == "again" || kind == "stream" || kind.starts_with("added");
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int event = 1; event <= kEvents; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: ", id, "\n\n");
  }
  return text;
}

}  // namespace

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      platform_(io_, options_.seed,
                kModels + (options_.has_rare ? kRareModels : 0)),
      server_links_(io_),
      hosts_(options_.daemon, options_.folder, options_.seed),
      client_(io_) {
  if (options_.has_cuts) platform_.SetCapacity(kFewSlots);
  if (options_.has_uneven) platform_.MakeUneven(kFewSlots);
  platform_.PutConfig({});
  int apps = options_.has_uneven ? kUnevenServers : 3;
  while (apps-- > 0) platform_.StartApp();
  for (int i = 0; i < 4; ++i) {
    platform_.StartEngine({absl::StrCat("m", i % kModels)});
  }
  for (int i = 0; i < options_.hosts; ++i) {
    Address store = platform_.store_address();
    if (options_.has_cuts) {
      store = platform_.AddStoreView([this, i](const Address& server) {
        return server_links_.AddressFor(i, server);
      });
    }
    store_proxies_.push_back(std::make_unique<FaultProxy>(io_, store));
    // With cuts each host has addresses of its own for the servers, so what one
    // reads from the store is of no use to another.
    hosts_.Add(store_proxies_.back()->address(),
               options_.has_cuts ? "store_relay" : "");
  }
}

std::vector<std::string> Soak::Run() {
  ends_at_ = clock_.Now() + kWarmUp + options_.length;
  for (int host = 0; host < hosts_.count(); ++host) {
    hosts_.Start(host);
    for (int i = 0; i < options_.callers_per_host; ++i) {
      ++callers_running_;
      asio::co_spawn(io_, RunCaller(host, random_.Next()), asio::detached);
    }
  }
  asio::co_spawn(io_, RunFaults(), asio::detached);
  for (const char* kind : kPoisonKinds) {
    if (!options_.has_poison) break;
    ++callers_running_;
    asio::co_spawn(io_, RunPoisonCaller(kind), asio::detached);
  }
  for (const char* part : kBadParts) {
    if (!options_.has_parts) break;
    ++callers_running_;
    asio::co_spawn(io_, RunPartCaller(part), asio::detached);
  }
  for (int i = 0; i < kRareModels && options_.has_rare; ++i) {
    ++callers_running_;
    asio::co_spawn(io_, RunRareCaller(i), asio::detached);
  }
  for (int i = 0; i < kStreamCallers && options_.has_versions; ++i) {
    ++callers_running_;
    asio::co_spawn(io_, RunStreamCaller(options_.seed * 100 + i),
                   asio::detached);
  }
  if (options_.has_versions) asio::co_spawn(io_, RunVersions(), asio::detached);
  if (options_.has_leaving) asio::co_spawn(io_, RunStands(), asio::detached);
  for (int i = 0; i < hosts_.count() && options_.has_restarts; ++i) {
    asio::co_spawn(io_, RunRestarts(i), asio::detached);
  }
  const int leaving = options_.has_leaving ? hosts_.count() * 4 : 0;
  for (int i = 0; i < leaving; ++i) {
    ++callers_running_;
    asio::co_spawn(
        io_, RunLeavingCaller(i % hosts_.count(), options_.seed * 100 + i),
        asio::detached);
  }
  if (options_.has_limits) asio::co_spawn(io_, RunLimits(), asio::detached);
  if (options_.has_cuts) {
    asio::co_spawn(io_, RunCuts(), asio::detached);
    asio::co_spawn(io_, RunWeakServers(), asio::detached);
  }
  const TimePoint last = ends_at_ + kCoolDown;
  while (callers_running_ > 0 && clock_.Now() < last) {
    io_.run_for(milliseconds(50));
    io_.restart();
  }
  std::vector<std::string> broken = platform_.violations();
  if (callers_running_ > 0) broken.push_back("HANG a request has no answer");
  if (options_.has_restarts) StopAll(broken);
  if (platform_.refused_queries() > 0) {
    broken.push_back(absl::StrCat("QUERY ", platform_.refused_queries(),
                                  " malformed calls to the store"));
  }
  for (const std::string& end : hosts_.unexpected_ends()) {
    broken.push_back("CRASH " + end);
  }
  CheckAnswers(broken);
  CheckRuns(broken);
  CheckPoison(broken);
  CheckLimits(broken);
  CheckRare(broken);
  CheckCuts(broken);
  CheckBrittle(broken);
  CheckStreams(broken);
  CheckUneven(broken);
  CheckLeaving(broken);
  return broken;
}

void Soak::RecordAnswer(const HttpResult& result, RequestRecord& view) {
  view.status = result.response.status;
  view.body = result.response.body;
  const auto stamp = result.response.headers.find("x-server-stamp");
  if (stamp != result.response.headers.end()) view.stamp = stamp->second;
}

asio::awaitable<void> Soak::RunCaller(int host, uint64_t seed) {
  Random random(seed);
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    const std::string id = absl::StrCat("a", seed, "-", random.Next());
    RequestRecord& view = sent_requests_[id];
    const uint64_t drawn = random.Below(10);
    view.kind = drawn < 3 ? "once" : drawn < 6 ? "again" : "stream";
    if (drawn == 9) view.kind = "rare";
    view.host = host;
    view.sent_at = clock_.Now();
    for (const auto& [cut_host, times] : cuts_) {
      const bool is_cut = !times.empty() &&
                          times.back().second == TimePoint{} &&
                          view.sent_at - times.back().first > kTimeToRecover;
      if (is_cut && cut_host == host) view.is_cut = true;
      if (is_cut && cut_host != host) view.is_beside_cut = true;
    }
    is_calm_[id] = view.sent_at > disturbed_until_;
    HttpCall call;
    call.address = hosts_.caller_address(host);
    call.request.method = "POST";
    call.request.target = absl::StrCat("/", view.kind, "/x");
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = id;
    call.request.headers["x-deadline-ms"] = "4000";
    call.request.headers["x-hold"] = "mine";
    const bool is_stream = view.kind == "stream" || view.kind == "rare";
    if (is_stream) {
      call.request.headers["x-model"] =
          absl::StrCat("m", random.Below(kModels));
    }
    if (is_stream && options_.has_parts) {
      call.request.headers["x-prompt-prefix"] = absl::StrCat(
          "a:350,b", random.Below(kSharedParts), ":90,", id, ":20");
    }
    call.request.body = "body";
    call.connect_timeout = milliseconds(500);
    call.header_timeout = kCallTimeout;
    call.fresh_connection = random.Below(4) == 0;
    const HttpResult result = co_await client_.Fetch(call);
    if (result.state == SendState::kAnswered) {
      RecordAnswer(result, view);
      RecordLimit(host, result.response);
    }
    view.took = clock_.Now() - view.sent_at;
    if (view.sent_at < disturbed_until_) is_calm_[id] = false;
    co_await Sleep(io_, milliseconds(5 + random.Below(40)));
  }
  --callers_running_;
}

asio::awaitable<void> Soak::RunLimits() {
  // A separate generator keeps the faults of a seed the same without limits.
  Random random(options_.seed + 2);
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    const std::vector<std::string> servers =
        platform_.Servers(random.Below(2) == 0);
    if (!servers.empty()) {
      const std::string& id = servers[random.Below(servers.size())];
      std::optional<double> limit = 0.3 + 6 * random.Unit();
      if (random.Below(4) == 0) limit.reset();
      if (random.Below(8) == 0) limit = 0;
      platform_.AnnounceLimit(id, limit);
      faults_.push_back(limit ? absl::StrCat("limit ", id, " ", *limit)
                              : absl::StrCat("no limit ", id));
    }
    co_await Sleep(io_, milliseconds(1000 + random.Below(7000)));
  }
}

void Soak::RecordLimit(int host, const HttpResponse& response) {
  const auto server = response.headers.find(kServerHeader);
  if (server == response.headers.end() ||
      !response.headers.contains(kLimitHeader)) {
    return;
  }
  limit_received_at_.try_emplace({host, server->second}, clock_.Now());
}

void Soak::Excuse(int host, Duration lasts) {
  const TimePoint now = clock_.Now();
  excused_[host].push_back({now, now + lasts + kLimitPropagation});
}

bool Soak::IsExcused(int host, TimePoint at) const {
  const auto spans = excused_.find(host);
  if (spans == excused_.end()) return false;
  return std::any_of(
      spans->second.begin(), spans->second.end(),
      [at](const auto& span) { return at >= span.first && at < span.second; });
}

std::vector<TimePoint> Soak::ArrivalsWithKnownLimit(
    const std::string& server) const {
  std::vector<TimePoint> times;
  const auto arrivals = platform_.arrivals().find(server);
  if (arrivals == platform_.arrivals().end()) return times;
  for (const AttemptArrival& arrival : arrivals->second) {
    const auto sent = sent_requests_.find(arrival.attempt);
    if (sent == sent_requests_.end()) continue;
    const int host = sent->second.host;
    const auto received = limit_received_at_.find({host, server});
    const bool is_known = received != limit_received_at_.end() &&
                          arrival.at >= received->second + kLimitGrace;
    if (is_known && !IsExcused(host, arrival.at)) times.push_back(arrival.at);
  }
  return times;
}

std::optional<double> Soak::HighestLimit(
    const std::vector<AnnouncedLimit>& announced, TimePoint from,
    TimePoint to) {
  double highest = 0;
  bool has_begun = false;
  for (size_t i = 0; i < announced.size(); ++i) {
    const bool is_over =
        i + 1 < announced.size() && announced[i + 1].since <= from;
    if (is_over || announced[i].since > to) continue;
    if (!announced[i].per_second) return std::nullopt;
    has_begun = has_begun || announced[i].since <= from;
    highest = std::max(highest, *announced[i].per_second);
  }
  if (!has_begun) return std::nullopt;
  return highest;
}

void Soak::CheckLimits(std::vector<std::string>& broken) const {
  for (const auto& [server, announced] : platform_.limits()) {
    const std::vector<TimePoint> arrivals = ArrivalsWithKnownLimit(server);
    size_t first = 0;
    for (size_t i = 0; i < arrivals.size(); ++i) {
      while (arrivals[i] - arrivals[first] > kLimitWindow) ++first;
      const std::optional<double> limit = HighestLimit(
          announced, arrivals[first] - kLimitPropagation, arrivals[i]);
      if (!limit) continue;
      const double allowed =
          *limit * ToSeconds(kLimitWindow) * kLimitFactor + kLimitSlack;
      const size_t count = i - first + 1;
      if (static_cast<double>(count) <= allowed) continue;
      broken.push_back(absl::StrCat("LIMIT ", server, " takes ", *limit,
                                    " requests a second and received ", count,
                                    " in 4 s"));
      break;
    }
  }
}

void Soak::RecordFault(const std::string& fault) {
  faults_.push_back(fault);
  MarkDisturbed();
}

asio::awaitable<void> Soak::RunFaults() {
  co_await Sleep(io_, kWarmUp + seconds(1));
  const bool is_poisoned = options_.has_poison || options_.has_parts;
  if (is_poisoned) co_await Sleep(io_, kPoisonOnlyTime);
  if (options_.has_cuts) co_await Sleep(io_, kCutsOnlyTime);
  while (clock_.Now() + seconds(8) < ends_at_) {
    co_await InjectFault();
    // Some faults overlap, others start after the hosts have recovered.
    const bool overlaps = random_.Below(3) > 0;
    co_await Sleep(io_,
                   milliseconds(overlaps ? 300 + random_.Below(900) : 7000));
  }
}

asio::awaitable<void> Soak::RestartHost(int host, int signal) {
  Excuse(host, seconds(6));
  hosts_.Signal(host, signal);
  for (int i = 0; i < 500 && hosts_.IsRunning(host); ++i) {
    co_await Sleep(io_, milliseconds(10));
  }
  if (hosts_.IsRunning(host)) hosts_.Signal(host, SIGKILL);
  co_await Sleep(io_, milliseconds(100 + random_.Below(500)));
  hosts_.Start(host);
  MarkDisturbed();
}

asio::awaitable<void> Soak::InjectFault() {
  const int host = static_cast<int>(random_.Below(hosts_.count()));
  FaultProxy& proxy = *store_proxies_[host];
  const Duration span = milliseconds(500 + random_.Below(3000));
  switch (random_.Below(11)) {
    case 0:
      RecordFault(absl::StrCat("kill ", host));
      co_await RestartHost(host, SIGKILL);
      break;
    case 1:
      RecordFault(absl::StrCat("term ", host));
      co_await RestartHost(host, SIGTERM);
      break;
    case 2:
      RecordFault(absl::StrCat("freeze ", host));
      Excuse(host, span);
      co_await StandStill(host, span);
      break;
    case 3: {
      const auto mode = static_cast<FaultProxy::Mode>(1 + random_.Below(3));
      RecordFault(
          absl::StrCat("store link ", host, " mode ", static_cast<int>(mode)));
      Excuse(host, span);
      proxy.SetMode(mode);
      co_await Sleep(io_, span);
      proxy.SetMode(FaultProxy::Mode::kPass);
      break;
    }
    case 4:
      RecordFault(absl::StrCat("store link ", host, " reset"));
      proxy.ResetAll();
      break;
    case 5: {
      const bool is_silent = random_.Below(2) == 0;
      RecordFault(is_silent ? "store silent" : "store refuses");
      platform_.SetStoreMode(is_silent
                                 ? PlatformStandin::StoreMode::kUnresponsive
                                 : PlatformStandin::StoreMode::kRefusing);
      co_await Sleep(io_, span);
      platform_.SetStoreMode(PlatformStandin::StoreMode::kUp);
      break;
    }
    case 6: {
      const bool is_engine = random_.Below(2) == 0;
      const auto servers = platform_.Servers(is_engine);
      if (servers.size() < 2) break;
      const std::string& id = servers[random_.Below(servers.size())];
      RecordFault(absl::StrCat("drain ", id));
      if (is_engine) {
        platform_.StartEngine({absl::StrCat("m", random_.Below(kModels))});
      } else {
        platform_.StartApp();
      }
      platform_.Drain(id);
      break;
    }
    case 7: {
      const auto servers = platform_.Servers(true);
      if (servers.size() < 2) break;
      const std::string& id = servers[random_.Below(servers.size())];
      RecordFault(absl::StrCat("crash ", id));
      platform_.Stop(id, /*is_delisted=*/false);
      co_await Sleep(io_, seconds(1));
      platform_.Stop(id, /*is_delisted=*/true);
      platform_.StartEngine({});
      break;
    }
    case 8:
      added_routes_.push_back(absl::StrCat("added", added_routes_.size()));
      faults_.push_back("config");
      platform_.PutConfig(added_routes_);
      break;
    case 9:
      RecordFault("streams break");
      platform_.SetBreakEvery(4);
      co_await Sleep(io_, span);
      platform_.SetBreakEvery(0);
      break;
    default:
      RecordFault("kill all");
      for (int i = 0; i < hosts_.count(); ++i) {
        Excuse(i, seconds(1));
        hosts_.Signal(i, SIGKILL);
      }
      co_await Sleep(io_, milliseconds(300));
      for (int i = 0; i < hosts_.count(); ++i) hosts_.Start(i);
      break;
  }
  MarkDisturbed();
}

void Soak::CheckAnswers(std::vector<std::string>& broken) const {
  int calm = 0;
  int served = 0;
  for (const auto& [id, view] : sent_requests_) {
    const bool is_stream = view.kind == "stream" || view.kind == "rare";
    const bool is_success = view.status / 100 == 2;
    const std::string whole =
        is_stream ? WholeStream(id) : absl::StrCat("answer to ", id);
    // Fetch() reports an answer that breaks off within the body as not
    // answered.
    if (is_success && (view.body != whole || view.stamp != "stamp-" + id)) {
      broken.push_back(absl::StrCat("MIXED ", view.kind, " ", id, " got \"",
                                    view.body.substr(0, 60), "\""));
    }
    if (view.status == 404) {
      broken.push_back(absl::StrCat("DENIED ", view.kind, " ", id));
    }
    if (!is_calm_.at(id)) continue;
    ++calm;
    served += is_success ? 1 : 0;
  }
  if (calm > 20 && served < kMinServedShare * calm) {
    broken.push_back(absl::StrCat("SERVED ", served, " of ", calm,
                                  " requests sent without faults"));
  }
}

void Soak::CheckRuns(std::vector<std::string>& broken) const {
  for (const auto& [id, runs] : platform_.runs()) {
    const auto sent = sent_requests_.find(id);
    if (sent == sent_requests_.end()) {
      broken.push_back("UNASKED " + id);
      continue;
    }
    const RequestRecord& view = sent->second;
    if (!MayRepeat(view.kind) && runs.size() > 1) {
      broken.push_back(absl::StrCat("TWICE ", view.kind, " ", id, " ran ",
                                    runs.size(), " times"));
    }
    if (!MayRepeat(view.kind) && MeansNotExecuted(view.status)) {
      broken.push_back(absl::StrCat("REFUSED ", view.kind, " ", id, " got ",
                                    view.status, " and ran"));
    }
    for (const ServedRun& run : runs) {
      const auto left = platform_.withdrawn_at().find(run.server);
      if (left == platform_.withdrawn_at().end() || !is_calm_.at(id)) continue;
      if (run.at > left->second + kDrainBound) {
        broken.push_back(absl::StrCat("DRAIN ", id, " reached ", run.server));
      }
    }
  }
}

std::string Soak::Summary() const {
  std::map<int, int> by_status;
  for (const auto& [id, view] : sent_requests_) ++by_status[view.status];
  std::string text =
      absl::StrCat("seed=", options_.seed, " hosts=", options_.hosts,
                   " requests=", sent_requests_.size());
  for (const auto& [status, count] : by_status) {
    absl::StrAppend(&text, " ", status == 0 ? "none" : absl::StrCat(status),
                    "=", count);
  }
  for (const auto& [body, runs] : platform_.poison_runs()) {
    absl::StrAppend(&text, " ", body, "=", runs.size());
  }
  for (const auto& [status, count] : poison_answers_) {
    absl::StrAppend(&text, " poison_", status, "=", count);
  }
  if (options_.has_versions) {
    absl::StrAppend(&text, " streams=", streams_.size(),
                    " calm_new=", new_streams_.served, "/", new_streams_.asked,
                    " calm_resumed=", resumptions_.served, "/",
                    resumptions_.asked);
  }
  absl::StrAppend(&text, UnevenSummary(), LeavingSummary(),
                  " faults=", faults_.size());
  for (const std::string& fault : faults_) absl::StrAppend(&text, "; ", fault);
  return text;
}

}  // namespace applehall

#include "trial/trial_latency.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "core/clock.h"
#include "drivers/http_client.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr int kStreams = 16;
constexpr int kTokens = 400;

double Quantile(std::vector<double>& values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

HttpCall MakeCall(const Address& address, const std::string& target,
                  std::string body) {
  HttpCall call;
  call.address = address;
  call.request.method = "POST";
  call.request.target = target;
  call.request.body = std::move(body);
  call.header_timeout = std::chrono::seconds(30);
  return call;
}

struct Times {
  std::vector<double> direct_us;
  std::vector<double> through_us;
};

asio::awaitable<void> TimeCalls(HttpClient& client, const HttpCall& direct,
                                const HttpCall& through, int calls,
                                Times& times) {
  const SystemClock clock{};
  for (int i = 0; i < calls; ++i) {
    TimePoint start = clock.Now();
    (void)co_await client.Fetch(direct);
    times.direct_us.push_back(ToSeconds(clock.Now() - start) * 1e6);
    start = clock.Now();
    (void)co_await client.Fetch(through);
    times.through_us.push_back(ToSeconds(clock.Now() - start) * 1e6);
  }
}

asio::awaitable<void> ReadStream(HttpClient& client, const HttpCall& call,
                                 uint64_t& bytes) {
  const HttpResult result = co_await client.Fetch(call);
  bytes += result.response.body.size();
}

// Reads kStreams concurrent streams to their ends and returns the time taken in
// seconds.
double TimeStreams(const HttpCall& call, uint64_t& bytes) {
  asio::io_context io;
  HttpClient client(io);
  const SystemClock clock{};
  const TimePoint start = clock.Now();
  for (int i = 0; i < kStreams; ++i) {
    asio::co_spawn(io, ReadStream(client, call, bytes), asio::detached);
  }
  io.run();
  return ToSeconds(clock.Now() - start);
}

}  // namespace

absl::StatusOr<Json> MeasureLatency(const TrialDeployment& deployment,
                                    int calls) {
  const absl::StatusOr<Json> hosts =
      CallJson(deployment.platform(), "GET", "/hosts");
  if (!hosts.ok()) return hosts.status();
  const TrialHost& entry = deployment.hosts().front();
  std::string service;
  std::string service_address;
  std::string engine_address;
  for (const Json& host : (*hosts)["hosts"]) {
    if (FieldOr<std::string>(host, "data_centre", "") != entry.data_centre) {
      continue;
    }
    const std::string kind = FieldOr<std::string>(host, "kind", "");
    if (kind == "service") {
      service = FieldOr<std::string>(host, "service", "");
      service_address = FieldOr<std::string>(host, "address", "");
    }
    if (kind == "engine") {
      engine_address = FieldOr<std::string>(host, "address", "");
    }
  }
  const absl::StatusOr<Address> at_service = ParseAddress(service_address);
  if (!at_service.ok()) return at_service.status();
  Times times;
  {
    asio::io_context io;
    HttpClient client(io);
    const HttpCall direct = MakeCall(*at_service, "/search", "{}");
    const HttpCall through = MakeCall(
        entry.callers, absl::StrCat("/services/", service, "/search"), "{}");
    asio::co_spawn(io, TimeCalls(client, direct, through, calls, times),
                   asio::detached);
    io.run();
  }
  const std::string model = CallJson(entry.callers, "GET", "/v1/models")
                                .value_or(Json())["data"][0]["id"]
                                .get<std::string>();
  const std::string body = Json{
      {"model", model},
      {"messages", {{{"role", "user"}, {"content", "x"}}}},
      {"max_tokens", kTokens},
      {"stream", true}}.dump();
  const HttpCall streamed =
      MakeCall(entry.callers, "/v1/chat/completions", body);
  uint64_t bytes = 0;
  (void)TimeStreams(streamed, bytes);  // Loads the model first.
  bytes = 0;
  const double seconds = TimeStreams(streamed, bytes);
  const double chunks = static_cast<double>(bytes) / 130.0;
  Json result{{"calls", calls},
              {"direct_p50_us", Quantile(times.direct_us, 0.5)},
              {"direct_p99_us", Quantile(times.direct_us, 0.99)},
              {"through_p50_us", Quantile(times.through_us, 0.5)},
              {"through_p99_us", Quantile(times.through_us, 0.99)},
              {"stream_seconds", seconds},
              {"stream_bytes", bytes},
              {"stream_chunks_per_second", chunks / seconds}};
  result["added_p50_us"] = result["through_p50_us"].get<double>() -
                           result["direct_p50_us"].get<double>();
  result["added_p99_us"] = result["through_p99_us"].get<double>() -
                           result["direct_p99_us"].get<double>();
  return result;
}

}  // namespace applehall

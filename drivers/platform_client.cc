#include "drivers/platform_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "core/event_log.h"
#include "drivers/background_task.h"
#include "drivers/http_query.h"
#include "drivers/sleep.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxQueuedAppends = 4096;
constexpr Duration kLongPollWait = std::chrono::milliseconds(1000);
constexpr Duration kReadTimeout = std::chrono::milliseconds(2500);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(2000);
constexpr Duration kHostListInterval = std::chrono::milliseconds(500);
constexpr Duration kCatalogueInterval = std::chrono::seconds(5);
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kFullChannelWait = std::chrono::milliseconds(1);
constexpr Duration kNotReaderWait = std::chrono::milliseconds(200);
constexpr int kNotModified = 304;

TimePoint ReadFreshness(const HttpHeaders& headers) {
  const auto it = headers.find("applehall-as-of-ms");
  int64_t millis = 0;
  if (it != headers.end()) (void)absl::SimpleAtoi(it->second, &millis);
  return FromUnixMillis(millis);
}

}  // namespace

std::optional<LogBatch> ParseLogBatch(const std::string& stream, LogOffset from,
                                      const std::string& body) {
  const absl::StatusOr<Json> json = ParseJson(body);
  if (!json.ok() || !json->is_object()) return std::nullopt;
  const auto records = json->find("records");
  if (records == json->end() || !records->is_array()) return std::nullopt;
  LogBatch batch;
  batch.stream = stream;
  batch.first_offset = FieldOr<uint64_t>(*json, "first_offset", 1);
  batch.next_offset = FieldOr<uint64_t>(*json, "next_offset", 1);
  LogOffset expected = std::max(from, batch.first_offset);
  for (const Json& item : *records) {
    LogRecord record{FieldOr<uint64_t>(item, "offset", expected),
                     FromUnixMillis(FieldOr<int64_t>(item, "time_ms", 0)),
                     FieldOr<std::string>(item, "payload", "")};
    // Readers stop at a gap; a record without a payload has no effect.
    if (record.payload.empty()) {
      LogEvent(LogLevel::kWarning, "record_skipped")
          .With("stream", stream)
          .With("offset", record.offset);
    }
    expected = record.offset + 1;
    batch.records.push_back(std::move(record));
  }
  return batch;
}

Catalogue ParseCatalogue(const std::string& body) {
  Catalogue catalogue;
  const absl::StatusOr<Json> json = ParseJson(body);
  if (!json.ok() || !json->is_array()) return catalogue;
  for (const Json& item : *json) {
    CatalogueEntry entry{FieldOr<std::string>(item, "name", ""),
                         FieldOr<std::string>(item, "base", ""),
                         FieldOr<uint64_t>(item, "bytes", 0)};
    if (!entry.name.empty()) catalogue.push_back(std::move(entry));
  }
  return catalogue;
}

PlatformClient::PlatformClient(PlatformAddresses addresses,
                               std::string data_centre,
                               DecisionThread& decisions)
    : addresses_(std::move(addresses)),
      data_centre_(std::move(data_centre)),
      decisions_(decisions),
      thread_(kMaxQueuedAppends),
      client_(thread_.io()) {}

void PlatformClient::Start() {
  for (const char* stream : {kControlStream, kClaimsStream}) {
    StartDuty(thread_.io(), absl::StrCat("poll_stream ", stream),
              [this, stream] { return PollStream(stream); });
  }
  StartDuty(thread_.io(), "poll_hosts", [this] { return PollHosts(); });
  StartDuty(thread_.io(), "poll_catalogue", [this] { return PollCatalogue(); });
  thread_.Start();
}

void PlatformClient::Stop() { thread_.Stop(); }

HttpCall PlatformClient::MakeCall(const Address& address,
                                  const std::string& method,
                                  const std::string& target, std::string body,
                                  Duration timeout) const {
  HttpCall call;
  call.address = address;
  call.request.method = method;
  call.request.target = target;
  call.request.headers["applehall-data-centre"] = data_centre_;
  call.request.body = std::move(body);
  call.header_timeout = timeout;
  return call;
}

asio::awaitable<void> PlatformClient::Deliver(const Event& event) {
  while (!decisions_.TryPush(event))
    co_await Sleep(thread_.io(), kFullChannelWait);
}

asio::awaitable<void> PlatformClient::PollStream(std::string stream) {
  LogOffset from = 1;
  const bool is_control = stream == kControlStream;
  while (true) {
    if (is_control) {
      if (!decisions_.wants_control_reads()) {
        co_await Sleep(thread_.io(), kNotReaderWait);
        continue;
      }
      // Skips records that this host has already received from peers.
      from = std::max(from, decisions_.control_offset());
    }
    QueryParameters query;
    query.emplace_back("from", absl::StrCat(from));
    query.emplace_back("wait_ms", absl::StrCat(ToMillis(kLongPollWait)));
    const std::string target =
        TargetWithQuery(absl::StrCat("/log/", stream, "/read"), query);
    const HttpCall call =
        MakeCall(addresses_.log, "GET", target, "", kReadTimeout);
    const HttpResult result = co_await client_.Fetch(call);
    std::optional<LogBatch> batch;
    if (result.is_ok()) {
      batch = ParseLogBatch(stream, from, result.response.body);
    }
    const bool is_stuck =
        batch && !batch->records.empty() && batch->records.back().offset < from;
    if (!batch || is_stuck) {
      const Event failed = LogUnavailable{};
      co_await Deliver(failed);
      co_await Sleep(thread_.io(), kRetryInterval);
      continue;
    }
    from = std::max(from, batch->first_offset);
    if (!batch->records.empty()) from = batch->records.back().offset + 1;
    const Event read = LogBatchRead{*std::move(batch)};
    co_await Deliver(read);
  }
}

asio::awaitable<void> PlatformClient::PollHosts() {
  QueryParameters query;
  query.emplace_back("near", data_centre_);
  const std::string target = TargetWithQuery("/hosts", query);
  std::string list_etag;
  while (true) {
    HttpCall call = MakeCall(addresses_.hosts, "GET", target, "", kReadTimeout);
    // Unchanged lists are not sent again: with thousands of hosts they would be
    // most of the traffic that a host receives.
    if (!list_etag.empty()) call.request.headers["if-none-match"] = list_etag;
    const HttpResult result = co_await client_.Fetch(call);
    const HttpHeaders& headers = result.response.headers;
    if (result.state == SendState::kAnswered &&
        result.response.status == kNotModified) {
      const Event confirmed = HostListConfirmed{ReadFreshness(headers)};
      co_await Deliver(confirmed);
    } else if (result.is_ok()) {
      const auto etag = headers.find("etag");
      list_etag = etag == headers.end() ? "" : etag->second;
      const absl::StatusOr<Json> json = ParseJson(result.response.body);
      if (json.ok()) {
        const Event read = HostListRead{HostList::FromJson(*json)};
        co_await Deliver(read);
      }
    }
    co_await Sleep(thread_.io(), kHostListInterval);
  }
}

asio::awaitable<void> PlatformClient::PollCatalogue() {
  while (true) {
    const HttpCall call =
        MakeCall(addresses_.store, "GET", "/catalogue", "", kReadTimeout);
    const HttpResult result = co_await client_.Fetch(call);
    if (result.is_ok()) {
      const Event read = CatalogueRead{ParseCatalogue(result.response.body)};
      co_await Deliver(read);
    }
    co_await Sleep(thread_.io(),
                   result.is_ok() ? kCatalogueInterval : kRetryInterval);
  }
}

void PlatformClient::Append(const AppendRecord& action) {
  const bool is_posted = thread_.TryPost([this, action] {
    StartTask(thread_.io(), "append", RunAppend(action), [this, action] {
      (void)decisions_.TryPush(AppendEnded{action.record_id, false});
    });
  });
  // If the channel is full too, the writer's timeout ends the append.
  if (!is_posted)
    (void)decisions_.TryPush(AppendEnded{action.record_id, false});
}

asio::awaitable<void> PlatformClient::RunAppend(AppendRecord action) {
  const std::string target = absl::StrCat("/log/", action.stream, "/append");
  const HttpCall call =
      MakeCall(addresses_.log, "POST", target, action.payload, kAppendTimeout);
  const HttpResult result = co_await client_.Fetch(call);
  if (!result.is_ok()) {
    const Event failed = LogUnavailable{};
    co_await Deliver(failed);
  }
  const Event ended = AppendEnded{action.record_id, result.is_ok()};
  co_await Deliver(ended);
}

}  // namespace applehall

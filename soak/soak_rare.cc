// The part of Soak with models that a single caller asks for.

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "soak/soak.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRareInterval = milliseconds(800);
// How long a caller that keeps asking goes unserved at most: the time after
// which its model takes precedence, and a turn for each of the rare models.
constexpr Duration kUnservedLimit = seconds(12) + kRareModels * seconds(4);

}  // namespace

asio::awaitable<void> Soak::RunRareCaller(int index) {
  const int host = index % hosts_.count();
  RareCaller& caller = rare_callers_[absl::StrCat("m", kModels + index)];
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    const std::string id = absl::StrCat("rare-", index, "-", caller.requests++);
    HttpCall call;
    call.address = hosts_.caller_address(host);
    call.request.method = "POST";
    call.request.target = "/stream/x";
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = id;
    call.request.headers["x-deadline-ms"] = "4000";
    call.request.headers["x-model"] = absl::StrCat("m", kModels + index);
    call.request.body = "body";
    call.connect_timeout = milliseconds(500);
    call.header_timeout = kCallTimeout;
    const bool was_calm = clock_.Now() > disturbed_until_;
    const TimePoint sent_at = clock_.Now();
    RequestRecord& view = sent_requests_[id];
    view.kind = "stream";
    view.host = host;
    view.sent_at = sent_at;
    is_calm_[id] = false;  // They are refused more often than others.
    const HttpResult result = co_await client_.Fetch(call);
    if (result.state == SendState::kAnswered) RecordAnswer(result, view);
    const bool is_served = view.status / 100 == 2;
    co_await Sleep(io_, kRareInterval);
    caller.served += is_served ? 1 : 0;
    if (is_served) caller.unserved = Duration{0};
    const bool is_calm = was_calm && clock_.Now() > disturbed_until_;
    if (!is_served && is_calm) caller.unserved += clock_.Now() - sent_at;
    caller.longest_unserved =
        std::max(caller.longest_unserved, caller.unserved);
  }
  --callers_running_;
}

// Only time without faults counts.
void Soak::CheckRare(std::vector<std::string>& broken) const {
  for (const auto& [model, caller] : rare_callers_) {
    if (caller.longest_unserved <= kUnservedLimit) continue;
    broken.push_back(absl::StrCat(
        "STARVED ", model, " unserved for ", ToMillis(caller.longest_unserved),
        " ms, ", caller.served, " of ", caller.requests, " requests served"));
  }
}

}  // namespace applehall

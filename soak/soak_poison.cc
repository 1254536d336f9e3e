// The part of Soak with requests, and parts of prompts, that crash servers.

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "soak/soak.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// The hosts have 3 s to quarantine a poison message at all hosts; the remainder
// allows for a loaded machine.
constexpr Duration kQuarantineBound = milliseconds(4500);
constexpr int kMaxRepeats = 3;
constexpr Duration kPoisonPause = milliseconds(300);

}  // namespace

asio::awaitable<void> Soak::RunPoisonCaller(std::string kind) {
  // A separate generator keeps the faults of a seed the same without poison.
  Random random(options_.seed + 1);
  co_await Sleep(io_, kWarmUp);
  for (int i = 0; clock_.Now() < ends_at_; ++i) {
    const std::string id = absl::StrCat("poison-", kind, "-", i);
    is_calm_[id] = clock_.Now() > disturbed_until_;
    HttpCall call;
    call.address = hosts_.caller_address(
        static_cast<int>(random.Below(static_cast<uint64_t>(hosts_.count()))));
    call.request.method = "POST";
    call.request.target = absl::StrCat("/", kind, "/x");
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = id;
    call.request.headers["x-deadline-ms"] = "4000";
    const bool is_stream = kind == "stream" || kind == "rare";
    if (is_stream) call.request.headers["x-model"] = "m0";
    call.request.body = absl::StrCat(kPoisonBody, " ", kind);
    call.connect_timeout = milliseconds(500);
    call.header_timeout = kCallTimeout;
    call.fresh_connection = true;
    const HttpResult result = co_await client_.Fetch(call);
    ++poison_answers_[result.state == SendState::kAnswered
                          ? result.response.status
                          : 0];
    co_await Sleep(io_, kPoisonPause);
  }
  --callers_running_;
}

asio::awaitable<void> Soak::RunPartCaller(std::string part) {
  Random random(options_.seed * 31 + part.back());
  co_await Sleep(io_, kWarmUp);
  for (int i = 0; clock_.Now() < ends_at_; ++i) {
    const std::string id = absl::StrCat(part, "-", i);
    is_calm_[id] = clock_.Now() > disturbed_until_;
    HttpCall call;
    call.address = hosts_.caller_address(
        static_cast<int>(random.Below(static_cast<uint64_t>(hosts_.count()))));
    call.request.method = "POST";
    call.request.target = "/stream/x";
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = id;
    call.request.headers["x-deadline-ms"] = "4000";
    call.request.headers["x-model"] = "m0";
    call.request.headers["x-prompt-prefix"] = absl::StrCat(
        "a:350,b", random.Below(kSharedParts), ":90,", part, ":40,", id, ":20");
    call.request.body = absl::StrCat("body ", id);
    call.connect_timeout = milliseconds(500);
    call.header_timeout = kCallTimeout;
    call.fresh_connection = true;
    const HttpResult result = co_await client_.Fetch(call);
    ++poison_answers_[result.state == SendState::kAnswered
                          ? result.response.status
                          : 0];
    co_await Sleep(io_, kPoisonPause);
  }
  --callers_running_;
}

void Soak::CheckPoison(std::vector<std::string>& broken) const {
  for (const auto& [body, runs] : platform_.poison_runs()) {
    if (runs.size() < 3) continue;
    const TimePoint quarantined_at = runs[2].at + kQuarantineBound;
    const auto repeats =
        std::count_if(runs.begin(), runs.end(), [&](const AttemptArrival& run) {
          return run.at > quarantined_at && is_calm_.at(run.attempt);
        });
    if (repeats > kMaxRepeats) {
      broken.push_back(absl::StrCat("REPEATED ", body, " ended ", runs.size(),
                                    " servers, ", repeats,
                                    " of them after the quarantine was due"));
    }
  }
}

}  // namespace applehall

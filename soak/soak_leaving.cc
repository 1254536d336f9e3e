// The part of Soak with callers that leave, and hosts that stand for a while.

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "soak/soak.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// Time after the close in which a request may still reach a server, and in
// which the work for it must end.
constexpr Duration kMaxAfterClose = milliseconds(500);
// Share of the requests that would have lasted longer whose work ends in time.
constexpr double kMinStoppedShare = 0.99;
// Longer than any caller waits.
constexpr int kLongWorkMillis = 3000;
constexpr size_t kBodyBytes = 2000;

enum class LeaveForm : uint8_t {
  kClose,
  kReset,
  kHalfSent,           // Closes within the body.
  kBytesBehind,        // Bytes that are no request follow it.
  kNextRequestBehind,  // A second request follows it.
  kOnKeptConnection,   // A request was answered on the connection before.
};
constexpr uint64_t kLeaveForms = 6;

std::string RequestText(const std::string& kind, const std::string& id,
                        uint64_t model, int work_millis) {
  return absl::StrCat("POST /", kind, "/x HTTP/1.1\r\nHost: soak.example\r\n",
                      "X-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 4000\r\n",
                      "X-Model: m", model, "\r\n", kWorkHeader, ": ",
                      work_millis, "\r\nContent-Length: ", kBodyBytes,
                      "\r\n\r\n", std::string(kBodyBytes, 'x'));
}

}  // namespace

RequestRecord& Soak::RecordLeaving(const std::string& id,
                                   const std::string& kind, int host) {
  RequestRecord& view = sent_requests_[id];
  view.kind = kind;
  view.host = host;
  view.sent_at = clock_.Now();
  is_calm_[id] = false;
  return view;
}

asio::awaitable<void> Soak::RunLeavingCaller(int host, uint64_t seed) {
  Random random(seed);
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    const std::string id = absl::StrCat("left", seed, "-", random.Next());
    const auto form = static_cast<LeaveForm>(random.Below(kLeaveForms));
    const uint64_t drawn = random.Below(3);
    const std::string kind = drawn == 0   ? "again"
                             : drawn == 1 ? "stream"
                                          : "rare";
    const uint64_t model = random.Below(kModels);
    const Address address = hosts_.caller_address(host);
    tcp::socket socket(io_);
    const auto [refused] = co_await socket.async_connect(
        tcp::endpoint(asio::ip::make_address(address.ip), address.port),
        kToken);
    if (refused) {
      co_await Sleep(io_, milliseconds(50));
      continue;
    }
    std::string text = RequestText(kind, id, model, kLongWorkMillis);
    if (form == LeaveForm::kHalfSent) text.resize(text.size() - kBodyBytes / 2);
    if (form == LeaveForm::kBytesBehind) text += "\r\n";
    if (form == LeaveForm::kNextRequestBehind) {
      const std::string next = absl::StrCat(id, "-next");
      RecordLeaving(next, kind, host);
      text += RequestText(kind, next, model, kLongWorkMillis);
    }
    if (form == LeaveForm::kOnKeptConnection) {
      const std::string first = absl::StrCat(id, "-first");
      RecordLeaving(first, "once", host);
      const std::string ask = RequestText("once", first, model, 0);
      co_await asio::async_write(socket, asio::buffer(ask), kToken);
      std::string answer;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(answer),
                                      "\r\n\r\n", kToken);
    }
    RecordLeaving(id, kind, host);
    co_await asio::async_write(socket, asio::buffer(text), kToken);
    co_await Sleep(io_, milliseconds(20 + random.Below(400)));
    if (form == LeaveForm::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
    }
    boost::system::error_code ignored;
    socket.close(ignored);
    left_at_[id] = clock_.Now();
    if (form == LeaveForm::kNextRequestBehind) {
      left_at_[absl::StrCat(id, "-next")] = clock_.Now();
    }
    co_await Sleep(io_, milliseconds(5 + random.Below(40)));
  }
  --callers_running_;
}

asio::awaitable<void> Soak::RunStands() {
  Random random(options_.seed + 5);
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    const int host =
        static_cast<int>(random.Below(static_cast<uint64_t>(hosts_.count())));
    const Duration lasts = milliseconds(200 + random.Below(1300));
    faults_.push_back(absl::StrCat("stand ", host));
    MarkDisturbed();
    co_await StandStill(host, lasts);
    co_await Sleep(io_, milliseconds(100 + random.Below(900)));
  }
}

asio::awaitable<void> Soak::StandStill(int host, Duration lasts) {
  const TimePoint from = clock_.Now();
  hosts_.Signal(host, SIGSTOP);
  co_await Sleep(io_, lasts);
  hosts_.Signal(host, SIGCONT);
  stands_[host].push_back({from, clock_.Now()});
}

bool Soak::StoodAfter(int host, TimePoint left) const {
  const auto stands = stands_.find(host);
  if (stands == stands_.end()) return false;
  return std::any_of(
      stands->second.begin(), stands->second.end(), [left](const auto& stand) {
        return stand.first <= left + kMaxAfterClose && stand.second >= left;
      });
}

std::pair<int, int> Soak::CountStopped() const {
  int runs = 0;
  int stopped = 0;
  for (const auto& [id, left] : left_at_) {
    const auto found = platform_.runs().find(id);
    if (found == platform_.runs().end()) continue;
    if (StoodAfter(sent_requests_.at(id).host, left)) continue;
    for (const ServedRun& run : found->second) {
      if (run.at + milliseconds(kLongWorkMillis) <= left + kMaxAfterClose) {
        continue;
      }
      ++runs;
      stopped += run.ended_at && *run.ended_at <= left + kMaxAfterClose;
    }
  }
  return {runs, stopped};
}

std::string Soak::LeavingSummary() const {
  if (!options_.has_leaving) return "";
  const auto [runs, stopped] = CountStopped();
  return absl::StrCat(" left=", left_at_.size(), " stopped=", stopped, "/",
                      runs);
}

void Soak::CheckLeaving(std::vector<std::string>& broken) const {
  if (!options_.has_leaving) return;
  for (const auto& [id, left] : left_at_) {
    const auto found = platform_.runs().find(id);
    if (found == platform_.runs().end()) continue;
    for (const ServedRun& run : found->second) {
      if (run.at <= left + kMaxAfterClose) continue;
      broken.push_back(absl::StrCat("GONE ", id, " reached ", run.server, " ",
                                    ToMillis(run.at - left),
                                    " ms after its caller's close"));
    }
  }
  const auto [runs, stopped] = CountStopped();
  if (stopped < kMinStoppedShare * runs) {
    broken.push_back(absl::StrCat("GONE ", runs - stopped, " of ", runs,
                                  " runs went on 0.5 s after the close"));
  }
}

}  // namespace applehall

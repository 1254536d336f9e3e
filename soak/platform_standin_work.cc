// The part of PlatformStandin with work that takes as long as a request asks.

#include <absl/strings/numbers.h>

#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "soak/platform_standin.h"

namespace applehall {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// Interval at which a server looks whether its connection is still open.
constexpr Duration kPoll = milliseconds(10);

}  // namespace

asio::awaitable<bool> PlatformStandin::WorkOnDemand(HttpExchange& exchange) {
  int millis = 0;
  (void)absl::SimpleAtoi(exchange.request().Header(kWorkHeader), &millis);
  if (millis <= 0) co_return true;
  const std::string attempt = exchange.request().Header("x-attempt-id");
  const size_t run = runs_[attempt].size() - 1;
  const TimePoint end = clock_.Now() + milliseconds(millis);
  while (clock_.Now() < end && !exchange.is_peer_disconnected()) {
    co_await Sleep(io_, kPoll);
  }
  runs_[attempt][run].ended_at = clock_.Now();
  co_return !exchange.is_peer_disconnected();
}

}  // namespace applehall

// The part of Soak with hosts that are cut from all servers, and with silent
// and brittle servers.

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

// Callers of hosts that are cut from all servers are served two thirds as often
// as those of the others, from 3 s after the cut, unless few fail at all.
constexpr double kMinShareOfOthers = 2.0 / 3;
constexpr int kFailuresAllowed = 10;
constexpr double kFailureShareAllowed = 0.02;
// A service's servers crash at most 2 + a tenth of their number times while
// they announce that they are brittle.
constexpr int kBrittleCrashes = 2;
constexpr size_t kServersPerCrash = 10;

}  // namespace

asio::awaitable<void> Soak::RunCuts() {
  // A separate generator keeps the faults of a seed the same without cuts.
  Random random(options_.seed + 3);
  co_await Sleep(io_, kWarmUp + seconds(1));
  while (clock_.Now() + seconds(10) < ends_at_) {
    asio::co_spawn(io_, CutHosts(random.Next()), asio::detached);
    const bool overlaps = random.Below(2) == 0;
    co_await Sleep(io_,
                   milliseconds(overlaps ? 1000 + random.Below(3000) : 9000));
  }
}

// Some hosts, also all but one, lose all servers at once.
asio::awaitable<void> Soak::CutHosts(uint64_t seed) {
  Random random(seed);
  const auto cut = static_cast<LinkCut>(1 + random.Below(3));
  const int most = std::max(1, hosts_.count() - 1);
  std::vector<int> chosen;
  const auto count = 1 + random.Below(static_cast<uint64_t>(most));
  for (int host = 0; host < hosts_.count() && chosen.size() < count; ++host) {
    const int drawn =
        static_cast<int>(random.Below(static_cast<uint64_t>(hosts_.count())));
    const bool is_free = server_links_.CutOf(drawn) == LinkCut::kNone;
    if (is_free && cuts_running_ < most) {
      ++cuts_running_;
      server_links_.SetCut(drawn, cut);
      cuts_[drawn].push_back({clock_.Now(), TimePoint{}});
      chosen.push_back(drawn);
    }
  }
  std::string fault = absl::StrCat("cut ", static_cast<int>(cut), " of");
  for (const int host : chosen) absl::StrAppend(&fault, " ", host);
  faults_.push_back(fault);
  co_await Sleep(io_, milliseconds(3000 + random.Below(6000)));
  for (const int host : chosen) {
    server_links_.SetCut(host, LinkCut::kNone);
    cuts_[host].back().second = clock_.Now();
    --cuts_running_;
  }
}

asio::awaitable<void> Soak::RunWeakServers() {
  Random random(options_.seed + 4);
  co_await Sleep(io_, kWarmUp + seconds(2));
  while (clock_.Now() + seconds(9) < ends_at_) {
    const bool engines = random.Below(2) == 0;
    if (random.Below(3) == 0) {
      const int max_rejected = 2 + static_cast<int>(random.Below(6));
      faults_.push_back(absl::StrCat("brittle ", max_rejected));
      platform_.BeginBrittle(engines, max_rejected);
      co_await Sleep(io_, milliseconds(5000 + random.Below(3000)));
      platform_.EndBrittle();
    } else {
      for (const std::string& id : platform_.Servers(engines)) {
        if (random.Below(3) > 0) continue;
        faults_.push_back("silent " + id);
        platform_.Silence(id,
                          clock_.Now() + milliseconds(700 + random.Below(600)));
      }
    }
    co_await Sleep(io_, milliseconds(1000 + random.Below(5000)));
  }
}

void Soak::CheckCuts(std::vector<std::string>& broken) const {
  int cut = 0, cut_served = 0, beside = 0, beside_served = 0;
  for (const auto& [id, view] : sent_requests_) {
    if (!is_calm_.at(id)) continue;
    const int served = view.status / 100 == 2 ? 1 : 0;
    if (view.is_cut) {
      ++cut;
      cut_served += served;
    } else if (view.is_beside_cut) {
      ++beside;
      beside_served += served;
    }
  }
  if (cut == 0 || beside == 0) return;
  const int failed = cut - cut_served;
  const bool are_few =
      failed <= kFailuresAllowed + kFailureShareAllowed * (cut + beside);
  const double share = 1.0 * cut_served / cut;
  const double share_beside = 1.0 * beside_served / beside;
  if (are_few || share >= kMinShareOfOthers * share_beside) return;
  broken.push_back(absl::StrCat(
      "RECOVER hosts that were cut from all servers served ", cut_served,
      " of ", cut, " requests, the others ", beside_served, " of ", beside));
}

void Soak::CheckBrittle(std::vector<std::string>& broken) const {
  for (const BrittleTime& time : platform_.brittle_times()) {
    const int allowed =
        kBrittleCrashes + static_cast<int>(time.servers / kServersPerCrash);
    if (time.crashes <= allowed) continue;
    broken.push_back(absl::StrCat(
        "LIMIT ", time.servers, " brittle servers that bear ",
        time.max_rejected, " rejections a second crashed ", time.crashes,
        " times; ", time.rejected, " requests rejected"));
  }
}

}  // namespace applehall

// Replays seeded arrivals through a simulated deployment and compares policies.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <thread>

#include "measure/experiment.h"

namespace applehall {
namespace {

const std::vector<int> kTtlMinutes = {0, 1, 2, 5, 10, 20, 40};

struct Summary {
  double cold_p99_vs_oracle = 0;
  double cold_p99_vs_ttl = 0;    // At equal idle hours.
  double idle_vs_ttl = 0;        // At equal tail.
  double cold_share_vs_ttl = 0;  // Of first requests, at equal idle hours.
  double refused_urgent_vs_oracle = 0;
  size_t promises_broken = 0;
};

// Interpolates linearly between the points (x, y) of `curve`; beyond its ends
// returns the y of the nearest point.
double Interpolate(std::vector<std::pair<double, double>> curve, double x) {
  std::sort(curve.begin(), curve.end());
  if (x <= curve.front().first) return curve.front().second;
  for (size_t i = 1; i < curve.size(); ++i) {
    if (x > curve[i].first) continue;
    const double span = curve[i].first - curve[i - 1].first;
    const double part = span == 0 ? 0 : (x - curve[i - 1].first) / span;
    return curve[i - 1].second + part * (curve[i].second - curve[i - 1].second);
  }
  return curve.back().second;
}

struct Results {
  RunResult learnt;
  RunResult oracle;
  RunResult warm;
  std::vector<RunResult> ttl;
};

Results RunAll(const UserProfile& profile, const std::string& fault,
               uint64_t seed) {
  Results results;
  results.ttl.resize(kTtlMinutes.size());
  std::vector<std::thread> threads;
  const auto start = [&](RunResult& result, PolicyChoice policy) {
    threads.emplace_back([&result, &profile, &fault, seed, policy] {
      result = RunExperiment(profile, policy, fault, seed);
    });
  };
  start(results.learnt, {"learnt", KeepPolicy::kLearnt});
  start(results.oracle, {"oracle", KeepPolicy::kOracle});
  start(results.warm, {"always warm", KeepPolicy::kAlwaysWarm});
  for (size_t i = 0; i < kTtlMinutes.size(); ++i) {
    start(results.ttl[i],
          {"ttl", KeepPolicy::kFixedTimeToLive,
           std::chrono::minutes(kTtlMinutes[i]) + std::chrono::seconds(1)});
  }
  for (std::thread& thread : threads) thread.join();
  return results;
}

Summary Compare(const Results& results) {
  Summary summary;
  std::vector<std::pair<double, double>> tail_by_idle;
  std::vector<std::pair<double, double>> idle_by_tail;
  std::vector<std::pair<double, double>> cold_by_idle;
  for (const RunResult& ttl : results.ttl) {
    tail_by_idle.emplace_back(ttl.idle_hours, ttl.first_p99);
    idle_by_tail.emplace_back(ttl.first_p99, ttl.idle_hours);
    cold_by_idle.emplace_back(ttl.idle_hours, static_cast<double>(ttl.cold));
  }
  const RunResult& learnt = results.learnt;
  summary.cold_p99_vs_oracle =
      learnt.first_p99 / std::max(1e-9, results.oracle.first_p99);
  summary.cold_p99_vs_ttl =
      learnt.first_p99 /
      std::max(1e-9, Interpolate(tail_by_idle, learnt.idle_hours));
  summary.idle_vs_ttl =
      learnt.idle_hours /
      std::max(1e-9, Interpolate(idle_by_tail, learnt.first_p99));
  summary.cold_share_vs_ttl =
      static_cast<double>(learnt.cold) /
      std::max(1.0, Interpolate(cold_by_idle, learnt.idle_hours));
  size_t lost = 0;
  for (const size_t index : results.oracle.urgent_answered) {
    lost += !learnt.urgent_answered.contains(index);
  }
  summary.refused_urgent_vs_oracle =
      static_cast<double>(lost) /
      std::max<double>(1, results.oracle.urgent_answered.size());
  for (const RunResult* run :
       {&results.learnt, &results.oracle, &results.warm}) {
    summary.promises_broken += run->broken.size();
  }
  return summary;
}

void PrintRow(const std::string& name, const RunResult& run) {
  const auto share = [&run](const std::string& urgency) {
    const auto sent = run.sent_by_class.find(urgency);
    if (sent == run.sent_by_class.end()) return 100.0;
    const auto in_time = run.in_time.find(urgency);
    return 100.0 *
           static_cast<double>(in_time == run.in_time.end() ? 0
                                                            : in_time->second) /
           static_cast<double>(sent->second);
  };
  std::printf(
      "%-12s %6.2f %6.2f %6.2f %6.2f %5llu/%-5llu %7.2f %6.1f %6.1f %6.1f "
      "%6.1f %6llu %7.1f\n",
      name.c_str(), run.first_p50, run.first_p95, run.first_p99, run.first_max,
      static_cast<unsigned long long>(run.cold),
      static_cast<unsigned long long>(run.firsts), run.idle_hours,
      share("urgent"), share("ordinary"), share("overnight"),
      100.0 * run.worth_delivered / std::max(1.0, run.worth_sent),
      static_cast<unsigned long long>(run.loads), run.store_wait);
  for (const auto& [reason, count] : run.refused) {
    std::printf("%14s refused %llu %s\n", "",
                static_cast<unsigned long long>(count), reason.c_str());
  }
  for (const std::string& broken : run.broken) {
    std::printf("%14s BROKEN %s\n", "", broken.c_str());
  }
}

void PrintAll(const std::string& user, const std::string& fault, uint64_t seed,
              const Results& results, const Summary& summary) {
  std::printf("%s, fault %s, seed %llu\n", user.c_str(), fault.c_str(),
              static_cast<unsigned long long>(seed));
  std::printf(
      "policy        first request of a burst, s    cold/all   idle h  "
      "in time %% urgent ordinary overnight worth%%  loads  store s\n"
      "                p50    p95    p99    max\n");
  PrintRow("learnt", results.learnt);
  PrintRow("oracle", results.oracle);
  PrintRow("always warm", results.warm);
  for (size_t i = 0; i < results.ttl.size(); ++i) {
    PrintRow("ttl " + std::to_string(kTtlMinutes[i]) + " min", results.ttl[i]);
  }
  std::printf(
      "cold_p99_vs_oracle %.2f  cold_p99_vs_ttl %.2f  idle_vs_ttl %.2f  "
      "cold_share_vs_ttl %.2f  "
      "refused_urgent_vs_oracle %.4f  promises_broken %zu\n\n",
      summary.cold_p99_vs_oracle, summary.cold_p99_vs_ttl, summary.idle_vs_ttl,
      summary.cold_share_vs_ttl, summary.refused_urgent_vs_oracle,
      summary.promises_broken);
}

Json SummaryJson(const std::string& user, const std::string& fault,
                 uint64_t seed, const Results& results,
                 const Summary& summary) {
  return Json{{"user", user},
              {"fault", fault},
              {"seed", seed},
              {"cold_p99_vs_oracle", summary.cold_p99_vs_oracle},
              {"cold_p99_vs_ttl", summary.cold_p99_vs_ttl},
              {"idle_vs_ttl", summary.idle_vs_ttl},
              {"cold_share_vs_ttl", summary.cold_share_vs_ttl},
              {"refused_urgent_vs_oracle", summary.refused_urgent_vs_oracle},
              {"promises_broken", summary.promises_broken},
              {"learnt", results.learnt.ToJson()},
              {"oracle", results.oracle.ToJson()},
              {"always_warm", results.warm.ToJson()}};
}

}  // namespace
}  // namespace applehall

int main(int argc, char** argv) {
  using namespace applehall;  // NOLINT(google-build-using-namespace)
  CLI::App app{"applehall-measure: policies under load and faults"};
  std::string user;
  std::string fault = "none";
  std::string examples = "examples";
  std::string output = "text";
  std::vector<uint64_t> seeds = {1};
  double hours = 2;
  app.add_option("USER", user, "malgeum or lockers")->required();
  app.add_option("--fault", fault,
                 "A fault, two joined by '+', or all; each is injected twice");
  app.add_option("--seed", seeds, "One or more seeds");
  app.add_option("--hours", hours, "Length of the replay");
  app.add_option("--examples", examples, "Folder with the example deployments");
  app.add_option("--output", output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  CLI11_PARSE(app, argc, argv);
  absl::StatusOr<UserProfile> profile = UserProfile::Load(user, examples);
  if (!profile.ok()) {
    std::cerr << "applehall-measure: " << profile.status().message() << "\n";
    return 2;
  }
  profile->shape.length = FromSeconds(hours * 3600);
  std::vector<std::string> faults = {fault};
  if (fault == "all") {
    faults = FaultNames();
    faults.push_back("log-down+owner-paused");
    faults.push_back("store-slow+host-killed-in-load");
    faults.push_back("data-centre-cut+report-lag");
  }
  Json list = Json::array();
  size_t broken = 0;
  for (const std::string& name : faults) {
    for (const uint64_t seed : seeds) {
      const Results results = RunAll(*profile, name, seed);
      const Summary summary = Compare(results);
      broken += summary.promises_broken;
      if (output == "json") {
        list.push_back(SummaryJson(user, name, seed, results, summary));
      } else {
        PrintAll(user, name, seed, results, summary);
      }
    }
  }
  if (output == "json") std::cout << list.dump(2) << "\n";
  return broken == 0 ? 0 : 1;
}

#ifndef APPLEHALL_SOAK_SOAK_H_
#define APPLEHALL_SOAK_SOAK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/http_client.h"
#include "soak/fault_proxy.h"
#include "soak/host_processes.h"
#include "soak/platform_standin.h"

namespace applehall {

struct SoakOptions {
  std::string daemon;
  std::string folder;
  uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  int hosts = 4;
  int callers_per_host = 4;
  // Some requests end the servers that run them, and are repeated.
  bool has_poison = false;
  // Some servers name limits, change them and take them back.
  bool has_limits = false;
};

// What callers got for one request.
struct CallerView {
  std::string kind;  // The route's name.
  int host = 0;
  TimePoint sent_at;
  int status = 0;  // Zero: no whole answer.
  std::string body;
  std::string stamp;
};

// Entry hosts as real processes before a stand-in of the platform, callers, and
// faults that follow from the seed alone: their order and times, not the
// processes' scheduling. Checks the promises from what callers and backend
// servers saw.
class Soak {
 public:
  explicit Soak(SoakOptions options);

  // Runs it all; the promises that were broken, one line each.
  std::vector<std::string> Run();
  // One line: requests, answers by status, faults.
  std::string Summary() const;

 private:
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Awaitable<void> Caller(int host, uint64_t seed);
  // Repeats a request of `kind` that ends servers, at all hosts.
  Awaitable<void> PoisonCaller(std::string kind);
  // Has servers name limits and change them.
  Awaitable<void> Limits();
  Awaitable<void> Faults();
  Awaitable<void> OneFault();
  Awaitable<void> Restart(int host, int signal);
  void Note(const std::string& fault);
  // Faults stretch into the time after them: leases, reads, takeover.
  void Disturb() { disturbed_until_ = clock_.Now() + std::chrono::seconds(6); }

  void CheckAnswers(std::vector<std::string>& broken) const;
  void CheckRuns(std::vector<std::string>& broken) const;
  void CheckPoison(std::vector<std::string>& broken) const;
  void CheckLimits(std::vector<std::string>& broken) const;
  // Requests to `server` by hosts that knew of its limit and were well.
  std::vector<TimePoint> KnowingArrivals(const std::string& server) const;
  // The highest limit that was in force in a span; nothing: once none was.
  static std::optional<double> HighestLimit(
      const std::vector<NamedLimit>& named, TimePoint from, TimePoint to);
  void NoteLimit(int host, const HttpResponse& response);
  // A restart, freeze or cut excuses its host, and the time after it.
  void Excuse(int host, Duration lasts);
  bool IsExcused(int host, TimePoint at) const;

  SoakOptions options_;
  boost::asio::io_context io_;
  SystemClock clock_;
  Random random_;
  PlatformStandin platform_;
  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;
  HostProcesses hosts_;
  HttpClient client_;
  std::map<std::string, CallerView> asked_;
  std::vector<std::string> added_routes_;
  std::vector<std::string> faults_;
  TimePoint ends_at_;
  TimePoint disturbed_until_;
  // Requests sent while nothing was wrong; those must be held to times too.
  std::map<std::string, bool> is_calm_;
  std::map<int, int> poison_answers_;  // By status; zero: none.
  // By host and server: when an answer with the limit had passed.
  std::map<std::pair<int, std::string>, TimePoint> told_at_;
  std::map<int, std::vector<std::pair<TimePoint, TimePoint>>> excused_;
  int callers_running_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_SOAK_H_

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
#include "soak/server_links.h"

namespace applehall {

// Models of the catalogue; with rare ones there are `kRareModels` more, each
// asked for by one caller. The engines hold eight models together.
inline constexpr int kModels = 6;
inline constexpr int kRareModels = 8;
// Events of a whole stream.
inline constexpr int kEvents = 12;
// Distinct shared parts of prompts.
inline constexpr uint64_t kSharedParts = 4;
inline constexpr Duration kWarmUp = std::chrono::seconds(4);
inline constexpr Duration kCallTimeout = std::chrono::seconds(7);

struct SoakOptions {
  std::string daemon;
  std::string folder;
  uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  int hosts = 4;
  int callers_per_host = 4;
  // Some requests crash the servers that execute them, and are repeated.
  bool has_poison = false;
  // Some servers announce request rate limits, change and withdraw them.
  bool has_limits = false;
  // Hosts lose their links to all servers; servers are silent or brittle.
  bool has_cuts = false;
  // Engines of several software versions serve, and callers take up streams.
  bool has_versions = false;
  // There are more models than places, some with a single caller each.
  bool has_rare = false;
  // Requests share parts of their prompts, of which some crash the engines.
  bool has_parts = false;
  // Servers have different speeds, are slowed down now and then and report it.
  bool has_uneven = false;
  // Callers close or reset their connections at any moment, also at hosts that
  // stand.
  bool has_leaving = false;
  // Each host gets signals in series from its start on, restarts that overlap
  // with a planned stop, ports that are taken and settings that are cut.
  bool has_restarts = false;
};

// A caller of a model that nobody else asks for, on one connection.
struct RareCaller {
  int requests = 0;
  int served = 0;
  Duration unserved{0};  // Without faults, since it was last served.
  Duration longest_unserved{0};
};

// A stream over all tries of its caller.
struct StreamRecord {
  std::string model;
  std::string begun_by;  // Id of the try that brought the first event.
  int events = 0;
  std::vector<std::string> versions;  // Distinct neighbours, of all events.
  bool is_complete = false;           // The last try ended as complete.
};

// Tries of callers at hosts without faults, and those that brought an event.
struct StreamTries {
  int asked = 0;
  int served = 0;
};

// A request and the response that its caller received.
struct RequestRecord {
  std::string kind;  // Name of the route.
  int host = 0;
  TimePoint sent_at;
  bool is_cut = false;         // Its host was cut for kTimeToRecover.
  bool is_beside_cut = false;  // Another host was, its own was not.
  int status = 0;              // Zero: no complete answer.
  std::string body;
  std::string stamp;
  Duration took{0};
};

// Runs entry hosts as real processes against a fake platform, with callers and
// injected faults. The seed determines order and times of the faults, but not
// the scheduling of the processes. Checks the guarantees from the observations
// of callers and backend servers. Not thread-safe.
class Soak {
 public:
  explicit Soak(SoakOptions options);

  // Runs the soak; returns the violated guarantees, one line each.
  std::vector<std::string> Run();
  // Returns one line with requests, answers by status and faults.
  std::string Summary() const;

 private:
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Awaitable<void> RunCaller(int host, uint64_t seed);
  static void RecordAnswer(const HttpResult& result, RequestRecord& view);
  // Sends a poison message of `kind` repeatedly to all hosts.
  Awaitable<void> RunPoisonCaller(std::string kind);
  // Sends requests to all hosts that have nothing in common but `part`.
  Awaitable<void> RunPartCaller(std::string part);
  Awaitable<void> RunRareCaller(int index);
  // Begins streams, and takes them up at other hosts when they break.
  Awaitable<void> RunStreamCaller(uint64_t seed);
  // Sends one try; returns whether the stream may be taken up again.
  Awaitable<bool> SendStreamTry(int host, const std::string& id,
                                StreamRecord& stream);
  // Replaces engines by those of other versions, and ends some.
  Awaitable<void> RunVersions();
  // Sends requests that take long, and leaves.
  Awaitable<void> RunLeavingCaller(int host, uint64_t seed);
  RequestRecord& RecordLeaving(const std::string& id, const std::string& kind,
                               int host);
  // Makes hosts stand still in series.
  Awaitable<void> RunStands();
  Awaitable<void> StandStill(int host, Duration lasts);
  // Sends signals to a host and restarts it, in series.
  Awaitable<void> RunRestarts(int host);
  Awaitable<void> RestartInSomeWay(int host, Random& random);
  // Writes a key of any bytes into the store, which sends small pages.
  void PutOddKey(Random& random);
  // Starts a host while one of its ports is taken for a while.
  Awaitable<void> StartBesideTakenPort(int host, Random& random);
  Awaitable<void> AwaitSignalsTaken(int host);
  // Asks all hosts to stop, and waits until they have.
  void StopAll(std::vector<std::string>& broken);
  // Makes servers announce, change and withdraw limits.
  Awaitable<void> RunLimits();
  // Cuts hosts from all servers, in series and overlapping.
  Awaitable<void> RunCuts();
  Awaitable<void> CutHosts(uint64_t seed);
  // Makes servers silent for about a second, and brittle for a while.
  Awaitable<void> RunWeakServers();
  Awaitable<void> RunFaults();
  Awaitable<void> InjectFault();
  Awaitable<void> RestartHost(int host, int signal);
  void RecordFault(const std::string& fault);
  // Effects of faults outlast them: leases expire, reads catch up, hosts take
  // over.
  void MarkDisturbed() {
    disturbed_until_ = clock_.Now() + std::chrono::seconds(6);
  }

  void CheckAnswers(std::vector<std::string>& broken) const;
  void CheckRuns(std::vector<std::string>& broken) const;
  void CheckPoison(std::vector<std::string>& broken) const;
  void CheckLimits(std::vector<std::string>& broken) const;
  void CheckRare(std::vector<std::string>& broken) const;
  void CheckCuts(std::vector<std::string>& broken) const;
  void CheckBrittle(std::vector<std::string>& broken) const;
  void CheckStreams(std::vector<std::string>& broken) const;
  // Calls to plain services without faults, and those answered in time.
  std::pair<int, int> CountInTime() const;
  std::string UnevenSummary() const;
  void CheckUneven(std::vector<std::string>& broken) const;
  // Whether `host` stood when, or shortly after, a caller left.
  bool StoodAfter(int host, TimePoint left) const;
  // Runs for callers that left, at hosts that did not stand, and those of them
  // that ended in time.
  std::pair<int, int> CountStopped() const;
  std::string LeavingSummary() const;
  void CheckLeaving(std::vector<std::string>& broken) const;
  // Arrivals at `server` from hosts that had received its limit and had no
  // fault.
  std::vector<TimePoint> ArrivalsWithKnownLimit(
      const std::string& server) const;
  // Returns the highest limit in force in a time span; nullopt if no limit was
  // in force at some moment of it.
  static std::optional<double> HighestLimit(
      const std::vector<AnnouncedLimit>& announced, TimePoint from,
      TimePoint to);
  void RecordLimit(int host, const HttpResponse& response);
  // Exempts a host from the limit check during a fault and the recovery after.
  void Excuse(int host, Duration lasts);
  bool IsExcused(int host, TimePoint at) const;

  SoakOptions options_;
  boost::asio::io_context io_;
  SystemClock clock_;
  Random random_;
  PlatformStandin platform_;
  ServerLinks server_links_;
  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;
  HostProcesses hosts_;
  HttpClient client_;
  std::map<std::string, RequestRecord> sent_requests_;
  std::vector<std::string> added_routes_;
  std::vector<std::string> faults_;
  TimePoint ends_at_;
  TimePoint disturbed_until_;
  // True for requests sent without a fault; time bounds apply only to them.
  std::map<std::string, bool> is_calm_;
  std::map<std::string, RareCaller> rare_callers_;  // By model.
  std::vector<std::unique_ptr<StreamRecord>> streams_;
  StreamTries new_streams_;
  StreamTries resumptions_;
  std::map<int, int> poison_answers_;  // Keyed by status; zero: no answer.
  // Time of the first response with a limit, by host and server.
  std::map<std::pair<int, std::string>, TimePoint> limit_received_at_;
  std::map<int, std::vector<std::pair<TimePoint, TimePoint>>> excused_;
  // When hosts were cut from all servers, by host.
  std::map<int, std::vector<std::pair<TimePoint, TimePoint>>> cuts_;
  std::map<std::string, TimePoint> left_at_;  // Of callers, by request id.
  // When hosts stood still, by host.
  std::map<int, std::vector<std::pair<TimePoint, TimePoint>>> stands_;
  int cuts_running_ = 0;
  int callers_running_ = 0;
  int restarts_running_ = 0;  // Hosts that RunRestarts() still restarts.
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_SOAK_H_

// Many callers come at once and send long bodies, within max_body_bytes, on
// kept connections. The platform ends a process that exceeds memory_mb.
// LOST is broken if a host passes requests from kept connections on to sound
// servers and closes the connections without an answer, more than three times;
// a process that ends by itself, also for its memory, counts as running.
#include "deployment.hpp"

namespace {

using namespace review;

constexpr int kHosts = 2;
// Clients of kigali-d, which has one host, and the same in a burst of 2.4.
constexpr int kUsualCallers = 24;
constexpr int kBurstCallers = 57;
constexpr size_t kBodyBytes = 4190000;  // max_body_bytes is 4,194,304.
constexpr int64_t kWorkMs = 60;
constexpr int64_t kDeadlineMs = 4000;
constexpr int64_t kLengthMs = 6000;
constexpr int64_t kMemoryMb = 260;
constexpr int64_t kRestartDelayMs = 500;
constexpr int kMaxLost = 3;

std::atomic<int> g_sent{0};
std::atomic<int> g_served{0};
std::atomic<int> g_lost{0};
std::atomic<int> g_other{0};

void RunCaller(int number, Hosts& hosts, Runs& runs, Record& record,
               const std::string& body, int64_t until_ms) {
  std::unique_ptr<Connection> connection;
  bool is_kept = false;
  for (int i = 0; NowMs() < until_ms; ++i) {
    if (!connection) {
      connection = std::make_unique<Connection>(
          Connect(Hosts::Ip(0), hosts.port(kCallersPort)));
      is_kept = false;
    }
    CallerRequest request;
    request.target = "/puxa403/2f";
    request.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    request.deadline_ms = kDeadlineMs;
    // The first request of a connection is short.
    if (is_kept) request.body = body;
    ++g_sent;
    Message answer;
    ReadEnd end = ReadEnd::kClosed;
    if (connection->is_open() && connection->Write(RequestText(request))) {
      end = connection->Read(answer, NowMs() + kDeadlineMs);
    }
    const bool is_lost = end != ReadEnd::kWhole && is_kept && runs.Count(request.id) > 0;
    record.Line("answer " + request.id + " of " + std::to_string(request.body.size()) +
                " bytes: " + ReadEndName(end) + " " + std::to_string(answer.Status()) +
                (is_lost ? ", LOST: passed on from a kept connection" : ""));
    if (end == ReadEnd::kWhole) {
      ++(answer.Status() == 200 ? g_served : g_other);
      is_kept = true;
    } else {
      ++(is_lost ? g_lost : g_other);
      connection.reset();
      SleepMs(200);
    }
  }
}

int64_t AnonymousMb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("RssAnon:", 0) == 0) return std::atoll(line.c_str() + 8) / 1024;
  }
  return 0;
}

// Bytes that callers have sent to this host and that it has not read.
int64_t UnreadMb(const std::string& ip, int port) {
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  char local[32];
  std::snprintf(local, sizeof local, "%08X:%04X", address.s_addr, port);
  std::ifstream sockets("/proc/net/tcp");
  int64_t bytes = 0;
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream fields(line);
    std::string number;
    std::string own;
    std::string peer;
    std::string state;
    std::string queues;
    fields >> number >> own >> peer >> state >> queues;
    // Of a listening socket it is the number of waiting connections.
    if (own != local || state == "0A" || queues.size() < 17) continue;
    bytes += std::strtoll(queues.c_str() + 9, nullptr, 16);
  }
  return bytes / 1024 / 1024;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ReadOptions(argc, argv);
  Record record(options.record);
  Hosts hosts(options, record);
  Store store;
  Runs runs(record);
  if (!hosts.Prepare(kHosts)) Finish(hosts, record, kCouldNotRun, "no free ports");
  const int store_port = store.Open();
  const Json routes =
      Json::array({CallRoute("puxa403", "non_idempotent", "wuno96b", 4000)});
  store.Append("keyed.op", "config",
               Config(1, routes, Json::array({Model("m0", 0)})).dump());
  std::vector<std::unique_ptr<Service>> services;
  for (int i = 1; i <= 4; ++i) {
    services.push_back(std::make_unique<Service>(store, runs, "i-app" + std::to_string(i),
                                                 "wuno96b", kWorkMs, 800, 6));
  }
  Engine engine(store, runs, record, "i-llm1", "huvo11a", {"m0"}, 1500, 8);
  for (int i = 0; i < kHosts; ++i) hosts.Start(i, store_port, true);
  hosts.Supervise(kRestartDelayMs);
  if (!hosts.AwaitReady(kHosts, NowMs() + 10000)) {
    Finish(hosts, record, kCouldNotRun, "the hosts are not ready");
  }
  SleepMs(1500);
  const std::string body(kBodyBytes, 'b');
  const int count = options.has_trouble ? kBurstCallers : kUsualCallers;
  record.Line(std::to_string(count) + " callers come at once");
  const int64_t end = NowMs() + kLengthMs;
  std::vector<std::thread> callers;
  for (int i = 0; i < count; ++i) {
    callers.emplace_back(RunCaller, i, std::ref(hosts), std::ref(runs), std::ref(record),
                         std::cref(body), end);
  }
  int64_t peak = 0;
  int ends = 0;
  while (NowMs() < end) {
    const int64_t unread = UnreadMb(Hosts::Ip(0), hosts.port(kCallersPort));
    const int64_t used = AnonymousMb(hosts.process(0)) + unread;
    peak = std::max(peak, used);
    if (used > kMemoryMb) {
      record.Line("host 0 uses " + std::to_string(used) + " MB of " +
                  std::to_string(kMemoryMb) + ", " + std::to_string(unread) +
                  " of them unread: the platform ends it");
      hosts.Signal(0, SIGKILL);
      ++ends;
      SleepMs(kRestartDelayMs);
    }
    SleepMs(5);
  }
  for (std::thread& caller : callers) caller.join();
  if (g_served == 0) Finish(hosts, record, kCouldNotRun, "nothing was served");
  const bool is_broken = g_lost > kMaxLost;
  Finish(hosts, record, is_broken ? kBroken : kHeld,
         std::string(is_broken ? "LOST broken" : "LOST held") + ": " +
             std::to_string(count) + " callers, sent " + std::to_string(g_sent) +
             ", served " + std::to_string(g_served) + ", passed on and closed unanswered " +
             std::to_string(g_lost) + ", not taken or refused " + std::to_string(g_other) +
             "; most memory " + std::to_string(peak) + " MB of " +
             std::to_string(kMemoryMb) + ", ended for it " + std::to_string(ends) +
             " times");
}

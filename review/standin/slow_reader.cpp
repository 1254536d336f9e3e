// Callers that read their answers slowly, and a host that is stopped as planned
// (SIGTERM) while they do.
// LOST is broken if a request that was passed on to a server ends without a
// complete answer until 1 s after grace_period_s, though its server has ended
// its work and neither its deadline nor the route's timeout is over.
#include "deployment.hpp"

namespace {

using namespace review;

constexpr int kHosts = 2;
constexpr int kCallers = 6;
// More than the kernel's buffers of a loopback connection hold at the host.
constexpr size_t kAnswerBytes = 3900 * 1000;
// The answer is read within about 8.5 s.
constexpr size_t kReadBytes = 24 * 1000;
constexpr int64_t kReadPauseMs = 50;
constexpr int64_t kDeadlineMs = 20000;
constexpr int64_t kTermAtMs = 500;
constexpr int64_t kGraceMs = 8000;
constexpr int64_t kRestartDelayMs = 500;
// As a small machine's, and a segment as on a link of its network.
constexpr int kReceiveBuffer = 32 * 1024;
constexpr int kSegment = 1448;

struct Outcome {
  ReadEnd end = ReadEnd::kClosed;
  int status = 0;
  size_t bytes = 0;
  int64_t took_ms = 0;
};

void RunCaller(int number, Hosts& hosts, Record& record, Outcome& outcome) {
  Connection connection(
      Connect(Hosts::Ip(0), hosts.port(kCallersPort), kReceiveBuffer, kSegment));
  if (!connection.is_open()) return;
  connection.ReadSlowly(kReadBytes, kReadPauseMs);
  CallerRequest request;
  request.target = "/puxa403/2f";
  request.id = "slow-" + std::to_string(number);
  request.deadline_ms = kDeadlineMs;
  const int64_t sent_at = NowMs();
  record.Line("sent   " + request.id + " to host 0");
  connection.Write(RequestText(request));
  Message answer;
  outcome.end = connection.Read(answer, sent_at + kDeadlineMs);
  outcome.status = answer.Status();
  outcome.bytes = answer.body.size();
  outcome.took_ms = NowMs() - sent_at;
  record.Line("answer " + request.id + " " + ReadEndName(outcome.end) + " " +
              std::to_string(outcome.status) + ", " + std::to_string(outcome.bytes) +
              " of " + std::to_string(kAnswerBytes) + " bytes after " +
              std::to_string(outcome.took_ms) + " ms");
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
      Json::array({CallRoute("puxa403", "non_idempotent", "wuno96b", 20000)});
  store.Append("keyed.op", "config",
               Config(1, routes, Json::array({Model("m0", 0)})).dump());
  Service first(store, runs, "i-app1", "wuno96b", 15, kAnswerBytes, 6);
  Service second(store, runs, "i-app2", "wuno96b", 15, kAnswerBytes, 6);
  Engine engine(store, runs, record, "i-llm1", "huvo11a", {"m0"}, 1500, 8);
  for (int i = 0; i < kHosts; ++i) hosts.Start(i, store_port, true);
  hosts.Supervise(kRestartDelayMs);
  if (!hosts.AwaitReady(kHosts, NowMs() + 10000)) {
    Finish(hosts, record, kCouldNotRun, "the hosts are not ready");
  }
  SleepMs(2000);
  std::vector<Outcome> outcomes(kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(RunCaller, i, std::ref(hosts), std::ref(record),
                         std::ref(outcomes[i]));
  }
  SleepMs(kTermAtMs);
  int run = 0;
  for (int i = 0; i < kCallers; ++i) run += runs.Count("slow-" + std::to_string(i));
  if (options.has_trouble) hosts.Signal(0, SIGTERM);
  for (std::thread& caller : callers) caller.join();
  int whole = 0;
  int lost = 0;
  int64_t longest = 0;
  for (const Outcome& outcome : outcomes) {
    const bool is_whole = outcome.end == ReadEnd::kWhole && outcome.status == 200;
    whole += is_whole ? 1 : 0;
    const bool is_cut = outcome.end == ReadEnd::kClosed || outcome.end == ReadEnd::kReset;
    lost += is_cut && outcome.took_ms < kTermAtMs + kGraceMs + 1000 ? 1 : 0;
    longest = std::max(longest, outcome.took_ms);
  }
  if (run < kCallers) Finish(hosts, record, kCouldNotRun, "not all requests had run");
  Finish(hosts, record, lost > 0 ? kBroken : kHeld,
         std::string(lost > 0 ? "LOST broken" : "LOST held") + ": " +
             std::to_string(run) + " requests had run before the signal, " +
             std::to_string(whole) + " got the whole answer, " + std::to_string(lost) +
             " were cut before 1 s after the grace period; the longest took " +
             std::to_string(longest) + " ms");
}

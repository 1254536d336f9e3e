// An entry of another writer that cannot be read lies in the list of servers;
// later a server leaves as planned and another one comes.
// DRAIN is broken if a request reaches the leaving server later than drain_ms
// after the store accepted that it is draining.
#include "deployment.hpp"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr int kCallersPerHost = 6;
constexpr int64_t kEntryAtMs = 3000;
constexpr int64_t kDrainAtMs = 7000;
constexpr int64_t kEndAtMs = 17000;
constexpr int64_t kDrainBoundMs = 2000;
constexpr int64_t kRestartDelayMs = 500;

std::atomic<int> g_sent{0};
std::atomic<int> g_served{0};

void RunCaller(int number, Hosts& hosts, Record& record, int64_t until_ms) {
  const int host = number % kHosts;
  std::unique_ptr<Connection> connection;
  for (int i = 0; NowMs() < until_ms; ++i) {
    if (!connection) {
      connection = std::make_unique<Connection>(
          Connect(Hosts::Ip(host), hosts.port(kCallersPort)));
    }
    CallerRequest request;
    request.target = "/puxa403/2f";
    request.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    record.Line("sent   " + request.id + " to host " + std::to_string(host));
    ++g_sent;
    Message answer;
    ReadEnd end = ReadEnd::kClosed;
    if (connection->is_open() && connection->Write(RequestText(request))) {
      end = connection->Read(answer, NowMs() + 3000);
    }
    record.Line("answer " + request.id + " " + ReadEndName(end) + " " +
                std::to_string(answer.Status()));
    if (end == ReadEnd::kWhole && answer.Status() == 200) ++g_served;
    const bool is_over = end != ReadEnd::kWhole || answer.Header("connection") == "close";
    if (is_over) connection.reset();
    SleepMs(20 + number % 7);
  }
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
      Json::array({CallRoute("puxa403", "non_idempotent", "wuno96b", 1000),
                   StreamRoute("lohu930", "huvo11a", false, 15000)});
  store.Append("keyed.op", "config",
               Config(1, routes, Json::array({Model("m0", 0)})).dump());
  Service leaving(store, runs, "i-app1", "wuno96b", 15, 800, 6);
  Service staying(store, runs, "i-app2", "wuno96b", 15, 800, 6);
  Engine engine(store, runs, record, "i-llm1", "huvo11a", {"m0"}, 1500, 8);
  for (int i = 0; i < kHosts; ++i) hosts.Start(i, store_port, true);
  hosts.Supervise(kRestartDelayMs);
  if (!hosts.AwaitReady(kHosts, NowMs() + 10000)) {
    Finish(hosts, record, kCouldNotRun, "the hosts are not ready");
  }
  const int64_t start = NowMs();
  std::vector<std::thread> callers;
  for (int i = 0; i < kHosts * kCallersPerHost; ++i) {
    callers.emplace_back(RunCaller, i, std::ref(hosts), std::ref(record),
                         start + kEndAtMs);
  }
  SleepMs(kEntryAtMs);
  if (options.has_trouble) {
    record.Line("trouble: an entry of another writer, with a number that cannot be read");
    store.Append("keyed.servers", "i-other",
                 "{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:9\","
                 "\"zone\":\"suwon-a\",\"version\":\"v1\",\"capacity\":1e999,"
                 "\"state\":\"ready\",\"cold_ms\":0,\"seq\":1}");
  }
  SleepMs(start + kDrainAtMs - NowMs());
  Service coming(store, runs, "i-app3", "wuno96b", 15, 800, 6);
  leaving.Drain();
  const int64_t drained_at = NowMs();
  record.Line("i-app1 is draining and serves on; i-app3 is ready");
  for (std::thread& caller : callers) caller.join();
  const int before = runs.CountSince("i-app1", 0) - runs.CountSince("i-app1", drained_at);
  const int late = runs.CountSince("i-app1", drained_at + kDrainBoundMs);
  const int at_new = runs.CountSince("i-app3", 0);
  if (before == 0) Finish(hosts, record, kCouldNotRun, "the server got no requests");
  int ends = 0;
  for (int i = 0; i < kHosts; ++i) ends += hosts.own_ends(i);
  const bool is_broken = late > 0;
  Finish(hosts, record, is_broken ? kBroken : kHeld,
         std::string(is_broken ? "DRAIN broken" : "DRAIN held") + ": sent " +
             std::to_string(g_sent) + ", served " + std::to_string(g_served) +
             "; at the leaving server " + std::to_string(before) + " runs before, " +
             std::to_string(late) + " later than " + std::to_string(kDrainBoundMs) +
             " ms after its notice; at the new server " + std::to_string(at_new) +
             "; processes ended by themselves: " + std::to_string(ends));
}

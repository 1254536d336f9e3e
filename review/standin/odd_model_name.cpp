// One caller asks for a model whose name is not valid UTF-8, again and again; then
// seven callers try to reach the host. Not one of the cases: no page says which
// bytes a name may hold.
// Fails if the host, which says that it is ready, takes none of them for
// contact_ms.
#include "deployment.hpp"

namespace {

using namespace review;

// As many connections as a host with 4,100 descriptors takes at once, and some.
constexpr int kOddRequests = 1800;
constexpr int kCallers = 7;
constexpr int64_t kContactMs = 3000;

std::string Ask(Hosts& hosts, const std::string& id, bool is_odd) {
  Connection connection(Connect(Hosts::Ip(0), hosts.port(kCallersPort)));
  if (!connection.is_open()) return "no connection";
  CallerRequest request;
  request.target = is_odd ? "/lohu930/2f" : "/puxa403/2f";
  request.id = id;
  request.deadline_ms = 3000;
  if (is_odd) request.headers["X-Model"] = "mod\xe8le";
  connection.Write(RequestText(request));
  Message answer;
  const ReadEnd end = connection.Read(answer, NowMs() + 2000);
  return std::string(ReadEndName(end)) + " " + std::to_string(answer.Status());
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ReadOptions(argc, argv);
  Record record(options.record);
  Hosts hosts(options, record);
  Store store;
  Runs runs(record);
  if (!hosts.Prepare(1)) Finish(hosts, record, kCouldNotRun, "no free ports");
  const Json routes =
      Json::array({CallRoute("puxa403", "non_idempotent", "wuno96b", 5000),
                   StreamRoute("lohu930", "huvo11a", false, 15000)});
  store.Append("keyed.op", "config",
               Config(1, routes, Json::array({Model("m0", 0)})).dump());
  Service service(store, runs, "i-app1", "wuno96b", 10, 800, 6);
  Engine engine(store, runs, record, "i-llm1", "huvo11a", {"m0"}, 1500, 8);
  hosts.Start(0, store.Open(), true);
  hosts.Supervise(500);
  if (!hosts.AwaitReady(1, NowMs() + 10000)) {
    Finish(hosts, record, kCouldNotRun, "the host is not ready");
  }
  SleepMs(1500);
  std::string first;
  for (int i = 0; options.has_trouble && i < kOddRequests; ++i) {
    const std::string outcome = Ask(hosts, "odd-" + std::to_string(i), true);
    if (i == 0) first = outcome;
  }
  int taken = 0;
  int tries = 0;
  for (const int64_t until = NowMs() + kContactMs; NowMs() < until; SleepMs(100)) {
    for (int i = 0; i < kCallers; ++i) {
      const std::string outcome = Ask(hosts, "sound-" + std::to_string(++tries), false);
      record.Line("sound  " + outcome);
      taken += outcome == "whole 200" ? 1 : 0;
    }
  }
  const bool is_broken = taken == 0 && hosts.IsReady(0);
  Finish(hosts, record, is_broken ? kBroken : kHeld,
         std::string(is_broken ? "RECOVER broken" : "RECOVER held") + ": the first odd " +
             "request: " + (first.empty() ? "none sent" : first) + "; then " +
             std::to_string(taken) + " of " + std::to_string(tries) +
             " sound ones served in 3 s, while the host says that it is ready");
}

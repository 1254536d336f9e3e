// The only tenant of a deployment, and with it the last key, is taken away.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kRequests = 20;
constexpr int kConfigApplyMs = 3000;  // config_apply_ms

std::atomic<int> g_attempt{0};
std::mutex g_mutex;
std::vector<Message> g_runs;

// A plain service's engine.
void ServeCalls(int fd, const std::string& id) {
  Connection connection(dup(fd));
  Message request;
  while (connection.Read(request, 1500)) {
    const std::string attempt = request.Header("x-attempt-id");
    const std::string own = "X-Attempt-Id: " + attempt + "\r\n";
    if (request.Header("x-expect-instance") != id) {
      if (!connection.Write(Response(421, own + "X-Not-Executed: 1\r\n", "")))
        return;
      continue;
    }
    Record("%s: runs %s, X-Tenant \"%s\", Authorization \"%s\"", id.c_str(),
           attempt.c_str(), request.Header("x-tenant").c_str(),
           request.Header("authorization").c_str());
    {
      const std::lock_guard lock(g_mutex);
      g_runs.push_back(request);
    }
    if (!connection.Write(Response(200,
                                   own + "X-Server-Stamp: s-" + attempt +
                                       "\r\nKeep-Alive: timeout=1\r\n",
                                   "done")))
      return;
  }
}

// Sends one request and returns the status of its answer, 0 without one.
int Send(const Host& host, const std::string& key, const std::string& tenant) {
  Connection connection(Connect(host.callers()));
  const std::string id = "a" + std::to_string(++g_attempt);
  std::string request = "POST /act/x HTTP/1.1\r\nHost: klima.example\r\n"
                        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\n"
                        "Authorization: Token " + key + "\r\n";
  if (!tenant.empty()) request += "X-Tenant: " + tenant + "\r\n";
  Message answer;
  connection.Write(request + "Content-Length: 2\r\n\r\nok");
  const bool is_answered = connection.Read(answer, 3000);
  const int status = is_answered ? answer.Status() : 0;
  Record("%s: key %s, answered %d", id.c_str(), key.c_str(), status);
  return status;
}

std::string Config(int version, const std::string& tenants) {
  return "{\"version\":" + std::to_string(version) +
         ",\"tenants\":" + tenants +
         ",\"routes\":[{\"name\":\"act\",\"host\":\"klima.example\","
         "\"path_prefix\":\"/act/\",\"service\":\"klima\",\"kind\":"
         "\"non_idempotent\",\"max_attempts\":1,\"timeout_ms\":2500,"
         "\"target_latency_ms\":150,\"priority\":2}],"
         "\"services\":[{\"name\":\"klima\"}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
         "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}}";
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = Begin(argc, argv);
  const int port = FreePorts({"127.0.0.10", "127.0.1.1"}, 16);
  Store store({"127.0.0.10", port + 12});
  store.Put("keyed.op", "config",
            Config(3, "[{\"name\":\"growers\",\"api_keys\":[\"k-first\"]}]"));
  const std::string id = "i-klima1";
  Listener engine({"127.0.1.1", port + 13},
                  [&id](int fd) { ServeCalls(fd, id); });
  std::atomic<bool> is_over{false};
  std::thread heartbeat([&] {
    for (int i = 0; !is_over; ++i) {
      if (i % 12 == 0) {
        store.Put("keyed.servers", id,
                  "{\"service\":\"klima\",\"address\":\"" +
                      engine.address().Text() +
                      "\",\"zone\":\"zone-a\",\"version\":\"1\",\"capacity\":6,"
                      "\"state\":\"ready\",\"cold_ms\":0,\"seq\":" +
                      std::to_string(i) + "}");
      }
      SleepMs(100);
    }
  });
  Host host("edge-0", "127.0.0.10", port, store.address(), one.temporary,
            Deployment{});
  host.Start();
  const bool is_ready = host.AwaitReady(10000);
  SleepMs(500);
  int served = 0;
  for (int i = 0; i < kRequests && is_ready; ++i) {
    if (Send(host, "k-first", "") == 200) ++served;
  }
  const int never_held_before = is_ready ? Send(host, "k-never", "others") : 0;
  if (one.has_trouble) {
    store.Put("keyed.op", "config", Config(8, "[]"));
    Record("version 8 is acknowledged: no tenant is left");
  }
  SleepMs(kConfigApplyMs + 1000);
  const size_t runs_before = g_runs.size();
  for (int i = 0; i < kRequests && is_ready; ++i) {
    Send(host, "k-never", "others");
    if (one.has_trouble) Send(host, "k-first", "");
  }
  is_over = true;
  heartbeat.join();
  host.Kill();
  engine.Stop();
  if (!is_ready || served != kRequests || never_held_before != 401) {
    Record("the host did not serve as it should before the change");
    return 2;
  }
  int never_held = 0;
  int dropped = 0;
  int key_shown = 0;
  int foreign_tenant = 0;
  for (size_t i = runs_before; i < g_runs.size(); ++i) {
    const std::string key = g_runs[i].Header("authorization");
    if (key == "Token k-never") ++never_held;
    if (key == "Token k-first") ++dropped;
    if (!key.empty()) ++key_shown;
    if (g_runs[i].Header("x-tenant") == "others") ++foreign_tenant;
  }
  const bool is_broken = key_shown > 0 || foreign_tenant > 0;
  Record("after the change: %zu runs, %d with a key that no configuration ever "
         "held, %d with the dropped key; the engine was shown the key of %d, "
         "and %d had a tenant that the caller named: UNASKED %s",
         g_runs.size() - runs_before, never_held, dropped, key_shown,
         foreign_tenant, is_broken ? "BROKEN" : "held");
  return is_broken ? 1 : 0;
}

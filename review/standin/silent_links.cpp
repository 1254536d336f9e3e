// All open connections between the entry hosts go silent, without a reset; new
// ones work. Callers go on asking for adapters that have to be loaded.
// ONE is broken if holders in touch take turns within lease_ttl_ms: orders of
// one host reach an engine, then those of another one, then those of the first.
#include <linux/filter.h>

#include "deployment.hpp"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr int kCallersPerHost = 5;
constexpr int kAdapters = 22;
constexpr int64_t kSilenceAtMs = 6000;
constexpr int64_t kEndAtMs = 40000;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kLeaseTtlMs = 3000;
constexpr int64_t kRestartDelayMs = 500;

// Drops all that arrives on a socket, so that its peer gets no acknowledgement
// either: keep-alive probes and TCP_USER_TIMEOUT show the silence.
void DropAll(int socket) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop};
  setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

// Passes connections on. Silence() stops all that are open: what arrives on them
// is dropped, and they are not closed.
class Proxy {
 public:
  Proxy(std::string ip, int port)
      : ip_(std::move(ip)), port_(port), fd_(Listen("127.0.0.1", 0)) {
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int generation = generation_;
        ++accepted_;
        std::thread([this, fd, generation] { Pass(fd, generation); }).detach();
      }
    }).detach();
  }
  int port() const { return PortOf(fd_); }
  void Silence() { ++generation_; }
  int accepted() const { return accepted_; }

 private:
  void Pass(int caller, int generation) {
    const int server = Connect(ip_, port_);
    pollfd ends[2] = {{caller, POLLIN, 0}, {server, POLLIN, 0}};
    char bytes[16384];
    while (server >= 0) {
      ::poll(ends, 2, 20);
      if (generation != generation_) {
        DropAll(caller);
        DropAll(server);
        while (true) SleepMs(1000);  // Open and silent.
      }
      for (int i = 0; i < 2; ++i) {
        if (ends[i].revents == 0) continue;
        const ssize_t n = ::recv(ends[i].fd, bytes, sizeof bytes, 0);
        if (n <= 0 || ::send(ends[1 - i].fd, bytes, static_cast<size_t>(n),
                             MSG_NOSIGNAL) != n) {
          ::close(caller);
          ::close(server);
          return;
        }
      }
    }
    ::close(caller);
  }

  std::string ip_;
  int port_;
  int fd_;
  std::atomic<int> generation_{0};
  std::atomic<int> accepted_{0};
};

std::atomic<int> g_sent{0};
std::atomic<int> g_served{0};

void RunCaller(int number, Hosts& hosts, Record& record, int64_t until_ms) {
  const int host = number % kHosts;
  uint32_t random = 12345u + static_cast<uint32_t>(number) * 7919u;
  for (int i = 0; NowMs() < until_ms; ++i) {
    random = random * 1664525u + 1013904223u;
    Connection connection(Connect(Hosts::Ip(host), hosts.port(kCallersPort)));
    CallerRequest request;
    request.target = "/lohu930/2f";
    request.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    request.deadline_ms = 4000;
    const std::string model = "m0/a" + std::to_string(1 + (random >> 8) % kAdapters);
    request.headers["X-Model"] = model;
    request.headers["X-Token-Usage"] = "100,20";
    request.headers["X-Prompt-Prefix"] = "5c1e07a2:80," + request.id + ":20";
    record.Line("sent   " + request.id + " for " + model + " to host " +
                std::to_string(host));
    ++g_sent;
    Message answer;
    ReadEnd end = ReadEnd::kClosed;
    if (connection.is_open() && connection.Write(RequestText(request))) {
      end = connection.Read(answer, NowMs() + 5000);
    }
    record.Line("answer " + request.id + " " + ReadEndName(end) + " " +
                std::to_string(answer.Status()));
    if (end == ReadEnd::kWhole && answer.Status() == 200) ++g_served;
    SleepMs(60 + number % 7);
  }
}

// Counts turns X, Y, X of holders whose orders reached the engine within
// lease_ttl_ms, later than `from_ms`.
int CountTurns(const std::vector<Order>& orders, int64_t from_ms, Record& record) {
  struct Span {
    std::string holder;
    int64_t first;
    int64_t last;
  };
  std::vector<Span> spans;
  for (const Order& order : orders) {
    if (order.at_ms < from_ms) continue;
    if (spans.empty() || spans.back().holder != order.holder) {
      spans.push_back({order.holder, order.at_ms, order.at_ms});
    }
    spans.back().last = order.at_ms;
  }
  int turns = 0;
  for (size_t i = 0; i < spans.size(); ++i) {
    record.Line("holder " + spans[i].holder + " ordered from " +
                std::to_string(spans[i].first) + " to " + std::to_string(spans[i].last));
    if (i < 2 || spans[i].holder != spans[i - 2].holder) continue;
    if (spans[i].first - spans[i - 2].last <= kLeaseTtlMs) ++turns;
  }
  return turns;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ReadOptions(argc, argv);
  Record record(options.record);
  Hosts hosts(options, record);
  Store store;
  Runs runs(record);
  if (!hosts.Prepare(kHosts)) Finish(hosts, record, kCouldNotRun, "no free ports");
  // The link from host i to host j runs through a proxy: host i reads its
  // address in place of host j's.
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> proxies;
  for (int i = 0; i < kHosts; ++i) {
    for (int j = 0; j < kHosts; ++j) {
      if (i != j) {
        proxies[{i, j}] =
            std::make_unique<Proxy>(Hosts::Ip(j), hosts.port(kFirstPort));
      }
    }
  }
  std::vector<int> store_ports;
  for (int i = 0; i < kHosts; ++i) {
    store_ports.push_back(
        store.Open([i, &hosts, &proxies](const std::string& topic, const std::string& value) {
          if (topic != "keyed.applehall-lease") return value;
          Json record = Json::parse(value, nullptr, false);
          for (int j = 0; j < kHosts; ++j) {
            const std::string own =
                Hosts::Ip(j) + ":" + std::to_string(hosts.port(kFirstPort));
            if (i == j || !record.is_object() || record.value("peer", "") != own) continue;
            record["peer"] = "127.0.0.1:" + std::to_string(proxies.at({i, j})->port());
          }
          return record.dump();
        }));
  }
  int leases = 0;
  store.on_append = [&](const std::string& topic, const std::string& value, uint64_t at) {
    ++leases;
    record.Line("append " + topic + " at " + std::to_string(at) + ": " + value);
  };
  store.Append("keyed.op", "config",
               Config(1,
                      Json::array({StreamRoute("lohu930", "huvo11a", true, 15000),
                                   CallRoute("puxa403", "idempotent", "wuno96b", 1000)}),
                      Json::array({Model("m0", kAdapters)}))
                   .dump());
  Service service(store, runs, "i-app1", "wuno96b", 15, 800, 6);
  Engine engine(store, runs, record, "i-llm1", "huvo11a", {"m0"}, 1500, 8);
  engine.events = 5;
  for (int i = 0; i < kHosts; ++i) hosts.Start(i, store_ports[i], true);
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
  SleepMs(kSilenceAtMs);
  const int leases_before = leases;
  int links = 0;
  for (auto& [pair, proxy] : proxies) links += proxy->accepted();
  if (links == 0) Finish(hosts, record, kCouldNotRun, "no link runs through a proxy");
  if (options.has_trouble) {
    record.Line("trouble: " + std::to_string(links) + " links go silent");
    for (auto& [pair, proxy] : proxies) proxy->Silence();
  }
  const int64_t silent_at = NowMs();
  for (std::thread& caller : callers) caller.join();
  const std::vector<Order> orders = engine.orders();
  int late_orders = 0;
  for (const Order& order : orders) late_orders += order.at_ms > silent_at + kContactMs;
  const int turns = CountTurns(orders, silent_at + kContactMs, record);
  if (orders.empty()) Finish(hosts, record, kCouldNotRun, "no orders were sent");
  Finish(hosts, record, turns > 0 ? kBroken : kHeld,
         std::string(turns > 0 ? "ONE broken" : "ONE held") + ": sent " +
             std::to_string(g_sent) + ", served " + std::to_string(g_served) + "; " +
             std::to_string(links) + " links went silent; leases taken " +
             std::to_string(leases_before) + " times before and " +
             std::to_string(leases - leases_before) + " times after; " +
             std::to_string(late_orders) + " orders later than contact_ms after it, with " +
             std::to_string(turns) + " turns of holders within lease_ttl_ms");
}

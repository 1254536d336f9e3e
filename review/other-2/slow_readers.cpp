// Callers that read a stream slowly, around a change of the settings file.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kRounds = 4;
constexpr int kCallers = 6;
constexpr int kEvents = 150;
constexpr int kEventBytes = 100;
constexpr int kPauseMs = 4000;
constexpr int kReceiveBuffer = 4096;
constexpr int kTimeoutMs = 30000;  // timeout_ms and the deadline

std::atomic<int> g_attempt{0};

// A plain service's engine whose answers are streams.
void ServeStreams(int fd, const std::string& id) {
  Connection connection(dup(fd));
  Message request;
  while (connection.Read(request, 1500)) {
    const std::string attempt = request.Header("x-attempt-id");
    if (request.Header("x-expect-instance") != id) {
      if (!connection.Write(Response(421, "X-Attempt-Id: " + attempt +
                                              "\r\nX-Not-Executed: 1\r\n", "")))
        return;
      continue;
    }
    if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                          "\r\nX-Server-Stamp: s-" + attempt +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          "Keep-Alive: timeout=1\r\n\r\n"))
      return;
    bool is_open = true;
    for (int i = 1; i <= kEvents && is_open; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: " +
                                std::string(kEventBytes, 'x') + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_open = connection.Write(size + event + "\r\n");
      SleepMs(5);
    }
    if (is_open) is_open = connection.Write("0\r\n\r\n");
    Record("%s: run of %s %s", id.c_str(), attempt.c_str(),
           is_open ? "complete" : "broken off, the connection was closed");
    if (!is_open) return;
  }
}

// Sends a request and reads its answer: a first part, then nothing for the
// pause, then the rest. Returns whether it was complete.
bool ReadStream(const Host& host, int pause_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  const sockaddr_in in = ToSockaddr(host.callers());
  Connection connection(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) != 0) {
    return false;
  }
  const std::string id = "a" + std::to_string(++g_attempt);
  connection.Write("POST /review/x HTTP/1.1\r\nHost: klima.example\r\n"
                   "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " +
                   std::to_string(kTimeoutMs) +
                   "\r\nContent-Length: 2\r\n\r\nok");
  Record("%s: sent", id.c_str());
  std::string answer;
  bool has_paused = false;
  while (answer.find("\r\n0\r\n\r\n") == std::string::npos) {
    if (!has_paused && answer.size() > 500) {
      has_paused = true;
      SleepMs(pause_ms);
    }
    char bytes[1024];
    pollfd wait{fd, POLLIN, 0};
    if (poll(&wait, 1, kTimeoutMs) <= 0) {
      Record("%s: nothing for %d ms", id.c_str(), kTimeoutMs);
      return true;  // The timeout was reached: not judged.
    }
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      Record("%s: the connection ended (%s) after %zu bytes of the answer",
             id.c_str(), n == 0 ? "closed" : strerror(errno), answer.size());
      return false;
    }
    answer.append(bytes, static_cast<size_t>(n));
  }
  Record("%s: complete, %zu bytes", id.c_str(), answer.size());
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = Begin(argc, argv);
  const int port = FreePorts({"127.0.0.10", "127.0.0.11", "127.0.1.1"}, 16);
  Store store({"127.0.0.10", port + 12});
  store.Put(
      "keyed.op", "config",
      "{\"version\":3,\"routes\":[{\"name\":\"review\",\"host\":"
      "\"klima.example\",\"path_prefix\":\"/review/\",\"service\":\"klima\","
      "\"kind\":\"streaming\",\"resumable\":true,\"max_attempts\":1,"
      "\"timeout_ms\":30000,\"target_latency_ms\":8000,\"target_gap_ms\":300,"
      "\"priority\":2}],\"services\":[{\"name\":\"klima\"}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}}");
  const std::string id = "i-klima1";
  Listener engine({"127.0.1.1", port + 13},
                  [&id](int fd) { ServeStreams(fd, id); });
  std::atomic<bool> is_over{false};
  std::thread heartbeat([&] {
    for (int i = 0; !is_over; ++i) {
      if (i % 12 == 0) {
        store.Put("keyed.servers", id,
                  "{\"service\":\"klima\",\"address\":\"" +
                      engine.address().Text() +
                      "\",\"zone\":\"zone-a\",\"version\":\"1\",\"capacity\":48,"
                      "\"state\":\"ready\",\"cold_ms\":0,\"seq\":" +
                      std::to_string(i) + "}");
      }
      SleepMs(100);
    }
  });
  Host host("edge-0", "127.0.0.10", port, store.address(), one.temporary,
            Deployment{});
  // Its settings don't change: half of the hosts get a SIGHUP.
  Host other("edge-1", "127.0.0.11", port, store.address(), one.temporary,
             Deployment{});
  host.Start();
  other.Start();
  const bool is_ready = host.AwaitReady(10000) && other.AwaitReady(10000);
  SleepMs(500);
  std::atomic<int> cut{0};
  for (int round = 0; round < kRounds && is_ready; ++round) {
    host.ChangeSettings();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        if (!ReadStream(host, one.has_trouble ? kPauseMs : 0)) ++cut;
      });
    }
    for (std::thread& caller : callers) caller.join();
    SleepMs(1000);
  }
  is_over = true;
  heartbeat.join();
  host.Kill();
  other.Kill();
  engine.Stop();
  if (!is_ready) {
    Record("the host did not become ready");
    return 2;
  }
  Record("%d of %d requests ended without a complete answer: LOST %s",
         cut.load(), kRounds * kCallers, cut > 0 ? "BROKEN" : "held");
  return cut > 0 ? 1 : 0;
}

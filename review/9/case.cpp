// All hosts are killed and start again; clients take their streams up again.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kHosts = 4;
constexpr int kEngines = 4;  // All of one software version.
constexpr int kStreams = 24;
constexpr int kNewStreams = 24;
constexpr int kEvents = 200;
constexpr int kEventPauseMs = 100;
constexpr int kDownMs = 1000;     // for_s of the kill
constexpr int kContactMs = 3000;  // contact_ms
constexpr int kDeadlineMs = 30000;
constexpr int kMinStreams = 12;

std::atomic<int> g_attempt{0};

// A plain service's engine whose answers are streams of numbered events.
class Engine {
 public:
  Engine(Store& store, int number, std::string version, int port)
      : store_(store),
        id_("i-notice" + std::to_string(number)),
        version_(std::move(version)),
        listener_({"127.0.1." + std::to_string(number), port},
                  [this](int fd) { Serve(fd); }) {
    heartbeat_ = std::thread([this] {
      for (int i = 0; !is_over_; ++i) {
        if (i % 12 == 0) Publish(i);
        SleepMs(100);
      }
    });
    Record("%s: ready, version %s", id_.c_str(), version_.c_str());
  }
  ~Engine() {
    is_over_ = true;
    heartbeat_.join();
    listener_.Stop();
  }

 private:
  void Publish(int beat) {
    store_.Put("keyed.servers", id_,
               "{\"service\":\"notice\",\"address\":\"" +
                   listener_.address().Text() +
                   "\",\"zone\":\"zone-a\",\"version\":\"" + version_ +
                   "\",\"capacity\":64,\"state\":\"ready\",\"cold_ms\":0,"
                   "\"seq\":" + std::to_string(beat) + "}");
  }
  void Serve(int fd) {
    Connection connection(dup(fd));
    Message request;
    while (connection.Read(request, 1500)) {
      const std::string attempt = request.Header("x-attempt-id");
      const std::string own = "X-Attempt-Id: " + attempt + "\r\n";
      if (request.Header("x-expect-instance") != id_) {
        if (!connection.Write(Response(421, own + "X-Not-Executed: 1\r\n", "")))
          return;
        continue;
      }
      const int last = atoi(request.Header("last-event-id").c_str());
      Record("%s: runs %s from event %d", id_.c_str(), attempt.c_str(),
             last + 1);
      bool is_open = connection.Write(
          "HTTP/1.1 200 OK\r\n" + own + "X-Server-Stamp: s-" + attempt +
          "\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=1\r\n\r\n");
      for (int i = last + 1; i <= kEvents && is_open && !is_over_; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: " +
                                  version_ + "\n\n";
        char size[16];
        snprintf(size, sizeof(size), "%zx\r\n", event.size());
        is_open = connection.Write(size + event + "\r\n");
        SleepMs(kEventPauseMs);
      }
      if (!is_open || !connection.Write("0\r\n\r\n")) return;
    }
  }

  Store& store_;
  std::string id_;
  std::string version_;
  std::atomic<bool> is_over_{false};
  std::thread heartbeat_;
  Listener listener_;
};

// What a client has of a stream.
struct Stream {
  std::string id;       // X-Attempt-Id of the attempt that brought event 1.
  std::string version;  // Of its engine.
  int last_event = 0;
  int status = 0;           // Of the last attempt.
};

// Sends an attempt of the stream, with the rest of its deadline, and reads
// until it is told to stop, the connection ends or `max_events` have come.
void Attempt(const Address& host, Stream& stream, int time_left_ms,
             const std::atomic<bool>& is_cut, int max_events) {
  Connection connection(Connect(host));
  const std::string id = "a" + std::to_string(++g_attempt);
  std::string request = "POST /notice/x HTTP/1.1\r\nHost: hall.example\r\n"
                        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " +
                        std::to_string(time_left_ms) + "\r\n";
  if (stream.last_event > 0) {
    request += "Resumes: " + stream.id + "\r\nLast-Event-Id: " +
               std::to_string(stream.last_event) + "\r\n";
  } else {
    stream.id = id;
  }
  stream.status = 0;
  if (connection.fd() < 0 ||
      !connection.Write(request + "Content-Length: 2\r\n\r\nok")) {
    return;
  }
  std::string text;
  int events = 0;
  const auto until = Clock::now() + std::chrono::milliseconds(time_left_ms);
  while (!is_cut && events < max_events && Clock::now() < until) {
    pollfd wait{connection.fd(), POLLIN, 0};
    if (poll(&wait, 1, 20) <= 0) continue;
    char bytes[4096];
    const ssize_t n = recv(connection.fd(), bytes, sizeof(bytes), 0);
    if (n <= 0) break;
    text.append(bytes, static_cast<size_t>(n));
    if (stream.status == 0 && text.size() > 12) stream.status = atoi(&text[9]);
    for (size_t at = text.find("id: "); at != std::string::npos;
         at = text.find("id: ")) {
      const size_t end = text.find("\n\n", at);
      if (end == std::string::npos) break;
      stream.last_event = atoi(&text[at + 4]);
      const size_t data = text.find("data: ", at) + 6;
      const std::string version = text.substr(data, end - data);
      if (stream.version.empty()) stream.version = version;
      ++events;
      text.erase(0, end + 2);
    }
    if (stream.status != 0 && stream.status != 200) break;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = Begin(argc, argv);
  std::vector<std::string> ips{"127.0.1.1"};
  for (int i = 0; i < kHosts; ++i) ips.push_back("127.0.0.1" + std::to_string(i));
  const int port = FreePorts(ips, 16);
  Store store({"127.0.0.10", port + 12});
  store.Put(
      "keyed.op", "config",
      "{\"version\":3,\"routes\":[{\"name\":\"notice\",\"host\":"
      "\"hall.example\",\"path_prefix\":\"/notice/\",\"service\":\"notice\","
      "\"kind\":\"streaming\",\"resumable\":true,\"max_attempts\":2,"
      "\"timeout_ms\":30000,\"target_latency_ms\":600,\"target_gap_ms\":300,"
      "\"priority\":1}],\"services\":[{\"name\":\"notice\"}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}}");
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(store, 1 + i, "1", port + 13));
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("edge-" + std::to_string(i),
                                           ips[1 + i], port, store.address(),
                                           one.temporary, Deployment{}));
    hosts.back()->Start();
  }
  const auto are_ready = [&hosts] {
    bool is_ready = true;
    for (const auto& host : hosts) is_ready = is_ready && host->AwaitReady(10000);
    return is_ready;
  };
  if (!are_ready()) return 2;
  SleepMs(6000);

  std::vector<Stream> streams(kStreams);
  std::atomic<bool> is_cut{false};
  std::vector<std::thread> clients;
  const double begun_at = Seconds();
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      Attempt(hosts[i % kHosts]->callers(), streams[i], kDeadlineMs, is_cut,
              kEvents);
    });
  }
  SleepMs(3000);
  if (one.has_trouble) {
    for (const auto& host : hosts) {
      host->Signal(SIGKILL);
      host->Kill();
    }
  } else {
    Record("the clients' connections end, the hosts go on");
  }
  is_cut = true;
  for (std::thread& client : clients) client.join();
  clients.clear();
  SleepMs(kDownMs);
  if (one.has_trouble) {
    for (const auto& host : hosts) host->Start();
  }
  if (!are_ready()) return 2;
  SleepMs(kContactMs + 500);  // From here on all hosts are in touch.

  // Streams are taken up again, each at another host, and new ones begin.
  int taken_up = 0;
  std::atomic<int> went_on{0};
  std::atomic<int> begun{0};
  is_cut = false;
  const int time_left =
      kDeadlineMs - static_cast<int>((Seconds() - begun_at) * 1000);
  Record("the clients take their streams up again, %d ms are left", time_left);
  for (int i = 0; i < kStreams; ++i) {
    if (streams[i].last_event == 0 || streams[i].last_event == kEvents) continue;
    ++taken_up;
    clients.emplace_back([&, i] {
      const int before = streams[i].last_event;
      Attempt(hosts[(i + 1) % kHosts]->callers(), streams[i], time_left, is_cut,
              5);
      if (streams[i].last_event > before) ++went_on;
      Record("stream %s of version %s: taken up after event %d, answered %d, "
             "last event %d",
             streams[i].id.c_str(), streams[i].version.c_str(), before,
             streams[i].status, streams[i].last_event);
    });
  }
  for (int i = 0; i < kNewStreams; ++i) {
    clients.emplace_back([&, i] {
      Stream stream;
      Attempt(hosts[i % kHosts]->callers(), stream, kDeadlineMs, is_cut, 5);
      if (stream.last_event > 0) ++begun;
    });
  }
  for (std::thread& client : clients) client.join();
  for (auto& host : hosts) host->Kill();
  const double share_on = taken_up == 0 ? 0 : 1.0 * went_on / taken_up;
  const double share_new = 1.0 * begun / kNewStreams;
  const bool is_broken = share_on < share_new / 2;
  Record("%d of %d streams that were taken up again went on, %d of %d new ones "
         "began: LOST %s",
         went_on.load(), taken_up, begun.load(), kNewStreams, is_broken ? "BROKEN" : "held");
  if (taken_up < kMinStreams || begun == 0) return 2;
  return is_broken ? 1 : 0;
}

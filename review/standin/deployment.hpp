// A small deployment on loopback for the cases of this review: the platform's
// store, a plain service, model engines, entry hosts as separate processes, and
// callers. It speaks what the platform's PROTOCOL.md says and needs POSIX
// threads and nlohmann-json only.
#ifndef REVIEW_STANDIN_DEPLOYMENT_HPP_
#define REVIEW_STANDIN_DEPLOYMENT_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Milliseconds since the start of the case.
inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The file record.txt of a case: one line for each event.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---- HTTP/1.1 over blocking sockets ----

struct Message {
  std::string start;  // Request or status line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  std::string Query(const std::string& name) const {
    const std::string target = Target();
    const size_t mark = target.find('?');
    if (mark == std::string::npos) return "";
    const std::string query = "&" + target.substr(mark + 1);
    const size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) return "";
    const size_t from = at + name.size() + 2;
    return query.substr(from, query.find('&', from) - from);
  }
  int Status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
};

// How reading a message ended.
enum class ReadEnd { kWhole, kClosed, kReset, kTimeout, kMalformed };

inline const char* ReadEndName(ReadEnd end) {
  switch (end) {
    case ReadEnd::kWhole:
      return "whole";
    case ReadEnd::kClosed:
      return "closed";
    case ReadEnd::kReset:
      return "reset";
    case ReadEnd::kTimeout:
      return "timeout";
    case ReadEnd::kMalformed:
      return "malformed";
  }
  return "?";
}

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Closes with a reset.
  void Reset() {
    const linger discard{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    Close();
  }
  // Bytes for each read and the pause after it; zero: as fast as possible.
  void ReadSlowly(size_t bytes, int64_t pause_ms) {
    slow_bytes_ = bytes;
    slow_pause_ms_ = pause_ms;
  }
  size_t bytes_read() const { return bytes_read_; }

  bool Write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Reads one message; `until_ms` bounds it.
  ReadEnd Read(Message& message, int64_t until_ms) {
    message = {};
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd more = Fill(until_ms);
      if (more != ReadEnd::kWhole) return more;
    }
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    if (message.Header("transfer-encoding") == "chunked") {
      return ReadChunks(message, until_ms);
    }
    const std::string length = message.Header("content-length");
    const size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      const ReadEnd more = Fill(until_ms);
      if (more != ReadEnd::kWhole) {
        message.body = buffer_;
        return more;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return ReadEnd::kWhole;
  }
  // Called with each chunk of a chunked message as it arrives.
  std::function<void(const std::string&)> on_chunk;

 private:
  ReadEnd Fill(int64_t until_ms) {
    const int64_t left = until_ms - NowMs();
    pollfd state{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
      return ReadEnd::kTimeout;
    }
    std::vector<char> bytes(slow_bytes_ > 0 ? slow_bytes_ : 65536);
    const ssize_t n = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (n == 0) return ReadEnd::kClosed;
    if (n < 0) return ReadEnd::kReset;
    buffer_.append(bytes.data(), static_cast<size_t>(n));
    bytes_read_ += static_cast<size_t>(n);
    SleepMs(slow_pause_ms_);
    return ReadEnd::kWhole;
  }
  static void ParseHead(const std::string& head, Message& message) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    message.start = line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t from = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = from == std::string::npos ? "" : line.substr(from);
    }
  }
  ReadEnd ReadChunks(Message& message, int64_t until_ms) {
    while (true) {
      size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        const ReadEnd more = Fill(until_ms);
        if (more != ReadEnd::kWhole) return more;
      }
      const size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2) {
        const ReadEnd more = Fill(until_ms);
        if (more != ReadEnd::kWhole) return more;
      }
      const std::string chunk = buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) return ReadEnd::kWhole;
      message.body += chunk;
      if (on_chunk) on_chunk(chunk);
    }
  }

  int fd_;
  std::string buffer_;
  size_t bytes_read_ = 0;
  size_t slow_bytes_ = 0;
  int64_t slow_pause_ms_ = 0;
};

inline sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening socket, or -1. Port 0: any free one.
inline int Listen(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = MakeAddress(ip, port);
  const bool is_bound =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  if (is_bound && ::listen(fd, 256) == 0) return fd;
  ::close(fd);
  return -1;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// `receive_bytes`: size of the receive buffer, zero: the system's default.
// `segment_bytes`: the largest segment, as on a real link; zero: loopback's.
inline int Connect(const std::string& ip, int port, int receive_bytes = 0,
                   int segment_bytes = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  }
  if (segment_bytes > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
  }
  const sockaddr_in address = MakeAddress(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline std::string Answer(int status, const std::string& reason,
                          const std::map<std::string, std::string>& headers,
                          const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

// Accepts connections, each served by a thread of its own. The handler returns
// false to end the connection.
class Listener {
 public:
  using Handler = std::function<bool(Connection&, const Message&)>;
  Listener(const std::string& ip, Handler handler)
      : fd_(Listen(ip, 0)), port_(PortOf(fd_)), handler_(std::move(handler)) {
    std::thread([this] { Run(); }).detach();
  }
  int port() const { return port_; }

 private:
  void Run() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        Connection connection(fd);
        Message request;
        while (connection.Read(request, NowMs() + 60000) == ReadEnd::kWhole) {
          if (!handler_(connection, request)) return;
        }
      }).detach();
    }
  }

  int fd_;
  int port_;
  Handler handler_;
};

// ---- The platform's store ----

inline std::string BigEndian(uint64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 0xff);
  }
  return text;
}

inline std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

class Store {
 public:
  // Changes what one host reads of a record, for links that run through a
  // proxy: topic, value -> value.
  using View = std::function<std::string(const std::string&, const std::string&)>;

  // Opens an address of the store and returns its port.
  int Open(View view = {}) {
    listeners_.push_back(std::make_unique<Listener>(
        "127.0.0.1", [this, view](Connection& connection, const Message& request) {
          return connection.Write(Serve(request, view));
        }));
    return listeners_.back()->port();
  }
  void Append(const std::string& topic, const std::string& key,
              const std::string& value) {
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, value});
    changed_.notify_all();
  }
  // Called for each record that a host appends, with its offset.
  std::function<void(const std::string&, const std::string&, uint64_t)> on_append;

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  static std::string JsonAnswer(int status, const Json& body) {
    return Answer(status, "-", {{"Content-Type", "application/json"}}, body.dump());
  }

  std::string Serve(const Message& request, const View& view) {
    const std::string topic = request.Query("topic");
    std::unique_lock lock(mutex_);
    if (request.Path() == "/v1/log-append") return HandleAppend(request, topic);
    if (request.Path() == "/v1/log-read") {
      const uint64_t from = std::strtoull(request.Query("from").c_str(), nullptr, 10);
      const int64_t wait = std::atoll(request.Query("wait_ms").c_str());
      changed_.wait_for(lock, std::chrono::milliseconds(wait),
                        [&] { return topics_[topic].size() > from; });
      return HandleRead(topic, from, view);
    }
    if (request.Path() == "/v1/log-newest") return HandleNewest(topic, view);
    return Answer(404, "-", {}, "");
  }
  std::string HandleAppend(const Message& request, const std::string& topic) {
    std::vector<Entry>& entries = topics_[topic];
    const std::string at = request.Query("at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != entries.size()) {
      return JsonAnswer(412, {{"end", entries.size()}});
    }
    const std::string& body = request.body;
    const size_t key_size = body.size() > 4 ? static_cast<unsigned char>(body[4]) : 0;
    if (body.size() < 5 + key_size) return Answer(400, "-", {}, "");
    entries.push_back({body.substr(5, key_size), body.substr(5 + key_size)});
    changed_.notify_all();
    if (on_append) on_append(topic, entries.back().value, entries.size() - 1);
    return JsonAnswer(200, {{"offset", entries.size() - 1}, {"end", entries.size()}});
  }
  std::string HandleRead(const std::string& topic, uint64_t from, const View& view) {
    const std::vector<Entry>& entries = topics_[topic];
    std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
    for (size_t i = from; i < entries.size(); ++i) {
      const std::string value =
          view ? view(topic, entries[i].value) : entries[i].value;
      const std::string content =
          BigEndian(entries[i].key.size(), 1) + entries[i].key + value;
      body += BigEndian(content.size(), 4) + content;
    }
    return Answer(200, "OK", {{"Content-Type", "application/octet-stream"}}, body);
  }
  std::string HandleNewest(const std::string& topic, const View& view) {
    if (!topics_.contains(topic)) return Answer(404, "-", {}, "");
    std::map<std::string, Json> newest;
    const std::vector<Entry>& entries = topics_[topic];
    for (size_t i = 0; i < entries.size(); ++i) {
      newest.erase(entries[i].key);
      if (entries[i].value.empty()) continue;
      const std::string value =
          view ? view(topic, entries[i].value) : entries[i].value;
      newest[entries[i].key] = {
          {"key", entries[i].key}, {"value", Base64(value)}, {"offset", i}};
    }
    Json page{{"items", Json::array()}, {"has_more", false}, {"end", entries.size()}};
    for (auto& [key, item] : newest) page["items"].push_back(item);
    return JsonAnswer(200, page);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<Entry>> topics_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// ---- Backend servers ----

// One run of a request.
struct Run {
  std::string attempt;
  std::string server;
  int64_t at_ms = 0;
};

// What all servers of a deployment have seen.
class Runs {
 public:
  explicit Runs(Record& record) : record_(record) {}
  void Add(const std::string& attempt, const std::string& server) {
    const std::lock_guard lock(mutex_);
    runs_.push_back({attempt, server, NowMs()});
    ++counts_[attempt];
    record_.Line("run    " + attempt + " at " + server);
  }
  // Runs at `server` later than `from_ms`.
  int CountSince(const std::string& server, int64_t from_ms) {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (const Run& run : runs_) count += run.server == server && run.at_ms > from_ms;
    return count;
  }
  int Count(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    return counts_[attempt];
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::map<std::string, int> counts_;
};

// A server of a plain service: each request takes `work_ms` and is answered
// with `answer_bytes`.
class Service {
 public:
  Service(Store& store, Runs& runs, std::string id, std::string name, int64_t work_ms,
          size_t answer_bytes, int slots = 64)
      : store_(store),
        runs_(runs),
        id_(std::move(id)),
        name_(std::move(name)),
        work_ms_(work_ms),
        answer_bytes_(answer_bytes),
        slots_(slots),
        listener_("127.0.0.1", [this](Connection& connection, const Message& request) {
          return Serve(connection, request);
        }) {
    std::thread([this] {
      while (true) {
        Publish();
        SleepMs(1200);
      }
    }).detach();
  }
  // Lists the server as leaving; it serves on.
  void Drain() {
    is_leaving_ = true;
    Publish();
  }
  const std::string& id() const { return id_; }

 private:
  void Publish() {
    const std::lock_guard lock(mutex_);
    const Json entry{{"service", name_},
                     {"address", "127.0.0.1:" + std::to_string(listener_.port())},
                     {"zone", "suwon-a"},
                     {"version", "v1"},
                     {"capacity", slots_},
                     {"state", is_leaving_ ? "draining" : "ready"},
                     {"cold_ms", 0},
                     {"seq", ++sequence_}};
    store_.Append("keyed.servers", id_, entry.dump());
  }
  bool Serve(Connection& connection, const Message& request) {
    const std::string attempt = request.Header("x-attempt-id");
    std::map<std::string, std::string> headers{{"X-Instance-Id", id_}};
    if (is_leaving_) headers["Connection"] = "close";
    if (request.Path() == "/healthz") {
      return connection.Write(Answer(is_leaving_ ? 503 : 200, "-", headers, ""));
    }
    if (!attempt.empty()) headers["X-Attempt-Id"] = attempt;
    if (request.Header("x-expect-instance") != id_) {
      headers["X-Not-Executed"] = "1";
      return connection.Write(Answer(421, "Misdirected Request", headers, ""));
    }
    runs_.Add(attempt, id_);
    SleepMs(work_ms_);
    headers["X-Server-Stamp"] = "stamp-" + attempt;
    headers["X-Instance-Load"] = "1,0," + std::to_string(slots_);
    headers["Keep-Alive"] = "timeout=5";
    const bool is_written = connection.Write(
        Answer(200, "OK", headers, std::string(answer_bytes_, 'a')));
    return is_written && !is_leaving_;
  }

  Store& store_;
  Runs& runs_;
  std::string id_;
  std::string name_;
  int64_t work_ms_;
  size_t answer_bytes_;
  int slots_;
  std::mutex mutex_;
  int sequence_ = 0;
  std::atomic<bool> is_leaving_{false};
  Listener listener_;
};

// An order that an engine received.
struct Order {
  int64_t at_ms = 0;
  std::string holder;
  uint64_t token = 0;
  int status = 0;
  std::string what;
};

// A model engine. Holds what it is ordered to hold; adapters load at once,
// models take `load_ms`. Checks fencing tokens.
class Engine {
 public:
  Engine(Store& store, Runs& runs, Record& record, std::string id, std::string service,
         std::set<std::string> models, int64_t load_ms, int adapter_slots)
      : store_(store),
        runs_(runs),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        load_ms_(load_ms),
        adapter_slots_(adapter_slots),
        listener_("127.0.0.1", [this](Connection& connection, const Message& request) {
          return Serve(connection, request);
        }) {
    for (const std::string& model : models) models_[model] = {};
    std::thread([this] {
      while (true) {
        Publish();
        SleepMs(1200);
      }
    }).detach();
  }
  std::vector<Order> orders() {
    const std::lock_guard lock(mutex_);
    return orders_;
  }
  const std::string& id() const { return id_; }
  // Events of a stream and the pause between them.
  int events = 20;
  int64_t event_ms = 20;
  size_t event_bytes = 40;

 private:
  Json Models() const {
    Json models = Json::array();
    for (const auto& [model, adapters] : models_) {
      models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    return models;
  }
  void FinishLoad() {
    if (loading_.empty() || NowMs() < loaded_at_ms_) return;
    models_[loading_] = {};
    loading_.clear();
  }
  void Publish() {
    Json entry;
    {
      const std::lock_guard lock(mutex_);
      FinishLoad();
      entry = {{"service", service_},
               {"address", "127.0.0.1:" + std::to_string(listener_.port())},
               {"zone", "suwon-a"},
               {"version", "v1"},
               {"capacity", 64},
               {"state", "ready"},
               {"cold_ms", 0},
               {"stage", "colocated"},
               {"models", Models()},
               {"seq", ++sequence_}};
    }
    store_.Append("keyed.servers", id_, entry.dump());
  }
  bool Serve(Connection& connection, const Message& request) {
    const std::string attempt = request.Header("x-attempt-id");
    std::map<std::string, std::string> headers{{"X-Instance-Id", id_}};
    const std::string path = request.Path();
    if (path == "/healthz") return connection.Write(Answer(200, "OK", headers, ""));
    const std::string expected = request.Header("x-expect-instance");
    if (!attempt.empty()) headers["X-Attempt-Id"] = attempt;
    if (!expected.empty() && expected != id_) {
      headers["X-Not-Executed"] = "1";
      return connection.Write(Answer(421, "Misdirected Request", headers, ""));
    }
    if (path == "/v1/report") {
      const std::lock_guard lock(mutex_);
      FinishLoad();
      const Json report{{"stage", "colocated"}, {"models", Models()},
                        {"busy", !loading_.empty()}, {"seq", accepted_},
                        {"queued", 0}, {"in_flight", 0},
                        {"kv_used", 0}, {"kv_total", 129385}, {"handles", 0}};
      headers["Content-Type"] = "application/json";
      return connection.Write(Answer(200, "OK", headers, report.dump()));
    }
    if (path == "/v1/order") {
      const int status = HandleOrder(request.body);
      return connection.Write(Answer(status, "-", headers, ""));
    }
    if (!Holds(request.Header("x-model"))) {
      headers["X-Not-Executed"] = "1";
      return connection.Write(Answer(421, "Misdirected Request", headers, ""));
    }
    return ServeStream(connection, request, headers);
  }
  bool Holds(const std::string& name) {
    const std::lock_guard lock(mutex_);
    FinishLoad();
    const size_t slash = name.find('/');
    const auto model = models_.find(name.substr(0, slash));
    if (model == models_.end()) return false;
    return slash == std::string::npos || model->second.contains(name.substr(slash + 1));
  }
  int HandleOrder(const std::string& body) {
    const std::lock_guard lock(mutex_);
    FinishLoad();
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) return 400;
    Order order;
    order.at_ms = NowMs();
    order.holder = json.value("holder", "");
    order.token = json.value("fence_token", uint64_t{0});
    const std::string model = json.value("model", "");
    const std::string adapter = json.value("adapter", "");
    const std::string operation = json.value("operation", "");
    order.what = operation + " " + model + (adapter.empty() ? "" : "/" + adapter);
    order.status = Execute(json, operation, model, adapter, order);
    orders_.push_back(order);
    record_.Line("order  " + order.what + " at " + id_ + " by " + order.holder +
                 " token " + std::to_string(order.token) + " -> " +
                 std::to_string(order.status));
    return order.status;
  }
  int Execute(const Json& json, const std::string& operation, const std::string& model,
              const std::string& adapter, const Order& order) {
    if (order.holder.empty() || order.token == 0) return 400;
    if (order.token < highest_token_) return 412;
    highest_token_ = order.token;
    if (json.contains("precondition") && json["precondition"] != accepted_) return 409;
    if (!adapter.empty()) {
      if (!models_.contains(model)) return 409;
      std::set<std::string>& held = models_[model];
      const bool is_load = operation == "load";
      if (held.contains(adapter) == is_load) return 200;
      size_t used = 0;
      for (const auto& [name, adapters] : models_) used += adapters.size();
      if (is_load && used >= static_cast<size_t>(adapter_slots_)) return 409;
      if (is_load) {
        held.insert(adapter);
      } else {
        held.erase(adapter);
      }
      ++accepted_;
      return is_load ? 202 : 200;
    }
    if (!loading_.empty()) return 409;
    if (operation == "unload") {
      ++accepted_;
      models_.erase(model);
      return 202;
    }
    if (models_.contains(model)) return 200;
    ++accepted_;
    loading_ = model;
    loaded_at_ms_ = NowMs() + load_ms_;
    return 202;
  }
  bool ServeStream(Connection& connection, const Message& request,
                   const std::map<std::string, std::string>& common) {
    const std::string attempt = request.Header("x-attempt-id");
    runs_.Add(attempt, id_);
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : common) head += name + ": " + value + "\r\n";
    head += "X-Server-Stamp: stamp-" + attempt +
            "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    if (!connection.Write(head)) return false;
    for (int event = std::atoi(request.Header("last-event-id").c_str()) + 1;
         event <= events; ++event) {
      SleepMs(event_ms);
      const std::string text = "id: " + std::to_string(event) + "\ndata: " +
                               std::string(event_bytes, 'e') + "\n\n";
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!connection.Write(size + text + "\r\n")) return false;
    }
    return connection.Write("0\r\n\r\n");
  }

  Store& store_;
  Runs& runs_;
  Record& record_;
  std::string id_;
  std::string service_;
  int64_t load_ms_;
  int adapter_slots_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> models_;
  std::string loading_;
  int64_t loaded_at_ms_ = 0;
  uint64_t accepted_ = 0;
  uint64_t highest_token_ = 0;
  int sequence_ = 0;
  std::vector<Order> orders_;
  Listener listener_;
};

// ---- Entry hosts ----

// Settings of the case, from its arguments.
struct Options {
  std::string daemon;    // Path of applehall-edged.
  std::string folder;    // Temporary, for settings and logs.
  std::string record;    // Path of record.txt.
  bool has_trouble = true;
};

inline Options ReadOptions(int argc, char** argv) {
  Options options;
  if (argc < 4) std::exit(kCouldNotRun);
  options.daemon = argv[1];
  options.folder = argv[2];
  options.record = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  signal(SIGPIPE, SIG_IGN);
  NowMs();
  return options;
}

// The bounds of a small deployment, as on its sheet.
inline Json SmallBounds() {
  return {{"seed_lag_s", 3},      {"reuse_after_s", 2},    {"contact_ms", 3000},
          {"ack_timeout_ms", 4000}, {"catch_up_s", 4},     {"drain_ms", 2000},
          {"grace_period_s", 8},  {"loss_slack_ms", 200},  {"config_apply_ms", 2000},
          {"rollback_slack_ms", 250}, {"max_skew_ms", 5000}, {"retry_ratio", 0.2},
          {"retry_window_s", 10}, {"retry_slack", 52},     {"recovery_s", 12},
          {"delivery_slack_ms", 120}, {"retry_after_s", 0}, {"require_fence", true},
          {"lease_ttl_ms", 3000}, {"thaw_slack_ms", 300},  {"ceiling_window_s", 5},
          {"ceiling_overage", 1.1}};
}

constexpr int kCallersPort = 0;
constexpr int kReadinessPort = 1;
constexpr int kFirstPort = 2;
constexpr int kPortsOfHost = 18;

// Entry hosts, each a process at a loopback address of its own, all with the
// same ports. A process that ends is started again, as the platform does.
class Hosts {
 public:
  Hosts(const Options& options, Record& record) : options_(options), record_(record) {}
  ~Hosts() { StopAll(); }

  static std::string Ip(int index) { return "127.0.1." + std::to_string(index + 1); }
  int port(int offset) const { return base_port_ + offset; }

  // Returns false if no range of ports is free.
  bool Prepare(int count) {
    for (base_port_ = 21000 + getpid() % 400 * 20; base_port_ < 32000;
         base_port_ += 20) {
      bool is_free = true;
      for (int i = 0; i < count && is_free; ++i) {
        for (int offset = 0; offset < kPortsOfHost && is_free; ++offset) {
          const int fd = Listen(Ip(i), base_port_ + offset);
          is_free = fd >= 0;
          if (fd >= 0) ::close(fd);
        }
      }
      if (is_free) break;
    }
    hosts_.resize(count);
    return base_port_ < 32000;
  }
  void Start(int index, int store_port, bool is_first_start) {
    Host& host = hosts_[index];
    host.store_port = store_port;
    WriteSettings(index, is_first_start);
    Spawn(index);
  }
  // Watches the processes and starts ended ones again after `delay_ms`.
  void Supervise(int64_t delay_ms) {
    supervisor_ = std::thread([this, delay_ms] {
      while (!is_stopping_) {
        Reap(delay_ms);
        SleepMs(5);
      }
    });
  }
  void Signal(int index, int signal_number) {
    const std::lock_guard lock(mutex_);
    Host& host = hosts_[index];
    if (signal_number == SIGTERM || signal_number == SIGKILL) host.is_asked = true;
    record_.Line("signal " + std::to_string(signal_number) + " to host " +
                 std::to_string(index));
    if (host.process > 0) ::kill(host.process, signal_number);
  }
  // Times that the process ended by itself.
  int own_ends(int index) {
    const std::lock_guard lock(mutex_);
    return hosts_[index].own_ends;
  }
  pid_t process(int index) {
    const std::lock_guard lock(mutex_);
    return hosts_[index].process;
  }
  bool is_running(int index) {
    const std::lock_guard lock(mutex_);
    return hosts_[index].process > 0;
  }
  void StopAll() {
    is_stopping_ = true;
    if (supervisor_.joinable()) supervisor_.join();
    for (Host& host : hosts_) {
      if (host.process <= 0) continue;
      ::kill(host.process, SIGKILL);
      ::waitpid(host.process, nullptr, 0);
      host.process = 0;
    }
  }
  // Asks the host's readiness address as the platform does.
  bool IsReady(int index) {
    Connection connection(Connect(Ip(index), port(kReadinessPort)));
    if (!connection.is_open()) return false;
    connection.Write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    Message answer;
    return connection.Read(answer, NowMs() + 1000) == ReadEnd::kWhole &&
           answer.Status() == 200;
  }
  bool AwaitReady(int count, int64_t until_ms) {
    while (NowMs() < until_ms) {
      int ready = 0;
      for (int i = 0; i < count; ++i) ready += IsReady(i) ? 1 : 0;
      if (ready == count) return true;
      SleepMs(50);
    }
    return false;
  }

 private:
  struct Host {
    pid_t process = 0;
    int store_port = 0;
    int own_ends = 0;
    bool is_asked = false;  // To end, by this case.
    int64_t start_at_ms = -1;
  };

  std::string SettingsPath(int index) const {
    return options_.folder + "/host-" + std::to_string(index) + ".json";
  }
  // As deploy/settings.json.tmpl, filled in.
  void WriteSettings(int index, bool is_first_start) {
    const std::string ip = Ip(index);
    const Json settings{
        {"host", "edge-" + std::to_string(index)},
        {"data_centre", "suwon-a"},
        {"ip", ip},
        {"callers", ip + ":" + std::to_string(port(kCallersPort))},
        {"readiness", ip + ":" + std::to_string(port(kReadinessPort))},
        {"store", "127.0.0.1:" + std::to_string(hosts_[index].store_port)},
        {"first_port", port(kFirstPort)},
        {"first_start", is_first_start},
        {"shared_key", "applehall-entry-hosts-of-one-deployment"},
        {"limits",
         {{"cpu_share", 0.25}, {"cpu_cores", 1}, {"memory_mb", 260},
          {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_quota_mb", 0}}},
        {"bounds", SmallBounds()}};
    std::ofstream(SettingsPath(index)) << settings.dump(1);
  }
  void Spawn(int index) {
    const std::string log = options_.folder + "/host-" + std::to_string(index) + ".log";
    const std::string variable = "APPLEHALL_SETTINGS=" + SettingsPath(index);
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path ? path : "");
    char* const arguments[] = {const_cast<char*>(options_.daemon.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path_variable.c_str()), nullptr};
    const pid_t process = ::fork();
    if (process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with this case, however that ends.
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execve(options_.daemon.c_str(), arguments, environment);
      ::_exit(127);
    }
    hosts_[index].process = process;
    hosts_[index].is_asked = false;
    hosts_[index].start_at_ms = -1;
    record_.Line("start  host " + std::to_string(index));
  }
  void Reap(int64_t delay_ms) {
    const std::lock_guard lock(mutex_);
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      int status = 0;
      if (host.process > 0 && ::waitpid(host.process, &status, WNOHANG) > 0) {
        const bool is_own = !host.is_asked;
        if (is_own) ++host.own_ends;
        const std::string how =
            WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit code " + std::to_string(WEXITSTATUS(status));
        record_.Line("end    host " + std::to_string(i) + " with " + how +
                     (is_own ? ", by itself" : ", as asked"));
        host.process = 0;
        host.start_at_ms = NowMs() + delay_ms;
      }
      if (host.process == 0 && host.start_at_ms >= 0 && NowMs() >= host.start_at_ms) {
        WriteSettings(static_cast<int>(i), false);
        Spawn(static_cast<int>(i));
      }
    }
  }

  const Options& options_;
  Record& record_;
  int base_port_ = 0;
  std::mutex mutex_;
  std::vector<Host> hosts_;
  std::atomic<bool> is_stopping_{false};
  std::thread supervisor_;
};

// ---- Callers ----

struct CallerRequest {
  std::string method = "POST";
  std::string target;
  std::string id;
  int64_t deadline_ms = 1000;
  std::map<std::string, std::string> headers;
  std::string body = "body";
};

inline std::string RequestText(const CallerRequest& request) {
  std::string text = request.method + " " + request.target +
                     " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + request.id +
                     "\r\nX-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
  if (request.method == "GET") return text + "\r\n";
  return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

// Routes of a small deployment: calls to a service and streams of engines.
inline Json CallRoute(const std::string& prefix, const std::string& kind,
                      const std::string& service, int timeout_ms) {
  return {{"name", "r-" + prefix}, {"host", "ficu95.example"},
          {"path_prefix", "/" + prefix + "/"}, {"kind", kind},
          {"timeout_ms", timeout_ms}, {"target_latency_ms", 100}, {"priority", 2},
          {"service", service}, {"max_attempts", kind == "idempotent" ? 2 : 1},
          {"session_affinity", false}, {"resumable", false}};
}

inline Json StreamRoute(const std::string& prefix, const std::string& service,
                        bool is_resumable, int timeout_ms) {
  return {{"name", "r-" + prefix}, {"host", "ficu95.example"},
          {"path_prefix", "/" + prefix + "/"}, {"kind", "streaming"},
          {"timeout_ms", timeout_ms}, {"target_latency_ms", 600}, {"priority", 1},
          {"service", service}, {"max_attempts", 2}, {"session_affinity", true},
          {"resumable", is_resumable}, {"target_gap_ms", 300}};
}

inline Json Config(int version, Json routes, Json models) {
  Json engine{{"capacity", 64}, {"kv_capacity", 129385}, {"models", std::move(models)},
              {"weights_mb", 200000.0}, {"adapter_slots", 8}, {"loads_per_s", 2.2},
              {"host_memory_mb", 140000.0}, {"disk_quota_mb", 1300000.0}};
  return {{"version", version},
          {"routes", std::move(routes)},
          {"services",
           {{{"name", "huvo11a"}, {"health_path", "/healthz"}, {"max_conns", 360},
             {"protocol", "h1"}, {"tls", false}, {"engine", std::move(engine)}},
            {{"name", "wuno96b"}, {"health_path", "/healthz"}, {"max_conns", 96},
             {"protocol", "h1"}, {"tls", false}}}},
          {"limits",
           {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

inline Json Model(const std::string& name, int adapters) {
  return {{"name", name}, {"weights_mb", 65100.0}, {"load_s", 6.2},
          {"adapters", adapters}, {"adapter_mb", 12.0}, {"warmup_s", 1.2},
          {"disk_s", 1.6}};
}

// Ends the case. Threads of the stand-ins may still run, so nothing is
// destroyed but the hosts' processes.
[[noreturn]] inline void Finish(Hosts& hosts, Record& record, int code,
                                const std::string& verdict) {
  hosts.StopAll();
  record.Line(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  std::_Exit(code);
}

}  // namespace review

#endif  // REVIEW_STANDIN_DEPLOYMENT_HPP_

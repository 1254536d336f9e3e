// Links between machines: proxies that pass everything on, or nothing while a
// machine is cut off.
#pragma once

#include "lab.hpp"

#include <utility>

namespace lab {

// The machines that are cut off. Thread-safe.
class Cuts {
 public:
  void Cut(const std::string& machine) {
    const std::lock_guard lock(mutex_);
    cut_.insert(machine);
  }
  // What was under way on cut links is lost.
  void Heal(const std::string& machine) {
    const std::lock_guard lock(mutex_);
    cut_.erase(machine);
    ++heals_;
  }
  bool IsCut(const std::string& machine) {
    const std::lock_guard lock(mutex_);
    return cut_.count(machine) > 0;
  }
  int heals() const { return heals_; }

 private:
  std::mutex mutex_;
  std::set<std::string> cut_;
  std::atomic<int> heals_{0};
};

// Relays connections to `target`. Subclasses may look at or change what passes.
class Link {
 public:
  Link(const Address& address, Address target, Cuts& cuts)
      : cuts_(cuts),
        target_(std::move(target)),
        listener_(address, [this](int fd) { Relay(fd); }) {}
  virtual ~Link() { Stop(); }
  void Stop() {
    is_over_ = true;
    listener_.Stop();
  }
  const Address& address() const { return listener_.address(); }

 protected:
  struct Flow {
    bool is_from_caller = false;
    std::string pending;   // Read and not passed on.
    bool has_head = false; // The head of the HTTP upgrade has passed.
  };
  struct Session {
    std::string caller;  // The machine that connected, once known.
    Flow out{true, "", false};
    Flow back{false, "", false};
    bool is_marked = false;
  };
  // Whether the session's machines are cut off.
  virtual bool IsCut(const Session& session) = 0;
  // Takes from `flow.pending` what can be passed on.
  virtual std::string Take(Session&, Flow& flow) {
    return std::exchange(flow.pending, "");
  }
  // Called after something was passed on.
  virtual void Passed(Session&, const Flow&) {}

  Cuts& cuts_;

 private:
  void Relay(int fd) {
    Session session;
    const int heals = cuts_.heals();
    const auto is_lost = [&] { return cuts_.heals() != heals; };
    bool was_cut = IsCut(session);
    while (was_cut && !is_over_ && !is_lost()) SleepMs(5);
    if (was_cut) return;
    const int other = Connect(target_);
    if (other < 0) return;
    Connection closer(other);
    const int sockets[2] = {fd, other};
    bool is_open = true;
    while (is_open && !is_over_) {
      if (IsCut(session)) was_cut = true;
      if (was_cut) {
        // Nothing passes, and nobody is told.
        if (is_lost()) return;
        SleepMs(2);
        continue;
      }
      pollfd wait[2] = {{fd, POLLIN, 0}, {other, POLLIN, 0}};
      if (poll(wait, 2, 5) <= 0) continue;
      if (IsCut(session)) continue;
      for (int i = 0; i < 2 && is_open; ++i) {
        if (wait[i].revents == 0) continue;
        char bytes[65536];
        const ssize_t n = recv(sockets[i], bytes, sizeof(bytes), 0);
        if (n <= 0) {
          is_open = false;
          break;
        }
        Flow& flow = i == 0 ? session.out : session.back;
        flow.pending.append(bytes, static_cast<size_t>(n));
        const std::string data = Take(session, flow);
        if (data.empty()) continue;
        Connection target(dup(sockets[1 - i]));
        is_open = target.Write(data);
        Passed(session, flow);
      }
    }
  }

  Address target_;
  std::atomic<bool> is_over_{false};
  Listener listener_;
};

// The link of one host to the store.
class StoreLink : public Link {
 public:
  StoreLink(const Address& address, const Address& store, Cuts& cuts,
            std::string host, std::string watched)
      : Link(address, store, cuts),
        host_(std::move(host)),
        watched_(std::move(watched)) {}
  ~StoreLink() override { Stop(); }
  // Set to cut the host off right after the store has answered a call whose
  // target contains `watched`.
  std::atomic<bool> cuts_at_next{false};
  std::atomic<bool> has_cut{false};

 protected:
  bool IsCut(const Session&) override { return cuts_.IsCut(host_); }
  void Passed(Session& session, const Flow& flow) override {
    if (!flow.is_from_caller && session.is_marked && cuts_at_next) {
      cuts_at_next = false;
      cuts_.Cut(host_);
      has_cut = true;
    }
    if (!flow.is_from_caller) session.is_marked = false;
  }
  std::string Take(Session& session, Flow& flow) override {
    if (flow.is_from_caller &&
        flow.pending.find(watched_) != std::string::npos) {
      session.is_marked = true;
    }
    return std::exchange(flow.pending, "");
  }

 private:
  std::string host_;
  std::string watched_;
};

// Hosts name 127.0.0.1N:PORT as their address for other hosts; the link to it
// is at 127.0.0.2N:PORT. The names are replaced as in a translation of network
// addresses, byte by byte.
inline void TranslatePeers(std::string& text, size_t from, size_t to, int port) {
  const std::string end = ":" + std::to_string(port);
  const std::string begin = "127.0.0.1";
  for (size_t at = text.find(begin, from); at != std::string::npos && at < to;
       at = text.find(begin, at + 1)) {
    if (text.compare(at + begin.size() + 1, end.size(), end) == 0) {
      text[at + begin.size() - 1] = '2';
    }
  }
}

// The links of all other hosts to one host.
class PeerLink : public Link {
 public:
  PeerLink(const Address& address, const Address& host, Cuts& cuts,
           std::string name)
      : Link(address, host, cuts), name_(std::move(name)), port_(host.port) {}
  ~PeerLink() override { Stop(); }

 protected:
  bool IsCut(const Session& session) override {
    return cuts_.IsCut(name_) ||
           (!session.caller.empty() && cuts_.IsCut(session.caller));
  }
  // Passes whole WebSocket frames on, with translated addresses.
  std::string Take(Session& session, Flow& flow) override {
    std::string passed;
    if (!flow.has_head) {
      const size_t end = flow.pending.find("\r\n\r\n");
      if (end == std::string::npos) return "";
      passed = flow.pending.substr(0, end + 4);
      flow.pending.erase(0, end + 4);
      flow.has_head = true;
    }
    while (flow.pending.size() >= 2) {
      const auto byte = [&](size_t i) {
        return static_cast<unsigned char>(flow.pending[i]);
      };
      size_t head = 2;
      uint64_t size = byte(1) & 127;
      const int extra = size == 126 ? 2 : size == 127 ? 8 : 0;
      if (flow.pending.size() < head + extra) break;
      if (extra > 0) size = 0;
      for (int i = 0; i < extra; ++i) size = size << 8 | byte(head + i);
      head += extra;
      const bool is_masked = (byte(1) & 128) != 0;
      const size_t mask = head;
      if (is_masked) head += 4;
      if (flow.pending.size() < head + size) break;
      std::string payload = flow.pending.substr(head, size);
      const auto flip = [&] {
        if (!is_masked) return;
        for (size_t i = 0; i < size; ++i) payload[i] ^= flow.pending[mask + i % 4];
      };
      flip();
      TranslatePeers(payload, 0, payload.size(), port_);
      if (flow.is_from_caller && payload.rfind("hello ", 0) == 0) {
        session.caller = payload.substr(6, payload.find(' ', 6) - 6);
      }
      flip();
      passed += flow.pending.substr(0, head) + payload;
      flow.pending.erase(0, head + size);
    }
    return passed;
  }

 private:
  std::string name_;
  int port_;
};

}  // namespace lab

// Simulates hosts that follow the platform's store under a paused clock: their
// relays, their own reads, and links with a bandwidth and a queue.

#ifndef APPLEHALL_TESTS_NODE_UPDATE_FLEET_H_
#define APPLEHALL_TESTS_NODE_UPDATE_FLEET_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "node/store_relay.h"

namespace applehall {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kConfigTopic[] = "config";
inline constexpr char kServerTopic[] = "servers";

// The log of one topic in the store.
struct TopicLog {
  struct Entry {
    TimePoint acknowledged_at;
    std::string bytes;
  };
  std::vector<Entry> entries;

  LogOffset end() const { return entries.size(); }
};

class UpdateFleet {
 public:
  struct Link {
    double bytes_per_second = 0;
    TimePoint free_at;

    // Returns when `bytes` that are queued at `now` have been transmitted.
    TimePoint Send(size_t bytes, TimePoint now) {
      const TimePoint begin = std::max(now, free_at);
      free_at =
          begin + FromSeconds(static_cast<double>(bytes) / bytes_per_second);
      return free_at;
    }
  };

  struct Host {
    explicit Host(NodeSettings settings) : context(std::move(settings)) {}

    struct TopicReading {
      LogOffset next = 0;
      int calls = 0;      // Calls to the store so far.
      uint64_t call = 0;  // The open call; 0: none.
      TimePoint as_of;    // Freshness by the last answer.
      Duration retry_pause{0};
      bool is_due = true;
    };
    NodeContext context;
    StoreRelay relay{context};
    Link up;
    Link down;
    std::map<std::string, TopicReading> topics;
    bool is_reading = true;
    bool is_down = false;
    bool is_frozen = false;
    // Reads of these topics are never answered.
    std::set<std::string> unanswered_topics;
    bool is_refused = false;  // The store rejects its calls.
    TimePoint exempt_until;   // Delays are not recorded, due to an own fault.
  };

  struct WorstDelay {
    Duration max{0};
    std::string host;
    TimePoint at;
  };

  explicit UpdateFleet(Duration bound)
      : budget_(FreshnessBudget::Within(bound)) {}

  void Restart(const std::string& name) {
    const double bytes_per_second = host(name).up.bytes_per_second;
    const TimePoint exempt_until = host(name).exempt_until;
    for (const char* topic : {kConfigTopic, kServerTopic}) {
      held_.erase({name, topic});
    }
    Host& added = Add(name, bytes_per_second / kBytesPerMegabit);
    added.exempt_until = exempt_until;
    added.relay.SetReader({readers_[name], readers_[name]});
    added.relay.SetBackup({backups_[name], backups_[name]});
  }

  Host& Add(const std::string& name, double mbps) {
    NodeSettings settings;
    settings.self = {name, 1};
    settings.peer_address = name;
    settings.link_mbps = mbps;
    settings.freshness = budget_;
    auto& host = hosts_[name];
    host = std::make_unique<Host>(settings);
    host->up.bytes_per_second = mbps * kBytesPerMegabit;
    host->down.bytes_per_second = mbps * kBytesPerMegabit;
    host->context.log_answered_at = now_;
    host->context.started_at = now_;
    for (const char* topic : {kConfigTopic, kServerTopic}) {
      const LogOffset end = logs_[topic].end();
      host->topics[topic].next = end;
      RunOn(name, [&](Host& h) {
        h.relay.HandleStoreUpdates({.topic = topic,
                                    .from = end,
                                    .next = end,
                                    .last_record = RecordBefore(topic, end)});
      });
    }
    return *host;
  }

  Host& host(const std::string& name) { return *hosts_.at(name); }
  TimePoint now() const { return now_; }
  const WorstDelay& worst_delay() const { return worst_delay_; }
  void ResetWorstDelay() { worst_delay_ = {}; }
  int calls() const {
    int sum = 0;
    for (const auto& [name, host] : hosts_) {
      for (const auto& [topic, reading] : host->topics) sum += reading.calls;
    }
    return sum;
  }
  size_t bytes_between_hosts() const { return bytes_between_hosts_; }
  size_t store_bytes() const { return store_bytes_; }

  // Sets the reader of the hosts whose names begin with `centre`.
  void SetReader(const std::string& name, const std::string& centre = "") {
    for (auto& [own, host] : hosts_) {
      if (!own.starts_with(centre)) continue;
      readers_[own] = name;
      host->relay.SetReader({name, name});
    }
  }
  void SetBackup(const std::string& name, const std::string& centre = "") {
    for (auto& [own, host] : hosts_) {
      if (!own.starts_with(centre)) continue;
      backups_[own] = name;
      host->relay.SetBackup({name, name});
    }
  }

  // Replaces the base record of `topic` at `name` by another one.
  void ReplaceBase(const std::string& name, const std::string& topic) {
    RunOn(name, [&](Host& h) {
      h.relay.HandleStoreUpdates({.topic = topic,
                                  .from = logs_[topic].end(),
                                  .next = logs_[topic].end(),
                                  .last_record = "another record"});
    });
  }

  // Ends the process; it restarts after `down` with the newest records.
  void Kill(const std::string& name, Duration down, Duration exempt) {
    host(name).is_down = true;
    Exempt(name, down + exempt);
    Schedule(now_ + down, [this, name] { Restart(name); });
  }
  // Suspends the process for `duration`.
  void Freeze(const std::string& name, Duration duration, Duration exempt) {
    if (host(name).is_down) return;
    host(name).is_frozen = true;
    Exempt(name, duration + exempt);
    Schedule(now_ + duration, [this, name] { host(name).is_frozen = false; });
  }
  void Exempt(const std::string& name, Duration duration) {
    TimePoint& until = host(name).exempt_until;
    until = std::max(until, now_ + duration);
  }
  // Sets the share of the messages between hosts that are lost.
  void SetLoss(double share) { loss_ = share; }

  // Appends a record, which the store acknowledges now.
  void Append(const std::string& topic, std::string bytes) {
    logs_[topic].entries.push_back({now_, std::move(bytes)});
    for (auto& [name, host] : hosts_) AnswerIfUpdated(name, topic);
  }

  void Schedule(TimePoint when, std::function<void()> what) {
    events_.push({when, ++event_count_, std::move(what)});
  }

  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      const TimePoint next_tick = ticked_at_ + kTick;
      if (!events_.empty() && events_.top().at <= next_tick) {
        const TimedEvent event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.what();
        continue;
      }
      now_ = ticked_at_ = next_tick;
      Tick();
    }
  }

 private:
  static constexpr double kBytesPerMegabit = 125'000;
  static constexpr Duration kTick = milliseconds(25);
  static constexpr Duration kOneWay = milliseconds(1);
  static constexpr Duration kStoreTime = milliseconds(4);
  static constexpr size_t kRequestBytes = 300;
  static constexpr Duration kPauseAfterUpdate = milliseconds(100);

  struct TimedEvent {
    TimePoint at;
    uint64_t order;
    std::function<void()> what;
    bool operator<(const TimedEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  // A read that the store holds until there are new records.
  struct HeldRead {
    uint64_t call = 0;
    LogOffset from = 0;
  };

  bool IsRunning(const Host& host) const {
    return !host.is_down && !host.is_frozen;
  }

  template <typename Fn>
  void RunOn(const std::string& name, Fn&& fn) {
    Host& host = *hosts_.at(name);
    std::vector<Action> actions;
    host.context.now = now_;
    host.context.actions = &actions;
    fn(host);
    for (Action& action : actions) Perform(name, host, action);
  }

  void Perform(const std::string& name, Host& host, const Action& action) {
    if (const auto* sent = std::get_if<SendPeer>(&action)) {
      Transmit(name, *sent);
    } else if (const auto* follow = std::get_if<SetStorePolling>(&action)) {
      host.is_reading = follow->is_reading;
      for (auto& [topic, reading] : host.topics) {
        reading.as_of = std::max(reading.as_of, follow->as_of);
        if (reading.call == 0) reading.is_due = true;
      }
    } else if (const auto* updates = std::get_if<ApplyStoreUpdates>(&action)) {
      Host::TopicReading& reading = host.topics.at(updates->topic);
      if (reading.next < updates->from || reading.next >= updates->next) return;
      EXPECT_EQ(updates->records,
                Bytes(updates->topic, updates->from, updates->next));
      reading.next = updates->next;
      const std::string topic = updates->topic;
      const LogOffset from = updates->from;
      Schedule(now_, [this, name, topic, from] {
        RunOn(name, [&](Host& h) {
          h.relay.HandleStoreUpdates(
              {.topic = topic,
               .from = from,
               .next = h.topics.at(topic).next,
               .last_record = RecordBefore(topic, h.topics.at(topic).next)});
        });
      });
    }
  }

  void Transmit(const std::string& from, const SendPeer& sent) {
    if (!hosts_.contains(sent.host)) return;
    if (random_.Unit() < loss_) return;
    const std::vector<uint8_t> bytes = sent.message.Encode();
    constexpr size_t kOverhead = 80;
    bytes_between_hosts_ += bytes.size();
    const TimePoint gone =
        hosts_.at(from)->up.Send(bytes.size() + kOverhead, now_);
    const std::string to = sent.host;
    const PeerMessage message = sent.message;
    const size_t size = bytes.size() + kOverhead;
    Schedule(gone + kOneWay, [this, from, to, message, size] {
      Schedule(hosts_.at(to)->down.Send(size, now_),
               [this, from, to, message] { Deliver(from, to, message); });
    });
  }

  void Deliver(const std::string& from, const std::string& to,
               const PeerMessage& message) {
    Host& host = *hosts_.at(to);
    if (host.is_down) return;
    if (host.is_frozen) {
      Schedule(now_ + kTick,
               [this, from, to, message] { Deliver(from, to, message); });
      return;
    }
    RunOn(to, [&](Host& h) {
      if (message.type == PeerMessageType::kStoreFollow) {
        h.relay.HandleFollow(from, message.body);
      } else if (message.type == PeerMessageType::kStoreUpdates) {
        h.relay.HandleRelayedUpdates(from, message.body);
      }
    });
  }

  std::string Bytes(const std::string& topic, LogOffset from,
                    LogOffset to) const {
    std::string bytes;
    for (LogOffset i = from; i < to; ++i) {
      bytes += logs_.at(topic).entries[i].bytes;
    }
    return bytes;
  }

  std::string RecordBefore(const std::string& topic, LogOffset end) const {
    return end == 0 ? "" : logs_.at(topic).entries[end - 1].bytes;
  }

  // ---- Own reads, with the timing of platform/store_client ----

  void StartRead(const std::string& name, const std::string& topic) {
    Host& host = *hosts_.at(name);
    Host::TopicReading& reading = host.topics.at(topic);
    reading.is_due = false;
    const uint64_t call = ++call_count_;
    reading.call = call;
    ++reading.calls;
    const Duration wait = UntilRenewal(reading);
    const LogOffset from = reading.next;
    const TimePoint requested_at = now_;
    const bool reads_newest =
        topic == kConfigTopic && now_ - reading.as_of > budget_.bound;
    // The timeout only applies until the headers of the answer are received.
    Schedule(now_ + wait + budget_.read_timeout, [this, name, topic, call] {
      if (!answers_begun_.contains(call)) FailRead(name, topic, call);
    });
    const bool is_unanswered =
        host.unanswered_topics.contains(topic) || host.is_refused;
    const TimePoint gone = host.up.Send(kRequestBytes, now_);
    if (is_unanswered) return;
    Schedule(gone + kOneWay,
             [this, name, topic, call, from, wait, requested_at, reads_newest] {
               calls_[call] = {requested_at, wait};
               if (reads_newest) {
                 AnswerWithNewest(name, topic, call);
                 return;
               }
               held_[{name, topic}] = {call, from};
               AnswerIfUpdated(name, topic);
               Schedule(now_ + wait, [this, name, topic, call] {
                 const auto held = held_.find({name, topic});
                 if (held == held_.end() || held->second.call != call) return;
                 held_.erase(held);
                 AnswerRead(name, topic, call, 0);
               });
             });
  }

  void AnswerIfUpdated(const std::string& name, const std::string& topic) {
    const auto held = held_.find({name, topic});
    if (held == held_.end() || logs_[topic].end() <= held->second.from) return;
    const HeldRead read = held->second;
    held_.erase(held);
    AnswerRead(name, topic, read.call, logs_[topic].end());
  }

  // `to` is 0 if there are no new records.
  void AnswerRead(const std::string& name, const std::string& topic,
                  uint64_t call, LogOffset to) {
    const Host& client = *hosts_.at(name);
    if (client.unanswered_topics.contains(topic) || client.is_refused) return;
    const LogOffset from = client.topics.at(topic).next;
    const size_t size =
        kRequestBytes + (to > from ? Bytes(topic, from, to).size() : 0);
    Schedule(now_ + kStoreTime, [this, name, topic, call, from, to, size] {
      SendHeaders(name, call, size);
      Schedule(hosts_.at(name)->down.Send(size, now_) + kOneWay,
               [this, name, topic, call, from, to] {
                 HandleAnswer(name, topic, call, from, to);
               });
    });
  }

  // The headers arrive as soon as the data queued before them has.
  void SendHeaders(const std::string& name, uint64_t call, size_t bytes) {
    store_bytes_ += bytes;
    Schedule(std::max(now_, hosts_.at(name)->down.free_at) + kOneWay,
             [this, call] { answers_begun_.insert(call); });
  }

  // Answers with the last record only, in base64.
  void AnswerWithNewest(const std::string& name, const std::string& topic,
                        uint64_t call) {
    const LogOffset to = logs_[topic].end();
    const size_t size = kRequestBytes + 4 * RecordBefore(topic, to).size() / 3;
    Schedule(now_ + kStoreTime, [this, name, topic, call, to, size] {
      SendHeaders(name, call, size);
      Schedule(hosts_.at(name)->down.Send(size, now_) + kOneWay,
               [this, name, topic, call, to] {
                 HandleAnswer(name, topic, call, /*from=*/to, to);
               });
    });
  }

  void HandleAnswer(const std::string& name, const std::string& topic,
                    uint64_t call, LogOffset from, LogOffset to) {
    Host& host = *hosts_.at(name);
    Host::TopicReading& reading = host.topics.at(topic);
    if (host.is_down || reading.call != call) return;
    if (host.is_frozen) {
      Schedule(now_ + kTick, [this, name, topic, call, from, to] {
        HandleAnswer(name, topic, call, from, to);
      });
      return;
    }
    reading.call = 0;
    reading.retry_pause = Duration{0};
    const auto [requested_at, wait] = calls_.at(call);
    calls_.erase(call);
    const bool has_updates = to > reading.next;
    answers_begun_.erase(call);
    const TimePoint as_of = to == 0 ? requested_at + wait : requested_at;
    reading.as_of = std::max(reading.as_of, as_of);
    if (has_updates) reading.next = to;
    RunOn(name, [&](Host& h) {
      h.context.RecordLogResponse(now_);
      h.relay.HandleStoreUpdates(
          {.topic = topic,
           .from = has_updates ? from : reading.next,
           .next = reading.next,
           .records = has_updates ? Bytes(topic, from, to) : "",
           .last_record = has_updates ? RecordBefore(topic, to) : "",
           .as_of = as_of});
    });
    ScheduleRead(name, topic,
                 has_updates
                     ? std::min(kPauseAfterUpdate, UntilRenewal(reading))
                     : Duration{0});
  }

  void FailRead(const std::string& name, const std::string& topic,
                uint64_t call) {
    Host& host = *hosts_.at(name);
    Host::TopicReading& reading = host.topics.at(topic);
    if (host.is_down || reading.call != call) return;
    held_.erase({name, topic});
    reading.call = 0;
    calls_.erase(call);
    host.context.log_failed = true;
    reading.retry_pause =
        std::clamp(2 * reading.retry_pause, budget_.retry_pause,
                   2 * budget_.heartbeat_interval);
    ScheduleRead(name, topic, reading.retry_pause);
  }

  Duration UntilRenewal(const Host::TopicReading& reading) const {
    const Duration age = now_ - reading.as_of;
    return std::clamp(budget_.renewal_interval - age, Duration{0},
                      budget_.renewal_interval);
  }

  void ScheduleRead(const std::string& name, const std::string& topic,
                    Duration pause) {
    Schedule(now_ + pause, [this, name, topic] {
      hosts_.at(name)->topics.at(topic).is_due = true;
    });
  }

  void Tick() {
    for (auto& [name, host] : hosts_) {
      if (!IsRunning(*host)) continue;
      RunOn(name, [](Host& h) { h.relay.RunTick(); });
      for (auto& [topic, reading] : host->topics) {
        if (host->is_reading && reading.is_due && reading.call == 0) {
          StartRead(name, topic);
        }
      }
      RecordDelay(name, *host);
    }
  }

  // Records the time since the oldest record that `host` lacks was
  // acknowledged.
  void RecordDelay(const std::string& name, const Host& host) {
    if (now_ < host.exempt_until) return;
    for (const auto& [topic, reading] : host.topics) {
      const TopicLog& log = logs_[topic];
      if (reading.next >= log.end()) continue;
      const Duration delay = now_ - log.entries[reading.next].acknowledged_at;
      if (delay > worst_delay_.max) worst_delay_ = {delay, name, now_};
    }
  }

  FreshnessBudget budget_;
  TimePoint now_{std::chrono::hours(500000)};
  TimePoint ticked_at_ = now_;
  std::map<std::string, TopicLog> logs_{{kConfigTopic, {}}, {kServerTopic, {}}};
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::map<std::pair<std::string, std::string>, HeldRead> held_;
  // Start and maximum wait of each open call.
  std::map<uint64_t, std::pair<TimePoint, Duration>> calls_;
  // Calls whose answer headers were received.
  std::set<uint64_t> answers_begun_;
  std::priority_queue<TimedEvent> events_;
  uint64_t event_count_ = 0;
  uint64_t call_count_ = 0;
  size_t bytes_between_hosts_ = 0;
  size_t store_bytes_ = 0;  // Size of the store's answers.
  WorstDelay worst_delay_;
  std::map<std::string, std::string> readers_;  // By follower.
  std::map<std::string, std::string> backups_;
  Random random_{20261203};
  double loss_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_UPDATE_FLEET_H_

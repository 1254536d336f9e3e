// Simulates entry hosts, the store's real records, links and backend servers
// under a paused clock, and records requests that reach leaving servers late.

#ifndef APPLEHALL_TESTS_PLATFORM_LEAVING_SERVER_FIXTURE_H_
#define APPLEHALL_TESTS_PLATFORM_LEAVING_SERVER_FIXTURE_H_

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "core/random.h"
#include "node/node.h"
#include "node/topic_reader.h"
#include "platform/server_entry.h"
#include "platform/wire_names.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {

class LeavingServerFixture : public testing::Test {
 protected:
  static constexpr TimePoint kStart{std::chrono::hours(500000)};
  static constexpr Duration kBound = seconds(2);
  // A host whose process, links and store had no fault for this long must keep
  // the bound.
  static constexpr Duration kContact = seconds(3);
  static constexpr Duration kStep = milliseconds(5);
  static constexpr Duration kCallTimeout = seconds(1);
  static constexpr FreshnessBudget kBudget = FreshnessBudget::Within(kBound);

  struct Topic {
    Topic(std::string topic, TopicReader topic_reader)
        : name(std::move(topic)), reader(std::move(topic_reader)) {}
    std::string name;
    TopicReader reader;
    uint64_t call = 0;  // The open call; 0: none.
    TimePoint next_call_at;
  };
  struct Attempt {
    DispatchRequest request;
    bool is_sent = false;
  };
  struct Host {
    std::unique_ptr<Node> node;
    Topic servers{wire::kServersTopic,
                  TopicReader(kBudget, kBound / 4, /*has_single_key=*/false)};
    Topic config{wire::kConfigTopic, TopicReader(kBudget, milliseconds(100),
                                                 /*has_single_key=*/true)};
    std::map<RequestHandle, Attempt> attempts;
    std::map<std::string, int> served;  // By server.
    bool is_frozen = false;
    bool is_cut_from_store = false;
    bool is_refused = false;  // The store rejects its calls.
    bool is_cut_from_hosts = false;
    TimePoint last_fault_at;
    bool is_faulty() const {
      return is_frozen || is_cut_from_store || is_cut_from_hosts;
    }
  };
  struct StoredTopic {
    std::vector<KeyedRecord> log;
    LogOffset first = 0;  // Earlier records are deleted.
    std::map<std::string, KeyedRecord> newest;
    Duration newest_delay = milliseconds(4);  // Until the answer is sent.
  };
  struct LateArrival {
    std::string host;
    std::string server;
    Duration after{0};
  };

  void AddHost(const std::string& name, const std::string& centre) {
    NodeSettings settings;
    settings.self = {name, 1};
    settings.data_centre = centre;
    settings.placement = PlacementStyle::kFleet;
    settings.peer_address = name;
    settings.serves_while_draining = true;
    settings.log_down_after = seconds(5);
    settings.freshness = kBudget;
    settings.seed = hosts_.size() + 1;
    Host& host = hosts_[name];
    host.node = std::make_unique<Node>(settings);
    CatalogueRead catalogue;
    CatalogueEntry entry;
    entry.name = "llm/m0";
    entry.service = "llm";
    entry.bytes = 70'000'000'000;
    catalogue.catalogue.push_back(entry);
    catalogue.engine_classes["llm"] = {200'000'000'000, 8, 4.0};
    Handle(name, catalogue);
  }

  // Removes hosts, records and scheduled events, and restarts the clock.
  void Reset() {
    now_ = kStart;
    events_ = {};
    event_count_ = 0;
    call_count_ = 0;
    steps_ = 0;
    last_handle_ = 0;
    pending_.clear();
    hosts_.clear();
    store_.clear();
    left_at_.clear();
    connect_time_.clear();
    limits_.clear();
    late_.clear();
    message_loss_ = 0;
    config_version_ = 0;
    lease_.reset();
    token_ = 0;
  }

  // ---- The store ----

  void Append(const std::string& topic, const std::string& key,
              const std::string& value) {
    StoredTopic& stored = store_[topic];
    const KeyedRecord record{key, value, stored.log.size()};
    stored.log.push_back(record);
    stored.newest[key] = record;
    if (value.empty()) stored.newest.erase(key);
  }
  void List(const std::string& id, const std::string& service,
            bool is_leaving = false) {
    Json entry{{"service", service},
               {"address", "10.0.0.1:80"},
               {"zone", "north"},
               {"capacity", 64},
               {"state", is_leaving ? "draining" : "ready"}};
    if (service == "llm") {
      entry["models"] = Json::array(
          {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}});
    }
    Append(wire::kServersTopic, id, entry.dump());
  }
  void ListServers() {
    for (const char* id : {"app-1", "app-2", "app-3"}) List(id, "app");
    for (const char* id : {"llm-1", "llm-2", "llm-3"}) List(id, "llm");
    ChangeConfig();
  }
  // The server reports that it leaves.
  void Drain(const std::string& id) {
    List(id, id.substr(0, 3), /*is_leaving=*/true);
    left_at_.emplace(id, now_);
  }
  // The server leaves without a report.
  void Remove(const std::string& id) {
    Append(wire::kServersTopic, id, "");
    left_at_.emplace(id, now_);
  }
  void ChangeConfig() {
    Append(wire::kConfigTopic, "config", absl::StrCat(++config_version_));
  }
  void DeleteHistory() {
    for (auto& [name, topic] : store_) topic.first = topic.log.size();
  }

  // ---- Faults ----

  void SetFault(const std::string& name, bool Host::*fault, Duration duration) {
    hosts_.at(name).*fault = true;
    At(now_ + duration,
       [this, name, fault] { hosts_.at(name).*fault = false; });
  }

  // ---- Time ----

  void At(TimePoint when, std::function<void()> what) {
    events_.push({when, ++event_count_, std::move(what)});
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += kStep;
      while (!events_.empty() && events_.top().at <= now_) {
        const TimedEvent event = events_.top();
        events_.pop();
        event.what();
      }
      const bool is_tick = ++steps_ % 5 == 0;
      for (auto& [name, host] : hosts_) {
        if (host.is_faulty()) host.last_fault_at = now_;
        if (host.is_frozen) continue;
        StartDueCall(name, host.servers);
        StartDueCall(name, host.config);
        if (is_tick) Handle(name, Tick{});
      }
      if (steps_ % 8 == 0) SendRequests();
    }
  }

  // Requests that reached a leaving server late from hosts that must keep the
  // bound.
  std::vector<LateArrival> late_;
  // As text, for a failure message.
  std::string LateText() const {
    std::string text = absl::StrCat(late_.size(), " late");
    for (const LateArrival& late : late_) {
      absl::StrAppend(&text, "; ", late.host, " to ", late.server, " after ",
                      ToMillis(late.after), " ms");
      if (text.size() > 400) break;
    }
    return text;
  }

  void Handle(const std::string& name, const Event& event) {
    pending_.emplace_back(name, event);
    if (is_handling_) return;
    is_handling_ = true;
    while (!pending_.empty()) {
      const auto [to, next] = std::move(pending_.front());
      pending_.pop_front();
      std::vector<Action> actions;
      hosts_.at(to).node->Handle(next, now_, actions);
      for (Action& action : actions) Perform(to, std::move(action));
    }
    is_handling_ = false;
  }

  LogOffset config_version() const { return config_version_; }
  Json RuleDocument() const { return *ParseJson(kRules); }

  TimePoint now_ = kStart;
  std::map<std::string, Host> hosts_;
  std::map<std::string, StoredTopic> store_;
  std::map<std::string, TimePoint> left_at_;      // By server; acknowledged.
  std::map<std::string, Duration> connect_time_;  // By server.
  std::map<std::string, ReportedLimit> limits_;   // By server.
  Duration service_time_ = milliseconds(10);
  double message_loss_ = 0;
  int dropped_ = 0;  // Relayed updates that a host did not apply.
  Random random_{20261203};
  std::vector<std::pair<std::string, std::string>> paths_{{"/once/x", ""},
                                                          {"/rare/x", "m0"}};

 private:
  struct TimedEvent {
    TimePoint at;
    uint64_t order;
    std::function<void()> what;
    bool operator<(const TimedEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Perform(const std::string& name, Action action) {
    Host& host = hosts_.at(name);
    if (const auto* polling = std::get_if<SetStorePolling>(&action)) {
      for (Topic* topic : {&host.servers, &host.config}) {
        topic->reader.SetPolling(polling->is_reading, polling->as_of);
      }
    } else if (const auto* updates = std::get_if<ApplyStoreUpdates>(&action)) {
      ApplyRelayed(name, *updates);
    } else if (const auto* sent = std::get_if<SendPeer>(&action)) {
      Transmit(name, sent->host, sent->message);
    } else if (const auto* all = std::get_if<SendPeers>(&action)) {
      for (const PeerAddress& peer : all->peers) {
        Transmit(name, peer.host, all->message);
      }
    } else if (const auto* dispatch = std::get_if<DispatchRequest>(&action)) {
      Connect(name, *dispatch);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      host.attempts.erase(cancel->handle);
    } else if (const auto* recall = std::get_if<RecallUnsent>(&action)) {
      Recall(name, recall->backend);
    } else if (const auto* order = std::get_if<SendOrder>(&action)) {
      Handle(name, OrderAnswered{order->engine, order->order.id,
                                 OrderResult::kAccepted});
    } else {
      PerformLease(name, action);
    }
  }

  void PerformLease(const std::string& name, const Action& action) {
    const Host& host = hosts_.at(name);
    if (host.is_cut_from_store || host.is_refused) return;
    if (const auto* read = std::get_if<ReadLease>(&action)) {
      const LeaseRead result{true, lease_, token_, token_, read->requested_at};
      At(now_ + milliseconds(6), [this, name, result] {
        if (!hosts_.at(name).is_frozen) Handle(name, result);
      });
    } else if (const auto* note =
                   std::get_if<AppendPredecessorsEnded>(&action)) {
      if (note->token == token_) lease_->have_predecessors_ended = true;
    } else if (const auto* append = std::get_if<AppendLease>(&action)) {
      const bool is_appended = append->end == token_;
      if (is_appended) {
        lease_ = append->record;
        ++token_;
      }
      At(now_ + milliseconds(6), [this, name, is_appended] {
        Handle(name, LeaseAppendEnded{is_appended});
      });
    }
  }

  // ---- Links between hosts ----

  void Transmit(const std::string& from, const std::string& to,
                const PeerMessage& message) {
    if (!hosts_.contains(to) || random_.Unit() < message_loss_) return;
    At(now_ + milliseconds(2),
       [this, from, to, message] { Deliver(from, to, message); });
  }

  void Deliver(const std::string& from, const std::string& to,
               const PeerMessage& message) {
    if (hosts_.at(from).is_cut_from_hosts || hosts_.at(to).is_cut_from_hosts) {
      return;
    }
    if (hosts_.at(to).is_frozen) {
      At(now_ + milliseconds(25),
         [this, from, to, message] { Deliver(from, to, message); });
      return;
    }
    Handle(to, PeerMessageReceived{from, message});
  }

  void ApplyRelayed(const std::string& name, const ApplyStoreUpdates& action) {
    Host& host = hosts_.at(name);
    Topic& topic =
        action.topic == host.config.name ? host.config : host.servers;
    const KeyedRecords updates =
        DecodeRecords(action.topic, action.records, action.from);
    if (!topic.reader.TryApplyRelayed(action.from, updates.next)) {
      ++dropped_;
      return;
    }
    HandleRecords(name, topic, updates.records, /*is_whole=*/false);
    Handle(name, StoreUpdatesRead{.topic = topic.name,
                                  .from = action.from,
                                  .next = updates.next,
                                  .last_record = updates.last});
  }

  void HandleRecords(const std::string& name, const Topic& topic,
                     const std::vector<KeyedRecord>& records, bool is_whole) {
    if (topic.name == wire::kConfigTopic) {
      if (records.empty()) return;
      const auto version =
          static_cast<LogOffset>(std::stoull(records.back().value));
      Handle(name, RuleSetRead{version, RuleDocument()});
      return;
    }
    ServerListRead event = ReadServerRecords(records, is_whole);
    event.topic = topic.name;
    event.next = topic.reader.next().value_or(0);
    Handle(name, event);
  }

  // ---- Own reads, with the timing of StoreClient ----

  void StartDueCall(const std::string& name, Topic& topic) {
    if (topic.call != 0 || now_ < topic.next_call_at) return;
    const std::optional<TopicReader::Read> read = topic.reader.NextRead(now_);
    if (!read) return;
    const uint64_t call = topic.call = ++call_count_;
    const Duration timeout =
        read->is_whole ? kCallTimeout : read->wait + kBudget.read_timeout;
    At(now_ + timeout, [this, name, &topic, call, asked = now_] {
      if (topic.call == call) FailCall(name, topic, asked);
    });
    At(now_ + milliseconds(1),
       [this, name, &topic, call, read = *read, asked = now_] {
         Receive(name, topic, call, read, asked);
       });
  }

  void FailCall(const std::string& name, Topic& topic,
                TimePoint unanswered_since) {
    if (hosts_.at(name).is_frozen) {
      At(now_ + milliseconds(25), [this, name, &topic, unanswered_since] {
        FailCall(name, topic, unanswered_since);
      });
      return;
    }
    topic.call = 0;
    topic.next_call_at = now_ + topic.reader.HandleFailure();
    Handle(name, LogUnavailable{unanswered_since});
  }

  // The store receives a call, or looks again at one that it holds.
  void Receive(const std::string& name, Topic& topic, uint64_t call,
               TopicReader::Read read, TimePoint asked) {
    const Host& host = hosts_.at(name);
    if (topic.call != call || host.is_cut_from_store) return;
    if (host.is_refused) {
      At(now_ + milliseconds(1), [this, name, &topic, call] {
        if (topic.call == call) FailCall(name, topic, TimePoint{});
      });
      return;
    }
    const StoredTopic& stored = store_[topic.name];
    if (read.is_whole) {
      std::vector<KeyedRecord> records;
      for (const auto& [key, record] : stored.newest) records.push_back(record);
      const LogOffset end = stored.log.size();
      At(now_ + stored.newest_delay,
         [this, name, &topic, call, records, end, asked] {
           HandleNewest(name, topic, call, records, end, asked);
         });
      return;
    }
    const bool is_deleted = read.from < stored.first;
    const bool has_records = read.from < stored.log.size();
    const bool is_over = now_ >= asked + read.wait;
    if (!is_deleted && !has_records && !is_over) {
      At(now_ + kStep, [this, name, &topic, call, read, asked] {
        Receive(name, topic, call, read, asked);
      });
      return;
    }
    std::string bytes;
    for (LogOffset i = read.from; !is_deleted && i < stored.log.size(); ++i) {
      bytes += EncodeRecord(stored.log[i].key, stored.log[i].value);
    }
    At(now_ + milliseconds(5),
       [this, name, &topic, call, read, bytes, is_deleted, asked] {
         HandleUpdates(name, topic, call, read, bytes, is_deleted, asked);
       });
  }

  // Returns whether the answer to `call` can be handled now.
  bool CanHandleAnswer(const std::string& name, const Topic& topic,
                       uint64_t call, std::function<void()> again) {
    const Host& host = hosts_.at(name);
    if (topic.call != call || host.is_cut_from_store) return false;
    if (host.is_frozen) At(now_ + milliseconds(25), std::move(again));
    return !host.is_frozen;
  }

  void HandleNewest(const std::string& name, Topic& topic, uint64_t call,
                    const std::vector<KeyedRecord>& records, LogOffset end,
                    TimePoint asked) {
    const auto again = [this, name, &topic, call, records, end, asked] {
      HandleNewest(name, topic, call, records, end, asked);
    };
    if (!CanHandleAnswer(name, topic, call, again)) return;
    topic.call = 0;
    Handle(name, StoreReached{});
    topic.reader.HandleNewest(end, asked);
    HandleRecords(name, topic, records, /*is_whole=*/true);
    Handle(name,
           StoreUpdatesRead{
               .topic = topic.name, .from = end, .next = end, .as_of = asked});
  }

  void HandleUpdates(const std::string& name, Topic& topic, uint64_t call,
                     TopicReader::Read read, const std::string& bytes,
                     bool is_deleted, TimePoint asked) {
    const auto again = [this, name, &topic, call, read, bytes, is_deleted,
                        asked] {
      HandleUpdates(name, topic, call, read, bytes, is_deleted, asked);
    };
    if (!CanHandleAnswer(name, topic, call, again)) return;
    topic.call = 0;
    if (is_deleted) {
      topic.reader.HandleHistoryDeleted();
      return;
    }
    Handle(name, StoreReached{});
    const KeyedRecords updates = DecodeRecords(topic.name, bytes, read.from);
    const TimePoint as_of = bytes.empty() ? asked + read.wait : asked;
    StoreUpdatesRead event{.topic = topic.name,
                           .from = updates.next,
                           .next = updates.next,
                           .as_of = as_of};
    if (topic.reader.HandleUpdates(updates.next, as_of)) {
      event.from = read.from;
      event.records = bytes;
      event.last_record = updates.last;
      HandleRecords(name, topic, updates.records, /*is_whole=*/false);
      topic.next_call_at = now_ + topic.reader.PauseAfterUpdates(now_);
    }
    Handle(name, event);
  }

  // ---- Requests ----

  void SendRequests() {
    for (auto& [name, host] : hosts_) {
      if (host.is_frozen) continue;
      for (const auto& [path, model] : paths_) {
        RequestArrived request;
        request.handle = ++last_handle_;
        request.request_id = absl::StrCat("r", request.handle);
        request.facts.path = path;
        request.facts.model = model;
        request.facts.caller = "c";
        Handle(name, request);
      }
    }
  }

  void Connect(const std::string& name, const DispatchRequest& request) {
    hosts_.at(name).attempts[request.handle] = {request, false};
    const auto slow = connect_time_.find(request.backend);
    const Duration took =
        slow == connect_time_.end() ? milliseconds(1) : slow->second;
    const RequestHandle handle = request.handle;
    const int attempt = request.attempt;
    At(now_ + took, [this, name, handle, attempt] {
      Host& host = hosts_.at(name);
      const auto found = host.attempts.find(handle);
      if (found == host.attempts.end() || host.is_frozen ||
          found->second.request.attempt != attempt) {
        return;
      }
      found->second.is_sent = true;
      ReachServer(name, found->second.request);
    });
  }

  void Recall(const std::string& name, const std::string& backend) {
    Host& host = hosts_.at(name);
    for (auto it = host.attempts.begin(); it != host.attempts.end();) {
      const Attempt& open = it->second;
      const bool is_recalled = open.request.backend == backend && !open.is_sent;
      if (is_recalled) {
        Handle(name, MakeAttemptEnd(open.request, AttemptResult::kNotSent, ""));
      }
      it = is_recalled ? host.attempts.erase(it) : std::next(it);
    }
  }

  void ReachServer(const std::string& name, const DispatchRequest& request) {
    Host& host = hosts_.at(name);
    ++host.served[request.backend];
    const auto left = left_at_.find(request.backend);
    const bool is_late = left != left_at_.end() && now_ > left->second + kBound;
    if (is_late && now_ - host.last_fault_at > kContact) {
      late_.push_back({name, request.backend, now_ - left->second});
    }
    At(now_ + service_time_, [this, name, request] {
      Host& sender = hosts_.at(name);
      const auto found = sender.attempts.find(request.handle);
      if (found == sender.attempts.end() ||
          found->second.request.attempt != request.attempt) {
        return;
      }
      sender.attempts.erase(found);
      AttemptEnded ended =
          MakeAttemptEnd(request, AttemptResult::kCompleted, "");
      const auto limit = limits_.find(request.backend);
      ended.limit = limit == limits_.end()
                        ? ReportedLimit{ReportedLimit::Kind::kNone, 0, {}}
                        : limit->second;
      Handle(name, ended);
    });
  }

  std::deque<std::pair<std::string, Event>> pending_;
  bool is_handling_ = false;
  std::priority_queue<TimedEvent> events_;
  uint64_t event_count_ = 0;
  uint64_t call_count_ = 0;
  uint64_t steps_ = 0;
  RequestHandle last_handle_ = 0;
  LogOffset config_version_ = 0;
  std::optional<LeaseRecord> lease_;
  FencingToken token_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PLATFORM_LEAVING_SERVER_FIXTURE_H_

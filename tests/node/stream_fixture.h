// Fleet of hosts with backend servers of several software versions, and callers
// that take broken streams up again.

#ifndef APPLEHALL_TESTS_NODE_STREAM_FIXTURE_H_
#define APPLEHALL_TESTS_NODE_STREAM_FIXTURE_H_

#include <absl/strings/str_cat.h>

#include <functional>

#include "tests/node/fleet_fixture.h"

namespace applehall {

// Simulates the store's listing, which hosts read or get relayed, runs of
// streams at servers, and callers, and records the versions of all events.
class StreamFixture : public FleetTest {
 protected:
  // The budget of retries is not tested here.
  StreamFixture() { retry_slack_ = 10'000; }

  static constexpr Duration kStep = milliseconds(25);
  static constexpr Duration kEventInterval = milliseconds(50);
  static constexpr Duration kPollInterval = milliseconds(200);
  // From a break until the caller's next try.
  static constexpr Duration kCallerPause = milliseconds(80);
  static constexpr int kEvents = 40;
  static constexpr int kMaxTries = 4;

  struct Try {
    std::string host;
    std::string id;
    bool is_resumption = false;
    bool has_event = false;
    std::optional<Refusal> refusal = std::nullopt;
    Duration refused_after{0};
    TimePoint at;
  };
  struct Stream {
    std::vector<Try> tries;
    std::string begun_by;  // Id of the try that brought the first event.
    int events = 0;
    std::vector<std::string> versions;  // Distinct neighbours, of all events.
    bool is_complete = false;
    bool is_given_up = false;
    TimePoint next_try_at = TimePoint::max();

    bool IsMixed() const { return versions.size() > 1; }
  };
  struct ServerRun {
    std::string server;
    std::string host;
    DispatchRequest sent;
    size_t stream = 0;
    int events = 0;
    TimePoint next_event_at;
  };

  // ---- Hosts ----

  void AddHosts(const std::vector<std::string>& names,
                const std::string& centre = "hall") {
    for (const std::string& name : names) {
      centres_[name] = centre;
      StartHost(name);
    }
  }
  void StartHost(const std::string& name) {
    ++seed_;
    Start(name, centres_[name]);
    hosts_.at(name).is_down = false;
    hosts_.at(name).is_reading = true;
    hosts_.at(name).done.clear();
    positions_.erase(name);
    Handle(name, RuleSetRead{1, *ParseJson(kRules)});
    CatalogueRead catalogue;
    for (const char* model : {"llm/m0", "llm/m1"}) {
      CatalogueEntry entry;
      entry.name = model;
      entry.service = "llm";
      entry.bytes = 70'000'000'000;
      catalogue.catalogue.push_back(entry);
    }
    catalogue.engine_classes["llm"] = {200'000'000'000, 8, 4.0};
    Handle(name, catalogue);
    polled_at_[name] = {};
  }
  // Ends the process of a host; its callers lose their connections.
  void Kill(const std::string& name) {
    hosts_.at(name).is_down = true;
    std::erase_if(runs_,
                  [&](const ServerRun& run) { return run.host == name; });
    // The hosts that it passed requests on to see the connections close.
    for (auto& [key, hop] : hops_) {
      if (hop.from != name) continue;
      hop.is_lost = true;
      std::erase_if(runs_, [&key = key](const ServerRun& run) {
        return run.host == key.first && run.sent.handle == key.second;
      });
      pending_.push_back({key.first, CallerDisconnected{key.second}});
    }
    std::vector<RequestHandle> lost;
    for (const auto& [key, hop] : hops_) {
      if (key.first == name) lost.push_back(key.second);
    }
    for (const RequestHandle handle : lost) BreakHop(name, handle);
    std::vector<size_t> broken;
    for (const auto& [key, stream] : open_) {
      if (key.first == name) broken.push_back(stream);
    }
    std::erase_if(open_,
                  [&](const auto& item) { return item.first.first == name; });
    for (const size_t stream : broken) BreakTry(stream);
  }
  void Restart(const std::string& name) {
    ++incarnation_;
    is_first_start_ = false;
    StartHost(name);
  }
  bool IsCut(const std::string& from, const std::string& to) const override {
    return is_cut_ && is_cut_(from, to);
  }
  VersionRecordRead ReadVersions() const override {
    VersionRecordRead read{.is_answered = true};
    const bool is_usable =
        version_record_ && version_record_->listing_next >= listing_first_;
    if (!is_usable) return read;
    read.versions = version_record_->versions;
    read.until = listing_log_.size();
    for (size_t i = version_record_->listing_next; i < read.until; ++i) {
      const std::optional<ListedServer>& server = listing_log_[i].server;
      if (!server) continue;
      read.versions->push_back({server->service, server->version});
    }
    return read;
  }
  // The store deletes all changes of the listing so far, but not the listing.
  void DeleteHistory() { listing_first_ = listing_log_.size(); }
  std::vector<std::string> HostsOf(const std::string& centre) const {
    std::vector<std::string> names;
    for (const auto& [name, of] : centres_) {
      if (of == centre && !hosts_.at(name).is_down) names.push_back(name);
    }
    return names;
  }

  // ---- Servers ----

  void StartServer(const std::string& id, const std::string& version,
                   const std::string& model = "llm/m0") {
    ListedServer server = Server(id, "llm", model);
    server.version = version;
    servers_[id] = server;
    models_at_[id] = {model};
    listing_log_.push_back({id, server});
  }
  // Lists a server as leaving; it serves on.
  void Drain(const std::string& id) {
    ListedServer server = servers_.at(id);
    server.is_leaving = true;
    listing_log_.push_back({id, server});
  }
  // Ends a server; its entry is removed.
  void StopServer(const std::string& id) {
    servers_.erase(id);
    listing_log_.push_back({id, std::nullopt});
    CrashRuns(id);
  }
  // Breaks the streams that run at a server; it stays.
  void CrashRuns(const std::string& id) {
    std::vector<ServerRun> broken;
    std::erase_if(runs_, [&](const ServerRun& run) {
      if (run.server != id) return false;
      broken.push_back(run);
      return true;
    });
    for (const ServerRun& run : broken) EndRun(run, AttemptResult::kBroken);
  }

  // ---- Callers ----

  // Sends a new stream; returns its number.
  size_t Begin(const std::string& host, std::string id = "") {
    streams_.push_back({});
    SendTry(streams_.size() - 1, host, id);
    return streams_.size() - 1;
  }
  void SendTry(size_t number, const std::string& host,
               const std::string& wanted_id = "") {
    Stream& stream = streams_[number];
    stream.next_try_at = TimePoint::max();
    const std::string id =
        wanted_id.empty() ? absl::StrCat("s", number, "-", stream.tries.size())
                          : wanted_id;
    stream.tries.push_back(
        {host, id, stream.events > 0, false, std::nullopt, Duration{0}, now_});
    if (!hosts_.contains(host) || hosts_.at(host).is_down) {
      BreakTry(number);
      return;
    }
    RequestArrived request;
    request.handle = ++last_handle_;
    request.request_id = id;
    request.facts.path = "/stream/x";
    request.facts.model = "m0";
    request.facts.caller = "c";
    request.is_resumption = stream.events > 0;
    if (request.is_resumption && !has_unnamed_resumptions_) {
      request.resumes = stream.begun_by;
    }
    open_[{host, request.handle}] = number;
    Handle(host, request);
  }
  // The caller loses the connection of its try.
  void BreakTry(size_t number) {
    Stream& stream = streams_[number];
    if (static_cast<int>(stream.tries.size()) >= kMaxTries) {
      stream.is_given_up = true;
      return;
    }
    stream.next_try_at = now_ + kCallerPause;
  }

  // ---- Time ----

  void RunStreams(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += kStep;
      CountMessages();
      const auto due = std::move(pending_);
      pending_.clear();
      for (const auto& [name, event] : due) Handle(name, event);
      for (const auto& [name, host] : hosts_) {
        if (!host.is_down) ReadStore(name);
      }
      for (const auto& [name, host] : hosts_) Handle(name, Tick{});
      for (const auto& [name, host] : hosts_) ServeHost(name);
      SendEvents();
      for (size_t i = 0; i < streams_.size(); ++i) {
        if (streams_[i].next_try_at <= now_) SendTry(i, ChooseHost(i));
      }
      for (const auto& [name, host] : hosts_) ServeHost(name);
    }
  }

  // Ends everything and begins anew.
  void Reset() {
    hosts_.clear();
    pending_.clear();
    models_at_.clear();
    lease_.reset();
    token_ = 0;
    end_ = 0;
    streams_.clear();
    servers_.clear();
    centres_.clear();
    runs_.clear();
    no_servers_.clear();
    is_cut_ = nullptr;
    listing_log_.clear();
    listing_first_ = 0;
    version_record_.reset();
    is_first_start_ = false;
    positions_.clear();
    polled_at_.clear();
    open_.clear();
    hops_.clear();
  }

  // ---- Results ----

  int CountMixed() const {
    return static_cast<int>(
        std::count_if(streams_.begin(), streams_.end(),
                      [](const Stream& stream) { return stream.IsMixed(); }));
  }
  struct Share {
    int asked = 0;
    int served = 0;
    double Value() const { return asked == 0 ? 1.0 : 1.0 * served / asked; }
  };
  // Tries that take streams up again, and those of them that brought an event.
  Share Resumptions(TimePoint from = {}) const { return Count(true, from); }
  Share NewStreams(TimePoint from = {}) const { return Count(false, from); }
  std::string Describe() const {
    std::string text;
    for (const Stream& stream : streams_) {
      if (!stream.IsMixed() && stream.is_complete) continue;
      absl::StrAppend(&text, stream.tries.front().id, " events ", stream.events,
                      " versions");
      for (const std::string& one : stream.versions) {
        absl::StrAppend(&text, " ", one);
      }
      for (const Try& one : stream.tries) {
        absl::StrAppend(&text, "; ", one.host, one.has_event ? " events" : "",
                        one.refusal ? " refused: " + one.refusal->detail : "");
      }
      absl::StrAppend(&text, "\n");
    }
    return text;
  }
  std::map<PeerMessageType, int> messages_;  // About streams, between hosts.

  // Chooses the host of a caller's next try; the first try's host by default.
  std::function<std::string(size_t)> choose_host_;
  std::function<bool(const std::string&, const std::string&)> is_cut_;
  std::vector<Stream> streams_;
  std::map<std::string, ListedServer> servers_;
  std::map<std::string, std::string> centres_;
  std::vector<ServerRun> runs_;
  bool has_unnamed_resumptions_ = false;
  int false_refusals_ = 0;  // Refused as not run although events were sent.

 private:
  struct ListingChange {
    std::string id;
    std::optional<ListedServer> server;
  };
  // A request that a host has passed on to another.
  struct Hop {
    std::string from;
    DispatchRequest sent;
    size_t stream = 0;
    bool is_lost = false;  // The host that passed it on has ended.
  };

  Share Count(bool is_resumption, TimePoint from) const {
    Share share;
    for (const Stream& stream : streams_) {
      for (const Try& one : stream.tries) {
        if (one.is_resumption != is_resumption || one.at < from) continue;
        ++share.asked;
        share.served += one.has_event;
      }
    }
    return share;
  }

  std::string ChooseHost(size_t number) const {
    return choose_host_ ? choose_host_(number)
                        : streams_[number].tries.front().host;
  }

  // Reads or applies the changes of the listing in [position, end).
  void ApplyListing(const std::string& name, size_t end) {
    ServerListRead read;
    read.topic = "servers";
    read.next = end;
    const auto known = positions_.find(name);
    read.is_whole = known == positions_.end();
    std::map<std::string, std::optional<ListedServer>> changes;
    for (size_t i = read.is_whole ? 0 : known->second; i < end; ++i) {
      const ListingChange& change = listing_log_[i];
      const auto before = std::exchange(changes[change.id], change.server);
      if (read.is_whole || !before || change.server) continue;
      read.passed.push_back({before->service, before->version});
    }
    for (const auto& [id, server] : changes) {
      if (server) {
        read.listed.push_back(*server);
      } else {
        read.gone.push_back(id);
      }
    }
    positions_[name] = end;
    if (read.is_whole || !changes.empty()) Handle(name, read);
  }

  void ReadStore(const std::string& name) {
    const Host& host = hosts_.at(name);
    if (!host.is_reading || host.is_cut_from_store) return;
    if (now_ - polled_at_[name] < kPollInterval) return;
    polled_at_[name] = now_;
    const size_t from = positions_.contains(name) ? positions_[name] : 0;
    const size_t end = listing_log_.size();
    const bool is_first = !positions_.contains(name);
    ApplyListing(name, end);
    StoreUpdatesRead servers{.topic = "servers",
                             .from = is_first ? end : from,
                             .next = end,
                             .as_of = now_};
    if (!is_first && end > from) servers.records = "changes";
    Handle(name, servers);
    Handle(name, StoreUpdatesRead{.topic = "config", .as_of = now_});
    Handle(name, StoreReached{});
  }

  // Counts messages about streams between hosts.
  void CountMessages() {
    for (const auto& [name, event] : pending_) {
      const auto* received = std::get_if<PeerMessageReceived>(&event);
      if (received == nullptr) continue;
      const PeerMessageType type = received->message.type;
      if (type < PeerMessageType::kStreamRecords) continue;
      ++messages_[type];
    }
  }

  void ServeHost(const std::string& name) {
    if (hosts_.at(name).is_down) return;
    const std::vector<Action> done = std::move(hosts_.at(name).done);
    hosts_.at(name).done.clear();
    for (const Action& action : done) {
      if (const auto* sent = std::get_if<DispatchRequest>(&action)) {
        if (sent->kind == BackendKind::kEntryHost) {
          Forward(name, *sent);
        } else {
          StartRun(name, *sent);
        }
      } else if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
        HandleRefusal(name, *refused);
      } else if (const auto* back = std::get_if<CancelAttempt>(&action)) {
        std::erase_if(runs_, [&](const ServerRun& run) {
          return run.host == name && run.sent.handle == back->handle &&
                 run.sent.attempt == back->attempt;
        });
      } else if (const auto* apply = std::get_if<ApplyStoreUpdates>(&action)) {
        if (apply->topic != "servers") continue;
        const auto known = positions_.find(name);
        if (known == positions_.end() || known->second < apply->from) continue;
        ApplyListing(name, std::max<size_t>(known->second, apply->next));
        Handle(name, StoreUpdatesRead{.topic = "servers",
                                      .from = apply->from,
                                      .next = apply->next});
      } else if (const auto* order = std::get_if<SendOrder>(&action)) {
        if (order->order.kind != OrderKind::kLoad) continue;
        loads_.push_back({order->engine, order->order.name});
      } else if (const auto* probe = std::get_if<ProbeServer>(&action)) {
        const bool is_cut = no_servers_.contains(name);
        const bool is_up = servers_.contains(probe->server) && !is_cut;
        pending_.push_back({name, ServerProbed{probe->server,
                                               is_up ? ServerState::kListening
                                                     : ServerState::kGone,
                                               probe->is_link_check}});
      }
    }
  }

  void StartRun(const std::string& name, const DispatchRequest& sent) {
    const auto stream = StreamOf(name, sent.handle);
    if (!stream) return;
    const bool is_up =
        servers_.contains(sent.backend) && !no_servers_.contains(name);
    pending_.push_back({name, ServerConnection{sent.backend, is_up, {}}});
    if (!is_up) {
      pending_.push_back({name, MakeAttemptEnd(sent, AttemptResult::kNotSent,
                                               "cannot connect")});
      return;
    }
    runs_.push_back({sent.backend, name, sent, *stream,
                     streams_[*stream].events, now_ + kEventInterval});
  }

  std::optional<size_t> StreamOf(const std::string& name,
                                 RequestHandle handle) const {
    const auto open = open_.find({name, handle});
    if (open != open_.end()) return open->second;
    const auto hop = hops_.find({name, handle});
    if (hop != hops_.end()) return hop->second.stream;
    return std::nullopt;
  }

  void Forward(const std::string& name, const DispatchRequest& sent) {
    const auto stream = StreamOf(name, sent.handle);
    if (!stream) return;
    const std::string& helper = sent.backend;
    if (!hosts_.contains(helper) || hosts_.at(helper).is_down ||
        IsCut(name, helper)) {
      pending_.push_back(
          {name, MakeAttemptEnd(sent, AttemptResult::kNotSent, "no host")});
      return;
    }
    RequestArrived request;
    request.handle = ++last_handle_;
    const Stream& of = streams_[*stream];
    request.request_id = of.tries.back().id;
    request.facts.path = "/stream/x";
    request.facts.model = "m0";
    request.facts.caller = "c";
    request.deadline = sent.deadline - now_;
    request.is_forwarded = true;
    request.is_resumption = of.events > 0;
    if (of.events > 0) request.resumes = of.begun_by;
    request.origin = sent.origin;
    hops_[{helper, request.handle}] = {name, sent, *stream};
    ++forwards_;
    Handle(helper, request);
  }

  void HandleRefusal(const std::string& name, const RefuseRequest& refused) {
    const auto hop = hops_.find({name, refused.handle});
    if (hop != hops_.end()) {
      const Hop from = hop->second;
      hops_.erase(hop);
      if (from.is_lost) return;
      const bool has_not_run = refused.refusal.verdict == Verdict::kNotRun;
      AttemptEnded ended = MakeAttemptEnd(
          from.sent,
          has_not_run ? AttemptResult::kRefused : AttemptResult::kBroken,
          "refused by the host");
      ended.refusal = refused.refusal;
      ended.has_delivered = HasEvent(from.stream);
      pending_.push_back({from.from, ended});
      return;
    }
    const auto open = open_.find({name, refused.handle});
    if (open == open_.end()) return;
    const size_t number = open->second;
    open_.erase(open);
    Try& last = streams_[number].tries.back();
    last.refusal = refused.refusal;
    last.refused_after = now_ - last.at;
    if (last.has_event && refused.refusal.verdict == Verdict::kNotRun) {
      ++false_refusals_;
    }
    BreakTry(number);
  }

  bool HasEvent(size_t stream) const {
    return streams_[stream].tries.back().has_event;
  }

  void SendEvents() {
    std::vector<ServerRun> ended;
    for (size_t i = 0; i < runs_.size(); ++i) {
      if (runs_[i].next_event_at > now_) continue;
      // A host that stands still reads nothing.
      if (hosts_.at(runs_[i].host).is_down) continue;
      runs_[i].next_event_at = now_ + kEventInterval;
      SendEvent(runs_[i]);
    }
    std::erase_if(runs_, [&](const ServerRun& run) {
      if (run.events < kEvents) return false;
      ended.push_back(run);
      return true;
    });
    for (const ServerRun& run : ended) EndRun(run, AttemptResult::kCompleted);
  }

  void SendEvent(ServerRun& run) {
    Stream& stream = streams_[run.stream];
    ++run.events;
    stream.events = run.events;
    Try& last = stream.tries.back();
    const std::string version = servers_.at(run.server).version;
    if (stream.versions.empty() || stream.versions.back() != version) {
      stream.versions.push_back(version);
    }
    if (stream.begun_by.empty()) stream.begun_by = last.id;
    if (last.has_event) return;
    last.has_event = true;
    AttemptStarted started{run.sent.handle};
    Handle(run.host, started);
    const auto hop = hops_.find({run.host, run.sent.handle});
    if (hop == hops_.end() || hop->second.is_lost) return;
    Handle(hop->second.from, StartedOverHop(hop->second, run));
  }

  void EndRun(const ServerRun& run, AttemptResult result) {
    AttemptEnded ended = MakeAttemptEnd(run.sent, result, "ended");
    ended.has_delivered = HasEvent(run.stream);
    ended.can_resume = ended.has_delivered;
    ended.is_cut = result == AttemptResult::kBroken;
    const bool is_complete = result == AttemptResult::kCompleted;
    const auto hop = hops_.find({run.host, run.sent.handle});
    if (hop != hops_.end() && is_complete) {
      const Hop from = hop->second;
      hops_.erase(hop);
      Handle(run.host, ended);
      if (from.is_lost) return;
      Handle(from.from, MakeAttemptEnd(from.sent, result, "ended"));
      Complete(from.from, from.sent.handle);
      return;
    }
    if (is_complete) Complete(run.host, run.sent.handle);
    Handle(run.host, ended);
  }
  void Complete(const std::string& host, RequestHandle handle) {
    const auto open = open_.find({host, handle});
    if (open == open_.end()) return;
    streams_[open->second].is_complete = true;
    open_.erase(open);
  }

  // The host that a request was passed on to has ended.
  void BreakHop(const std::string& name, RequestHandle handle) {
    const auto hop = hops_.find({name, handle});
    const Hop from = hop->second;
    hops_.erase(hop);
    if (from.is_lost) return;
    AttemptEnded ended =
        MakeAttemptEnd(from.sent, AttemptResult::kBroken, "connection lost");
    ended.has_delivered = HasEvent(from.stream);
    ended.can_resume = ended.has_delivered;
    pending_.push_back({from.from, ended});
  }

  static AttemptStarted StartedOverHop(const Hop& hop, const ServerRun& run) {
    AttemptStarted started{hop.sent.handle};
    started.origin = run.sent.origin;
    return started;
  }

 protected:
  std::set<std::string> no_servers_;  // Hosts that reach no server.
  int forwards_ = 0;
  std::vector<std::pair<std::string, std::string>> loads_;  // Ordered.

 private:
  std::vector<ListingChange> listing_log_;
  size_t listing_first_ = 0;  // Of the changes that the store still has.
  std::map<std::string, size_t> positions_;  // In the log, by host.
  std::map<std::string, TimePoint> polled_at_;
  std::map<std::pair<std::string, RequestHandle>, size_t> open_;
  std::map<std::pair<std::string, RequestHandle>, Hop> hops_;
  RequestHandle last_handle_ = 1000;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_STREAM_FIXTURE_H_

// Fleet of hosts under traffic whose prompts share parts. Backend servers crash
// when they begin an answer on a bad part.

#ifndef APPLEHALL_TESTS_NODE_PROMPT_PART_FIXTURE_H_
#define APPLEHALL_TESTS_NODE_PROMPT_PART_FIXTURE_H_

#include <deque>

#include "core/hash.h"
#include "core/random.h"
#include "core/request_fingerprint.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {

class PromptPartFixture : public FleetTest {
 protected:
  // From this long after the fifth end, hosts in touch may send kMaxArrivals.
  static constexpr Duration kContact = seconds(3);
  static constexpr size_t kEndsAllowed = 5;
  static constexpr int kMaxArrivals = 3;
  static constexpr double kSoundShare = 0.95;
  static constexpr Duration kStep = milliseconds(25);
  static constexpr Duration kPrefillTime = milliseconds(75);
  static constexpr Duration kAnswerTime = milliseconds(800);
  static constexpr Duration kRestart = seconds(2);
  static constexpr int kEngines = 8;

  struct Prompt {
    std::vector<std::string> parts;  // Without the last.
    std::string model = "m0";
    std::string path = "/stream/x";
  };

  // A request of a caller that sends no bad part.
  struct Sound {
    TimePoint sent_at;
    std::string host;
    bool has_begun = false;
    bool has_failed = false;  // Its first attempt at a server.
    bool has_server = true;   // An engine was alive when it was sent.
    std::optional<Refusal> refusal;
  };

  struct Arrival {
    TimePoint at;
    std::string host;
    std::string part;
  };

  struct Job {
    std::string host;
    DispatchRequest sent;
    TimePoint at;
    bool has_begun = false;
  };

  // ---- Commands ----

  void StartFleet(const std::vector<std::string>& names) {
    for (int i = 1; i <= kEngines; ++i) {
      engines_.push_back("llm-" + std::to_string(i));
      models_at_[engines_.back()] = {"llm/m0", "llm/m1"};
    }
    for (const std::string& name : names) AddHost(name);
    RunFleet(seconds(3));
  }

  void AddHost(const std::string& name) {
    Add(name);
    Handle(name, Listing());
  }

  // Starts a host anew under its name, without what it knew.
  void RestartHost(const std::string& name) {
    for (auto& [server, jobs] : running_) {
      std::erase_if(jobs, [&](const Job& job) { return job.host == name; });
    }
    std::erase_if(pending_,
                  [&](const auto& item) { return item.first == name; });
    hosts_.erase(name);
    ++incarnation_;
    AddHost(name);
  }

  RequestHandle Send(const std::string& host, const Prompt& prompt) {
    RequestArrived request;
    request.handle = ++last_handle_;
    request.request_id = "r" + std::to_string(request.handle);
    request.facts.path = prompt.path;
    request.facts.model = prompt.model;
    request.facts.caller = "c";
    request.fingerprint = 1'000'000 + request.handle;
    request.prompt_parts = prompt.parts;
    request.prompt_hash = request.handle;
    prompts_[request.handle] = prompt;
    Handle(host, request);
    return request.handle;
  }

  void SendSound(const std::string& host, const Prompt& prompt) {
    const TimePoint sent_at = now_;
    // Registered first: the host may refuse it at once.
    Sound& sound = sound_[last_handle_ + 1];
    sound.sent_at = sent_at;
    sound.host = host;
    sound.has_server = HasLiveServer();
    Send(host, prompt);
  }

  // Runs hosts and servers, and the traffic if it is on.
  void RunFleet(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      if (is_traffic_on_) SendTraffic();
      Run(kStep);
      for (auto& [name, host] : hosts_) ServeHost(name);
      ServeJobs();
      RestartServers();
    }
  }

  virtual void SendTraffic() {
    const std::string host = RandomHost();
    if (random_.Unit() < sound_rate_) SendSound(host, DrawSound());
    if (random_.Unit() < bad_rate_ && !bad_parts_.empty()) {
      Prompt prompt = DrawSound();
      prompt.parts.push_back(DrawBadPart());
      for (const std::string& part : beside_bad_) prompt.parts.push_back(part);
      Send(RandomHost(), prompt);
    }
    if (chance_rate_ > 0 && random_.Unit() < chance_rate_) {
      EndServer(engines_[random_.Below(engines_.size())], "");
    }
  }

  void EndServer(const std::string& server, const std::string& part) {
    if (ended_.contains(server)) return;
    ended_.insert(server);
    if (!part.empty()) ends_[part].push_back(now_);
    for (const Job& job : std::exchange(running_[server], {})) {
      if (ends_look_whole_ && !BadPartOf(job.sent.handle).empty()) {
        AttemptEnded whole =
            MakeAttemptEnd(job.sent, AttemptResult::kCompleted, "");
        whole.ended_with_connection = true;
        Handle(job.host, whole);
        continue;
      }
      AttemptEnded cut =
          MakeBrokenAttemptEnd(job.sent, "partial", /*is_cut=*/true);
      cut.has_delivered = job.has_begun;
      cut.can_resume = job.has_begun;
      cut.answered_for =
          job.has_begun ? now_ - job.at - kPrefillTime : Duration{0};
      MarkFailed(job.sent.handle);
      Handle(job.host, cut);
    }
    restarts_due_.push_back({now_ + kRestart, server});
  }

  // ---- Queries ----

  // Arrivals with a bad part from hosts in touch, later than kContact after the
  // fifth end.
  int CountLateArrivals(const std::string& part) const {
    const auto it = ends_.find(part);
    if (it == ends_.end() || it->second.size() < kEndsAllowed) return 0;
    const TimePoint from = it->second[kEndsAllowed - 1] + kContact;
    return static_cast<int>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
          return arrival.part == part && arrival.at > from &&
                 IsInTouch(arrival.host, arrival.at);
        }));
  }

  virtual bool IsInTouch(const std::string& host, TimePoint at) const {
    const auto it = disturbed_until_.find(host);
    return it == disturbed_until_.end() || at > it->second + kContact;
  }

  size_t CountEnds(const std::string& part) const {
    const auto it = ends_.find(part);
    return it == ends_.end() ? 0 : it->second.size();
  }

  // Share of the sound requests sent in a time span that were refused for the
  // quarantine.
  size_t CountQuarantined(TimePoint from, TimePoint to) const {
    return static_cast<size_t>(
        std::count_if(sound_.begin(), sound_.end(), [&](const auto& item) {
          const Sound& sound = item.second;
          return sound.sent_at >= from && sound.sent_at < to && sound.refusal &&
                 sound.refusal->reason == RefusalReason::kQuarantined;
        }));
  }

  // Share of the sound requests of a time span, at hosts in touch, that began
  // at their first attempt, of those whose server did not end meanwhile and
  // which an engine could have run.
  double BegunShare(TimePoint from, TimePoint to) const {
    double begun = 0;
    double all = 0;
    for (const auto& [handle, sound] : sound_) {
      if (sound.sent_at < from || sound.sent_at >= to || sound.has_failed ||
          !sound.has_server || !IsInTouch(sound.host, sound.sent_at)) {
        continue;
      }
      ++all;
      if (sound.has_begun) ++begun;
    }
    return all == 0 ? 1 : begun / all;
  }

  // When servers ended under a bad part and when it arrived, for messages.
  std::string DescribePart(const std::string& part) const {
    Json json;
    const auto it = ends_.find(part);
    if (it == ends_.end()) return "no end";
    const TimePoint first = it->second.front();
    for (const TimePoint at : it->second) {
      json["ends_ms"].push_back(ToMillis(at - first));
    }
    for (const Arrival& arrival : arrivals_) {
      if (arrival.part != part) continue;
      json["arrivals_ms"].push_back(ToMillis(arrival.at - first));
    }
    return part + " " + json.dump();
  }

  // The outcomes of the sound requests of a time span, for messages.
  std::string Describe(TimePoint from, TimePoint to) const {
    std::map<std::string, int> counts;
    for (const auto& [handle, sound] : sound_) {
      if (sound.sent_at < from || sound.sent_at >= to) continue;
      std::string outcome = sound.has_begun ? "begun" : "pending";
      if (sound.has_failed) outcome = "cut";
      if (!sound.has_server) outcome = "no engine alive";
      if (sound.refusal) {
        outcome = RefusalReasonName(sound.refusal->reason) +
                  (": " + sound.refusal->detail);
        if (sound.refusal->reason == RefusalReason::kQuarantined) {
          outcome += ", after " +
                     std::to_string(ToMillis(sound.sent_at - from)) +
                     " ms at " + sound.host + ", keys " + KeysOf(handle);
        }
      }
      ++counts[outcome];
    }
    return Json(counts).dump(1);
  }

  std::string KeysOf(RequestHandle handle) const {
    std::string text;
    const Prompt& prompt = prompts_.at(handle);
    for (const std::string& part : prompt.parts) {
      text += part + "=" + FingerprintText(PromptPartKey(part, "llm")) + "/" +
              FingerprintText(PromptPartKey(part, "llm/" + prompt.model)) + " ";
    }
    return text;
  }

  Json HeldAt(const std::string& host) const {
    return hosts_.at(host).node->StateDump()["quarantine"]["held"];
  }

  bool HasLiveServer() const {
    return std::any_of(
        engines_.begin(), engines_.end(),
        [this](const std::string& engine) { return !ended_.contains(engine); });
  }

  // The server that runs a request; empty if none does.
  std::string ServerOf(RequestHandle handle) const {
    for (const auto& [server, jobs] : running_) {
      for (const Job& job : jobs) {
        if (job.sent.handle == handle) return server;
      }
    }
    return "";
  }

  std::string RandomHost() {
    if (!only_host_.empty()) return only_host_;
    auto it = hosts_.begin();
    std::advance(it, static_cast<int>(random_.Below(hosts_.size())));
    return it->first;
  }

  ServerListRead Listing() const {
    ServerListRead listed;
    listed.is_whole = true;
    listed.listed = {Server("app-1", "app")};
    for (const std::string& id : engines_) {
      listed.listed.push_back(EngineEntry(id));
    }
    return listed;
  }

  static ListedServer EngineEntry(const std::string& id) {
    ListedServer server = Server(id, "llm", "llm/m0");
    server.models["llm/m1"] = {};
    return server;
  }

  Random random_{1};
  bool is_traffic_on_ = false;
  // Probabilities for each step.
  double sound_rate_ = 0.6;
  double bad_rate_ = 0.1;
  double chance_rate_ = 0;
  std::set<std::string> bad_parts_;
  // The end of a server ends answers without length as if they were whole.
  bool ends_look_whole_ = false;
  // If not empty, all callers connect to this host.
  std::string only_host_;
  std::string bad_model_;  // The parts are bad for this one only; empty: all.
  std::vector<std::string> beside_bad_;  // Sound parts of all bad prompts.
  std::vector<std::string> other_parts_{"b1", "b2", "b3", "b4"};
  std::map<std::string, std::vector<TimePoint>> ends_;  // By bad part.
  std::vector<Arrival> arrivals_;                       // Of bad parts.
  std::map<RequestHandle, Sound> sound_;
  std::vector<std::string> engines_;
  std::map<std::string, TimePoint> disturbed_until_;  // By host.

 private:
  Prompt DrawSound() {
    return {{"a", other_parts_[random_.Below(other_parts_.size())]},
            random_.Below(2) == 0 ? "m0" : "m1"};
  }

  std::string DrawBadPart() {
    auto it = bad_parts_.begin();
    std::advance(it, static_cast<int>(random_.Below(bad_parts_.size())));
    return *it;
  }

  std::string BadPartOf(RequestHandle handle) const {
    const Prompt& prompt = prompts_.at(handle);
    if (!bad_model_.empty() && prompt.model != bad_model_) return "";
    for (const std::string& part : prompt.parts) {
      if (bad_parts_.contains(part)) return part;
    }
    return "";
  }

  void MarkFailed(RequestHandle handle) {
    const auto it = sound_.find(handle);
    if (it != sound_.end() && !it->second.has_begun) {
      it->second.has_failed = true;
    }
  }

  void ServeHost(const std::string& name) {
    const std::vector<Action> done = std::exchange(hosts_.at(name).done, {});
    for (const Action& action : done) {
      if (const auto* sent = std::get_if<DispatchRequest>(&action)) {
        Serve(name, *sent);
      } else if (const auto* probe = std::get_if<ProbeServer>(&action)) {
        const bool is_gone =
            ended_.contains(probe->server) || IsCutFromServers(name);
        if (!is_gone) {
          Handle(name, ServerConnection{probe->server, true, Duration{0}});
        }
        Handle(name, ServerProbed{
                         probe->server,
                         is_gone ? ServerState::kGone : ServerState::kListening,
                         probe->is_link_check});
      } else if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
        const auto it = sound_.find(refused->handle);
        if (it != sound_.end()) it->second.refusal = refused->refusal;
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        for (auto& [server, jobs] : running_) {
          std::erase_if(jobs, [&](const Job& job) {
            return job.host == name && job.sent.handle == cancel->handle;
          });
        }
      }
    }
  }

  void Serve(const std::string& host, const DispatchRequest& sent) {
    if (sent.kind == BackendKind::kEntryHost) {
      Handle(host, MakeAttemptEnd(sent, AttemptResult::kNotSent, "no hop"));
      return;
    }
    if (ended_.contains(sent.backend) || IsCutFromServers(host)) {
      Handle(host, ServerConnection{sent.backend, false, Duration{0}});
      Handle(host, MakeAttemptEnd(sent, AttemptResult::kNotSent, "refused"));
      return;
    }
    Handle(host, ServerConnection{sent.backend, true, Duration{0}});
    const std::string part = BadPartOf(sent.handle);
    if (!part.empty()) arrivals_.push_back({now_, host, part});
    running_[sent.backend].push_back({host, sent, now_});
  }

  void ServeJobs() {
    std::vector<std::pair<std::string, std::string>> crashes;
    std::vector<std::pair<std::string, Event>> events;
    for (auto& [server, jobs] : running_) {
      std::string cause;
      for (Job& job : jobs) {
        if (job.has_begun || now_ - job.at < kPrefillTime) continue;
        const std::string part = BadPartOf(job.sent.handle);
        if (!part.empty()) {
          cause = part;
          continue;
        }
        job.has_begun = true;
        events.push_back({job.host, AttemptStarted{job.sent.handle}});
        const auto it = sound_.find(job.sent.handle);
        if (it != sound_.end()) it->second.has_begun = true;
      }
      if (!cause.empty()) {
        crashes.push_back({server, cause});
        continue;
      }
      std::erase_if(jobs, [&](const Job& job) {
        if (now_ - job.at < kAnswerTime) return false;
        events.push_back(
            {job.host,
             MakeAttemptEnd(job.sent, AttemptResult::kCompleted, "")});
        return true;
      });
    }
    for (const auto& [host, event] : events) {
      if (hosts_.contains(host)) Handle(host, event);
    }
    for (const auto& [server, part] : crashes) EndServer(server, part);
  }

  void RestartServers() {
    while (!restarts_due_.empty() && restarts_due_.front().first <= now_) {
      const std::string old = restarts_due_.front().second;
      restarts_due_.pop_front();
      const std::string id = "llm-r" + std::to_string(++restarts_);
      std::erase(engines_, old);
      engines_.push_back(id);
      models_at_[id] = {"llm/m0", "llm/m1"};
      ServerListRead listed;
      listed.gone = {old};
      listed.listed = {EngineEntry(id)};
      for (const auto& [name, host] : hosts_) Handle(name, listed);
    }
  }

  RequestHandle last_handle_ = 1000;
  std::map<RequestHandle, Prompt> prompts_;
  std::set<std::string> ended_;
  std::map<std::string, std::vector<Job>> running_;  // By server.
  std::deque<std::pair<TimePoint, std::string>> restarts_due_;
  int restarts_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_PROMPT_PART_FIXTURE_H_

#include "admission/permit_ledger.h"

#include <algorithm>

namespace applehall {
namespace {

// What a server may get at once: enough that requests which come unevenly find
// what those before them left, and small beside what it takes in some seconds.
constexpr double kBurst = 2;
constexpr double kBurstSeconds = 0.5;
constexpr size_t kMostWaiting = 1024;  // For one server.

TeamQuota BucketOf(double per_second) {
  const double rate = SendRate(per_second);
  return {rate, kBurst + kBurstSeconds * rate};
}

}  // namespace

double PermitLedger::AskedPart(TimePoint now) const {
  const int known = std::max(1, presence_.Known(now));
  const int absent = presence_.Silent(now) + presence_.Missing(now);
  return 1 - kIsolatedShare * std::min(absent, known) / known;
}

void PermitLedger::Fill(Server& server, TimePoint now) {
  server.bucket.Fill(BucketOf(server.per_second), {}, AskedPart(now), now);
}

void PermitLedger::SetLimit(const std::string& server, double per_second,
                            TimePoint now) {
  presence_.Start(now);
  Server& known = servers_[server];
  if (known.bucket.filled_at != TimePoint{}) Fill(known, now);
  known.per_second = per_second;
  ServeServer(known, now);
}

void PermitLedger::Lift(const std::string& server, TimePoint now) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  while (!it->second.asks.empty()) {
    Answer(it->second, it->second.asks.begin()->first, true, now);
  }
  servers_.erase(it);
}

void PermitLedger::NoteHost(const std::string& host, TimePoint now) {
  presence_.Start(now);
  presence_.Note(host, now);
}

void PermitLedger::Ask(const HostPermitRequest& ask, TimePoint now) {
  NoteHost(ask.host, now);
  const auto it = servers_.find(ask.server);
  if (it == servers_.end()) {
    // Its limit was lifted, and the host has not heard yet.
    answers_.push_back({ask.host, ask.id, ask.server, true, {}, {}});
    return;
  }
  Server& server = it->second;
  const RequestHandle handle = ++last_handle_;
  server.asks[handle] = {ask, now, now + ask.patience};
  WaitingRequest waiting;
  waiting.handle = handle;
  waiting.caller = ask.caller;
  waiting.deadline = now + ask.patience;
  waiting.worth = ask.worth;
  waiting.is_background = ask.is_background;
  const std::optional<RequestHandle> displaced =
      server.queue.Add(waiting, kMostWaiting);
  if (displaced) Answer(server, *displaced, false, now);
  ServeServer(server, now);
}

Duration PermitLedger::TurnOf(const Server& server, size_t position,
                              TimePoint now) const {
  const double ahead = static_cast<double>(position) - server.bucket.level;
  const double rate = SendRate(server.per_second) * AskedPart(now);
  return FromSeconds(std::max(0.0, ahead) / rate);
}

void PermitLedger::Answer(Server& server, RequestHandle handle, bool is_granted,
                          TimePoint now) {
  const auto it = server.asks.find(handle);
  if (it == server.asks.end()) return;
  server.queue.Remove(handle);
  const Waiting& waiting = it->second;
  PermitAnswer answer{waiting.ask.host,       waiting.ask.id,
                      waiting.ask.server,     is_granted,
                      now - waiting.asked_at, Duration{0}};
  if (is_granted) {
    server.bucket.level -= 1;
  } else {
    answer.retry_after = TurnOf(server, server.queue.size() + 1, now);
  }
  answers_.push_back(std::move(answer));
  server.asks.erase(it);
}

void PermitLedger::ServeServer(Server& server, TimePoint now) {
  Fill(server, now);
  while (server.bucket.level >= 1) {
    const std::optional<RequestHandle> best = server.queue.Best(now, true);
    if (!best) return;
    Answer(server, *best, true, now);
  }
  // What stands last cannot come in time if all that stand before it take
  // longer than it waits: told now, its caller can still go elsewhere.
  while (const std::optional<RequestHandle> worst = server.queue.Worst()) {
    const TimePoint turn = now + TurnOf(server, server.queue.size(), now);
    if (turn <= server.asks.at(*worst).give_up_at) break;
    Answer(server, *worst, false, now);
  }
  std::vector<RequestHandle> overdue;
  for (const auto& [handle, waiting] : server.asks) {
    if (waiting.give_up_at < now) overdue.push_back(handle);
  }
  for (const RequestHandle handle : overdue) {
    Answer(server, handle, false, now);
  }
}

void PermitLedger::Serve(TimePoint now) {
  presence_.Expire(now);
  for (auto& [name, server] : servers_) ServeServer(server, now);
}

Json PermitLedger::ToJson(TimePoint now) const {
  Json json{{"asked_part", AskedPart(now)}, {"servers", Json::object()}};
  for (const auto& [name, server] : servers_) {
    json["servers"][name] = Json{{"per_second", server.per_second},
                                 {"level", server.bucket.level},
                                 {"waiting", server.asks.size()}};
  }
  return json;
}

}  // namespace applehall

#include "admission/permit_ledger.h"

#include <algorithm>

namespace applehall {
namespace {

// Burst that a server may receive: large enough that unevenly spaced requests
// can use tokens left by earlier ones, and small compared with what it accepts
// in a few seconds.
constexpr double kBurst = 2;
constexpr double kBurstSeconds = 0.5;
constexpr size_t kMaxWaiting = 1024;  // Per server.

TeamQuota BucketFor(double per_second) {
  const double rate = SendRate(per_second);
  return {rate, kBurst + kBurstSeconds * rate};
}

}  // namespace

double PermitLedger::LedgerShare(TimePoint now) const {
  const int known = std::max(1, presence_.CountKnown(now));
  const int absent =
      presence_.CountUnreachable(now) + presence_.CountMissing(now);
  return 1 - kIsolatedShare * std::min(absent, known) / known;
}

void PermitLedger::Fill(Server& server, TimePoint now) {
  server.bucket.Fill(BucketFor(server.per_second), {}, LedgerShare(now), now);
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
  while (!it->second.requests.empty()) {
    Answer(it->second, it->second.requests.begin()->first, true, now);
  }
  servers_.erase(it);
}

void PermitLedger::RecordHostContact(const std::string& host, TimePoint now) {
  presence_.Start(now);
  presence_.RecordContact(host, now);
}

void PermitLedger::RequestPermit(const HostPermitRequest& request,
                                 TimePoint now) {
  RecordHostContact(request.host, now);
  const auto it = servers_.find(request.server);
  if (it == servers_.end()) {
    // The limit was lifted and the host has not received the update yet.
    answers_.push_back(
        {request.host, request.id, request.server, true, {}, {}});
    return;
  }
  Server& server = it->second;
  const RequestHandle handle = ++last_handle_;
  server.requests[handle] = {request, now, now + request.max_wait};
  WaitingRequest waiting;
  waiting.handle = handle;
  waiting.caller = request.caller;
  waiting.deadline = now + request.max_wait;
  waiting.worth = request.worth;
  waiting.is_background = request.is_background;
  const std::optional<RequestHandle> displaced =
      server.queue.Add(waiting, kMaxWaiting);
  if (displaced) Answer(server, *displaced, false, now);
  ServeServer(server, now);
}

Duration PermitLedger::TimeUntilTurn(const Server& server, size_t position,
                                     TimePoint now) const {
  const double ahead = static_cast<double>(position) - server.bucket.level;
  const double rate = SendRate(server.per_second) * LedgerShare(now);
  return FromSeconds(std::max(0.0, ahead) / rate);
}

void PermitLedger::Answer(Server& server, RequestHandle handle, bool is_granted,
                          TimePoint now) {
  const auto it = server.requests.find(handle);
  if (it == server.requests.end()) return;
  server.queue.Remove(handle);
  const Waiting& waiting = it->second;
  PermitAnswer answer{waiting.request.host,      waiting.request.id,
                      waiting.request.server,    is_granted,
                      now - waiting.enqueued_at, Duration{0}};
  if (is_granted) {
    server.bucket.level -= 1;
  } else {
    answer.retry_after = TimeUntilTurn(server, server.queue.size() + 1, now);
  }
  answers_.push_back(std::move(answer));
  server.requests.erase(it);
}

void PermitLedger::ServeServer(Server& server, TimePoint now) {
  Fill(server, now);
  while (server.bucket.level >= 1) {
    const std::optional<RequestHandle> best = server.queue.Best(now, true);
    if (!best) return;
    Answer(server, *best, true, now);
  }
  // Refuses the last request if those before it take longer than it may wait,
  // so that its caller can still go to another server.
  while (const std::optional<RequestHandle> worst = server.queue.Worst()) {
    const TimePoint turn =
        now + TimeUntilTurn(server, server.queue.size(), now);
    if (turn <= server.requests.at(*worst).expires_at) break;
    Answer(server, *worst, false, now);
  }
  std::vector<RequestHandle> overdue;
  for (const auto& [handle, waiting] : server.requests) {
    if (waiting.expires_at < now) overdue.push_back(handle);
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
  Json json{{"asked_part", LedgerShare(now)}, {"servers", Json::object()}};
  for (const auto& [name, server] : servers_) {
    json["servers"][name] = Json{{"per_second", server.per_second},
                                 {"level", server.bucket.level},
                                 {"waiting", server.requests.size()}};
  }
  return json;
}

}  // namespace applehall

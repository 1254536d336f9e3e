#include "admission/slot_ledger.h"

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Time in which hosts announce the slots that they hold to a new owner.
constexpr Duration kSettleTime = milliseconds(700);
// A host without contact for this long has ended, or sends nothing by permits.
constexpr Duration kMaxSilence = std::chrono::seconds(5);
// When a host that was refused a slot may ask again: a slot becomes free every
// few tens of ms.
constexpr Duration kRetryInterval = milliseconds(50);
constexpr size_t kMaxWaiting = 1024;  // Per server.

}  // namespace

void SlotLedger::Answer(const Waiting& waiting, bool is_granted,
                        TimePoint now) {
  const HostSlotRequest& request = waiting.request;
  answers_.push_back({request.host, request.id, request.server, is_granted,
                      now - waiting.since,
                      is_granted ? Duration{0} : kRetryInterval});
}

void SlotLedger::RequestSlot(const HostSlotRequest& request, TimePoint now) {
  RecordHostContact(request.host, now);
  Server& server = servers_[request.server];
  server.slots = std::max(1, request.slots);
  const Waiting waiting{request, now};
  if (server.waiting.size() >= kMaxWaiting) {
    Answer(waiting, false, now);
    return;
  }
  server.waiting.push_back(waiting);
  ServeServer(server, now);
}

void SlotLedger::Adopt(const HostSlotRequest& held, TimePoint now) {
  RecordHostContact(held.host, now);
  Server& server = servers_[held.server];
  server.slots = std::max(1, held.slots);
  server.held[{held.host, held.id}] = now;
  server_of_[{held.host, held.id}] = held.server;
}

void SlotLedger::Release(const std::string& host, uint64_t id, TimePoint now) {
  const auto of = server_of_.find({host, id});
  if (of == server_of_.end()) return;
  Server& server = servers_.at(of->second);
  server.held.erase(of->first);
  server_of_.erase(of);
  ServeServer(server, now);
}

void SlotLedger::RecordHostContact(const std::string& host, TimePoint now) {
  contact_at_[host] = now;
}

void SlotLedger::ServeServer(Server& server, TimePoint now) {
  if (now - started_at_ < kSettleTime) return;
  while (!server.waiting.empty() &&
         static_cast<int>(server.held.size()) < server.slots) {
    const Waiting next = std::move(server.waiting.front());
    server.waiting.pop_front();
    const Key key{next.request.host, next.request.id};
    server.held[key] = now;
    server_of_[key] = next.request.server;
    Answer(next, true, now);
  }
  std::erase_if(server.waiting, [&](const Waiting& waiting) {
    if (now - waiting.since < waiting.request.max_wait) return false;
    Answer(waiting, false, now);
    return true;
  });
}

void SlotLedger::Serve(TimePoint now) {
  std::erase_if(contact_at_, [&](const auto& item) {
    if (now - item.second <= kMaxSilence) return false;
    for (auto& [name, server] : servers_) {
      std::erase_if(server.held, [&](const auto& held) {
        if (held.first.first != item.first) return false;
        server_of_.erase(held.first);
        return true;
      });
    }
    return true;
  });
  for (auto& [name, server] : servers_) ServeServer(server, now);
  std::erase_if(servers_, [](const auto& item) {
    return item.second.held.empty() && item.second.waiting.empty();
  });
}

Json SlotLedger::ToJson() const {
  Json json = Json::object();
  for (const auto& [name, server] : servers_) {
    json[name] = Json{{"slots", server.slots},
                      {"held", server.held.size()},
                      {"waiting", server.waiting.size()}};
  }
  return json;
}

}  // namespace applehall

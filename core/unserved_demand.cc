#include "core/unserved_demand.h"

#include <algorithm>

namespace applehall {
namespace {

// The longest deadline of a request and the longest Retry-After, after which
// its caller has returned or does not return at all.
constexpr Duration kMemory = std::chrono::seconds(40);
constexpr size_t kMaxNames = 16384;

}  // namespace

void UnservedDemand::RecordRequests(const std::string& name, int requests,
                                    double worth, TimePoint now) {
  if (waits_.size() >= kMaxNames && !waits_.contains(name)) Expire(now);
  if (waits_.size() >= kMaxNames && !waits_.contains(name)) return;
  const auto [it, is_new] = waits_.try_emplace(name);
  Wait& wait = it->second;
  if (is_new) {
    wait.name = name;
    wait.since = now;
  }
  wait.asked_at = std::max(wait.asked_at, now);
  wait.requests += requests;
  wait.worth = worth;
}

void UnservedDemand::RecordWait(const Wait& wait) {
  const auto served = served_at_.find(wait.name);
  const TimePoint since = served == served_at_.end()
                              ? wait.since
                              : std::max(wait.since, served->second);
  if (since > wait.asked_at) return;
  RecordRequests(wait.name, 0, wait.worth, wait.asked_at);
  const auto it = waits_.find(wait.name);
  if (it == waits_.end()) return;
  it->second.since = std::min(it->second.since, since);
  it->second.requests = std::max(it->second.requests, wait.requests);
}

const UnservedDemand::Wait* UnservedDemand::RecordServed(
    const std::string& name, TimePoint now) {
  if (served_at_.size() >= kMaxNames) Expire(now);
  if (served_at_.size() < kMaxNames) served_at_[name] = now;
  const auto it = waits_.find(name);
  if (it == waits_.end()) return nullptr;
  ended_ = std::move(it->second);
  waits_.erase(it);
  return &ended_;
}

void UnservedDemand::Expire(TimePoint now) {
  absl::erase_if(waits_, [now](const auto& item) {
    return now - item.second.asked_at > kMemory;
  });
  absl::erase_if(served_at_, [now](const auto& item) {
    return now - item.second > kMemory;
  });
}

const UnservedDemand::Wait* UnservedDemand::Find(
    const std::string& name) const {
  const auto it = waits_.find(name);
  return it == waits_.end() ? nullptr : &it->second;
}

std::vector<UnservedDemand::Wait> UnservedDemand::InOrder() const {
  std::vector<Wait> waits;
  waits.reserve(waits_.size());
  for (const auto& [name, wait] : waits_) waits.push_back(wait);
  std::sort(waits.begin(), waits.end(), [](const Wait& a, const Wait& b) {
    return std::pair(a.since, a.name) < std::pair(b.since, b.name);
  });
  return waits;
}

Duration UnservedDemand::Longest() const {
  Duration longest{0};
  for (const auto& [name, wait] : waits_) {
    longest = std::max(longest, wait.asked_for());
  }
  return longest;
}

std::vector<UnservedDemand::Wait> UnservedDemand::TakeOverdue(Duration bound,
                                                              TimePoint now) {
  std::vector<Wait> overdue;
  for (auto& [name, wait] : waits_) {
    if (wait.asked_for() < bound || now - wait.reported_at < bound) continue;
    wait.reported_at = now;
    overdue.push_back(wait);
  }
  std::sort(overdue.begin(), overdue.end(), [](const Wait& a, const Wait& b) {
    return std::pair(a.since, a.name) < std::pair(b.since, b.name);
  });
  return overdue;
}

}  // namespace applehall

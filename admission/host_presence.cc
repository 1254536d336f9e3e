#include "admission/host_presence.h"

#include <algorithm>

namespace applehall {
namespace {

// Before a host without word begins to use its part, so that the part is set
// aside by then.
constexpr Duration kSilence = std::chrono::milliseconds(900);
constexpr Duration kHostLife = std::chrono::seconds(15);

}  // namespace

void HostPresence::Start(TimePoint now) {
  if (began_at_ == TimePoint{}) began_at_ = now;
}

void HostPresence::Note(const std::string& host, TimePoint now) {
  heard_at_[host] = now;
}

void HostPresence::Expire(TimePoint now) {
  std::erase_if(heard_at_, [now](const auto& item) {
    return now - item.second > kHostLife;
  });
}

bool HostPresence::IsSilent(const std::string& host, TimePoint now) const {
  const auto it = heard_at_.find(host);
  return it == heard_at_.end() || now - it->second >= kSilence;
}

int HostPresence::Missing(TimePoint now) const {
  if (now - began_at_ > kHostLife) return 0;
  return std::max(0, expected_hosts_ - static_cast<int>(heard_at_.size()));
}

int HostPresence::Silent(TimePoint now) const {
  return static_cast<int>(std::count_if(
      heard_at_.begin(), heard_at_.end(),
      [now](const auto& item) { return now - item.second >= kSilence; }));
}

}  // namespace applehall

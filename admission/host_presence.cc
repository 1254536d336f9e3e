#include "admission/host_presence.h"

#include <algorithm>

namespace applehall {
namespace {

// Shorter than the time after which a host without contact starts to use its
// own part, so that the part is set aside by then.
constexpr Duration kContactTimeout = std::chrono::milliseconds(900);
constexpr Duration kHostTtl = std::chrono::seconds(15);

}  // namespace

void HostPresence::Start(TimePoint now) {
  if (started_at_ == TimePoint{}) started_at_ = now;
}

void HostPresence::RecordContact(const std::string& host, TimePoint now) {
  last_contact_[host] = now;
}

void HostPresence::Expire(TimePoint now) {
  std::erase_if(last_contact_, [now](const auto& item) {
    return now - item.second > kHostTtl;
  });
}

bool HostPresence::IsUnreachable(const std::string& host, TimePoint now) const {
  const auto it = last_contact_.find(host);
  return it == last_contact_.end() || now - it->second >= kContactTimeout;
}

int HostPresence::CountMissing(TimePoint now) const {
  if (now - started_at_ > kHostTtl) return 0;
  return std::max(0, expected_hosts_ - static_cast<int>(last_contact_.size()));
}

int HostPresence::CountUnreachable(TimePoint now) const {
  return static_cast<int>(std::count_if(
      last_contact_.begin(), last_contact_.end(), [now](const auto& item) {
        return now - item.second >= kContactTimeout;
      }));
}

}  // namespace applehall

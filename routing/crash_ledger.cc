#include "routing/crash_ledger.h"

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::minutes;

// With two, innocent requests that meet a second failing server when they are
// sent once more would be taken for the cause.
constexpr int kEarlyEndsToProve = 3;
// A request whose answer was well under way is rarely the cause; one more end
// is asked for.
constexpr int kEndsToProve = 4;
constexpr int kEndsToSuspect = 2;
// Hosts tell of a server's end within seconds of it.
constexpr Duration kExplanationLife = minutes(1);
// Of all hosts: what 256 servers of 12 requests run at once. Some 200 bytes
// each.
constexpr size_t kMostSuspects = 4096;
constexpr size_t kMostExplained = 256;
// Hosts see an end within 0.1 s, one that stood still later; a server takes
// longer to start again and be sent the same request.
constexpr Duration kSameEnd = std::chrono::seconds(2);

}  // namespace

// A server may start again under its name and end once more; hosts that saw the
// same end tell of it at different times.
bool CrashLedger::IsSame(const ServerEnd& a, const ServerEnd& b) {
  return a.server == b.server && a.at < b.at + kSameEnd &&
         b.at < a.at + kSameEnd;
}

bool CrashLedger::IsExplained(const ServerEnd& end) const {
  return std::any_of(
      explained_.begin(), explained_.end(),
      [&](const ServerEnd& other) { return IsSame(end, other); });
}

void CrashLedger::AddEnd(const ServerEnd& end, std::vector<ServerEnd>& ends) {
  const auto known =
      std::find_if(ends.begin(), ends.end(),
                   [&](const ServerEnd& other) { return IsSame(end, other); });
  if (known == ends.end()) {
    ends.push_back(end);
    return;
  }
  // Two attempts of the same content were there.
  known->is_late = known->is_late && end.is_late;
}

CrashLedger::Finding CrashLedger::Record(const ServerEnd& end, TimePoint now) {
  if (IsExplained(end)) return Finding::kNothing;
  if (suspects_.size() >= kMostSuspects &&
      !suspects_.contains(end.fingerprint)) {
    MakeRoom(now);
  }
  Suspect& suspect = suspects_[end.fingerprint];
  const bool is_old = now - suspect.last_at > kSuspicionTtl;
  if (is_old) suspect = {};
  suspect.last_at = now;
  AddEnd(end, suspect.ends);
  const auto ends = static_cast<int>(suspect.ends.size());
  const auto early =
      std::count_if(suspect.ends.begin(), suspect.ends.end(),
                    [](const ServerEnd& other) { return !other.is_late; });
  if (early >= kEarlyEndsToProve || ends >= kEndsToProve) {
    return Finding::kProven;
  }
  return ends >= kEndsToSuspect ? Finding::kSuspect : Finding::kNothing;
}

void CrashLedger::MarkProven(uint64_t fingerprint, TimePoint now) {
  while (!explained_.empty() &&
         now - explained_.front().at > kExplanationLife) {
    explained_.pop_front();
  }
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return;
  for (const ServerEnd& end : it->second.ends) explained_.push_back(end);
  while (explained_.size() > kMostExplained) explained_.pop_front();
  suspects_.erase(it);
}

bool CrashLedger::IsSuspect(uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         static_cast<int>(it->second.ends.size()) >= kEndsToSuspect;
}

// Drops what is too old, and a quarter of the rest: first those with a single
// end, of these the oldest.
void CrashLedger::MakeRoom(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.last_at > kSuspicionTtl;
  });
  std::vector<std::pair<std::pair<size_t, TimePoint>, uint64_t>> ranked;
  for (const auto& [fingerprint, suspect] : suspects_) {
    ranked.push_back({{suspect.ends.size(), suspect.last_at}, fingerprint});
  }
  std::sort(ranked.begin(), ranked.end());
  const size_t least = kMostSuspects * 3 / 4;
  for (size_t i = 0; i + least < ranked.size(); ++i) {
    suspects_.erase(ranked[i].second);
  }
}

}  // namespace applehall

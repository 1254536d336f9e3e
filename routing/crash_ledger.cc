#include "routing/crash_ledger.h"

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::minutes;

// With two, an innocent request that meets a second failing server on its retry
// would be taken for the cause.
constexpr int kEarlyEndsToProve = 3;
// A request whose answer was well under way is rarely the cause, so one more
// end is required.
constexpr int kEndsToProve = 4;
constexpr int kEndsToSuspect = 2;
// Hosts report a server's end within seconds of it.
constexpr Duration kExplanationTtl = minutes(1);
// Entries for all hosts: the requests that 256 servers with 12 slots run at
// once, at about 200 bytes each.
constexpr size_t kMaxSuspects = 4096;
constexpr size_t kMaxExplained = 256;
// Hosts detect an end within 0.1 s, a paused host later. A server takes longer
// than this to restart and receive the same request again.
constexpr Duration kSameEnd = std::chrono::seconds(2);

}  // namespace

// Compares name and time: a server may restart under its name and end again,
// and hosts that saw the same end report it at different times.
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
  // The server was running two attempts of the same content.
  known->is_late = known->is_late && end.is_late;
}

CrashLedger::Finding CrashLedger::Record(const ServerEnd& end, TimePoint now) {
  if (IsExplained(end)) return Finding::kNothing;
  if (suspects_.size() >= kMaxSuspects &&
      !suspects_.contains(end.fingerprint)) {
    Evict(now);
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
  while (!explained_.empty() && now - explained_.front().at > kExplanationTtl) {
    explained_.pop_front();
  }
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return;
  for (const ServerEnd& end : it->second.ends) explained_.push_back(end);
  while (explained_.size() > kMaxExplained) explained_.pop_front();
  suspects_.erase(it);
}

bool CrashLedger::IsSuspect(uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         static_cast<int>(it->second.ends.size()) >= kEndsToSuspect;
}

// Removes expired suspects and a quarter of the rest: those with the fewest
// ends first, of these the oldest.
void CrashLedger::Evict(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.last_at > kSuspicionTtl;
  });
  std::vector<std::pair<std::pair<size_t, TimePoint>, uint64_t>> ranked;
  for (const auto& [fingerprint, suspect] : suspects_) {
    ranked.push_back({{suspect.ends.size(), suspect.last_at}, fingerprint});
  }
  std::sort(ranked.begin(), ranked.end());
  const size_t max_kept = kMaxSuspects * 3 / 4;
  for (size_t i = 0; i + max_kept < ranked.size(); ++i) {
    suspects_.erase(ranked[i].second);
  }
}

}  // namespace applehall

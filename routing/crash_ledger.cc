#include "routing/crash_ledger.h"

#include <algorithm>
#include <vector>

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
// A request that is repeated more rarely ends a server now and then, as other
// faults do.
constexpr Duration kSuspicionLife = minutes(10);
// Hosts tell of a server's end within seconds of it.
constexpr Duration kExplanationLife = minutes(1);
// Of all hosts: what 256 servers of 12 requests run at once. Some 200 bytes
// each.
constexpr size_t kMostSuspects = 4096;
constexpr size_t kMostExplained = 1024;

}  // namespace

int CrashLedger::EarlyEnds(const Suspect& suspect) {
  return static_cast<int>(
      std::count_if(suspect.is_late.begin(), suspect.is_late.end(),
                    [](const auto& end) { return !end.second; }));
}

CrashLedger::Finding CrashLedger::Record(const ServerEnd& end, TimePoint now) {
  if (explained_.contains(end.server)) return Finding::kNothing;
  if (suspects_.size() >= kMostSuspects &&
      !suspects_.contains(end.fingerprint)) {
    MakeRoom(now);
  }
  Suspect& suspect = suspects_[end.fingerprint];
  const bool is_old = now - suspect.last_at > kSuspicionLife;
  if (is_old) suspect = {};
  suspect.last_at = now;
  const auto [known, is_new] =
      suspect.is_late.insert({end.server, end.is_late});
  // Two attempts of the same content may have been there.
  known->second = known->second && end.is_late;
  const auto ends = static_cast<int>(suspect.is_late.size());
  if (EarlyEnds(suspect) >= kEarlyEndsToProve || ends >= kEndsToProve) {
    return Finding::kProven;
  }
  return ends >= kEndsToSuspect ? Finding::kSuspect : Finding::kNothing;
}

void CrashLedger::Convict(uint64_t fingerprint, TimePoint now) {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return;
  std::erase_if(explained_, [&](const auto& item) {
    return now - item.second > kExplanationLife;
  });
  for (const auto& [server, is_late] : it->second.is_late) {
    if (explained_.size() < kMostExplained) explained_[server] = now;
  }
  suspects_.erase(it);
}

bool CrashLedger::IsSuspect(uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         static_cast<int>(it->second.is_late.size()) >= kEndsToSuspect;
}

// Drops what is too old, and a quarter of the rest: first those with a single
// end, of these the oldest.
void CrashLedger::MakeRoom(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.last_at > kSuspicionLife;
  });
  std::vector<std::pair<std::pair<size_t, TimePoint>, uint64_t>> ranked;
  for (const auto& [fingerprint, suspect] : suspects_) {
    ranked.push_back({{suspect.is_late.size(), suspect.last_at}, fingerprint});
  }
  std::sort(ranked.begin(), ranked.end());
  const size_t least = kMostSuspects * 3 / 4;
  for (size_t i = 0; i + least < ranked.size(); ++i) {
    suspects_.erase(ranked[i].second);
  }
}

}  // namespace applehall

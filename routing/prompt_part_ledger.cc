#include "routing/prompt_part_ledger.h"

#include <algorithm>
#include <set>

#include "routing/crash_ledger.h"

namespace applehall {
namespace {

// Sound parts are often at one or two ends by chance.
constexpr size_t kEndsToProve = 3;
constexpr size_t kPromptsToProve = 3;
// A caller repeats its request, so the same prompt comes up at several ends
// without more evidence against its parts than against itself.
constexpr size_t kEndsOfRepeatedPrompts = 4;
constexpr size_t kMinRepeatedPrompts = 2;
// A part that other models have answered is seldom bad for one. With two bad
// parts, a sound one that came with both is at more ends than either.
constexpr size_t kEndsAtOneModel = 5;
// Hosts report the same end at different times; see CrashLedger.
constexpr Duration kSameEnd = std::chrono::seconds(2);
// Of an engine's 64 requests a few have no answer yet; each takes some 150
// bytes.
constexpr size_t kMaxCuts = 512;

bool IsSameEnd(const CutPrompt& a, const CutPrompt& b) {
  return a.server == b.server && a.at < b.at + kSameEnd &&
         b.at < a.at + kSameEnd;
}

}  // namespace

struct PromptPartLedger::Evidence {
  size_t ends = 0;
  size_t prompts = 0;
  bool is_of_one_model = false;

  bool is_proof() const {
    if (is_of_one_model) {
      return ends >= kEndsAtOneModel && prompts >= kPromptsToProve;
    }
    return (ends >= kEndsToProve && prompts >= kPromptsToProve) ||
           (ends >= kEndsOfRepeatedPrompts && prompts >= kMinRepeatedPrompts);
  }
};

void PromptPartLedger::Count(uint64_t key, std::vector<uint64_t>& added) {
  if (++counts_[key] == 1) added.push_back(key);
}

void PromptPartLedger::Discount(uint64_t key) {
  const auto it = counts_.find(key);
  if (it != counts_.end() && --it->second == 0) counts_.erase(it);
}

std::vector<uint64_t> PromptPartLedger::Record(CutPrompt cut, TimePoint now) {
  std::vector<uint64_t> added;
  DropExpired(now);
  std::erase_if(cut.parts,
                [](const PartKeys& part) { return part.widest() == 0; });
  if (cut.parts.empty()) return added;
  // Two attempts of one request, or a row that was reported again.
  const bool is_known =
      std::any_of(cuts_.begin(), cuts_.end(), [&](const CutPrompt& known) {
        return known.prompt == cut.prompt && IsSameEnd(known, cut);
      });
  if (is_known) return added;
  for (const PartKeys& part : cut.parts) Count(part.widest(), added);
  cuts_.push_back(std::move(cut));
  if (cuts_.size() > kMaxCuts) {
    for (const PartKeys& part : cuts_.front().parts) Discount(part.widest());
    cuts_.pop_front();
  }
  return added;
}

std::vector<uint64_t> PromptPartLedger::Clear(uint64_t key) {
  std::vector<uint64_t> added;
  if (counts_.erase(key) == 0) return added;
  for (CutPrompt& cut : cuts_) {
    for (PartKeys& part : cut.parts) {
      if (part.widest() != key) continue;
      const bool was_wide = part.service != 0;
      part.service = 0;
      if (!was_wide) part.target = 0;
      if (part.widest() != 0) Count(part.widest(), added);
    }
    std::erase_if(cut.parts,
                  [](const PartKeys& part) { return part.widest() == 0; });
  }
  std::erase_if(cuts_, [](const CutPrompt& cut) { return cut.parts.empty(); });
  return added;
}

bool PromptPartLedger::DropExpired(TimePoint now) {
  const size_t dropped = std::erase_if(cuts_, [&](const CutPrompt& cut) {
    if (now - cut.at <= kSuspicionTtl) return false;
    for (const PartKeys& part : cut.parts) Discount(part.widest());
    return true;
  });
  return dropped > 0;
}

std::vector<size_t> PromptPartLedger::NumberEnds() const {
  std::vector<size_t> numbers;
  std::vector<const CutPrompt*> firsts;  // Of each end.
  for (const CutPrompt& cut : cuts_) {
    const auto same = std::find_if(
        firsts.begin(), firsts.end(),
        [&](const CutPrompt* first) { return IsSameEnd(*first, cut); });
    numbers.push_back(static_cast<size_t>(same - firsts.begin()));
    if (same == firsts.end()) firsts.push_back(&cut);
  }
  return numbers;
}

std::map<std::vector<size_t>, PromptPartLedger::Group>
PromptPartLedger::BuildGroups() const {
  std::map<uint64_t, std::vector<size_t>> cuts_of;
  for (size_t i = 0; i < cuts_.size(); ++i) {
    for (const PartKeys& part : cuts_[i].parts) {
      std::vector<size_t>& cuts = cuts_of[part.widest()];
      if (cuts.empty() || cuts.back() != i) cuts.push_back(i);
    }
  }
  std::map<std::vector<size_t>, Group> groups;
  for (const auto& [key, cuts] : cuts_of) groups[cuts].push_back(key);
  return groups;
}

PromptPartLedger::Evidence PromptPartLedger::Weigh(
    const std::vector<size_t>& cuts, const Group& group,
    const std::vector<size_t>& ends,
    const std::vector<bool>& is_explained) const {
  std::set<size_t> open_ends;
  std::set<uint64_t> prompts;
  for (const size_t i : cuts) {
    if (is_explained[ends[i]]) continue;
    open_ends.insert(ends[i]);
    prompts.insert(cuts_[i].prompt);
  }
  const std::vector<PartKeys>& parts = cuts_[cuts.front()].parts;
  const bool has_wide =
      std::any_of(parts.begin(), parts.end(), [&group](const PartKeys& part) {
        return part.service != 0 &&
               std::binary_search(group.begin(), group.end(), part.service);
      });
  return {open_ends.size(), prompts.size(), !has_wide};
}

// A part of one model comes last: the first part of a route is at the ends of
// all causes, and at a model with few answers none may have cleared it. Then
// the group at most ends comes first, and of several the one with the fewest
// requests: each request with the cause ends a server.
bool PromptPartLedger::IsStronger(const Evidence& a,
                                  const std::vector<size_t>& cuts_of_a,
                                  const Evidence& b,
                                  const std::vector<size_t>& cuts_of_b) {
  if (a.is_of_one_model != b.is_of_one_model) return b.is_of_one_model;
  if (a.ends != b.ends) return a.ends > b.ends;
  return cuts_of_a.size() < cuts_of_b.size();
}

// Takes the strongest group first. Others count only ends that no cause
// explains yet.
PromptPartLedger::Findings PromptPartLedger::FindCauses() const {
  const std::vector<size_t> ends = NumberEnds();
  const std::map<std::vector<size_t>, Group> groups = BuildGroups();
  std::vector<bool> is_explained(cuts_.size(), false);
  std::set<const Group*> chosen;
  Findings findings;
  while (true) {
    const std::vector<size_t>* best = nullptr;
    Evidence most;
    for (const auto& [cuts, group] : groups) {
      const Evidence evidence = Weigh(cuts, group, ends, is_explained);
      if (!evidence.is_proof()) continue;
      if (best != nullptr && !IsStronger(evidence, cuts, most, *best)) continue;
      best = &cuts;
      most = evidence;
    }
    if (best == nullptr) break;
    for (const size_t i : *best) is_explained[ends[i]] = true;
    chosen.insert(&groups.at(*best));
    findings.causes.push_back(groups.at(*best));
  }
  const std::vector<bool> none(cuts_.size(), false);
  for (const auto& [cuts, group] : groups) {
    if (chosen.contains(&group) || !Weigh(cuts, group, ends, none).is_proof())
      continue;
    findings.explained.push_back(group);
  }
  return findings;
}

}  // namespace applehall

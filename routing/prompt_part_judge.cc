#include "routing/prompt_part_judge.h"

#include <algorithm>

namespace applehall {

std::vector<PartKeys> PromptPartJudge::Unanswered(std::vector<PartKeys> parts,
                                                  TimePoint now) const {
  for (PartKeys& part : parts) {
    if (HasAnswer(part.target, now)) part = {};
    if (HasAnswer(part.service, now)) part.service = 0;
  }
  std::erase_if(parts, [](const PartKeys& part) { return part.widest() == 0; });
  return parts;
}

void PromptPartJudge::RecordSuspects(const std::vector<uint64_t>& keys,
                                     TimePoint now) {
  for (const uint64_t key : keys) suspected_at_[key] = now;
  has_changed_ = true;
}

std::vector<uint64_t> PromptPartJudge::Record(CutPrompt cut, TimePoint now) {
  cut.parts = Unanswered(std::move(cut.parts), now);
  if (cut.parts.empty()) return {};
  std::vector<uint64_t> added = ledger_.Record(std::move(cut), now);
  RecordSuspects(added, now);
  return added;
}

std::vector<uint64_t> PromptPartJudge::Clear(uint64_t key, TimePoint now) {
  suspected_at_.erase(key);
  if (!ledger_.IsSuspect(key)) return {};
  std::vector<uint64_t> added = ledger_.Clear(key);
  RecordSuspects(added, now);
  return added;
}

void PromptPartJudge::DropExpired(TimePoint now) {
  if (!ledger_.DropExpired(now)) return;
  std::erase_if(suspected_at_, [this](const auto& item) {
    return !ledger_.IsSuspect(item.first);
  });
}

PromptPartLedger::Findings PromptPartJudge::Judge(Duration objection_time,
                                                  TimePoint now) {
  if (!has_changed_ && now < judge_at_) return {};
  has_changed_ = false;
  judge_at_ = TimePoint::max();
  PromptPartLedger::Findings findings = ledger_.FindCauses();
  std::erase_if(findings.causes, [&](const Group& group) {
    TimePoint ripe_at;
    for (const uint64_t key : group) {
      ripe_at = std::max(ripe_at, suspected_at_[key] + objection_time);
    }
    if (ripe_at <= now) return false;
    judge_at_ = std::min(judge_at_, ripe_at);
    return true;
  });
  // What an unripe cause explains may turn out to be the cause itself.
  if (judge_at_ != TimePoint::max()) findings.explained.clear();
  return findings;
}

}  // namespace applehall

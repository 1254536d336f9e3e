#ifndef APPLEHALL_ROUTING_PROMPT_PART_JUDGE_H_
#define APPLEHALL_ROUTING_PROMPT_PART_JUDGE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "routing/crash_ledger.h"
#include "routing/prompt_part_ledger.h"
#include "routing/recent_keys.h"

namespace applehall {

// Decides which parts of prompts end servers, from the requests that were cut
// at ends and from the answers that clear their parts.
//
// A host sees only its own answers. So a part is judged only after the other
// hosts had the time to object to the suspicion.
class PromptPartJudge {
 public:
  using Group = PromptPartLedger::Group;

  // Records that a server has answered a request with the part. Not
  // thread-safe.
  void RecordAnswer(uint64_t key, TimePoint now) { answered_.Record(key, now); }
  // Returns whether a server has answered the part lately. Not thread-safe.
  bool HasAnswer(uint64_t key, TimePoint now) const {
    return answered_.Holds(key, now);
  }
  // Returns the parts without those that a server has answered lately. Not
  // thread-safe.
  std::vector<PartKeys> Unanswered(std::vector<PartKeys> parts,
                                   TimePoint now) const;

  // Records a request that was cut at the end of a server. Returns the keys
  // that became suspect. Not thread-safe.
  std::vector<uint64_t> Record(CutPrompt cut, TimePoint now);
  // Drops the suspicion of a part. Returns the keys that became suspect in its
  // place. Not thread-safe.
  std::vector<uint64_t> Clear(uint64_t key, TimePoint now);
  void DropExpired(TimePoint now);
  // Not thread-safe.
  bool IsSuspect(uint64_t key) const { return ledger_.IsSuspect(key); }
  size_t size() const { return ledger_.size(); }
  // Returns what is known since the last call. Parts that became suspect less
  // than `objection_time` ago are no cause yet. Not thread-safe.
  PromptPartLedger::Findings Judge(Duration objection_time, TimePoint now);

 private:
  // A host of the largest fleet answers 18 requests a second; keys take some
  // 100 bytes each.
  static constexpr size_t kMaxAnswered = 8192;

  void RecordSuspects(const std::vector<uint64_t>& keys, TimePoint now);

  PromptPartLedger ledger_;
  RecentKeys answered_{kMaxAnswered, kSuspicionTtl};
  std::map<uint64_t, TimePoint> suspected_at_;
  bool has_changed_ = false;
  TimePoint judge_at_ = TimePoint::max();  // A cause is unripe until then.
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_PROMPT_PART_JUDGE_H_

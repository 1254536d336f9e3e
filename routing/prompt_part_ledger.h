#ifndef APPLEHALL_ROUTING_PROMPT_PART_LEDGER_H_
#define APPLEHALL_ROUTING_PROMPT_PART_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace applehall {

// Keys of one part of a request's prompt, see PromptPartKey().
struct PartKeys {
  // Of the part at any model of the service; zero if a server has answered it
  // there.
  uint64_t service = 0;
  // Of the part at the requested model or adapter only.
  uint64_t target = 0;

  // The widest scope in which no server has answered the part.
  uint64_t widest() const { return service != 0 ? service : target; }
};

// A request that a server was running, without an answer yet, when it ended.
struct CutPrompt {
  std::string server;
  TimePoint at;
  uint64_t prompt = 0;  // Hash of the whole prompt.
  // The parts that other requests may share and that no server has answered.
  std::vector<PartKeys> parts;
};

// Finds the parts of prompts that end the servers which answer them.
//
// Such a part is in a request at each end, while the rest of the request
// differs each time. A sound part is answered in between, which clears it.
// Parts that were in exactly the same requests cannot be told apart and form
// one group.
class PromptPartLedger {
 public:
  // Sorted keys of parts that were in the same requests.
  using Group = std::vector<uint64_t>;

  struct Findings {
    // The fewest groups that explain the ends.
    std::vector<Group> causes;
    // Groups at as many ends as a cause, all of which a cause explains.
    std::vector<Group> explained;
  };

  // Records a cut request, which several hosts may report. Returns the keys
  // that became suspect. Not thread-safe.
  std::vector<uint64_t> Record(CutPrompt cut, TimePoint now);
  // Drops the suspicion of a part that a server has answered. Returns the keys
  // of the same part in a narrower scope that became suspect instead. Not
  // thread-safe.
  std::vector<uint64_t> Clear(uint64_t key);
  // Drops requests that were cut too long ago. Returns whether there were any.
  // Not thread-safe.
  bool DropExpired(TimePoint now);
  // Returns whether a recorded request has the part. Not thread-safe.
  bool IsSuspect(uint64_t key) const { return counts_.contains(key); }
  // Requires: nothing. Not thread-safe.
  Findings FindCauses() const;
  size_t size() const { return cuts_.size(); }

 private:
  struct Evidence;

  // Numbers the ends: requests cut at the same server at the same time.
  std::vector<size_t> NumberEnds() const;
  // The recorded requests of each group.
  std::map<std::vector<size_t>, Group> BuildGroups() const;
  // The ends and prompts of a group's requests that nothing explains yet.
  Evidence Weigh(const std::vector<size_t>& cuts, const Group& group,
                 const std::vector<size_t>& ends,
                 const std::vector<bool>& is_explained) const;
  // Whether the evidence against group a is stronger than that against b.
  static bool IsStronger(const Evidence& a,
                         const std::vector<size_t>& cuts_of_a,
                         const Evidence& b,
                         const std::vector<size_t>& cuts_of_b);
  void Count(uint64_t key, std::vector<uint64_t>& added);
  void Discount(uint64_t key);

  std::deque<CutPrompt> cuts_;         // In the order of their recording.
  std::map<uint64_t, size_t> counts_;  // Recorded requests by key.
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_PROMPT_PART_LEDGER_H_

#ifndef APPLEHALL_NODE_UNCONFIRMED_ENDS_H_
#define APPLEHALL_NODE_UNCONFIRMED_ENDS_H_

#include <string>
#include <vector>

#include "node/server_ends.h"

namespace applehall {

// Ends of servers that count only once this host has reached another server of
// the service: with its own links cut, each server looks as if it had ended.
class UnconfirmedEnds {
 public:
  struct End {
    std::string server;
    std::vector<CutRequest> cuts;
    TimePoint seen_at;
  };

  // Drops the oldest end if there are too many. Returns whether it did.
  bool Add(End end) {
    ends_.push_back(std::move(end));
    if (ends_.size() <= kMaxEnds) return false;
    ends_.erase(ends_.begin());
    return true;
  }
  bool empty() const { return ends_.empty(); }
  // Returns and removes the ends for which `is_wanted` is true. Not
  // thread-safe.
  template <typename Predicate>
  std::vector<End> Take(const Predicate& is_wanted) {
    std::vector<End> taken;
    std::erase_if(ends_, [&](End& end) {
      if (!is_wanted(end)) return false;
      taken.push_back(std::move(end));
      return true;
    });
    return taken;
  }

 private:
  static constexpr size_t kMaxEnds = 256;

  std::vector<End> ends_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_UNCONFIRMED_ENDS_H_

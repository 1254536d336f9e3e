#ifndef APPLEHALL_PLACEMENT_STORE_BUDGET_H_
#define APPLEHALL_PLACEMENT_STORE_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace applehall {

// A part of one data centre's share of the weight store that is lent to
// another.
struct StoreGrant {
  std::string id;
  double loads = 0;  // Transferred permanently.
  int slots = 0;     // Revert to the lender at `expires`.
  TimePoint expires;
};

// One owner's share of the weight store's load rate (a token bucket) and of its
// full-speed slots.
//
// The shares of all owners add up to the store's limits, so a load needs no
// coordination. An idle owner lends: loads are transferred to the borrower,
// slots for a limited time. A grant that is lost, or whose borrower crashes,
// costs the lender capacity until it expires; it is never used twice.
class StoreBudget {
 public:
  StoreBudget() = default;
  // `rate` in loads per second, `slots` in concurrent loads.
  StoreBudget(double rate, double slots, TimePoint now);

  // Changes the share and keeps the accumulated loads. Not thread-safe.
  void SetShare(double rate, double slots);
  // Takes one load and one slot. Returns false if either is exhausted. Not
  // thread-safe.
  bool TryBegin(TimePoint now);
  // Returns the slot of a load that ended. Not thread-safe.
  void End();
  // Lends unused capacity, at most one load and one slot; empty if there is
  // none. Not thread-safe.
  std::optional<StoreGrant> Lend(const std::string& id, TimePoint now);
  // Adds a grant to the share; a repeated id has no effect. Not thread-safe.
  void Accept(const StoreGrant& grant, TimePoint now);

  // Time until the rate allows a load, without borrowing.
  Duration TimeUntilLoad(TimePoint now) const;
  double available_loads(TimePoint now) const;
  int slots_in_use() const { return in_use_; }
  double slots(TimePoint now) const;

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double slot_share_ = 0;
  double loads_ = 0;
  int in_use_ = 0;
  TimePoint refilled_at_;
  TimePoint last_use_;
  std::map<std::string, TimePoint> lent_slots_;      // By expiry.
  std::map<std::string, TimePoint> borrowed_slots_;  // By expiry.
  std::map<std::string, TimePoint> accepted_;        // Grant ids, by expiry.
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_STORE_BUDGET_H_

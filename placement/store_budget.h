#ifndef APPLEHALL_PLACEMENT_STORE_BUDGET_H_
#define APPLEHALL_PLACEMENT_STORE_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace applehall {

// A part of one data centre's share of the weight store, lent to another.
struct StoreGrant {
  std::string id;
  double loads = 0;  // Moved for good.
  int slots = 0;     // Back with the lender at `expires`, returned or not.
  TimePoint expires;
};

// One owner's share of the weight store's rate and full-speed slots.
//
// The shares of all owners add up to the store's limits, so nobody has to ask
// before a load. An idle owner lends: loads move to the borrower, slots go
// for a limited time. A grant that is lost, or whose borrower dies, costs the
// lender a little until it expires; it is never used twice.
class StoreBudget {
 public:
  StoreBudget() = default;
  // `rate` in loads a second, `slots` in loads at once.
  StoreBudget(double rate, double slots, TimePoint now);

  // Changes the share, keeping what was saved. Not thread-safe.
  void SetShare(double rate, double slots);
  // Takes one load and one slot. False if either is spent. Not thread-safe.
  bool TryBegin(TimePoint now);
  // A load begun here ended. Not thread-safe.
  void End();
  // Lends what is idle here, at most one load and one slot. Not thread-safe.
  std::optional<StoreGrant> Lend(const std::string& id, TimePoint now);
  // Takes a grant; one id counts once. Not thread-safe.
  void Accept(const StoreGrant& grant, TimePoint now);

  // How long until a load could begin, if nothing is borrowed.
  Duration WaitFor(TimePoint now) const;
  double available_loads(TimePoint now) const;
  int slots_in_use() const { return in_use_; }
  double slots(TimePoint now) const;

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double slot_share_ = 0;
  double saved_ = 0;
  int in_use_ = 0;
  TimePoint refilled_at_;
  TimePoint last_use_;
  std::map<std::string, TimePoint> lent_slots_;      // By expiry.
  std::map<std::string, TimePoint> borrowed_slots_;  // By expiry.
  std::map<std::string, TimePoint> accepted_;        // Grant ids, by expiry.
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_STORE_BUDGET_H_

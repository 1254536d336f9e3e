#ifndef APPLEHALL_STANDINS_FAKE_WEIGHT_STORE_H_
#define APPLEHALL_STANDINS_FAKE_WEIGHT_STORE_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "rules/rule_checker.h"

namespace applehall {

// The weight store. It starts a limited number of fetches per second; a limited
// number run at full speed, beyond which all share its bandwidth. Not
// thread-safe.
class FakeWeightStore {
 public:
  FakeWeightStore(double loads_per_second, int full_speed_slots,
                  double slot_bytes_per_second);

  void AddModel(const CatalogueEntry& entry) { catalogue_[entry.name] = entry; }
  const CatalogueEntry* Find(const std::string& name) const;
  Catalogue ListCatalogue() const;
  // Starts a fetch and returns the time at which it ends. Not thread-safe.
  TimePoint BeginFetch(uint64_t bytes, TimePoint now);
  // Multiplies the duration of fetches that start from now on.
  void SetSlowness(double factor) { slowness_ = factor; }

  // ---- Ground truth for tests ----

  uint64_t fetch_count() const { return fetch_count_; }
  Duration total_wait() const { return total_wait_; }

 private:
  double loads_per_second_;
  int full_speed_slots_;
  double slot_bytes_per_second_;
  double slowness_ = 1.0;
  std::map<std::string, CatalogueEntry> catalogue_;
  std::multimap<TimePoint, int> active_fetches_;  // Keyed by their end.
  TimePoint next_fetch_at_;
  uint64_t fetch_count_ = 0;
  Duration total_wait_{0};
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_WEIGHT_STORE_H_

#include "standins/fake_weight_store.h"

#include <algorithm>

namespace applehall {

FakeWeightStore::FakeWeightStore(double loads_per_second, int full_speed_slots,
                                 double slot_bytes_per_second)
    : loads_per_second_(loads_per_second),
      full_speed_slots_(full_speed_slots),
      slot_bytes_per_second_(slot_bytes_per_second) {}

const CatalogueEntry* FakeWeightStore::Find(const std::string& name) const {
  const auto it = catalogue_.find(name);
  return it == catalogue_.end() ? nullptr : &it->second;
}

Catalogue FakeWeightStore::ListCatalogue() const {
  Catalogue list;
  for (const auto& [name, entry] : catalogue_) list.push_back(entry);
  return list;
}

TimePoint FakeWeightStore::BeginFetch(uint64_t bytes, TimePoint now) {
  ++fetch_count_;
  const TimePoint start = std::max(now, next_fetch_at_);
  total_wait_ += start - now;
  next_fetch_at_ = start + FromSeconds(1.0 / loads_per_second_);
  active_fetches_.erase(active_fetches_.begin(),
                        active_fetches_.upper_bound(start));
  const double crowding =
      std::max(1.0, static_cast<double>(active_fetches_.size() + 1) /
                        static_cast<double>(full_speed_slots_));
  const TimePoint end =
      start + FromSeconds(static_cast<double>(bytes) / slot_bytes_per_second_ *
                          crowding * slowness_);
  active_fetches_.emplace(end, 0);
  return end;
}

}  // namespace applehall

#include <algorithm>

#include "node/topic_freshness.h"

namespace applehall {

void TopicFreshness::Merge(const TopicState& claim, TopicState& known) {
  if (claim.as_of <= known.as_of) return;
  known.as_of = claim.as_of;
  known.source = claim.source;
}

void TopicFreshness::Know(const std::string& topic, LogOffset next) {
  TopicState& known = known_[topic];
  known.next = std::max(known.next, next);
  const auto claim = claims_.find(topic);
  if (claim == claims_.end() || claim->second.next > known.next) return;
  Merge(claim->second, known);
  claims_.erase(claim);
}

void TopicFreshness::Prove(const std::string& topic, LogOffset next,
                           TimePoint as_of, const std::string& source) {
  const auto known = known_.find(topic);
  if (known != known_.end() && known->second.next >= next) {
    Merge({next, as_of, source}, known->second);
    return;
  }
  TopicState& claim = claims_[topic];
  if (next < claim.next) return;
  claim = {next, as_of, source};
}

LogOffset TopicFreshness::Next(const std::string& topic) const {
  const auto known = known_.find(topic);
  return known == known_.end() ? 0 : known->second.next;
}

TimePoint TopicFreshness::OldestFreshness() const {
  if (known_.empty()) return {};
  return std::min_element(known_.begin(), known_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.as_of < b.second.as_of;
                          })
      ->second.as_of;
}

bool TopicFreshness::HasCaughtUp() const {
  return std::all_of(claims_.begin(), claims_.end(), [this](const auto& item) {
    return Next(item.first) >= item.second.next;
  });
}

Json TopicFreshness::ToJson(TimePoint now) const {
  Json json = Json::object();
  for (const auto& [topic, proof] : known_) {
    json[topic] = Json{{"next", proof.next},
                       {"age_ms", ToMillis(now - proof.as_of)},
                       {"source", proof.source}};
  }
  return json;
}

}  // namespace applehall

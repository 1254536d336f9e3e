#include "node/topic_freshness.h"

#include <algorithm>

namespace applehall {

void TopicFreshness::Merge(const TopicState& report, TopicState& known) const {
  if (report.as_of <= known.as_of) return;
  const bool was_interrupted =
      known.as_of != TimePoint{} && report.as_of - known.as_of >= min_outage_;
  if (was_interrupted) {
    known.interrupted_at = known.as_of;
    known.resumed_at = report.as_of;
  }
  known.as_of = report.as_of;
  known.source = report.source;
}

void TopicFreshness::RecordOffset(const std::string& topic, LogOffset next) {
  TopicState& known = known_[topic];
  known.next = std::max(known.next, next);
  const auto report = pending_.find(topic);
  if (report == pending_.end() || report->second.next > known.next) return;
  Merge(report->second, known);
  pending_.erase(report);
}

void TopicFreshness::RecordFreshness(const std::string& topic, LogOffset next,
                                     TimePoint as_of,
                                     const std::string& source) {
  const auto known = known_.find(topic);
  if (known != known_.end() && known->second.next >= next) {
    Merge({next, as_of, source}, known->second);
    return;
  }
  TopicState& report = pending_[topic];
  if (next < report.next) return;
  report = {next, as_of, source};
}

LogOffset TopicFreshness::NextOffset(const std::string& topic) const {
  const auto known = known_.find(topic);
  return known == known_.end() ? 0 : known->second.next;
}

const TopicState* TopicFreshness::Find(const std::string& topic) const {
  const auto known = known_.find(topic);
  return known == known_.end() ? nullptr : &known->second;
}

TimePoint TopicFreshness::OldestFreshness() const {
  if (known_.empty()) return {};
  return std::min_element(known_.begin(), known_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.as_of < b.second.as_of;
                          })
      ->second.as_of;
}

bool TopicFreshness::IsCaughtUp() const {
  return std::all_of(pending_.begin(), pending_.end(),
                     [this](const auto& item) {
                       return NextOffset(item.first) >= item.second.next;
                     });
}

Json TopicFreshness::ToJson(TimePoint now) const {
  Json json = Json::object();
  for (const auto& [topic, state] : known_) {
    json[topic] = Json{{"next", state.next},
                       {"age_ms", ToMillis(now - state.as_of)},
                       {"source", state.source}};
  }
  return json;
}

}  // namespace applehall

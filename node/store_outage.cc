#include "node/store_outage.h"

#include <algorithm>

namespace applehall {
namespace {

// After an outage of the store, live servers are listed again this soon.
constexpr Duration kRelistTime = std::chrono::milliseconds(2200);

}  // namespace

void StoreOutage::RecordLostCall(TimePoint asked_at) {
  last_trouble_at_ = std::max(last_trouble_at_, asked_at);
  is_rejecting_ = false;
}

void StoreOutage::RecordRejection(TimePoint now) {
  if (!is_rejecting_) rejected_since_ = now;
  is_rejecting_ = true;
  rejected_until_ = now;
}

void StoreOutage::RecordPause(TimePoint end) {
  last_trouble_at_ = std::max(last_trouble_at_, end);
  is_rejecting_ = false;
}

Duration StoreOutage::RejectionDuring(const TopicState& topic) const {
  const TimePoint begin = std::max(rejected_since_, topic.interrupted_at);
  const TimePoint end = std::min(rejected_until_, topic.resumed_at);
  return std::max(end - begin, Duration{0});
}

TimePoint StoreOutage::LapseEnd(const TopicState& topic) const {
  if (topic.resumed_at == TimePoint{}) return TimePoint{};
  const TimePoint relisted_at = topic.resumed_at + kRelistTime;
  // The store may have failed for all hosts, whatever else happened here.
  const bool may_be_outage = RejectionDuring(topic) >= bounds_.min_outage;
  if (may_be_outage || last_trouble_at_ <= topic.interrupted_at) {
    return relisted_at;
  }
  return std::min(relisted_at, last_trouble_at_ + bounds_.contact_time);
}

}  // namespace applehall

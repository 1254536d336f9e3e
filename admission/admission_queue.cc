#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace applehall {
namespace {

// Delay in the order for each request that the caller already has queued,
// divided by the worth.
constexpr Duration kCallerSpacing = std::chrono::milliseconds(50);
// Advance in the order for each doubling of the worth.
constexpr Duration kWorthStep = std::chrono::milliseconds(500);
// Background work becomes urgent this long before its latest start.
constexpr Duration kPromotionSlack = std::chrono::seconds(60);

TimePoint OrderTime(const WaitingRequest& request, size_t caller_waiting) {
  const TimePoint latest_start = request.deadline - request.service_estimate;
  const double worth = std::max(0.001, request.worth);
  const Duration spacing =
      FromSeconds(ToSeconds(kCallerSpacing) *
                  static_cast<double>(caller_waiting) / std::max(1.0, worth));
  const Duration bonus =
      FromSeconds(ToSeconds(kWorthStep) * std::log2(1.0 + worth));
  return latest_start + spacing - bonus;
}

}  // namespace

std::optional<RequestHandle> AdmissionQueue::Add(const WaitingRequest& request,
                                                 size_t limit) {
  std::optional<RequestHandle> displaced;
  if (entries_.size() >= limit) {
    // A burst from one caller may fill the queue but must not keep others out:
    // its last request is displaced by a caller with fewer queued requests.
    const std::string* heaviest = HeaviestCaller();
    const auto own = callers_.find(request.caller);
    const size_t own_size = own == callers_.end() ? 0 : own->second.keys.size();
    if (heaviest == nullptr ||
        callers_[*heaviest].keys.size() <= own_size + 1) {
      return request.handle;
    }
    displaced = callers_[*heaviest].keys.rbegin()->handle;
    Remove(*displaced);
  }
  CallerLoad& load = callers_[request.caller];
  const Key key{OrderTime(request, load.keys.size()), request.handle};
  load.keys.insert(key);
  (request.is_background ? background_ : foreground_).insert(key);
  deadlines_.insert({request.deadline, request.handle});
  entries_[request.handle] = {request, key};
  total_worth_ += request.worth;
  return displaced;
}

bool AdmissionQueue::Remove(RequestHandle handle) {
  const auto it = entries_.find(handle);
  if (it == entries_.end()) return false;
  const Entry& entry = it->second;
  (entry.request.is_background ? background_ : foreground_).erase(entry.key);
  deadlines_.erase({entry.request.deadline, handle});
  const auto load = callers_.find(entry.request.caller);
  load->second.keys.erase(entry.key);
  if (load->second.keys.empty()) callers_.erase(load);
  total_worth_ -= entry.request.worth;
  entries_.erase(it);
  return true;
}

const std::string* AdmissionQueue::HeaviestCaller() const {
  const std::string* heaviest = nullptr;
  size_t max_size = 0;
  for (const auto& [caller, load] : callers_) {
    if (load.keys.size() < max_size ||
        (load.keys.size() == max_size && heaviest && *heaviest < caller)) {
      continue;
    }
    heaviest = &caller;
    max_size = load.keys.size();
  }
  return heaviest;
}

const AdmissionQueue::Key* AdmissionQueue::BestEntry(
    TimePoint now, bool has_idle_capacity) const {
  const Key* best = foreground_.empty() ? nullptr : &*foreground_.begin();
  if (background_.empty()) return best;
  const Key* waiting = &*background_.begin();
  const bool is_urgent = waiting->time - kPromotionSlack <= now;
  if (is_urgent && (best == nullptr || *waiting < *best)) return waiting;
  if (best != nullptr) return best;
  return has_idle_capacity ? waiting : nullptr;
}

std::optional<RequestHandle> AdmissionQueue::Best(
    TimePoint now, bool has_idle_capacity) const {
  const Key* best = BestEntry(now, has_idle_capacity);
  if (best == nullptr) return std::nullopt;
  return best->handle;
}

std::optional<RequestHandle> AdmissionQueue::Worst() const {
  const std::set<Key>& last = background_.empty() ? foreground_ : background_;
  if (last.empty()) return std::nullopt;
  return last.rbegin()->handle;
}

std::optional<TimePoint> AdmissionQueue::BestKey(TimePoint now,
                                                 bool has_idle_capacity) const {
  const Key* best = BestEntry(now, has_idle_capacity);
  if (best == nullptr) return std::nullopt;
  return best->time;
}

std::optional<TimePoint> AdmissionQueue::EarliestDeadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->time;
}

}  // namespace applehall

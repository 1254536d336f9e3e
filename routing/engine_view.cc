#include "routing/engine_view.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

namespace applehall {
namespace {

// Load difference beyond which a request leaves the engine of its prefix for
// another: waiting then costs more than a cold prefix.
constexpr double kAffinitySlack = 0.25;
// Load difference beyond which an engine of another data centre is preferred to
// a near one, as the way there costs a few ms and traffic.
constexpr double kDistanceSlack = 0.2;
// Share of an engine's slots that is filled under excess demand. With all of
// them filled, random queues do not drain, and half of the requests began too
// late.
constexpr double kFilledShare = 0.85;
// Maximum load of a brittle engine. Reports of other hosts lag, so the rest is
// left for what they send meanwhile.
constexpr double kMaxBrittleLoad = 0.8;
// Used until a service time is known: a stream of about 170 tokens at 10 ms
// each.
constexpr Duration kDefaultServiceTime = std::chrono::seconds(2);
// An engine below this load can run more than estimated.
constexpr double kIdleLoad = 0.5;
constexpr double kIdleBoost = 1.5;
// From this many slots on, an engine is busy reading prompts long before its
// slots are used: at 57 % of its time with 10 % of 48 slots in use.
constexpr int kManySlots = 32;
// Servers change their reported slowdown many times a second; after this time
// it says nothing any more.
constexpr Duration kReportedLoadTtl = std::chrono::milliseconds(500);
// Factor of the cost of the engine that the prompt's prefix hashes to: it has
// probably kept a tenth of the prompt.
constexpr double kPrefixBonus = 0.9;
// Factor of the cost of a server in another data centre.
constexpr double kDistanceFactor = 1.1;
// Hosts choose by loads that lag, so they must not all choose the server with
// the lowest cost. This exponent sends a server of half the cost 16 times as
// many requests.
constexpr double kCostExponent = 4;

}  // namespace

bool EngineView::Merge(const EngineDigest& digest, TimePoint now) {
  EngineEntry& entry = engines_[digest.engine];
  const bool is_first = entry.digest.engine.empty();
  if (!is_first && !digest.IsNewerThan(entry.digest)) return false;
  IndexTargets(entry.digest, digest);
  entry.digest = digest;
  entry.reported_at = now;
  entry.begun_since_report = 0;
  entry.limit.SetSlots(digest.slots);
  return true;
}

bool EngineView::MergeLoad(const EngineDigest& digest, TimePoint now) {
  const auto it = engines_.find(digest.engine);
  if (it == engines_.end()) return false;
  EngineEntry& entry = it->second;
  if (entry.digest.token != digest.token ||
      entry.digest.base_sequence != digest.base_sequence ||
      !digest.IsNewerThan(entry.digest)) {
    return false;
  }
  entry.digest.sequence = digest.sequence;
  entry.digest.running = digest.running;
  entry.digest.queued = digest.queued;
  entry.reported_at = now;
  entry.begun_since_report = 0;
  return true;
}

void EngineView::IndexTargets(const EngineDigest& before,
                              const EngineDigest& after) {
  if (before.ready == after.ready) return;
  ++ready_version_;
  for (const std::string& target : before.ready) {
    RemoveReady(target, before.engine);
  }
  for (const std::string& target : after.ready) {
    Ring& ring = by_target_[target];
    RingPoint point{StableHash(after.engine), after.engine};
    ring.insert(std::lower_bound(ring.begin(), ring.end(), point), point);
  }
}

void EngineView::RemoveReady(const std::string& target,
                             const std::string& engine) {
  const auto it = by_target_.find(target);
  if (it == by_target_.end()) return;
  ++ready_version_;
  std::erase_if(it->second,
                [&](const RingPoint& point) { return point.engine == engine; });
  if (it->second.empty()) by_target_.erase(it);
}

void EngineView::SetLeaving(const std::string& engine, bool leaving) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.is_leaving = leaving;
}

void EngineView::Remove(const std::string& engine) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  for (const std::string& target : it->second.digest.ready) {
    RemoveReady(target, engine);
  }
  engines_.erase(it);
}

double EngineView::Load(const EngineEntry& entry) {
  const int reported = entry.digest.running + entry.digest.queued;
  // A report may not include this host's own requests yet; a newer one counts
  // them already.
  const int busy =
      std::max(entry.in_flight, reported + entry.begun_since_report);
  return static_cast<double>(busy) / std::max(1, entry.digest.slots);
}

bool EngineView::CanAccept(const EngineEntry& entry, TimePoint now) const {
  const bool is_trusted =
      entry.breaker.Allows(now) || !policies_.Has(Policy::kCircuitBreaker);
  return !entry.is_leaving && !entry.digest.is_leaving && is_trusted &&
         entry.held_until <= now && entry.limit.Allows(entry.in_flight);
}

bool EngineView::HasVersion(const EngineEntry& entry,
                            const Preference& preference, TimePoint now) {
  if (preference.begins_stream && entry.digest.streams_from > now) return false;
  return !preference.version || entry.digest.version == *preference.version;
}

// The running requests of all hosts are known half a second late. With that
// bound alone, hosts overfill an engine several times over and then leave it
// empty. Arrival rates change slowly, so the share of arrivals that an engine
// can run is known well, and each host admits just that share.
bool EngineView::HasCapacity(const EngineEntry& entry,
                             const Preference& preference) const {
  const double load = Load(entry);
  if (entry.brittle_hosts > 0) {
    // Equal parts need no reports, which lag; with more hosts than slots, the
    // load that they report has to do.
    const int part = std::max(1, entry.digest.slots / entry.brittle_hosts);
    if (entry.in_flight >= part || load >= kMaxBrittleLoad) return false;
  }
  if (preference.max_load <= 0) return true;
  if (load >= preference.max_load) return false;
  if (!policies_.Has(Policy::kEngineShares)) return true;
  const Duration service_time = preference.service_time > Duration{0}
                                    ? preference.service_time
                                    : kDefaultServiceTime;
  const double wanted = entry.arrivals * ToSeconds(service_time);
  if (wanted <= entry.digest.slots) return true;
  const double boost = load < kIdleLoad ? kIdleBoost : 1.0;
  return preference.draw < kFilledShare * boost * entry.digest.slots / wanted;
}

bool EngineView::NeedsEstimate(const EngineEntry& entry,
                               const Preference& preference) {
  if (entry.load.slowdown) return true;
  return !preference.is_call && entry.digest.slots >= kManySlots;
}

ServerCondition EngineView::ConditionOf(const EngineEntry& entry,
                                        TimePoint now) {
  ServerCondition condition;
  condition.speed = entry.performance.speed;
  condition.slots = std::max(1, entry.digest.slots);
  condition.prompt_tokens_per_second =
      entry.performance.prompt_tokens_per_second;
  const int reported = entry.digest.running + entry.digest.queued;
  condition.busy =
      std::max(entry.in_flight, reported + entry.begun_since_report);
  const Duration age = now - entry.load_at;
  if (age < kReportedLoadTtl) {
    const double weight = 1 - ToSeconds(age) / ToSeconds(kReportedLoadTtl);
    condition.slowdown = 1 + (entry.load.slowdown.value_or(1) - 1) * weight;
    condition.busy =
        std::max(entry.in_flight, entry.load.running + entry.load.waiting +
                                      entry.begun_since_load);
  }
  const double read_since =
      PromptTokensPerSecond(condition) * ToSeconds(now - entry.unread_at);
  condition.unread_tokens = std::max(0.0, entry.unread_tokens - read_since);
  return condition;
}

CompletionEstimate EngineView::EstimateFor(const EngineEntry& entry,
                                           const Preference& preference,
                                           TimePoint now) {
  const ServerCondition condition = ConditionOf(entry, now);
  return preference.is_call
             ? EstimateCall(condition, preference.service_time)
             : EstimateStream(condition, preference.prompt_tokens);
}

std::optional<CompletionEstimate> EngineView::Estimate(
    const std::string& engine, const Preference& preference,
    TimePoint now) const {
  const auto it = engines_.find(engine);
  const bool is_used = it != engines_.end() && preference.targets &&
                       policies_.Has(Policy::kEstimates) &&
                       NeedsEstimate(it->second, preference);
  if (!is_used) return std::nullopt;
  return EstimateFor(it->second, preference, now);
}

template <typename IsWanted>
const EngineDigest* EngineView::ChooseByEstimate(const Ring& ring, size_t first,
                                                 bool has_prefix,
                                                 const Preference& preference,
                                                 TimePoint now,
                                                 const IsWanted& is_wanted) {
  std::vector<std::pair<const EngineEntry*, double>> weighted;
  weighted.reserve(ring.size());
  double total = 0;
  for (size_t i = 0; i < ring.size(); ++i) {
    const EngineEntry& entry = engines_.at(ring[i].engine);
    if (!is_wanted(entry)) continue;
    double cost = CompletionCost(EstimateFor(entry, preference, now),
                                 *preference.targets);
    if (has_prefix && i == first) cost *= kPrefixBonus;
    const bool is_far = !preference.data_centre.empty() &&
                        entry.digest.data_centre != preference.data_centre;
    if (is_far) cost *= kDistanceFactor;
    const double weight = std::pow(cost, -kCostExponent);
    weighted.emplace_back(&entry, weight);
    total += weight;
  }
  if (weighted.empty()) return nullptr;
  double drawn = random_.Unit() * total;
  for (const auto& [entry, weight] : weighted) {
    drawn -= weight;
    if (drawn < 0) return &entry->digest;
  }
  return &weighted.back().first->digest;
}

const EngineDigest* EngineView::Choose(const std::string& target,
                                       uint64_t prefix_hash,
                                       const Preference& preference,
                                       TimePoint now) {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return nullptr;
  const Ring& ring = found->second;
  if (!policies_.Has(Policy::kPrefixAffinity)) prefix_hash = 0;
  const uint64_t first_hash = prefix_hash != 0 ? prefix_hash : random_.Next();
  const auto start = static_cast<size_t>(
      std::lower_bound(ring.begin(), ring.end(), RingPoint{first_hash, ""}) -
      ring.begin());
  const auto is_wanted = [&](const EngineEntry& entry) {
    return HasVersion(entry, preference, now) &&
           HasCapacity(entry, preference) && CanAccept(entry, now) &&
           entry.digest.engine != preference.avoid;
  };
  const auto distance = [&](const EngineEntry& entry) {
    const bool is_far = !preference.data_centre.empty() &&
                        entry.digest.data_centre != preference.data_centre;
    return is_far ? kDistanceSlack : 0.0;
  };
  const bool needs_estimate =
      preference.targets && policies_.Has(Policy::kEstimates) &&
      std::any_of(ring.begin(), ring.end(), [&](const RingPoint& point) {
        return NeedsEstimate(engines_.at(point.engine), preference);
      });
  if (needs_estimate) {
    const EngineDigest* chosen =
        ChooseByEstimate(ring, start % ring.size(), prefix_hash != 0,
                         preference, now, is_wanted);
    if (chosen != nullptr || preference.avoid.empty()) return chosen;
    // No other engine can accept it.
    Preference rest = preference;
    rest.avoid.clear();
    return Choose(target, prefix_hash, rest, now);
  }
  const EngineEntry* preferred = nullptr;
  size_t position = start;
  for (size_t i = 0; i < ring.size() && preferred == nullptr; ++i) {
    position = (start + i) % ring.size();
    const EngineEntry& entry = engines_.at(ring[position].engine);
    if (is_wanted(entry)) preferred = &entry;
  }
  // Without prefix affinity a near engine is preferred.
  const bool is_near_first =
      prefix_hash == 0 && policies_.Has(Policy::kNearFirst);
  for (size_t i = 0; i < ring.size() && is_near_first; ++i) {
    const size_t near = (start + i) % ring.size();
    const EngineEntry& entry = engines_.at(ring[near].engine);
    if (!is_wanted(entry) || distance(entry) > 0) continue;
    preferred = &entry;
    position = near;
    break;
  }
  if (preferred == nullptr && !preference.avoid.empty()) {
    // No other engine can accept it.
    Preference rest = preference;
    rest.avoid.clear();
    return Choose(target, prefix_hash, rest, now);
  }
  if (preferred == nullptr) return nullptr;
  if (ring.size() == 1 || !policies_.Has(Policy::kTwoChoices)) {
    return &preferred->digest;
  }
  // The second candidate is drawn from the rest of the ring.
  const size_t other =
      (position + 1 + random_.Below(ring.size() - 1)) % ring.size();
  const EngineEntry& rival = engines_.at(ring[other].engine);
  if (!is_wanted(rival)) return &preferred->digest;
  const double slack = prefix_hash != 0 ? kAffinitySlack : 0.0;
  const double rival_cost = Load(rival) + distance(rival) + slack;
  const double preferred_cost = Load(*preferred) + distance(*preferred);
  if (preference.max_load <= 0) {
    return rival_cost < preferred_cost ? &rival.digest : &preferred->digest;
  }
  // Many hosts see the same loads, half a second old. If all chose the less
  // busy engine, it would be the busier one by the next report. So the choice
  // is random, weighted by load: close to even when the loads are similar.
  const double rival_weight = preferred_cost * preferred_cost;
  const double total = rival_weight + rival_cost * rival_cost;
  return random_.Unit() * total < rival_weight ? &rival.digest
                                               : &preferred->digest;
}

bool EngineView::IsSaturated(const std::string& target,
                             const Preference& preference,
                             TimePoint now) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return false;
  bool has_healthy = false;
  for (const RingPoint& point : found->second) {
    const EngineEntry& entry = engines_.at(point.engine);
    if (entry.is_leaving || entry.digest.is_leaving ||
        !entry.breaker.Allows(now) || !HasVersion(entry, preference, now)) {
      continue;
    }
    has_healthy = true;
    const bool is_at_limit =
        preference.counts_limit && !entry.limit.Allows(entry.in_flight);
    if (entry.held_until <= now && !is_at_limit &&
        HasCapacity(entry, preference)) {
      return false;
    }
  }
  return has_healthy;
}

void EngineView::Hold(const std::string& engine, TimePoint until) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.held_until = until;
}

void EngineView::SetBrittle(const std::string& engine, int hosts) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.brittle_hosts = hosts;
}

void EngineView::ForgetFailures(const std::string& engine) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.breaker.Reset();
}

std::optional<TimePoint> EngineView::HeldUntil(const std::string& target,
                                               const Preference& preference,
                                               TimePoint now) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return std::nullopt;
  std::optional<TimePoint> first;
  for (const RingPoint& point : found->second) {
    const EngineEntry& entry = engines_.at(point.engine);
    if (entry.is_leaving || entry.digest.is_leaving ||
        !entry.breaker.Allows(now) || !HasVersion(entry, preference, now)) {
      continue;
    }
    if (entry.held_until <= now) return std::nullopt;
    first = first ? std::min(*first, entry.held_until) : entry.held_until;
  }
  return first;
}

void EngineView::SetLoad(const std::string& engine, int running,
                         double arrivals) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  it->second.digest.running = running;
  it->second.arrivals = arrivals;
  it->second.begun_since_report = 0;
}

void EngineView::SetPerformance(const std::string& engine,
                                const EnginePerformance& performance) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.performance = performance;
}

void EngineView::ReportLoad(const std::string& engine, const ReportedLoad& load,
                            TimePoint now) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  it->second.load = load;
  it->second.load_at = now;
  it->second.begun_since_load = 0;
}

void EngineView::RecordPrompt(const std::string& engine, double tokens,
                              TimePoint now) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  it->second.unread_tokens =
      ConditionOf(it->second, now).unread_tokens + tokens;
  it->second.unread_at = now;
}

bool EngineView::NeedsPerformance(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it != engines_.end() && policies_.Has(Policy::kEstimates) &&
         (it->second.load.slowdown || it->second.digest.slots >= kManySlots);
}

bool EngineView::TargetNeedsPerformance(const std::string& target) const {
  const auto it = by_target_.find(target);
  return it != by_target_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const RingPoint& point) {
                       return NeedsPerformance(point.engine);
                     });
}

int EngineView::ReadySlots(const std::string& target) const {
  const auto it = by_target_.find(target);
  if (it == by_target_.end()) return 0;
  int slots = 0;
  for (const RingPoint& point : it->second) {
    const EngineEntry& entry = engines_.at(point.engine);
    const bool is_leaving = entry.is_leaving || entry.digest.is_leaving;
    if (!is_leaving) slots += entry.digest.slots;
  }
  return slots;
}

double EngineView::Speed(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? 1.0 : it->second.performance.speed;
}

void EngineView::BeginRequest(const std::string& engine,
                              const std::string& target) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  ++it->second.in_flight;
  ++it->second.in_flight_by_target[target];
  ++it->second.begun_since_report;
  ++it->second.begun_since_load;
  it->second.breaker.Begin();
}

void EngineView::EndRequest(const std::string& engine,
                            const std::string& target, RequestEnd end,
                            TimePoint sent_at, TimePoint now) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  EngineEntry& entry = it->second;
  entry.in_flight = std::max(0, entry.in_flight - 1);
  const auto running = entry.in_flight_by_target.find(target);
  if (running != entry.in_flight_by_target.end() && --running->second <= 0) {
    entry.in_flight_by_target.erase(running);
  }
  entry.begun_since_report = std::max(0, entry.begun_since_report - 1);
  entry.begun_since_load = std::max(0, entry.begun_since_load - 1);
  switch (end) {
    case RequestEnd::kOk:
      entry.breaker.Succeed();
      entry.limit.RecordAccepted();
      return;
    case RequestEnd::kFull:
      entry.breaker.EndWithoutVerdict(sent_at);
      entry.limit.RecordFull();
      return;
    case RequestEnd::kFailed:
      entry.breaker.Fail(sent_at, now);
      return;
    case RequestEnd::kModelAbsent:
      // The model was unloaded since the last digest; the next one will confirm
      // it.
      entry.breaker.EndWithoutVerdict(sent_at);
      RemoveReady(target, engine);
      std::erase(entry.digest.ready, target);
      return;
    case RequestEnd::kOther:
      entry.breaker.EndWithoutVerdict(sent_at);
      return;
  }
}

int EngineView::ReadyReplicas(const std::string& target) const {
  return CountReady(target, std::nullopt);
}

int EngineView::ReadyReplicas(const std::string& target,
                              const std::string& version) const {
  return CountReady(target, version);
}

int EngineView::CountReady(const std::string& target,
                           const std::optional<std::string>& version) const {
  const auto it = by_target_.find(target);
  if (it == by_target_.end()) return 0;
  return static_cast<int>(std::count_if(
      it->second.begin(), it->second.end(), [&](const RingPoint& point) {
        const EngineEntry& entry = engines_.at(point.engine);
        return !entry.is_leaving && !entry.digest.is_leaving &&
               (!version || entry.digest.version == *version);
      }));
}

const EngineDigest* EngineView::Find(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? nullptr : &it->second.digest;
}

const EngineDigest* EngineView::FindStaying(const std::string& engine) const {
  const auto it = engines_.find(engine);
  const bool is_staying = it != engines_.end() && !it->second.is_leaving &&
                          !it->second.digest.is_leaving;
  return is_staying ? &it->second.digest : nullptr;
}

int EngineView::InFlight(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? 0 : it->second.in_flight;
}

std::vector<EngineView::Running> EngineView::RunningRequests() const {
  std::vector<Running> running;
  for (const auto& [name, entry] : engines_) {
    for (const auto& [target, count] : entry.in_flight_by_target) {
      running.push_back({name, target, count});
    }
  }
  return running;
}

std::vector<const EngineDigest*> EngineView::All() const {
  std::vector<const EngineDigest*> all;
  all.reserve(engines_.size());
  for (const auto& [name, entry] : engines_) all.push_back(&entry.digest);
  return all;
}

std::vector<std::string> EngineView::ReadyTargets() const {
  std::vector<std::string> targets;
  targets.reserve(by_target_.size());
  for (const auto& [target, ring] : by_target_) targets.push_back(target);
  std::sort(targets.begin(), targets.end());
  return targets;
}

Json EngineView::ToJson(TimePoint now) const {
  Json json = Json::object();
  for (const auto& [name, entry] : engines_) {
    json[name] = Json{
        {"address", entry.digest.address},
        {"token", entry.digest.token},
        {"sequence", entry.digest.sequence},
        {"heard_ms_ago", ToMillis(now - entry.reported_at)},
        {"slots", entry.digest.slots},
        {"running", entry.digest.running},
        {"in_flight_here", entry.in_flight},
        {"brittle_hosts", entry.brittle_hosts},
        {"speed", entry.performance.speed},
        {"prompt_tokens_per_s", entry.performance.prompt_tokens_per_second},
        {"limit_here", entry.limit.limit()},
        {"breaker_open", entry.breaker.is_open()},
        {"leaving", entry.is_leaving || entry.digest.is_leaving},
        {"ready", entry.digest.ready}};
  }
  return json;
}

}  // namespace applehall

#include "node/group_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "core/event_log.h"
#include "core/hash.h"

namespace applehall {
namespace {

constexpr Duration kDecideInterval = std::chrono::milliseconds(50);
// Delay of a claim per rank, so that the host of the first rank claims first.
constexpr Duration kClaimStagger = std::chrono::seconds(1);
constexpr Duration kBorrowInterval = std::chrono::seconds(1);
// An unchanged digest is sent again this often, for hosts that lost it.
constexpr Duration kDigestRefresh = std::chrono::seconds(20);
// Small changes of load are delayed by this; a change by one part in
// kLargeLoadShare of the slots is large.
constexpr Duration kLoadInterval = std::chrono::seconds(2);
constexpr int kLargeLoadShare = 8;

}  // namespace

GroupManager::GroupManager(NodeContext& context, LogWriter& writer)
    : context_(context), writer_(writer) {}

std::string GroupManager::GroupName(int index) const {
  return absl::StrCat(context_.settings.data_centre, "/", index);
}

int GroupManager::IndexOf(const std::string& group) const {
  for (int i = 0; i < context_.settings.group_count; ++i) {
    if (GroupName(i) == group) return i;
  }
  return -1;
}

std::vector<std::string> GroupManager::RankGroups(
    const std::string& target) const {
  const auto entry = context_.catalogue.find(target);
  const bool is_adapter =
      entry != context_.catalogue.end() && !entry->second.base.empty();
  const std::string& name = is_adapter ? entry->second.base : target;
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (int i = 0; i < context_.settings.group_count; ++i) {
    ranked.emplace_back(StableHash(name, i + 1), GroupName(i));
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> groups;
  for (auto& [hash, group] : ranked) groups.push_back(std::move(group));
  return groups;
}

std::string GroupManager::OwnerOf(const std::string& group) const {
  const GroupOwnership* ownership = context_.control.ownership().Find(group);
  return ownership == nullptr ? "" : ownership->owner.host;
}

// Splits a bound on the replicas in the data centre between its groups, in
// their order of preference for the model, so that owners need not coordinate.
int GroupManager::ReplicaQuota(const std::string& group,
                               const std::string& target,
                               int max_replicas) const {
  const std::vector<std::string> groups = RankGroups(target);
  const int count = static_cast<int>(groups.size());
  const int rank = static_cast<int>(
      std::find(groups.begin(), groups.end(), group) - groups.begin());
  return max_replicas / count + (rank < max_replicas % count ? 1 : 0);
}

PlacementPolicy GroupManager::Policy() const {
  PlacementPolicy policy;
  policy.bounds = &context_.bounds;
  policy.catalogue = &context_.catalogue;
  const auto rules = context_.control.rules().current();
  if (rules) policy.weights.cold_start_weight = rules->set.cold_start_weight;
  return policy;
}

void GroupManager::HandleHeartbeat(const std::string& group, FencingToken token,
                                   uint64_t heartbeat) {
  ReceivedHeartbeat& last = heartbeats_[group];
  if (token < last.token) return;
  if (token == last.token && heartbeat <= last.count) return;
  last = {token, heartbeat, context_.now};
}

std::vector<GroupManager::Heartbeat> GroupManager::Heartbeats() const {
  std::vector<Heartbeat> heartbeats;
  for (const auto& [group, owner] : owners_) {
    heartbeats.push_back({group, owner->token(), heartbeat_count_});
  }
  for (const auto& [group, received] : heartbeats_) {
    if (!owners_.contains(group)) {
      heartbeats.push_back({group, received.token, received.count});
    }
  }
  return heartbeats;
}

bool GroupManager::IsOwnerGone(const std::string& group,
                               const GroupOwnership& ownership) {
  if (ownership.owner.host == context_.settings.self.host) {
    // An earlier incarnation of this host cannot return.
    return ownership.owner.number != context_.settings.self.number;
  }
  const HostEntry* entry = context_.hosts.Find(ownership.owner.host);
  if (entry != nullptr && entry->incarnation > ownership.owner.number) {
    return true;
  }
  const auto received = heartbeats_.find(group);
  const bool has_heartbeat = received != heartbeats_.end() &&
                             received->second.token == ownership.token;
  TimePoint last = has_heartbeat ? received->second.advanced_at : TimePoint{};
  // The lease runs at the earliest from when this host first saw the owner.
  const auto [since, is_new] = unowned_since_.try_emplace(
      absl::StrCat(group, "@", ownership.token), context_.now);
  last = std::max(last, since->second);
  return context_.now - last > context_.settings.owner_lease;
}

bool GroupManager::IsMyTurn(const std::string& group,
                            const GroupOwnership* ownership,
                            TimePoint since) const {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const HostEntry* host :
       context_.hosts.EntryHosts(context_.settings.data_centre, false)) {
    if (ownership != nullptr && ownership->owner.host == host->name &&
        ownership->owner.number == host->incarnation) {
      continue;
    }
    ranked.emplace_back(StableHash(absl::StrCat(group, "|", host->name)),
                        host->name);
  }
  std::sort(ranked.begin(), ranked.end());
  for (size_t rank = 0; rank < ranked.size(); ++rank) {
    if (ranked[rank].second != context_.settings.self.host) continue;
    return context_.now - since >= kClaimStagger * static_cast<int>(rank);
  }
  return false;
}

void GroupManager::TryClaim(const std::string& group) {
  const GroupOwnership* ownership = context_.control.ownership().Find(group);
  const FencingToken previous = ownership == nullptr ? 0 : ownership->token;
  if (ownership != nullptr && ownership->is_owned() &&
      !IsOwnerGone(group, *ownership)) {
    unowned_since_.erase(group);
    return;
  }
  const auto [since, is_new] = unowned_since_.try_emplace(group, context_.now);
  if (!IsMyTurn(group, ownership, since->second)) return;
  if (context_.IsLogDown()) return;
  LogEvent(LogLevel::kInfo, "group_claim")
      .With("group", group)
      .With("previous_token", previous);
  writer_.Append("claim " + group,
                 ClaimGroupRecord("", group, context_.settings.self, previous));
}

bool GroupManager::HasUnreleasedPredecessor(
    const GroupOwnership& ownership) const {
  const Duration horizon = context_.settings.owner.order_horizon;
  return std::any_of(
      ownership.predecessors.begin(), ownership.predecessors.end(),
      [&](const Predecessor& predecessor) {
        if (predecessor.owner == context_.settings.self) return false;
        // The host list must be newer than the takeover by its own lag, and the
        // last order of the departed host must have had time to arrive.
        const TimePoint since = predecessor.superseded_at +
                                context_.settings.host_list_lag + horizon;
        return !context_.hosts.HasDeparted(predecessor.owner, since);
      });
}

void GroupManager::Reconcile() {
  for (int i = 0; i < context_.settings.group_count; ++i) {
    const std::string group = GroupName(i);
    const GroupOwnership* ownership = context_.control.ownership().Find(group);
    const bool is_mine =
        ownership != nullptr && ownership->owner == context_.settings.self;
    const auto held = owners_.find(group);
    if (held != owners_.end() &&
        (!is_mine || held->second->token() != ownership->token)) {
      // Another host took over: this host was presumed dead, or was paused
      // until its lease expired. It sends no more orders; the release follows
      // when none is pending.
      held->second->Stop();
      for (int i = held->second->ReleaseStoreLoads(); i > 0; --i) {
        store_.End();
      }
      retiring_.push_back(std::move(held->second));
      owners_.erase(held);
      LogEvent(LogLevel::kWarning, "group_lost").With("group", group);
    }
    if (is_mine && !owners_.contains(group) && !context_.is_draining) {
      owners_[group] = std::make_unique<EngineOwner>(
          group, context_.settings.self, ownership->token,
          context_.settings.owner);
      context_.metrics.Count("groups_taken_total");
      LogEvent(LogLevel::kInfo, "group_owned")
          .With("group", group)
          .With("token", ownership->token);
    }
  }
  UpdateStoreShare();
}

void GroupManager::UpdateStoreShare() {
  // Each group of each data centre has an equal share, which every host derives
  // from the host list; the remainder goes to the first groups by name.
  int centres = 0;
  int rank = 0;
  for (const std::string& name : context_.hosts.DataCentres()) {
    if (context_.hosts.EntryHosts(name, true).empty()) continue;
    if (name < context_.settings.data_centre) ++rank;
    ++centres;
  }
  const int groups = context_.settings.group_count;
  const int parts = std::max(1, centres) * groups;
  const int slots = static_cast<int>(context_.settings.store_slots);
  int held_slots = 0;
  for (const auto& [group, owner] : owners_) {
    const int position = rank * groups + IndexOf(group);
    held_slots += slots / parts + (position < slots % parts ? 1 : 0);
  }
  store_.SetShare(context_.settings.store_loads_per_second *
                      static_cast<double>(owners_.size()) / parts,
                  held_slots);
}

void GroupManager::RunTick() {
  if (context_.now - decided_at_ < kDecideInterval) return;
  decided_at_ = context_.now;
  ++heartbeat_count_;
  if (!context_.hosts.is_known() || !context_.control.has_base()) return;
  if (!context_.is_draining) {
    for (int i = 0; i < context_.settings.group_count; ++i) {
      const std::string group = GroupName(i);
      if (!owners_.contains(group)) TryClaim(group);
    }
  }
  for (auto& [group, owner] : owners_) RunOwner(group, *owner);
  ReleaseFinished();
  BorrowFromStore();
}

void GroupManager::RunOwner(const std::string& group, EngineOwner& owner) {
  const GroupOwnership* ownership = context_.control.ownership().Find(group);
  owner.SetEngines(
      context_.hosts.Engines(IndexOf(group), context_.settings.group_count));
  owner.SetUnfencedBlocked(
      ownership == nullptr || HasUnreleasedPredecessor(*ownership),
      context_.now);
  if (context_.is_draining) owner.Stop();
  std::vector<OrderToSend> orders;
  owner.Decide(
      Policy(), store_,
      [&](const std::string& target, int max_replicas) {
        return ReplicaQuota(group, target, max_replicas);
      },
      context_.now, orders);
  for (OrderToSend& order : orders) {
    context_.Emit(SendOrder{std::move(order.engine), std::move(order.address),
                            std::move(order.order)});
  }
  LogNotes(owner);
  PublishDigests(owner);
}

void GroupManager::LogNotes(EngineOwner& owner) {
  for (const PlacementEvent& note : owner.TakeEvents()) {
    context_.metrics.Count(
        absl::StrCat("placement_total{event=\"", note.event, "\"}"));
    if (note.event == "load_ready" && note.took > Duration::zero()) {
      context_.metrics.Observe("load", note.took);
    }
    LogEvent(LogLevel::kInfo, note.event)
        .With("group", owner.group())
        .With("engine", note.engine)
        .With("target", note.target)
        .With("reason", note.reason)
        .With("took_ms", ToMillis(note.took));
    Decision decision;
    decision.target = note.target;
    decision.action = note.event;
    decision.backend = note.engine;
    decision.reason = note.reason;
    decision.arrived_at = context_.now;
    decision.took = note.took;
    const auto rules = context_.control.rules().current();
    if (rules) decision.rule = absl::StrCat(rules->version, "/");
    context_.decisions.Add(std::move(decision));
  }
}

void GroupManager::PublishDigests(EngineOwner& owner) {
  for (const auto& [name, engine] : owner.engines()) {
    if (!engine.ledger.is_known()) continue;
    const Inventory& inventory = engine.ledger.inventory();
    EngineDigest digest;
    digest.engine = name;
    digest.address = engine.facts.address;
    digest.incarnation = inventory.incarnation;
    digest.token = owner.token();
    digest.slots = inventory.slots;
    digest.running = inventory.running;
    digest.queued = inventory.queued;
    digest.is_leaving = engine.facts.is_leaving;
    for (const auto& [target, holding] : engine.ledger.holdings()) {
      if (holding.state == HoldingState::kReady) digest.ready.push_back(target);
    }
    PublishDigest(std::move(digest));
  }
}

// Publishes a change of ready targets at once, a change of load if it is large
// or the last one is old, and the whole digest periodically for hosts that
// missed a change.
void GroupManager::PublishDigest(EngineDigest digest) {
  const EngineDigest* known = context_.view.Find(digest.engine);
  SentDigest& sent = digests_sent_[digest.engine];
  const bool is_load_only = known != nullptr &&
                            digest.DiffersOnlyInLoad(*known) &&
                            context_.now - sent.refreshed_at < kDigestRefresh;
  if (is_load_only) {
    const int change = std::abs(digest.running - known->running) +
                       std::abs(digest.queued - known->queued);
    if (change == 0) return;
    if (change < std::max(1, digest.slots / kLargeLoadShare) &&
        context_.now - sent.sent_at < kLoadInterval) {
      return;
    }
    digest.base_sequence = known->base_sequence;
  }
  sent.sent_at = context_.now;
  digest.sequence = ++digest_count_;
  if (!is_load_only) {
    digest.base_sequence = digest.sequence;
    sent.refreshed_at = context_.now;
  }
  context_.view.Merge(digest, context_.now);
}

void GroupManager::HandleInventory(const Inventory& inventory,
                                   TimePoint requested_at) {
  for (auto& [group, owner] : owners_) {
    owner->HandleInventory(inventory, requested_at, context_.now);
    PublishDigests(*owner);
  }
  for (auto& owner : retiring_) {
    owner->HandleInventory(inventory, requested_at, context_.now);
  }
}

std::optional<DemandAnswer> GroupManager::HandleDemand(const std::string& group,
                                                       const Demand& demand) {
  const auto it = owners_.find(group);
  if (it == owners_.end()) return std::nullopt;
  it->second->HandleDemand(demand, context_.now);
  return it->second->Answer(
      demand.target, Policy(), store_,
      [&](const std::string& target, int max_replicas) {
        return ReplicaQuota(group, target, max_replicas);
      },
      context_.now);
}

void GroupManager::ReleaseFinished() {
  const auto release = [this](const EngineOwner& owner) {
    LogEvent(LogLevel::kInfo, "group_release")
        .With("group", owner.group())
        .With("token", owner.token());
    writer_.Append(absl::StrCat("release ", owner.group(), " ", owner.token()),
                   ReleaseGroupRecord("", owner.group(), owner.token()));
  };
  std::erase_if(retiring_, [&](const std::unique_ptr<EngineOwner>& owner) {
    const GroupOwnership* ownership =
        context_.control.ownership().Find(owner->group());
    const bool is_recorded =
        ownership == nullptr ||
        (ownership->token != owner->token() &&
         std::none_of(ownership->predecessors.begin(),
                      ownership->predecessors.end(),
                      [&](const Predecessor& predecessor) {
                        return predecessor.token == owner->token();
                      }));
    if (is_recorded) return true;
    std::vector<OrderToSend> inspections;
    owner->Decide(
        Policy(), store_, [](const std::string&, int) { return 0; },
        context_.now, inspections);
    for (OrderToSend& order : inspections) {
      context_.Emit(SendOrder{std::move(order.engine), std::move(order.address),
                              std::move(order.order)});
    }
    if (owner->IsIdle(context_.now) && !context_.IsLogDown()) release(*owner);
    return false;
  });
  if (!context_.is_draining) return;
  for (auto& [group, owner] : owners_) {
    if (owner->IsIdle(context_.now) && !context_.IsLogDown()) release(*owner);
  }
}

void GroupManager::BorrowFromStore() {
  if (context_.now - borrow_requested_at_ < kBorrowInterval) return;
  const bool needs_store = std::any_of(
      owners_.begin(), owners_.end(),
      [](const auto& entry) { return entry.second->needs_store(); });
  if (!needs_store) return;
  borrow_requested_at_ = context_.now;
  // Requests go to one random owner at a time, so that their number does not
  // grow with the number of owners.
  std::vector<std::string> others;
  for (const auto& [group, ownership] : context_.control.ownership().groups()) {
    const std::string& host = ownership.owner.host;
    if (!host.empty() && host != context_.settings.self.host) {
      others.push_back(host);
    }
  }
  if (others.empty()) return;
  context_.metrics.Count("store_borrow_requests_total");
  context_.Send(others[context_.random.Below(others.size())],
                PeerMessageType::kStoreBorrow, Json::object());
}

void GroupManager::HandleStoreBorrow(const std::string& host, const Json&) {
  const Incarnation& self = context_.settings.self;
  const std::optional<StoreGrant> grant = store_.Lend(
      absl::StrCat(self.host, ".", self.number, ".", ++grant_count_),
      context_.now);
  if (!grant) return;
  context_.metrics.Count("store_grants_total");
  context_.Send(host, PeerMessageType::kStoreGrant,
                Json{{"id", grant->id},
                     {"loads", grant->loads},
                     {"slots", grant->slots},
                     {"life_ms", ToMillis(grant->expires - context_.now)}});
}

void GroupManager::HandleStoreGrant(const Json& body) {
  StoreGrant grant;
  grant.id = FieldOr<std::string>(body, "id", "");
  grant.loads = FieldOr<double>(body, "loads", 0.0);
  grant.slots = FieldOr<int>(body, "slots", 0);
  grant.expires = context_.now + std::chrono::milliseconds(
                                     FieldOr<int64_t>(body, "life_ms", 0));
  store_.Accept(grant, context_.now);
}

Json GroupManager::ToJson() const {
  Json json{{"owned", Json::object()}, {"retiring", Json::array()}};
  for (const auto& [group, owner] : owners_) {
    json["owned"][group] = owner->ToJson(context_.now);
  }
  for (const auto& owner : retiring_) {
    json["retiring"].push_back(owner->ToJson(context_.now));
  }
  json["store"] = Json{{"loads_saved", store_.available_loads(context_.now)},
                       {"slots", store_.slots(context_.now)},
                       {"slots_in_use", store_.slots_in_use()}};
  for (const auto& [group, received] : heartbeats_) {
    json["beats"][group] =
        Json{{"token", received.token},
             {"ms_ago", ToMillis(context_.now - received.advanced_at)}};
  }
  return json;
}

}  // namespace applehall

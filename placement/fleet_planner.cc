#include "placement/fleet_planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "core/hash.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Kept free on each engine, for adapters whose load is not known to have
// failed or succeeded; the largest seen have 66 MB.
constexpr uint64_t kMemoryMargin = 300'000'000;
// By how much a report may lag behind the engine.
constexpr Duration kReportLag = milliseconds(400);
// Between reports while the end of an order is awaited. A model whose load is
// noticed late keeps its requests waiting that long; reports lag by 100 ms.
constexpr Duration kEndPoll = milliseconds(60);
// A report lags by 100 ms, and an order is taken some ms after it was sent: a
// report asked for sooner still shows the load under way, and is asked for in
// vain.
constexpr Duration kFirstEndPoll = milliseconds(130);
// A report that has not come by then was lost.
constexpr Duration kReportTimeout = milliseconds(1500);
// While a model is being loaded, to notice in time that its engine has crashed.
constexpr Duration kLoadPoll = milliseconds(500);
// With more loads under way the owner asks each engine less often. At 256
// engines it carried out 700 questions a second, more than anything else it did
// at the height of a day.
constexpr int kLoadsAtFullPoll = 32;
// The end of a late order is seen a sixth of its lateness later at most.
constexpr int kLatePollShare = 6;
// Reports take some ms. An engine that has not answered for this long has
// crashed, or cannot be reached from here: no longer than a lost packet and its
// first repetition take, and a sixth of the time in which its listing lapses.
constexpr Duration kSilence = milliseconds(600);
// Loads sent ahead of the news that their room is free, at most.
constexpr int kMostRefusedLoads = 3;
// Without any order under way, reports only find what was missed.
constexpr Duration kIdleReport = seconds(10);
constexpr Duration kSendWithin = milliseconds(500);
// Beyond the time to send and the driver's own timeout of a second.
constexpr Duration kCallLife = seconds(3);
// An unload of a model that nobody uses, as measured on loopback engines.
constexpr Duration kUnloadTime = milliseconds(60);
// What unloading a model with requests under way costs on top: their rest.
constexpr double kBusyVictimSeconds = 3.0;
// An adapter's load is not announced; 6 to 29 ms are usual, and a request
// that comes too early is turned away unharmed.
constexpr Duration kAdapterLoad = milliseconds(40);
constexpr int kAdaptersAtOnce = 4;
// A replica younger than this is not evicted: whoever asked for it has not
// had time to use it.
constexpr Duration kLeastResidency = seconds(2);
// A target that waits is looked at again after this long, or when it is new:
// with hundreds waiting each look costs some microseconds an engine.
constexpr Duration kLookInterval = milliseconds(40);
constexpr size_t kMostLooks = 4096;
// Free memory is looked for this often: a load takes ten times as long. At
// most so many loads begin each time, as each is a call of the owner's.
constexpr Duration kFillInterval = milliseconds(100);
constexpr int kMostFillsAtOnce = 16;
// Rates follow a window of 4 s, so that sums of this age are as good as new;
// decisions come each 25 ms and with each new demand.
constexpr Duration kSumInterval = milliseconds(100);
constexpr Duration kSeedInterval = milliseconds(250);
// Orders victims of equal worth by age; too little to outweigh a request.
constexpr double kAgeShare = 0.0001;
constexpr double kOthersShare = 0.01;
constexpr int kMostOthers = 5;
// An engine is kept for the model its victim was unloaded for this long.
constexpr Duration kReservation = seconds(3);
// Loads at once that the weight store is taken to bring at full speed until
// load times show otherwise: doubled as long as loads are as fast as told, up
// to the most. Four from the start took 53 s each where the store brings one in
// 13 s, and each kept an engine from all other loads meanwhile.
constexpr double kFirstStoreWidth = 2.0;
constexpr double kMostStoreWidth = 4.0;
// A load this much slower than told was slowed by the others beside it.
constexpr double kSlowedLoad = 1.3;
constexpr Duration kStoreWindow = seconds(5);
// A model asked for this often has a second replica, so that the loss of an
// engine does not stop it.
constexpr double kBusyRate = 0.7;
constexpr int kBusyReplicas = 2;
// Requests under way for each slot of its engines beyond which a model gets
// one more replica.
constexpr double kBusyShare = 0.5;
// How a loss of worth elsewhere weighs against a second of waiting: at this
// weight a model that earns as much as waits is as good as 3 s away.
constexpr double kLossWeight = 3.0;
// The share of a model's worth that counts as lost with one replica while
// others take its requests: of a busy model's last two, and of any further one.
// With a lower first share the last but one replica of busy models came and
// went every few seconds, and a third of their requests met a model that was
// not ready.
constexpr double kReplicaLoss = 0.5;
constexpr double kSpareLoss = 0.05;
// Requests a second that one replica takes. An engine reads some 20 prompt
// tokens in a ms and a request brings about 1,500: at 5 a second a third of its
// time goes into prompts, and streams beside them begin to pause beyond 0.3 s.
constexpr double kRatePerReplica = 5.0;
// Of an engine that takes next to nothing, in replicas.
constexpr double kLeastCapacity = 0.01;
// How long a further replica is taken to be of use.
constexpr double kReplicaHorizonSeconds = 3.0;
// A busy model's second replica earns this share of its worth a second.
constexpr double kReplicaWorth = 0.15;
// Worth of a copy nobody has asked for yet: about one request's.
constexpr double kSeedWorth = 3.0;
// Sizes and load times by tier until the platform tells them.
constexpr std::array<Duration, kCheckpointTiers> kAssumedLoadTimes = {
    milliseconds(1300), milliseconds(2000), seconds(8)};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

FleetPlanner::FleetPlanner(Incarnation self, FencingToken token,
                           PolicySet policies)
    : self_(std::move(self)),
      token_(token),
      policies_(policies),
      store_width_(policies.Has(Policy::kStoreWidth) ? kFirstStoreWidth
                                                     : kMostStoreWidth) {}

void FleetPlanner::SetCatalogue(
    const std::map<std::string, CatalogueEntry>* catalogue,
    const std::map<std::string, EngineClass>* classes) {
  catalogue_ = catalogue;
  classes_ = classes;
}

// ---- What is known ----

const CatalogueEntry* FleetPlanner::EntryOf(const std::string& name) const {
  if (catalogue_ == nullptr) return nullptr;
  const auto it = catalogue_->find(name);
  return it == catalogue_->end() ? nullptr : &it->second;
}

const EngineClass* FleetPlanner::ClassOf(const Engine& engine) const {
  if (classes_ == nullptr) return nullptr;
  const auto it = classes_->find(engine.listed.service);
  return it == classes_->end() ? nullptr : &it->second;
}

uint64_t FleetPlanner::UsedBytes(const Engine& engine) const {
  uint64_t bytes = kMemoryMargin;
  for (const auto& [name, holding] : engine.holdings) bytes += holding.bytes;
  return bytes;
}

CheckpointTier FleetPlanner::TierOn(const Engine& engine,
                                    const std::string& model) const {
  if (Contains(engine.listed.in_host_memory, model)) {
    return CheckpointTier::kMemory;
  }
  if (Contains(engine.listed.on_disk, model)) return CheckpointTier::kDisk;
  return CheckpointTier::kRemote;
}

Duration FleetPlanner::LoadTime(const CatalogueEntry& entry,
                                CheckpointTier tier) const {
  const auto index = static_cast<size_t>(tier);
  const Duration told = entry.load_times[index];
  return told > Duration::zero() ? told : kAssumedLoadTimes[index];
}

void FleetPlanner::IndexHoldings() {
  for (const std::string& id : std::exchange(stale_, {})) {
    const auto it = engines_.find(id);
    if (it == engines_.end() || !it->second.is_index_stale) continue;
    Unindex(id, it->second);
    Index(id, it->second);
  }
}

void FleetPlanner::Index(const std::string& id, Engine& engine) {
  engine.is_index_stale = false;
  if (engine.listed.is_leaving || engine.is_rejecting) return;
  // Kept in the order of the ids, so that every run decides alike.
  const auto add = [&id](std::vector<std::string>& ids) {
    const auto place = std::lower_bound(ids.begin(), ids.end(), id);
    if (place != ids.end() && *place == id) return false;
    ids.insert(place, id);
    return true;
  };
  for (const auto& [name, holding] : engine.holdings) {
    if (engine.is_silent) break;
    Whereabouts& where = index_[name];
    if (holding.state == State::kReady) ++where.ready;
    if (holding.state == State::kLoading) ++where.loading;
    add(where.holders);
    engine.indexed.push_back({name, /*is_copy=*/false, holding.state});
  }
  const auto add_copies = [&](const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      if (!add(index_[name].copies)) continue;
      engine.indexed.push_back({name, /*is_copy=*/true});
    }
  };
  add_copies(engine.listed.in_host_memory);
  add_copies(engine.listed.on_disk);
}

void FleetPlanner::Unindex(const std::string& id, Engine& engine) {
  for (const IndexedName& indexed : engine.indexed) {
    const auto it = index_.find(indexed.name);
    if (it == index_.end()) continue;
    Whereabouts& where = it->second;
    if (indexed.is_copy) {
      std::erase(where.copies, id);
    } else {
      if (indexed.state == State::kReady) --where.ready;
      if (indexed.state == State::kLoading) --where.loading;
      std::erase(where.holders, id);
    }
    if (where.holders.empty() && where.copies.empty()) index_.erase(it);
  }
  engine.indexed.clear();
}

void FleetPlanner::MarkStale(Engine& engine) {
  store_loads_.reset();
  engine.is_index_stale = true;
  stale_.push_back(engine.listed.id);  // Twice does no harm.
}

const FleetPlanner::Whereabouts& FleetPlanner::WhereIs(
    const std::string& name) const {
  static const Whereabouts kNowhere;
  const auto it = index_.find(name);
  return it == index_.end() ? kNowhere : it->second;
}

int FleetPlanner::StoreLoads() const {
  if (store_loads_) return *store_loads_;
  const auto loads =
      std::count_if(engines_.begin(), engines_.end(), [](const auto& item) {
        const std::optional<OpenOrder>& order = item.second.model_order;
        return order && !item.second.is_silent &&
               order->kind == OrderKind::kLoad &&
               order->tier == CheckpointTier::kRemote;
      });
  store_loads_ = static_cast<int>(loads);
  return *store_loads_;
}

bool FleetPlanner::HasStoreRoom(const std::string& service,
                                TimePoint now) const {
  if (StoreLoads() >= static_cast<int>(store_width_)) return false;
  const auto engine_class = classes_->find(service);
  if (engine_class == classes_->end()) return false;
  const auto recent = std::count_if(
      store_loads_begun_.begin(), store_loads_begun_.end(),
      [now](TimePoint begun) { return now - begun < kStoreWindow; });
  return static_cast<double>(recent) <
         engine_class->second.store_loads_per_second * ToSeconds(kStoreWindow);
}

bool FleetPlanner::MayOrder(const Engine& engine) const {
  return engine.is_known && !engine.is_silent && !engine.is_rejecting &&
         !engine.listed.is_leaving && !engine.call;
}

bool FleetPlanner::IsIdle() const {
  return std::none_of(engines_.begin(), engines_.end(), [](const auto& item) {
    return item.second.call.has_value();
  });
}

std::vector<std::string> FleetPlanner::ReadyTargetsOf(
    const std::string& engine) const {
  std::vector<std::string> ready;
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return ready;
  for (const auto& [name, holding] : it->second.holdings) {
    if (holding.state != State::kReady) continue;
    const auto base = it->second.holdings.find(holding.base);
    const bool is_usable =
        holding.base.empty() || (base != it->second.holdings.end() &&
                                 base->second.state == State::kReady);
    if (is_usable) ready.push_back(name);
  }
  return ready;
}

double FleetPlanner::ArrivalRate(const std::string& engine,
                                 TimePoint now) const {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return 0;
  double arrivals = 0;
  for (const auto& [name, holding] : it->second.holdings) {
    if (holding.state != State::kReady) continue;
    const double share = ShareOf(engine);
    const double all =
        std::max({CapacityFor(name, WhereIs(name)), share, kLeastCapacity});
    arrivals += usage_.Rate(name, now) * share / all;
  }
  return arrivals;
}

uint64_t FleetPlanner::StateVersion(const std::string& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() || !it->second.is_known ? 0 : it->second.version;
}

void FleetPlanner::Note(std::string event, const std::string& engine,
                        const std::string& target, std::string reason,
                        Duration took) {
  notes_.push_back({std::move(event), engine, target, std::move(reason), took});
}

// ---- Listings and reports ----

void FleetPlanner::Changed(Engine& engine) {
  ++engine.version;
  MarkStale(engine);
}

void FleetPlanner::SetServers(const EngineList& servers, TimePoint now) {
  store_loads_.reset();
  for (auto it = engines_.begin(); it != engines_.end();) {
    const auto next = std::next(it);
    if (!servers.contains(it->first)) {
      Unindex(it->first, it->second);
      engines_.erase(it);
    }
    it = next;
  }
  for (const auto& [id, server] : servers) {
    if (!server.is_engine) continue;
    Engine& engine = engines_[id];
    const TimePoint started_at = engine.listed.started_at;
    // A report may have told of a later life than the listing does.
    if (StartedAfter(started_at, server.started_at)) continue;
    if (StartedAfter(server.started_at, started_at)) StartAnew(engine);
    const bool was_leaving = engine.listed.is_leaving;
    const bool is_moved =
        engine.listed.id != server.id ||
        engine.listed.in_host_memory != server.in_host_memory ||
        engine.listed.on_disk != server.on_disk;
    engine.listed = server;
    if (is_moved) MarkStale(engine);
    engine.listed.started_at = std::max(started_at, server.started_at);
    if (was_leaving != server.is_leaving) Changed(engine);
    if (!engine.is_known || !engine.model_order) continue;
    // The listing follows an order's end faster than the next report.
    const OpenOrder& order = *engine.model_order;
    const bool is_listed = server.models.contains(order.name);
    const bool is_done =
        order.is_accepted && now - order.sent_at >= kReportLag &&
        (order.kind == OrderKind::kLoad ? is_listed : !is_listed);
    if (is_done) engine.report_at = std::min(engine.report_at, now);
  }
}

// The engine has started again: it holds nothing, counts its orders anew and
// knows of none that is under way. Held against it, its earlier life's count
// would make each report look old, and no order would be given again.
void FleetPlanner::StartAnew(Engine& engine) {
  Note("engine_restarted", engine.listed.id, "", "it tells a later start");
  Engine fresh;
  fresh.listed = std::move(engine.listed);
  fresh.listed.models.clear();
  fresh.listed.in_host_memory.clear();
  fresh.version = engine.version;
  fresh.indexed = std::move(engine.indexed);
  engine = std::move(fresh);
  Changed(engine);
}

void FleetPlanner::TakeReport(const HostReport& report, TimePoint now) {
  usage_.Take(report, now);
  IndexHoldings();
  for (const HostReport::Waiting& row : report.waiting) {
    if (row.count <= 0) continue;
    for (const std::string& id : WhereIs(row.target).holders) {
      Engine& engine = engines_.at(id);
      const auto it = engine.holdings.find(row.target);
      if (it == engine.holdings.end()) continue;
      // A host waits for what should be ready: it was turned away, or missed
      // the plan. The engine is asked, and the plan is told again.
      if (it->second.state != State::kReady ||
          now - it->second.since < kReportLag) {
        continue;
      }
      engine.report_at = std::min(engine.report_at, now);
    }
  }
}

void FleetPlanner::TakeInventory(const Inventory& inventory, TimePoint asked_at,
                                 TimePoint now) {
  const auto it = engines_.find(inventory.engine);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  const TimePoint started_at = engine.listed.started_at;
  if (StartedAfter(started_at, inventory.started_at)) return;
  if (StartedAfter(inventory.started_at, started_at)) StartAnew(engine);
  engine.listed.started_at = std::max(started_at, inventory.started_at);
  engine.unanswered_since = TimePoint{};  // Whichever question this answers.
  if (asked_at < engine.report_sent_at) return;  // Crossed by a later one.
  engine.report_sent_at = TimePoint{};
  engine.report_at = now + kIdleReport;
  if (inventory.accepted_orders < engine.accepted_orders) {
    // Written before the last order was accepted.
    engine.report_at = now + kEndPoll;
    return;
  }
  if (engine.call) {
    engine.report_at = now + kEndPoll;
    return;
  }
  const bool has_advanced = inventory.accepted_orders > engine.accepted_orders;
  engine.accepted_orders = inventory.accepted_orders;
  if (engine.model_order && engine.model_order->is_unanswered) {
    OpenOrder& order = *engine.model_order;
    if (has_advanced || inventory.is_busy) {
      order.is_unanswered = false;
      order.is_accepted = true;
    } else if (asked_at - order.sent_at >= kReportLag) {
      // Not accepted so far. The next order is decided on the same count, so
      // of both at most one is carried out.
      Note("order_lost", inventory.engine, order.name, "not accepted");
      DropCall(engine, OpenOrder(order), now);
    }
  }
  Adopt(engine, inventory, asked_at, now);
  DropAbsent(engine, inventory, asked_at);
  if (engine.model_order) {
    OpenOrder& order = *engine.model_order;
    // The report counts the order (an older one was put aside above), so it
    // was written after the order was accepted, however much it lags.
    if (order.is_accepted && !inventory.is_busy) {
      EndModelOrder(engine, now);
    } else {
      engine.report_at = NextReport(order, now);
    }
  } else if (inventory.is_busy) {
    // An order of an earlier owner; what it does is seen when it is done.
    engine.report_at = now + kEndPoll;
  }
  // What an engine loads for an earlier owner stands in no list until it is
  // done; counted as free, its place would be ordered a second time and the
  // engine would crash.
  engine.is_known = !inventory.is_busy || engine.model_order.has_value();
  Changed(engine);
}

void FleetPlanner::Adopt(Engine& engine, const Inventory& inventory,
                         TimePoint asked_at, TimePoint now) {
  for (const Replica& replica : inventory.replicas) {
    const CatalogueEntry* entry = EntryOf(replica.name);
    const auto [it, is_new] = engine.holdings.try_emplace(replica.name);
    Holding& holding = it->second;
    if (is_new) {
      holding.base = replica.base;
      holding.bytes = entry != nullptr ? entry->bytes : replica.bytes;
      holding.state = replica.state == ReplicaState::kReady ? State::kReady
                                                            : State::kLoading;
      holding.since = now;
      continue;
    }
    if (replica.state != ReplicaState::kReady) continue;
    const bool is_model = holding.base.empty();
    if (holding.state == State::kLoading) {
      holding.state = State::kReady;
      holding.since = now;
      if (is_model && engine.model_order &&
          engine.model_order->name == replica.name) {
        EndModelOrder(engine, now);
      }
    } else if (holding.state == State::kUnloading && !inventory.is_busy &&
               asked_at - holding.since >= kReportLag) {
      // The unload never happened.
      holding.state = State::kReady;
      holding.since = now;
    }
  }
}

void FleetPlanner::DropAbsent(Engine& engine, const Inventory& inventory,
                              TimePoint asked_at) {
  std::set<std::string> present;
  for (const Replica& replica : inventory.replicas) {
    present.insert(replica.name);
  }
  std::erase_if(engine.holdings, [&](const auto& item) {
    const Holding& holding = item.second;
    if (present.contains(item.first)) return false;
    const bool is_over = engine.model_order &&
                         engine.model_order->name == item.first &&
                         engine.model_order->is_accepted && !inventory.is_busy;
    if (!is_over && asked_at - holding.since < kReportLag) return false;
    const bool is_awaited = engine.model_order &&
                            engine.model_order->name == item.first &&
                            holding.state == State::kLoading;
    if (is_awaited && (inventory.is_busy || !engine.model_order->is_accepted)) {
      return false;
    }
    if (is_awaited) Note("load_failed", engine.listed.id, item.first, "absent");
    return true;
  });
  // Adapters leave with their model.
  std::erase_if(engine.holdings, [&](const auto& item) {
    return !item.second.base.empty() &&
           !engine.holdings.contains(item.second.base);
  });
}

void FleetPlanner::EndModelOrder(Engine& engine, TimePoint now) {
  const OpenOrder order = *engine.model_order;
  engine.model_order.reset();
  store_loads_.reset();
  const auto it = engine.holdings.find(order.name);
  const Duration took = now - order.sent_at;
  if (order.kind == OrderKind::kUnload) {
    Note("unloaded", engine.listed.id, order.name, "", took);
    return;
  }
  if (it == engine.holdings.end()) return;
  if (it->second.state == State::kReady) {
    Note("load_ready", engine.listed.id, order.name, TierName(order.tier),
         took);
    LearnStoreWidth(order, now);
  }
}

// The store slows every load beyond those it brings at full speed, in
// proportion; from how slow one was and how many there were follows its width.
void FleetPlanner::LearnStoreWidth(const OpenOrder& order, TimePoint now) {
  if (!policies_.Has(Policy::kStoreWidth)) return;
  if (order.tier != CheckpointTier::kRemote) return;
  const CatalogueEntry* entry = EntryOf(order.name);
  if (entry == nullptr) return;
  const double ratio =
      ToSeconds(now - order.sent_at) / ToSeconds(LoadTime(*entry, order.tier));
  if (ratio < kSlowedLoad) {
    const bool was_filled = order.store_loads_at_start >= store_width_;
    if (was_filled && !is_store_width_known_) {
      store_width_ = std::min(store_width_ * 2, kMostStoreWidth);
    }
    return;
  }
  is_store_width_known_ = true;
  const double width = std::max(
      1.0, std::round(static_cast<double>(order.store_loads_at_start) / ratio));
  store_width_ = std::min(store_width_, width);
}

// ---- Orders and their answers ----

void FleetPlanner::SendOrder(Engine& engine, OrderKind kind,
                             const CatalogueEntry& entry, CheckpointTier tier,
                             const std::string& reason, TimePoint now,
                             std::vector<OrderToSend>& orders) {
  const bool is_model = entry.base.empty();
  EngineOrder order;
  order.id = absl::StrCat(self_.host, ".", self_.number, ".", token_, ".",
                          ++last_order_);
  order.kind = kind;
  order.fence = {token_, ++last_sequence_};
  order.name = entry.name;
  order.base = entry.base;
  order.bytes = entry.bytes;
  order.send_by = now + kSendWithin;
  // Guards against a report that lags: loads of an earlier owner, or ones that
  // were never answered, would be loaded on top of, and the engine would crash.
  // An order that was decided on another count than the engine's is refused,
  // so what was known at the decision is all that the engine holds.
  order.after_orders = engine.accepted_orders;

  OpenOrder open;
  open.id = order.id;
  open.kind = kind;
  open.name = entry.name;
  open.tier = tier;
  open.sent_at = now;
  Holding& holding = engine.holdings[entry.name];
  if (kind == OrderKind::kLoad) {
    holding = {State::kLoading, entry.base, entry.bytes, now};
    open.expected_end = now + (is_model ? LoadTime(entry, tier) : kAdapterLoad);
    if (is_model && tier == CheckpointTier::kRemote) {
      store_loads_begun_.push_back(now);
      while (now - store_loads_begun_.front() > kStoreWindow) {
        store_loads_begun_.pop_front();
      }
      open.store_loads_at_start = StoreLoads() + 1;
    }
  } else {
    holding.state = State::kUnloading;
    holding.since = now;
    open.expected_end = now + kUnloadTime;
  }
  engine.call = open;
  if (is_model) engine.model_order = open;
  Changed(engine);
  Note(kind == OrderKind::kLoad ? "load_ordered" : "unload_ordered",
       engine.listed.id, entry.name, reason);
  orders.push_back({engine.listed.id, engine.listed.address, std::move(order)});
}

void FleetPlanner::Accept(Engine& engine, const OpenOrder& call) {
  ++engine.accepted_orders;
  if (engine.model_order && engine.model_order->id == call.id) {
    engine.model_order->is_accepted = true;
    engine.refused_loads = 0;
    engine.report_at =
        std::min(call.expected_end + kFirstEndPoll, call.sent_at + LoadPoll());
    return;
  }
  const auto it = engine.holdings.find(call.name);
  if (it == engine.holdings.end()) return;
  if (call.kind == OrderKind::kUnload) {
    engine.holdings.erase(it);
  }
  Changed(engine);
}

void FleetPlanner::DropCall(Engine& engine, const OpenOrder& call,
                            TimePoint now) {
  if (engine.model_order && engine.model_order->id == call.id) {
    engine.model_order.reset();
    store_loads_.reset();
  }
  const auto it = engine.holdings.find(call.name);
  if (it == engine.holdings.end()) return;
  if (call.kind == OrderKind::kLoad) {
    engine.holdings.erase(it);
  } else {
    it->second.state = State::kReady;
    it->second.since = now;
  }
  Changed(engine);
}

void FleetPlanner::TakeOrderResult(const std::string& engine_id,
                                   const std::string& order_id,
                                   OrderResult result, TimePoint now) {
  const auto it = engines_.find(engine_id);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  if (!engine.call || engine.call->id != order_id) return;
  const OpenOrder call = *engine.call;
  engine.call.reset();
  const bool is_model =
      engine.model_order && engine.model_order->id == order_id;
  if (TakeRefusedLoad(engine, call, result, now)) return;
  const std::optional<OpenOrder> unload =
      std::exchange(engine.unload_before, std::nullopt);
  if (unload && result == OrderResult::kAccepted) {
    EndUnload(engine, *unload, now);
    engine.reserved_for.clear();
  }
  if (result != OrderResult::kAccepted) {
    Note("order_answered", engine_id, call.name, OrderResultName(result));
  }
  switch (result) {
    case OrderResult::kAccepted:
      Accept(engine, call);
      return;
    case OrderResult::kDone:
      // Nothing had to be done, or it is done already; whether the engine
      // counts it, its next report says.
      if (!is_model && call.kind == OrderKind::kUnload) {
        // The usual answer: an adapter that nobody uses is gone at once.
        Accept(engine, call);
        return;
      }
      if (is_model) {
        engine.model_order->is_accepted = true;
      } else if (const auto holding = engine.holdings.find(call.name);
                 holding != engine.holdings.end()) {
        holding->second.state = State::kReady;
        holding->second.since = now;
      }
      Changed(engine);
      engine.is_known = false;
      engine.report_at = now + kReportLag;
      return;
    case OrderResult::kUnanswered:
      if (is_model) {
        engine.model_order->is_unanswered = true;
      } else {
        DropCall(engine, call, now);
      }
      engine.report_at = now + kReportLag;
      return;
    case OrderResult::kStaleFence:
      is_superseded_ = true;
      DropCall(engine, call, now);
      return;
    case OrderResult::kWrongIncarnation:
      engine.is_rejecting = true;
      MarkStale(engine);
      DropCall(engine, call, now);
      return;
    default:
      // Refused: the count differs, or another order is under way.
      DropCall(engine, call, now);
      engine.is_known = false;
      // Whatever the next report counts is taken, be it less.
      engine.accepted_orders = 0;
      engine.report_at = now + kReportLag;
      return;
  }
}

// A call without any answer, not even that there was none, was lost in this
// process; without this the engine would get no order again.
void FleetPlanner::GiveUpCalls(TimePoint now) {
  for (auto& [id, engine] : engines_) {
    if (!engine.call || now - engine.call->sent_at < kCallLife) continue;
    TakeOrderResult(id, std::string(engine.call->id), OrderResult::kUnanswered,
                    now);
  }
}

Duration FleetPlanner::LoadPoll() const {
  return kLoadPoll * std::max(1, open_model_orders_ / kLoadsAtFullPoll);
}

// An order that is late is asked about the less often the later it is: an
// unload waits for the requests that run, for seconds, and each engine that did
// was asked 16 times a second.
TimePoint FleetPlanner::NextReport(const OpenOrder& order,
                                   TimePoint now) const {
  const Duration late = now - order.expected_end;
  const Duration most = LoadPoll();
  const Duration least =
      std::clamp<Duration>(late / kLatePollShare, kEndPoll, most);
  return std::clamp(order.expected_end, now + least, now + most);
}

void FleetPlanner::AskForReports(TimePoint now,
                                 std::vector<OrderToSend>& orders) {
  open_model_orders_ = static_cast<int>(std::count_if(
      engines_.begin(), engines_.end(),
      [](const auto& item) { return item.second.model_order.has_value(); }));
  for (auto& [id, engine] : engines_) {
    // Adapter loads end unannounced.
    for (auto& [name, holding] : engine.holdings) {
      if (holding.base.empty() || holding.state != State::kLoading) continue;
      if (engine.call && engine.call->name == name) continue;
      if (now - holding.since < kAdapterLoad) continue;
      holding.state = State::kReady;
      holding.since = now;
      Changed(engine);
    }
    if (engine.report_at > now || engine.is_rejecting) continue;
    if (ClassOf(engine) == nullptr) continue;  // Of no service that is known.
    const bool is_under_way = engine.report_sent_at != TimePoint{} &&
                              now - engine.report_sent_at < kReportTimeout;
    if (is_under_way) continue;
    engine.report_sent_at = now;
    engine.report_at = now + kReportTimeout;
    if (engine.unanswered_since == TimePoint{}) engine.unanswered_since = now;
    EngineOrder order;
    order.id = absl::StrCat("report.", ++last_order_);
    order.kind = OrderKind::kInspect;
    order.fence = {token_, 0};
    order.send_by = now + kSendWithin;
    orders.push_back({id, engine.listed.address, std::move(order)});
  }
}

// Guards against belief in what a crashed engine was to serve. Its listing
// stays for three missed heartbeats, for 13 s where the store is away as well;
// as long as its models counted as ready or being loaded there, nothing else
// was done for those who asked for them. Only that belief ends: what it holds
// is kept in mind, as it may be well and cut off from this host alone.
void FleetPlanner::NoteSilence(TimePoint now) {
  for (auto& [id, engine] : engines_) {
    const bool is_silent = policies_.Has(Policy::kSilence) &&
                           engine.unanswered_since != TimePoint{} &&
                           now - engine.unanswered_since > kSilence;
    if (is_silent == engine.is_silent) continue;
    engine.is_silent = is_silent;
    MarkStale(engine);
    const std::string order =
        engine.model_order ? engine.model_order->name : std::string();
    Note(is_silent ? "engine_silent" : "engine_answers", id, order,
         "reports asked of it",
         is_silent ? now - engine.unanswered_since : Duration{0});
  }
}

// ---- Decisions ----

// Worth a second that is lost while `model` is missing on `engine`.
double FleetPlanner::LossOf(const Engine& engine, const std::string& model,
                            TimePoint now) const {
  double worth = usage_.WorthRate(model, now);
  for (const auto& [name, holding] : engine.holdings) {
    if (holding.base == model) worth += usage_.WorthRate(name, now);
  }
  const int others = WhereIs(model).ready - 1;
  const auto busy = busy_.find(model);
  const double rate = busy == busy_.end() ? 0 : busy->second.rate;
  if (others <= 0) return worth;
  const double unmet = Unmet(
      rate, CapacityFor(model, WhereIs(model)) - ShareOf(engine.listed.id));
  const bool is_last_pair = policies_.Has(Policy::kLastPair) &&
                            others < kBusyReplicas && rate >= kBusyRate;
  return worth * (unmet + (is_last_pair ? kReplicaLoss : kSpareLoss));
}

// The models whose loss costs least, until `needed` bytes are free; empty if
// there are not enough.
std::vector<std::string> FleetPlanner::ChooseVictims(const Engine& engine,
                                                     uint64_t needed,
                                                     TimePoint now) const {
  struct Candidate {
    std::string name;
    uint64_t bytes = 0;
    double loss = 0;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, holding] : engine.holdings) {
    if (!holding.base.empty() || holding.state != State::kReady) continue;
    if (now - holding.since < kLeastResidency) continue;
    if (usage_.IsWaitedFor(name)) continue;
    double loss = LossOf(engine, name, now);
    // Of equals, one that others hold too, and then the one that has been there
    // longest: before any demand is known, replicas tell which are busy.
    loss -= kOthersShare * std::min(kMostOthers, WhereIs(name).ready);
    loss -= kAgeShare * ToSeconds(now - holding.since);
    if (usage_.RunningOn(engine.listed.id, name) > 0) {
      loss += kBusyVictimSeconds;
    }
    candidates.push_back({name, holding.bytes, loss});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.loss, a.name) < std::pair(b.loss, b.name);
            });
  std::vector<std::string> victims;
  uint64_t freed = 0;
  for (const Candidate& candidate : candidates) {
    if (freed >= needed) break;
    freed += candidate.bytes;
    victims.push_back(candidate.name);
  }
  if (freed < needed) victims.clear();
  return victims;
}

std::optional<FleetPlanner::Option> FleetPlanner::OptionOn(
    Engine& engine, const CatalogueEntry& entry, double worth,
    bool is_background, TimePoint now, Search& search) {
  const EngineClass* engine_class = ClassOf(engine);
  if (engine_class == nullptr || engine.listed.service != entry.service) {
    return std::nullopt;
  }
  if (!engine.is_known || engine.is_silent || engine.is_rejecting ||
      engine.listed.is_leaving || engine.holdings.contains(entry.name)) {
    return std::nullopt;
  }
  const bool is_reserved =
      policies_.Has(Policy::kReservations) && engine.reserved_until > now &&
      engine.reserved_for != entry.name && !engine.reserved_for.empty();
  if (is_reserved) {
    search.Reject(Deferral::kReserved);
    return std::nullopt;
  }
  Option option;
  option.engine = &engine;
  option.tier = TierOn(engine, entry.name);
  uint64_t used = UsedBytes(engine);
  Duration ready_in{0};
  if (engine.model_order) {
    const OpenOrder& open = *engine.model_order;
    ready_in = std::max<Duration>(kEndPoll, open.expected_end - now);
    if (open.kind == OrderKind::kUnload) {
      used -= engine.holdings[open.name].bytes;
    }
  }
  if (entry.bytes + kMemoryMargin > engine_class->memory_bytes) {
    return std::nullopt;
  }
  double loss = 0;
  if (used + entry.bytes > engine_class->memory_bytes) {
    const uint64_t needed = used + entry.bytes - engine_class->memory_bytes;
    option.victims = ChooseVictims(engine, needed, now);
    if (option.victims.empty()) {
      search.Reject(Deferral::kNothingToEvict);
      return std::nullopt;
    }
    for (const std::string& victim : option.victims) {
      loss += LossOf(engine, victim, now);
      ready_in += kUnloadTime;
      if (usage_.RunningOn(engine.listed.id, victim) > 0) {
        ready_in += FromSeconds(kBusyVictimSeconds);
      }
    }
  }
  ready_in += LoadTime(entry, option.tier);
  // Nothing is unloaded that earns more a second than what it makes room for
  // is worth in all: demand that has moved on would push out what is asked for.
  if (loss > worth) {
    search.Reject(Deferral::kVictimsWorthMore);
    return std::nullopt;
  }
  const double blocked = BlockedAdapterLoss(engine, ready_in);
  // Requests that wait choose the engine where they are least in the way of
  // adapters, but are not held back for them, or they would wait for ever where
  // all engines have some.
  if (is_background && loss + blocked > worth) return std::nullopt;
  loss += blocked;
  option.ready_in = ready_in;
  option.cost = ToSeconds(ready_in) + kLossWeight * loss / (worth + 1.0);
  return option;
}

void FleetPlanner::TryEngine(Engine& engine, const CatalogueEntry& entry,
                             double worth, bool at_once_only, TimePoint now,
                             Search& search) {
  if (at_once_only && (engine.model_order || !MayOrder(engine))) {
    search.Reject(Deferral::kEngineBusy);
    return;
  }
  std::optional<Option> option =
      OptionOn(engine, entry, worth, at_once_only, now, search);
  if (!option) return;
  if (search.best && search.best->cost <= option->cost) return;
  search.best = std::move(option);
}

// Engines that have a copy are few; all others are the same distance from the
// weight store and are looked at only when it has room.
FleetPlanner::Search FleetPlanner::BestOption(const CatalogueEntry& entry,
                                              double worth, bool at_once_only,
                                              TimePoint now) {
  Search search;
  for (const std::string& id : WhereIs(entry.name).copies) {
    TryEngine(engines_.at(id), entry, worth, at_once_only, now, search);
  }
  if (!HasStoreRoom(entry.service, now)) {
    search.Reject(Deferral::kStoreFull);
    return search;
  }
  for (auto& [id, engine] : engines_) {
    TryEngine(engine, entry, worth, at_once_only, now, search);
  }
  return search;
}

// Guards against room made twice: an unload takes a third of a second, and
// until it is done the model counts as being loaded nowhere. Decided anew each
// 25 ms meanwhile, up to nine engines gave up a model for one replica, and the
// next requests for those found them cold.
FleetPlanner::Engine* FleetPlanner::EngineMakingRoom(const std::string& model,
                                                     TimePoint now) {
  const auto made = room_made_on_.find(model);
  if (made == room_made_on_.end()) return nullptr;
  const auto it = engines_.find(made->second);
  if (it == engines_.end()) return nullptr;
  Engine& engine = it->second;
  const bool is_usable =
      !engine.listed.is_leaving && !engine.is_silent && !engine.is_rejecting;
  const bool is_for_it = engine.is_making_room &&
                         engine.reserved_for == model &&
                         engine.reserved_until > now;
  const bool is_at_work = engine.model_order || !MayOrder(engine);
  return is_for_it && is_usable && is_at_work ? &engine : nullptr;
}

// An engine's report that an unload is done lags by 0.3 s, a fifth of a load
// from disk; its answer to the next order does not. The order names the count
// with the unload in it, and an engine refuses it while the unload goes on, so
// one that is accepted proves that the memory is free.
bool FleetPlanner::MayLoadAfterUnload(const Engine& engine,
                                      const CatalogueEntry& entry,
                                      TimePoint now) const {
  if (!engine.model_order || !MayOrder(engine)) return false;
  const OpenOrder& unload = *engine.model_order;
  if (unload.kind != OrderKind::kUnload || !unload.is_accepted) return false;
  if (now < unload.expected_end || now < engine.load_again_at) return false;
  if (engine.refused_loads >= kMostRefusedLoads) return false;
  if (usage_.RunningOn(engine.listed.id, unload.name) > 0) return false;
  // Room was made on several engines while the store had a turn for one of
  // them.
  const bool is_from_store =
      TierOn(engine, entry.name) == CheckpointTier::kRemote;
  if (is_from_store && !HasStoreRoom(entry.service, now)) return false;
  const EngineClass* engine_class = ClassOf(engine);
  if (engine_class == nullptr) return false;
  uint64_t freed = 0;
  for (const auto& [name, holding] : engine.holdings) {
    if (name == unload.name || holding.base == unload.name) {
      freed += holding.bytes;
    }
  }
  return UsedBytes(engine) + entry.bytes <= engine_class->memory_bytes + freed;
}

void FleetPlanner::EndUnload(Engine& engine, const OpenOrder& unload,
                             TimePoint now) {
  std::erase_if(engine.holdings, [&](const auto& item) {
    return item.first == unload.name || item.second.base == unload.name;
  });
  Note("unloaded", engine.listed.id, unload.name, "seen by the next order",
       now - unload.sent_at);
  Changed(engine);
}

// True if the load was sent ahead of the news that its room is free and was
// refused: the unload goes on.
bool FleetPlanner::TakeRefusedLoad(Engine& engine, const OpenOrder& call,
                                   OrderResult result, TimePoint now) {
  if (!engine.unload_before || result != OrderResult::kBusy) return false;
  DropCall(engine, call, now);
  engine.model_order = std::move(engine.unload_before);
  engine.unload_before.reset();
  store_loads_.reset();
  ++engine.refused_loads;
  engine.load_again_at = now + kEndPoll;
  return true;
}

Deferral FleetPlanner::PlaceModel(const CatalogueEntry& entry, double worth,
                                  const std::string& reason, bool at_once_only,
                                  TimePoint now,
                                  std::vector<OrderToSend>& orders) {
  if (Engine* prepared = EngineMakingRoom(entry.name, now)) {
    if (!MayLoadAfterUnload(*prepared, entry, now))
      return Deferral::kEngineBusy;
    prepared->unload_before = prepared->model_order;
    SendOrder(*prepared, OrderKind::kLoad, entry, TierOn(*prepared, entry.name),
              reason, now, orders);
    return Deferral::kNone;
  }
  const Search search = BestOption(entry, worth, at_once_only, now);
  const std::optional<Option>& option = search.best;
  if (!option) return search.deferral;
  Engine& engine = *option->engine;
  if (!MayOrder(engine) || engine.model_order) {
    // Waiting for this engine is quicker than any other way.
    if (!at_once_only) {
      engine.is_making_room = false;
      engine.reserved_for = entry.name;
      engine.reserved_until = now + kEndPoll;
    }
    return Deferral::kEngineBusy;
  }
  engine.reserved_for = entry.name;
  engine.reserved_until = now + kReservation;
  engine.is_making_room = !option->victims.empty();
  if (engine.is_making_room) {
    room_made_on_[entry.name] = engine.listed.id;
    const CatalogueEntry* victim = EntryOf(option->victims.front());
    CatalogueEntry unknown;
    unknown.name = option->victims.front();
    SendOrder(engine, OrderKind::kUnload, victim ? *victim : unknown,
              option->tier, absl::StrCat("room for ", entry.name), now, orders);
    return Deferral::kNone;
  }
  engine.reserved_for.clear();
  SendOrder(engine, OrderKind::kLoad, entry, option->tier, reason, now, orders);
  return Deferral::kNone;
}

int FleetPlanner::AdapterSlotsTaken(const Engine& engine) {
  const auto held =
      std::count_if(engine.holdings.begin(), engine.holdings.end(),
                    [](const auto& item) { return !item.second.base.empty(); });
  return static_cast<int>(held);
}

// Unloads the adapter that was asked for least, if one may go.
bool FleetPlanner::MakeAdapterRoom(Engine& engine, TimePoint now,
                                   std::vector<OrderToSend>& orders) {
  std::string victim;
  double least = 0;
  for (const auto& [name, holding] : engine.holdings) {
    if (holding.base.empty() || holding.state != State::kReady) continue;
    if (usage_.IsWaitedFor(name) || now - holding.since < kReportLag) continue;
    if (usage_.RunningOn(engine.listed.id, name) > 0) continue;
    const double worth = usage_.WorthRate(name, now);
    if (!victim.empty() && worth >= least) continue;
    victim = name;
    least = worth;
  }
  const CatalogueEntry* entry = EntryOf(victim);
  if (entry == nullptr) return false;
  SendOrder(engine, OrderKind::kUnload, *entry, CheckpointTier::kMemory,
            "adapter room", now, orders);
  return true;
}

void FleetPlanner::PlaceAdapter(const CatalogueEntry& entry, double worth,
                                TimePoint now,
                                std::vector<OrderToSend>& orders) {
  Engine* best = nullptr;
  uint64_t best_rank = 0;
  bool has_base = false;
  for (const std::string& id : WhereIs(entry.base).holders) {
    Engine& engine = engines_.at(id);
    const auto base = engine.holdings.find(entry.base);
    if (base == engine.holdings.end()) continue;
    has_base = has_base || base->second.state != State::kUnloading;
    if (base->second.state != State::kReady) continue;
    // One engine of the base's takes an adapter as long as it can, so that
    // its requests meet it there again.
    const uint64_t rank =
        policies_.Has(Policy::kAdapterAffinity)
            ? StableHash(absl::StrCat(entry.name, "|", id))
            : static_cast<uint64_t>(AdapterSlotsTaken(engine));
    // An engine takes no adapter while it loads or unloads a model.
    if (engine.model_order) continue;
    if (best != nullptr && rank >= best_rank) continue;
    best = &engine;
    best_rank = rank;
  }
  if (!has_base) {
    const CatalogueEntry* base = EntryOf(entry.base);
    if (base != nullptr) {
      PlaceModel(*base, worth, absl::StrCat("for ", entry.name), false, now,
                 orders);
    }
    return;
  }
  if (best == nullptr || !MayOrder(*best)) return;
  const auto loading = std::count_if(
      best->holdings.begin(), best->holdings.end(), [](const auto& item) {
        return !item.second.base.empty() &&
               item.second.state == State::kLoading;
      });
  if (loading >= kAdaptersAtOnce) return;
  const EngineClass* engine_class = ClassOf(*best);
  if (engine_class == nullptr) return;
  if (AdapterSlotsTaken(*best) >= engine_class->adapter_slots) {
    MakeAdapterRoom(*best, now, orders);
    return;
  }
  if (UsedBytes(*best) + entry.bytes >
      engine_class->memory_bytes + kMemoryMargin / 2) {
    return;
  }
  SendOrder(*best, OrderKind::kLoad, entry, CheckpointTier::kMemory,
            "requests wait", now, orders);
}

void FleetPlanner::ServeWaiting(TimePoint now,
                                std::vector<OrderToSend>& orders) {
  // The store brings what is worth most first, one after the other at its
  // full speed; whoever cannot be in time is told so now.
  store_turn_.clear();
  TimePoint store_free_at = now;
  for (const auto& [id, engine] : engines_) {
    const auto& order = engine.model_order;
    if (!order || engine.is_silent) continue;
    if (order->tier != CheckpointTier::kRemote) continue;
    store_free_at = std::max(store_free_at, order->expected_end);
  }
  for (const UsageTable::Demand& demand : usage_.Waiting()) {
    const CatalogueEntry* entry = EntryOf(demand.target);
    if (entry == nullptr) continue;
    const Whereabouts& where = WhereIs(demand.target);
    if (where.ready + where.loading > 0) continue;
    const std::string& model = entry->base.empty() ? entry->name : entry->base;
    const Whereabouts& base = WhereIs(model);
    const CatalogueEntry* model_entry = EntryOf(model);
    if (base.holders.empty() && base.copies.empty() && model_entry) {
      const Duration load = LoadTime(*model_entry, CheckpointTier::kRemote);
      if (!HasStoreRoom(entry->service, now)) {
        store_turn_[demand.target] = store_free_at + load;
        store_free_at += Duration(static_cast<int64_t>(
            static_cast<double>(load.count()) / store_width_));
      }
    }
    TimePoint& next_look = next_look_[demand.target];
    if (next_look > now) continue;
    next_look = now + kLookInterval;
    if (!entry->base.empty()) {
      PlaceAdapter(*entry, demand.worth, now, orders);
      continue;
    }
    const Deferral deferral = PlaceModel(
        *entry, demand.worth,
        absl::StrCat(demand.waiting, " waiting, worth ", demand.worth), false,
        now, orders);
    NotePutOff(demand.target, deferral);
  }
  if (next_look_.size() > kMostLooks) next_look_.clear();
  if (put_off_.size() > kMostLooks) put_off_.clear();
  if (room_made_on_.size() > kMostLooks) room_made_on_.clear();
}

// One line for each change of the reason, so that a refusal can be traced to
// what stood in the way of its model without a line for each look.
void FleetPlanner::NotePutOff(const std::string& target, Deferral reason) {
  const auto [known, is_new] = put_off_.try_emplace(target, reason);
  if (!is_new && known->second == reason) return;
  known->second = reason;
  if (reason == Deferral::kNone) return;
  Note("load_put_off", "", target, DeferralName(reason));
}

// Requests for adapters run on their base model's replicas.
void FleetPlanner::SumUsage(TimePoint now) {
  if (now - summed_at_ < kSumInterval) return;
  summed_at_ = now;
  busy_.clear();
  for (const std::string& target : usage_.Targets()) {
    const CatalogueEntry* entry = EntryOf(target);
    if (entry == nullptr) continue;
    const bool is_adapter = !entry->base.empty();
    Usage& sum = busy_[is_adapter ? entry->base : entry->name];
    const double worth_rate = usage_.WorthRate(target, now);
    sum.rate += usage_.Rate(target, now);
    sum.worth_rate += worth_rate;
    if (is_adapter) sum.adapter_worth_rate += worth_rate;
    sum.running += usage_.Running(target);
  }
}

// Worth that is late because `engine` takes no adapters while it carries out a
// model order for `duration`.
double FleetPlanner::BlockedAdapterLoss(const Engine& engine,
                                        Duration duration) const {
  if (!policies_.Has(Policy::kBlockedAdapters)) return 0;
  double loss = 0;
  for (const auto& [name, holding] : engine.holdings) {
    if (holding.state != State::kReady) continue;
    const auto busy = busy_.find(name);
    if (busy == busy_.end()) continue;
    loss += busy->second.adapter_worth_rate / std::max(1, WhereIs(name).ready);
  }
  return loss * ToSeconds(duration) / 2;
}

// The share of `rate` that `replicas` cannot take.
double FleetPlanner::Unmet(double rate, double replicas) {
  if (rate <= 0) return 0;
  return std::max(0.0, 1.0 - replicas * kRatePerReplica / rate);
}

// How many more it takes until `rate` can be met.
int FleetPlanner::MissingReplicas(double rate, double replicas) {
  return static_cast<int>(std::ceil(rate / kRatePerReplica - replicas));
}

double FleetPlanner::ShareOf(const std::string& engine) const {
  const auto limit = limits_.find(engine);
  if (limit == limits_.end()) return 1;
  return std::min(1.0, limit->second / kRatePerReplica);
}

double FleetPlanner::CapacityFor(const std::string& name,
                                 const Whereabouts& where) const {
  double capacity = where.ready;
  if (limits_.empty()) return capacity;
  for (const std::string& id : where.holders) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end()) continue;
    const auto holding = engine->second.holdings.find(name);
    const bool is_ready = holding != engine->second.holdings.end() &&
                          holding->second.state == State::kReady;
    if (is_ready) capacity -= 1 - ShareOf(id);
  }
  return std::max(0.0, capacity);
}

// Replicas that are missing are loaded side by side. One after the other, each
// taking 1.8 s from disk, a model that rose to 44 requests a second had what it
// needed after 14 s, when demand was about to move on.
void FleetPlanner::ReplicateBusy(bool is_overloaded, TimePoint now,
                                 std::vector<OrderToSend>& orders) {
  const Policy policy =
      is_overloaded ? Policy::kOverloadReplicas : Policy::kSecondReplica;
  if (!policies_.Has(policy)) return;
  for (const auto& [model, busy] : busy_) {
    const Whereabouts& where = WhereIs(model);
    const double capacity = CapacityFor(model, where);
    const bool is_limited = capacity < where.ready &&
                            Unmet(busy.rate, capacity + where.loading) > 0;
    if (busy.rate < kBusyRate && !is_limited) continue;
    const CatalogueEntry* entry = EntryOf(model);
    if (entry == nullptr) continue;
    if (where.loading >= std::max(1, MissingReplicas(busy.rate, capacity))) {
      continue;
    }
    int slots = 0;
    for (const std::string& id : where.holders) {
      slots += engines_.at(id).listed.slots;
    }
    const bool is_full = busy.running > kBusyShare * slots;
    const double unmet =
        is_full ? kBusyShare : Unmet(busy.rate, capacity + where.loading);
    if (where.ready >= kBusyReplicas && unmet <= 0) continue;
    const double share = where.ready == 0 ? 1.0 : unmet + kReplicaWorth;
    if ((unmet > 0) != is_overloaded) continue;
    // A model that cannot take what is asked of it may wait for an engine, as
    // requests do; a spare replica takes only what is free.
    PlaceModel(*entry, busy.worth_rate * share * kReplicaHorizonSeconds,
               is_overloaded ? "overloaded" : "busy",
               /*at_once_only=*/!is_overloaded, now, orders);
  }
}

// Brings models that no engine has at hand from the store ahead of their first
// request: a later load from memory or disk takes a fifth of the time. The
// store's pipe is kept full but never fuller, as more loads at once only slow
// each other.
void FleetPlanner::SeedCopies(TimePoint now, std::vector<OrderToSend>& orders) {
  if (!policies_.Has(Policy::kSeeding)) return;
  if (catalogue_ == nullptr || seeds_at_ > now) return;
  seeds_at_ = now + kSeedInterval;
  const int most = std::min(static_cast<int>(store_width_),
                            static_cast<int>(engines_.size() + 1) / 2);
  if (StoreLoads() >= most) return;
  for (const auto& [name, entry] : *catalogue_) {
    if (!entry.base.empty() || entry.service.empty()) continue;
    const Whereabouts& where = WhereIs(name);
    if (!where.holders.empty() || !where.copies.empty()) continue;
    const Deferral deferral =
        PlaceModel(entry, kSeedWorth, "no copy at hand", true, now, orders);
    // Nowhere for this one is nowhere for those of its size.
    if (deferral != Deferral::kNone || StoreLoads() >= most) return;
  }
}

// Of the models that no engine holds and of which `engine` has a copy, the one
// that was asked for most, if it fits in what is free; null if there is none.
const CatalogueEntry* FleetPlanner::BestForFreeMemory(const Engine& engine,
                                                      TimePoint now) const {
  const EngineClass* engine_class = ClassOf(engine);
  if (engine_class == nullptr) return nullptr;
  const uint64_t used = UsedBytes(engine);
  const CatalogueEntry* best = nullptr;
  double best_worth = 0;
  const auto consider = [&](const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      const CatalogueEntry* entry = EntryOf(name);
      if (entry == nullptr || entry->service != engine.listed.service) continue;
      if (used + entry->bytes > engine_class->memory_bytes) continue;
      if (!WhereIs(name).holders.empty()) continue;
      const double worth = usage_.WorthRate(name, now);
      if (best != nullptr && worth <= best_worth) continue;
      best = entry;
      best_worth = worth;
    }
  };
  // From host memory a load is the quicker one.
  consider(engine.listed.in_host_memory);
  consider(engine.listed.on_disk);
  return best;
}

// An engine that comes back from a crash is empty and has its copies on disk.
// Left so until a request came for each, it made the first callers of all its
// models wait for 1.9 s, and those of the second and third one longer, as it
// loads one at a time. What nobody holds is loaded ahead of them where memory
// is free and the engine has nothing else to do.
void FleetPlanner::FillFreeMemory(TimePoint now,
                                  std::vector<OrderToSend>& orders) {
  if (!policies_.Has(Policy::kFreeMemory) || fills_at_ > now) return;
  fills_at_ = now + kFillInterval;
  int begun = 0;
  for (auto& [id, engine] : engines_) {
    if (begun >= kMostFillsAtOnce) return;
    const bool is_kept_free =
        engine.reserved_until > now && !engine.reserved_for.empty();
    if (engine.model_order || is_kept_free || !MayOrder(engine)) continue;
    const CatalogueEntry* entry = BestForFreeMemory(engine, now);
    if (entry == nullptr) continue;
    SendOrder(engine, OrderKind::kLoad, *entry, TierOn(engine, entry->name),
              "memory is free", now, orders);
    IndexHoldings();  // So that the next engine does not load it as well.
    ++begun;
  }
}

void FleetPlanner::Decide(bool may_order, TimePoint now,
                          std::vector<OrderToSend>& orders) {
  usage_.Expire(now);
  GiveUpCalls(now);
  AskForReports(now, orders);
  NoteSilence(now);
  if (!may_order || is_superseded_ || classes_ == nullptr) return;
  IndexHoldings();
  SumUsage(now);
  // Requests that wait keep the engines' one order each taken; models that
  // cannot take what is asked of them, or are gone, go before them.
  ReplicateBusy(/*is_overloaded=*/true, now, orders);
  ServeWaiting(now, orders);
  ReplicateBusy(/*is_overloaded=*/false, now, orders);
  SeedCopies(now, orders);
  FillFreeMemory(now, orders);
  IndexHoldings();  // Answers tell of the orders given just now.
}

DemandAnswer FleetPlanner::Answer(const std::string& target,
                                  TimePoint now) const {
  DemandAnswer answer{target, "", DemandStatus::kNoPlace, Duration{0}};
  const CatalogueEntry* entry = EntryOf(target);
  if (entry == nullptr) return answer;
  const Whereabouts& where = WhereIs(target);
  if (where.ready > 0) {
    answer.status = DemandStatus::kReady;
    return answer;
  }
  const auto deferral = put_off_.find(target);
  if (deferral != put_off_.end()) answer.deferral = deferral->second;
  const auto turn = store_turn_.find(target);
  if (turn != store_turn_.end()) {
    answer.status = DemandStatus::kQueued;
    answer.expected = std::max(Duration{0}, turn->second - now);
    return answer;
  }
  for (const std::string& id : where.holders) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end()) continue;
    const auto it = engine->second.holdings.find(target);
    if (it == engine->second.holdings.end() ||
        it->second.state != State::kLoading) {
      continue;
    }
    answer.status = DemandStatus::kLoading;
    const auto& order = engine->second.model_order;
    if (order && order->name == target) {
      // A load that is late by some time is taken to need as much again. Taken
      // for due at any moment, it kept its callers waiting until they left,
      // 12 s, where a slowed store brought the model after 50 s.
      const Duration left = order->expected_end - now;
      answer.expected = std::chrono::abs(left);
    }
    return answer;
  }
  CheckpointTier tier = CheckpointTier::kRemote;
  for (const std::string& id : where.copies) {
    const auto engine = engines_.find(id);
    if (engine == engines_.end() || engine->second.is_silent) continue;
    tier = std::min(tier, TierOn(engine->second, target));
  }
  const bool has_engine =
      std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
        const Engine& engine = item.second;
        return engine.listed.service == entry->service &&
               !engine.listed.is_leaving && !engine.is_rejecting &&
               !engine.is_silent;
      });
  if (!has_engine) return answer;
  answer.status = DemandStatus::kQueued;
  answer.expected = entry->base.empty() ? LoadTime(*entry, tier) : kAdapterLoad;
  return answer;
}

Json FleetPlanner::ToJson(TimePoint now) const {
  Json json{{"token", token_},
            {"superseded", is_superseded_},
            {"store_width", store_width_},
            {"store_loads", StoreLoads()},
            {"engines", Json::object()}};
  for (const auto& [id, engine] : engines_) {
    Json item{{"known", engine.is_known},
              {"rejecting", engine.is_rejecting},
              {"accepted_orders", engine.accepted_orders},
              {"used_bytes", UsedBytes(engine)},
              {"holdings", Json::object()}};
    if (engine.model_order) {
      item["order"] =
          Json{{"name", engine.model_order->name},
               {"age_ms", ToMillis(now - engine.model_order->sent_at)},
               {"accepted", engine.model_order->is_accepted}};
    }
    for (const auto& [name, holding] : engine.holdings) {
      item["holdings"][name] = holding.state == State::kReady     ? "ready"
                               : holding.state == State::kLoading ? "loading"
                                                                  : "unloading";
    }
    json["engines"][id] = std::move(item);
  }
  return json;
}

}  // namespace applehall

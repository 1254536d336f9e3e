#include "placement/fleet_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

#include "core/random.h"
#include "standins/fake_counted_engine.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr uint64_t kModelBytes = 70'000'000'000;
constexpr uint64_t kEngineBytes = 230'000'000'000;  // Three models.
constexpr char kService[] = "writer";

std::string ModelName(int i) { return "writer/m" + std::to_string(i); }

// A planner, engines that do what it orders, and a network that loses, delays
// or swallows the answers of some orders.
class FleetPlannerTest : public testing::Test {
 protected:
  void Use(int engines, int models, int adapters = 0) {
    for (int i = 0; i < models; ++i) {
      CatalogueEntry entry;
      entry.name = ModelName(i);
      entry.service = kService;
      entry.bytes = kModelBytes;
      entry.load_times = {milliseconds(1200), milliseconds(1600),
                          milliseconds(6000)};
      catalogue_[entry.name] = entry;
      for (int a = 1; a <= adapters; ++a) {
        CatalogueEntry adapter;
        adapter.name = entry.name + "/a" + std::to_string(a);
        adapter.base = entry.name;
        adapter.service = kService;
        adapter.bytes = 66'000'000;
        catalogue_[adapter.name] = adapter;
      }
    }
    classes_[kService] = {kEngineBytes, 8, 4.0};
    for (int i = 0; i < engines; ++i) {
      const std::string id = "e" + std::to_string(i);
      engines_[id] = std::make_unique<FakeCountedEngine>(
          id, kService, kEngineBytes, /*adapter_slots=*/8);
    }
    planner_ = std::make_unique<FleetPlanner>(Incarnation{"entry", 1}, token_,
                                              policies_);
    planner_->SetCatalogue(&catalogue_, &classes_);
    List();
  }

  void List() {
    EngineList list;
    for (const auto& [id, engine] : engines_) list[id] = engine->ListedEntry();
    planner_->SetServers(list, now_);
  }

  void Report(const std::string& target, int waiting, int arrivals = 0,
              double worth = 5.0) {
    HostReport report;
    report.host = "entry";
    if (waiting > 0) {
      report.waiting.push_back({target, waiting, waiting * worth, seconds(20)});
    }
    if (arrivals > 0) {
      report.arrivals.push_back({target, arrivals, arrivals * worth});
    }
    planner_->TakeReport(report, now_);
  }

  // One step of 20 ms: ends, decisions, orders and their answers.
  void Step() {
    now_ += milliseconds(20);
    for (auto& [id, engine] : engines_) engine->Advance(now_);
    DeliverLate();
    std::vector<OrderToSend> orders;
    planner_->Decide(/*may_order=*/true, now_, orders);
    for (const OrderToSend& order : orders) Carry(order);
    if (++steps_ % 20 == 0) List();
  }

  // One step, with a request for one of 14 models or their 12 adapters each
  // that comes with the probability `chance`.
  void StepUnderRandomDemand(double chance) {
    if (random_.Unit() < chance) {
      std::string target = ModelName(static_cast<int>(random_.Below(14)));
      if (random_.Unit() < 0.5) {
        target += "/a" + std::to_string(1 + random_.Below(12));
      }
      Report(target, IsReady(target) ? 0 : 1, 1);
    }
    Step();
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) Step();
  }

  void Carry(const OrderToSend& sent) {
    FakeCountedEngine& engine = *engines_.at(sent.engine);
    if (silent_.contains(sent.engine)) return;
    if (sent.order.kind == OrderKind::kInspect) {
      ++questions_;
      if (report_lag_ > Duration{0}) return;  // Not within this test.
      planner_->TakeInventory(engine.Report(), now_, now_);
      return;
    }
    sent_.push_back(sent);
    const double luck = random_.Unit();
    if (luck < lost_) {
      Answer(sent, OrderResult::kUnanswered);
      return;
    }
    if (luck < lost_ + late_) {
      late_orders_.push_back(
          {now_ + milliseconds(2000 + random_.Below(10000)), sent});
      Answer(sent, OrderResult::kUnanswered);
      return;
    }
    const OrderResult result = engine.Execute(sent.order, now_);
    Answer(sent, luck < lost_ + late_ + answer_lost_ ? OrderResult::kUnanswered
                                                     : result);
  }

  void Answer(const OrderToSend& sent, OrderResult result) {
    planner_->TakeOrderResult(sent.engine, sent.order.id, result, now_);
  }

  void DeliverLate() {
    std::erase_if(late_orders_, [this](const LateOrder& late) {
      if (late.arrives > now_) return false;
      engines_.at(late.sent.engine)->Execute(late.sent.order, now_);
      return true;
    });
  }

  int Replicas(const std::string& name) const {
    return static_cast<int>(std::count_if(
        engines_.begin(), engines_.end(),
        [&](const auto& item) { return item.second->IsLoaded(name); }));
  }

  bool IsReady(const std::string& target) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
      const auto ready = planner_->ReadyTargetsOf(item.first);
      return std::find(ready.begin(), ready.end(), target) != ready.end();
    });
  }

  int Count(OrderKind kind, const std::string& name) const {
    return static_cast<int>(
        std::count_if(sent_.begin(), sent_.end(), [&](const auto& sent) {
          return sent.order.kind == kind && sent.order.name == name;
        }));
  }

  int Loads() const {
    int loads = 0;
    for (const auto& [id, engine] : engines_) loads += engine->model_loads();
    return loads;
  }

  struct LateOrder {
    TimePoint arrives;
    OrderToSend sent;
  };

  PolicySet policies_;
  std::set<std::string> silent_;  // Engines that answer nothing.
  FencingToken token_ = 7;
  TimePoint now_ = kStart;
  std::map<std::string, CatalogueEntry> catalogue_;
  std::map<std::string, EngineClass> classes_;
  std::map<std::string, std::unique_ptr<FakeCountedEngine>> engines_;
  std::unique_ptr<FleetPlanner> planner_;
  int questions_ = 0;  // For reports, to all engines.
  std::vector<OrderToSend> sent_;
  std::vector<LateOrder> late_orders_;
  Random random_{1};
  Duration report_lag_{0};
  double lost_ = 0;
  double late_ = 0;
  double answer_lost_ = 0;
  int steps_ = 0;
};

TEST_F(FleetPlannerTest, NothingIsOrderedBeforeTheFirstReport) {
  Use(2, 3);
  Report(ModelName(0), 1);
  std::vector<OrderToSend> orders;
  planner_->Decide(true, now_, orders);
  ASSERT_EQ(orders.size(), 2u);
  for (const OrderToSend& order : orders) {
    EXPECT_EQ(order.order.kind, OrderKind::kInspect);
  }
}

TEST_F(FleetPlannerTest, WaitedForModelIsLoadedOnceFromWhereItIsNearest) {
  Use(3, 4);
  engines_.at("e2")->Place(ModelName(0), kModelBytes);
  List();
  Run(milliseconds(100));
  // It leaves memory, but stays on the disk of e2.
  EngineOrder unload;
  unload.kind = OrderKind::kUnload;
  unload.name = ModelName(0);
  engines_.at("e2")->Execute(unload, now_);
  Run(seconds(12));  // The idle report finds out.
  if (!IsReady(ModelName(0))) {
    Report(ModelName(0), 1);
    Run(milliseconds(2200));
  }
  EXPECT_TRUE(IsReady(ModelName(0)));
  EXPECT_TRUE(engines_.at("e2")->IsLoaded(ModelName(0)));
}

// A caller's rare model waits for a place although one unload is done: the
// report that shows it lags, and the planner waited half a second to be sure.
// The report's count of orders proves that it was written after the unload.
TEST_F(FleetPlannerTest, EndOfAnOrderIsSeenInTheFirstReportThatCountsIt) {
  Use(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  Run(seconds(3));
  const TimePoint asked = now_;
  Report(ModelName(3), 1);
  while (Count(OrderKind::kLoad, ModelName(3)) == 0) {
    Step();
    ASSERT_LT(now_ - asked, seconds(2));
  }
  EXPECT_LE(now_ - asked, milliseconds(300));
}

// Demand moves: a model that was asked for often comes and goes every few
// seconds, pushed out by single requests for rare ones, and its callers wait.
// Nothing is unloaded that earns more a second than what it makes room for.
TEST_F(FleetPlannerTest, BusyModelsStayForSingleRareRequests) {
  Use(1, 6);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  List();
  for (int second = 0; second < 13; ++second) {
    for (int i = 0; i < 3; ++i) Report(ModelName(i), 0, 7);
    if (second >= 3) Report(ModelName(5), 1);
    Run(seconds(1));
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Count(OrderKind::kUnload, ModelName(i)), 0) << ModelName(i);
  }
}

// The other side of the same: once nobody asks for them any more, models that
// were busy give way.
TEST_F(FleetPlannerTest, ModelsThatWereBusyGiveWayWhenDemandHasMoved) {
  Use(1, 6);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  Run(seconds(3));
  for (int i = 0; i < 3; ++i) Report(ModelName(i), 0, 30);
  Run(seconds(20));
  for (int tries = 0; tries < 12 && !IsReady(ModelName(5)); ++tries) {
    Report(ModelName(5), 1);
    Run(seconds(1));
  }
  EXPECT_TRUE(IsReady(ModelName(5)));
}

// An engine refuses adapters while it loads a model. Orders to it were refused
// three times in a row while another engine held the same base model.
TEST_F(FleetPlannerTest, AdaptersGoToAnEngineThatIsNotBusy) {
  Use(2, 8, /*adapters=*/4);
  engines_.at("e0")->Place(ModelName(0), kModelBytes);
  engines_.at("e1")->Place(ModelName(0), kModelBytes);
  List();
  Run(milliseconds(40));
  for (int a = 1; a <= 4; ++a) {
    Report(ModelName(0) + "/a" + std::to_string(a), 1);
    Run(milliseconds(200));
  }
  int refused = 0;
  for (const PlacementEvent& note : planner_->TakeEvents()) {
    if (note.event == "order_answered" && note.reason == "busy") ++refused;
  }
  EXPECT_EQ(refused, 0);
  for (int a = 1; a <= 4; ++a) {
    EXPECT_TRUE(IsReady(ModelName(0) + "/a" + std::to_string(a))) << a;
  }
}

// A model that no engine has at hand waits for the store; those behind it in
// the store's queue would wait past their deadline, and are told when their
// turn is, so that their hosts can refuse them at once.
TEST_F(FleetPlannerTest, ModelsBehindAFullStoreAreToldTheirTurn) {
  Use(9, 60);
  Run(seconds(1));
  HostReport report;
  report.host = "entry";
  for (int i = 40; i < 60; ++i) {
    report.waiting.push_back({ModelName(i), 1, 5.0, seconds(20)});
  }
  planner_->TakeReport(report, now_);
  Step();
  Duration longest{0};
  for (int i = 40; i < 60; ++i) {
    const DemandAnswer answer = planner_->Answer(ModelName(i), now_);
    longest = std::max(longest, answer.expected);
  }
  // Sixteen or more, four at once, six seconds each.
  EXPECT_GE(longest, seconds(24));
}

// Another host took the lease; an engine has seen its token and refuses. This
// planner must not go on ordering with what it believes.
TEST_F(FleetPlannerTest, RefusedTokenEndsAllOrders) {
  Use(1, 4);
  Run(milliseconds(40));
  EngineOrder newer;
  newer.kind = OrderKind::kLoad;
  newer.name = ModelName(3);
  newer.bytes = kModelBytes;
  newer.fence = {token_ + 1, 1};
  engines_.at("e0")->Execute(newer, now_);
  Report(ModelName(0), 1);
  Run(seconds(10));
  EXPECT_TRUE(planner_->is_superseded());
  const size_t sent = sent_.size();
  Report(ModelName(1), 1);
  Run(seconds(5));
  EXPECT_EQ(sent_.size(), sent);
}

// Two hosts took turns as owner: the first one's last load is under way when
// the second asks the engine about something else. The report counts that load,
// but does not list its model yet. Taken for all there is, the place was
// ordered a second time at the moment the load ended, and the engine crashed.
TEST_F(FleetPlannerTest, EngineThatIsBusyForAnEarlierOwnerIsNotFilled) {
  Use(1, 6);
  FakeCountedEngine& engine = *engines_.at("e0");
  engine.Place(ModelName(0), kModelBytes);
  engine.Place(ModelName(1), kModelBytes);
  planner_->SetCatalogue(nullptr, &classes_);  // Nothing to bring ahead.
  Run(seconds(1));
  EngineOrder earlier;
  earlier.kind = OrderKind::kLoad;
  earlier.name = ModelName(2);
  earlier.bytes = kModelBytes;
  earlier.fence = {token_ - 1, 1};
  ASSERT_EQ(engine.Execute(earlier, now_), OrderResult::kAccepted);
  planner_->SetCatalogue(&catalogue_, &classes_);
  Report(ModelName(0), 1);  // A host missed the plan: the engine is asked.
  std::vector<OrderToSend> orders;
  planner_->TakeInventory(engine.Report(), now_, now_);
  now_ += seconds(6);
  engine.Advance(now_);
  Report(ModelName(3), 1);
  planner_->Decide(true, now_, orders);
  for (const OrderToSend& order : orders) {
    if (order.order.kind == OrderKind::kLoad) engine.Execute(order.order, now_);
  }
  EXPECT_FALSE(engine.was_overcommitted());
}

// The owner before has just loaded two adapters when another host takes over.
// Reports lag by some hundred ms, so the new owner's first one shows neither.
// It filled the two places again, and the engine crashed with all it ran.
TEST_F(FleetPlannerTest, AdaptersOfAnEarlierOwnerAreNotLoadedOnTopOf) {
  Use(1, 1, /*adapters=*/12);
  FakeCountedEngine& engine = *engines_.at("e0");
  engine.Place(ModelName(0), kModelBytes);
  const auto adapter = [](int i) {
    return ModelName(0) + "/a" + std::to_string(i);
  };
  const auto load_earlier = [&](int i) {
    EngineOrder earlier;
    earlier.kind = OrderKind::kLoad;
    earlier.name = adapter(i);
    earlier.base = ModelName(0);
    earlier.bytes = 66'000'000;
    earlier.fence = {token_ - 1, 1};
    ASSERT_EQ(engine.Execute(earlier, now_), OrderResult::kAccepted);
  };
  for (int i = 1; i <= 5; ++i) load_earlier(i);
  const Inventory lagging = engine.Report();
  load_earlier(6);
  load_earlier(7);
  planner_->TakeInventory(lagging, now_, now_);
  for (int i = 8; i <= 12; ++i) {
    Report(adapter(i), 1);
    Run(milliseconds(200));
    ASSERT_FALSE(engine.was_overcommitted()) << adapter(i);
  }
  Run(seconds(2));
  EXPECT_FALSE(engine.was_overcommitted());
  EXPECT_TRUE(IsReady(adapter(12))) << "it goes on with what is true";
}

// Engines with all places for adapters taken: each further one needs the place
// of another. While an engine waited for a report after each unload, adapters
// took half a second in place of some ms.
TEST_F(FleetPlannerTest, AdapterTakesAnothersPlaceAtOnce) {
  Use(1, 1, /*adapters=*/12);
  engines_.at("e0")->Place(ModelName(0), kModelBytes);
  Run(milliseconds(100));
  for (int i = 1; i <= 8; ++i) {
    Report(ModelName(0) + "/a" + std::to_string(i), 1, 1);
    Run(milliseconds(100));
  }
  Run(seconds(1));
  const std::string wanted = ModelName(0) + "/a9";
  Report(wanted, 1, 1);
  Run(milliseconds(200));
  EXPECT_TRUE(IsReady(wanted));
  EXPECT_FALSE(engines_.at("e0")->was_overcommitted());
}

// How many loads a weight store brings at full speed is told nowhere. Taken for
// four where it is one, each of four loads takes four times as long and keeps
// its engine from all others meanwhile.
TEST_F(FleetPlannerTest, WidthOfTheStoreIsLearntFromLoadTimes) {
  Use(6, 8);
  Run(seconds(1));
  EXPECT_EQ(planner_->ToJson(now_)["store_loads"], 2);
  Run(seconds(6));  // As fast as told.
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 4.0);
}

TEST_F(FleetPlannerTest, StoreThatSlowsIsAskedForLess) {
  Use(6, 8);
  for (auto& [id, engine] : engines_) engine->load_from_store = seconds(12);
  Run(seconds(13));  // Both took twice as long as told.
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 1.0);
  EXPECT_LE(planner_->ToJson(now_)["store_loads"], 1);
  Run(seconds(30));
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 1.0) << "and stays so";
}

// The weight store is slow: a load takes far longer than told. Callers were
// told for all that time that their model is due at once, and waited until they
// left, instead of being told when to come back.
TEST_F(FleetPlannerTest, LateLoadIsNotPromisedForNow) {
  Use(1, 1);
  engines_.at("e0")->load_from_store = seconds(60);
  Report(ModelName(0), 1);
  Run(seconds(4));
  EXPECT_LE(planner_->Answer(ModelName(0), now_).expected, seconds(3));
  Run(seconds(8));
  const DemandAnswer answer = planner_->Answer(ModelName(0), now_);
  EXPECT_EQ(answer.status, DemandStatus::kLoading);
  EXPECT_GE(answer.expected, seconds(5));
}

// The driver's answer to an order gets lost in the process. The engine would
// take no order again, and a drain would wait for it until it is killed.
TEST_F(FleetPlannerTest, OrderWhoseAnswerNeverComesIsGivenUp) {
  Use(1, 4);
  Run(milliseconds(40));
  std::vector<OrderToSend> orders;
  Report(ModelName(0), 1);
  now_ += milliseconds(50);
  planner_->Decide(true, now_, orders);
  ASSERT_FALSE(planner_->IsIdle());
  now_ += seconds(4);
  planner_->Decide(true, now_, orders);
  EXPECT_TRUE(planner_->IsIdle());
}

// A model becomes popular while all engines are full. Making room takes a third
// of a second, and as nothing counted as being loaded until then, each decision
// of that time, one in 25 ms, emptied a place on one more engine: up to nine
// models that others would ask for went for one replica.
TEST_F(FleetPlannerTest, RoomForAReplicaIsMadeOnOneEngine) {
  Use(8, 24);  // Each has its place: none is brought ahead of requests.
  int model = 0;
  for (auto& [id, engine] : engines_) {
    for (int i = 0; i < 3; ++i) engine->Place(ModelName(model++), kModelBytes);
    engine->unload_time = milliseconds(340);
  }
  List();
  Run(seconds(3));
  for (int i = 0; i < 15; ++i) {
    Report(ModelName(0), 0, /*arrivals=*/4);
    Step();
  }
  const auto unloads =
      std::count_if(sent_.begin(), sent_.end(), [](const OrderToSend& sent) {
        return sent.order.kind == OrderKind::kUnload;
      });
  EXPECT_EQ(unloads, 1);
}

// An engine crashes and is back at once, empty, with copies of its models on
// disk. Each first caller waited for a load, and whoever asked for the second
// and third of its models for those before it too.
TEST_F(FleetPlannerTest, EngineThatComesBackEmptyIsFilledAheadOfRequests) {
  Use(2, 6);
  engines_.at("e1")->Restart(now_);  // Tells when it started.
  for (int i = 0; i < 3; ++i) {
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
    engines_.at("e1")->Place(ModelName(i + 3), kModelBytes);
  }
  List();
  Run(seconds(3));
  engines_.at("e1")->Restart(now_);
  List();
  Run(seconds(8));  // Three loads of 1.6 s from disk, and the first report.
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(IsReady(ModelName(i))) << i;
}

// Many engines load at once, slower than told. The owner asked each of them 16
// times a second how far it was, came to nothing else, and its hosts heard
// nothing of it for seconds.
TEST_F(FleetPlannerTest, ManyLoadsAreAskedAboutLessOften) {
  Use(96, 96);
  for (auto& [id, engine] : engines_) engine->load_from_disk = seconds(10);
  int model = 0;
  for (auto& [id, engine] : engines_) {
    engine->Place(ModelName(model++), kModelBytes);
    engine->Restart(now_);
  }
  List();
  Run(seconds(4));  // All load what is on their disks, ahead of requests.
  questions_ = 0;
  Run(seconds(3));
  EXPECT_GE(questions_, 96);
  EXPECT_LE(questions_, 6 * 96);
}

// Demand moves to a model that two engines hold and many have on disk. Its
// replicas were loaded one after the other, and for 14 s most of its requests
// were turned away beside engines that could have held it.
TEST_F(FleetPlannerTest, ReplicasOfARisingModelAreLoadedSideBySide) {
  Use(12, 3);
  for (auto& [id, engine] : engines_) {
    engine->Place(ModelName(0), kModelBytes);
    engine->Place(ModelName(1), kModelBytes);
  }
  List();
  Run(seconds(3));
  // A copy of it stays on each disk.
  for (auto& [id, engine] : engines_) {
    if (id != "e0" && id != "e1") engine->Lose(ModelName(0));
  }
  List();
  Run(seconds(11));  // Until the next idle report.
  ASSERT_EQ(Replicas(ModelName(0)), 2);
  for (int i = 0; i < 400; ++i) {
    if (i % 2 == 0) Report(ModelName(0), 0, /*arrivals=*/2);
    Step();
  }
  EXPECT_GE(Replicas(ModelName(0)), 8);
}

// A rare model is asked for while all engines are full. Room for it is free
// after 30 ms, but reports tell so 0.3 s later, and its request waited that
// long too.
TEST_F(FleetPlannerTest, LoadFollowsAnUnloadBeforeItsReport) {
  Use(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  List();
  Run(seconds(3));
  report_lag_ = milliseconds(300);
  Report(ModelName(3), 1);
  Run(milliseconds(140));
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(3)), 1);
}

// Many rare models are asked for that no engine has at hand. Room for them is
// made on several engines at once; loaded as soon as it was free, more came
// from the store than it brings at full speed, and all of them late.
TEST_F(FleetPlannerTest, LoadsThatFollowUnloadsKeepToTheStoresWidth) {
  policies_ = *PolicySet::Without("seeding");  // The store is free at first.
  Use(8, 40);
  int model = 0;
  for (auto& [id, engine] : engines_) {
    for (int i = 0; i < 3; ++i) engine->Place(ModelName(model++), kModelBytes);
  }
  List();
  Run(seconds(3));
  HostReport report;
  report.host = "entry";
  for (int cold = 24; cold < 40; ++cold) {
    report.waiting.push_back({ModelName(cold), 1, 5.0, seconds(20)});
  }
  for (int i = 0; i < 100; ++i) {
    planner_->TakeReport(report, now_);
    Step();
    const Json dump = planner_->ToJson(now_);
    ASSERT_LE(dump["store_loads"].get<double>(),
              dump["store_width"].get<double>());
  }
}

// The same with an unload that takes its time: the load is refused, and goes in
// as soon as there is room. Nothing is loaded on top of what is still there.
TEST_F(FleetPlannerTest, LoadThatIsRefusedWaitsForItsRoom) {
  Use(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  engines_.at("e0")->unload_time = milliseconds(700);
  List();
  Run(seconds(3));
  Report(ModelName(3), 1);
  for (int i = 0; i < 30; ++i) {
    Run(milliseconds(100));
    Report(ModelName(3), 1);
  }
  EXPECT_FALSE(engines_.at("e0")->was_overcommitted());
  EXPECT_EQ(engines_.at("e0")->model_loads(), 1);
  EXPECT_LE(Count(OrderKind::kLoad, ModelName(3)), 4);
}

// The busiest model is being loaded onto an engine that crashes. Its listing
// stays for seconds, 13 where the store was away too, and all that time every
// other load of the model was held back for the one under way.
TEST_F(FleetPlannerTest, LoadAtASilentEngineHoldsNoOtherBack) {
  Use(3, 8);
  Run(milliseconds(100));
  Report(ModelName(7), 3);
  Run(milliseconds(100));
  ASSERT_EQ(Count(OrderKind::kLoad, ModelName(7)), 1);
  for (const OrderToSend& sent : sent_) {
    if (sent.order.name == ModelName(7)) silent_.insert(sent.engine);
  }
  for (int i = 0; i < 40; ++i) {
    Report(ModelName(7), 3);
    Run(milliseconds(100));
  }
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(7)), 2);
}

// The only engine with a model crashes. Its listing stays for seconds; while
// the model counted as ready there, it was loaded nowhere else.
TEST_F(FleetPlannerTest, ModelAtASilentEngineIsNotReady) {
  Use(3, 8);
  engines_.at("e0")->Place(ModelName(7), kModelBytes);
  List();
  Run(milliseconds(500));
  ASSERT_TRUE(IsReady(ModelName(7)));
  silent_.insert("e0");
  for (int i = 0; i < 15; ++i) {
    Report(ModelName(7), 3);
    Run(milliseconds(100));
  }
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(7)), 1);
  // It answers again: what it holds serves at once.
  silent_.clear();
  Run(seconds(2));
  EXPECT_EQ(planner_->Answer(ModelName(7), now_).status, DemandStatus::kReady);
}

// An engine crashes and starts again under its id: empty, with its count of
// orders anew. Held against the count before, each of its reports looked old,
// and it got no order for the rest of the day.
TEST_F(FleetPlannerTest, EngineThatStartsAgainUnderItsIdIsUsedAgain) {
  Use(1, 2);  // Both are brought without being asked for.
  engines_.at("e0")->Restart(now_);
  List();
  Run(seconds(15));
  ASSERT_TRUE(IsReady(ModelName(0)));
  engines_.at("e0")->Restart(now_);
  List();
  EXPECT_FALSE(IsReady(ModelName(0)));
  Report(ModelName(0), 1);
  Run(seconds(3));  // Its disk has a copy.
  EXPECT_TRUE(IsReady(ModelName(0)));
}

// A report written before an engine's crash arrives after the news of its new
// life. It names models that are gone; requests would be sent for them.
TEST_F(FleetPlannerTest, ReportOfAnEarlierLifeIsIgnored) {
  Use(1, 4);
  engines_.at("e0")->Restart(now_);
  engines_.at("e0")->Place(ModelName(2), kModelBytes);
  List();
  Run(milliseconds(100));
  ASSERT_TRUE(IsReady(ModelName(2)));
  const Inventory old = engines_.at("e0")->Report();
  engines_.at("e0")->Restart(now_ + seconds(1));
  // Its report is ahead of the listing.
  planner_->TakeInventory(engines_.at("e0")->Report(), now_, now_);
  EXPECT_FALSE(IsReady(ModelName(2)));
  planner_->TakeInventory(old, now_, now_);
  EXPECT_FALSE(IsReady(ModelName(2)));
}

// Guards against a model that stays with a server which takes little of what is
// asked for it: the rest has nowhere to go.
TEST_F(FleetPlannerTest, ReplicaIsLoadedBesideALimitedServer) {
  Use(/*engines=*/3, /*models=*/2);
  engines_["e0"]->Place(ModelName(0), kModelBytes);
  engines_["e1"]->Lose("none");
  List();
  Run(seconds(1));
  planner_->SetLimits({{"e0", 0.1}});
  for (int i = 0; i < 40; ++i) {
    Report(ModelName(0), 0, i % 4 == 0 ? 1 : 0);
    Run(milliseconds(250));
  }
  const int holders = engines_["e1"]->IsLoaded(ModelName(0)) +
                      engines_["e2"]->IsLoaded(ModelName(0));
  EXPECT_GE(holders, 1);
}

// An order that nobody answered may be carried out seconds later, after newer
// ones; an engine that is then ordered to load more than fits crashes with all
// it runs. The count in each order makes the late one void.
class FleetPlannerChaosTest : public FleetPlannerTest,
                              public testing::WithParamInterface<int> {};

TEST_P(FleetPlannerChaosTest, MemoryIsNeverOvercommitted) {
  SCOPED_TRACE(testing::Message() << "seed " << GetParam());
  random_ = Random(static_cast<uint64_t>(GetParam()));
  lost_ = 0.1;
  late_ = 0.2;
  answer_lost_ = 0.1;
  Use(4, 14, /*adapters=*/12);
  int loads_at_half = 0;
  for (int step = 0; step < 1500; ++step) {
    StepUnderRandomDemand(0.2);
    if (step == 750) loads_at_half = Loads();
    for (const auto& [id, engine] : engines_) {
      ASSERT_FALSE(engine->was_overcommitted()) << id << " at step " << step;
    }
  }
  // It must have gone on under all that; in the second half too.
  EXPECT_GT(loads_at_half, 1);
  EXPECT_GT(Loads(), loads_at_half);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetPlannerChaosTest, testing::Range(1, 41));

// Engines crash and start again under their ids while orders of their earlier
// lives are still on the way, to be carried out by the new ones.
class FleetPlannerRestartTest : public FleetPlannerTest,
                                public testing::WithParamInterface<int> {};

TEST_P(FleetPlannerRestartTest, MemoryIsNeverOvercommitted) {
  SCOPED_TRACE(testing::Message() << "seed " << GetParam());
  random_ = Random(static_cast<uint64_t>(GetParam()));
  lost_ = 0.1;
  late_ = 0.2;
  answer_lost_ = 0.1;
  Use(4, 14, /*adapters=*/12);
  for (auto& [id, engine] : engines_) engine->Restart(now_);
  int loads_at_half = 0;
  for (int step = 0; step < 1500; ++step) {
    if (random_.Unit() < 0.005) {
      engines_.at("e" + std::to_string(random_.Below(4)))->Restart(now_);
    }
    StepUnderRandomDemand(0.2);
    if (step == 750) loads_at_half = Loads();
    for (const auto& [id, engine] : engines_) {
      ASSERT_FALSE(engine->was_overcommitted()) << id << " at step " << step;
    }
  }
  EXPECT_GT(loads_at_half, 1);
  EXPECT_GT(Loads(), loads_at_half);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetPlannerRestartTest, testing::Range(1, 41));

// A policy that is switched off makes placement worse, but may not break what
// it promises.
class FleetPlannerSwitchTest : public FleetPlannerTest,
                               public testing::WithParamInterface<const char*> {
};

TEST_P(FleetPlannerSwitchTest, MemoryIsNeverOvercommitted) {
  policies_ = *PolicySet::Without(GetParam());
  lost_ = 0.1;
  late_ = 0.2;
  answer_lost_ = 0.1;
  Use(4, 14, /*adapters=*/12);
  for (int step = 0; step < 1500; ++step) {
    StepUnderRandomDemand(0.3);
    for (const auto& [id, engine] : engines_) {
      ASSERT_FALSE(engine->was_overcommitted()) << id << " at step " << step;
    }
  }
  EXPECT_GT(Loads(), 1);
}

INSTANTIATE_TEST_SUITE_P(Policies, FleetPlannerSwitchTest,
                         testing::Values("overload_replicas", "second_replica",
                                         "last_pair", "seeding", "store_width",
                                         "reservations", "adapter_affinity",
                                         "blocked_adapters", "silence"));

}  // namespace
}  // namespace applehall

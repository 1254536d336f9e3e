#include "placement/fleet_planner.h"

#include "tests/placement/fleet_planner_fixture.h"

namespace applehall {
namespace {

TEST_F(FleetPlannerTest, NoModelOrderBeforeFirstReport) {
  CreateEngines(2, 3);
  Report(ModelName(0), 1);
  std::vector<OrderToSend> orders;
  planner_->Decide(true, now_, orders);
  ASSERT_EQ(orders.size(), 2u);
  for (const OrderToSend& order : orders) {
    EXPECT_EQ(order.order.kind, OrderKind::kInspect);
  }
}

TEST_F(FleetPlannerTest, DemandedModelIsLoadedFromNearestCopy) {
  CreateEngines(3, 4);
  engines_.at("e2")->Place(ModelName(0), kModelBytes);
  UpdateListing();
  Run(milliseconds(100));
  // Unloads it; a copy remains on the disk of e2.
  EngineOrder unload;
  unload.kind = OrderKind::kUnload;
  unload.name = ModelName(0);
  engines_.at("e2")->Execute(unload, now_);
  Run(seconds(12));  // Until the next idle report.
  if (!IsReady(ModelName(0))) {
    Report(ModelName(0), 1);
    Run(milliseconds(2200));
  }
  EXPECT_TRUE(IsReady(ModelName(0)));
  EXPECT_TRUE(engines_.at("e2")->IsLoaded(ModelName(0)));
}

// Guards against waiting out the report lag after an unload: a report whose
// count includes the unload proves that it was written after it.
TEST_F(FleetPlannerTest, FirstReportThatCountsAnOrderConfirmsItsEnd) {
  CreateEngines(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  Run(seconds(3));
  const TimePoint requested_at = now_;
  Report(ModelName(3), 1);
  while (Count(OrderKind::kLoad, ModelName(3)) == 0) {
    Step();
    ASSERT_LT(now_ - requested_at, seconds(2));
  }
  EXPECT_LE(now_ - requested_at, milliseconds(300));
}

// Guards against evicting busy models for single requests for rare ones, which
// would unload and reload them every few seconds.
TEST_F(FleetPlannerTest, SingleRareRequestDoesNotEvictBusyModels) {
  CreateEngines(1, 6);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  UpdateListing();
  for (int second = 0; second < 13; ++second) {
    for (int i = 0; i < 3; ++i) Report(ModelName(i), 0, 7);
    if (second >= 3) Report(ModelName(5), 1);
    Run(seconds(1));
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Count(OrderKind::kUnload, ModelName(i)), 0) << ModelName(i);
  }
}

// The reverse case: models that were busy are evicted once their demand ends.
TEST_F(FleetPlannerTest, BusyModelsAreEvictedAfterTheirDemandEnds) {
  CreateEngines(1, 6);
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

// Guards against ordering adapters on an engine that refuses them during a
// model load while another engine holds the same base model.
TEST_F(FleetPlannerTest, AdaptersAreOrderedOnIdleEngine) {
  CreateEngines(2, 8, /*adapters=*/4);
  engines_.at("e0")->Place(ModelName(0), kModelBytes);
  engines_.at("e1")->Place(ModelName(0), kModelBytes);
  UpdateListing();
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

// Models of which no engine has a copy queue for the weight store. The expected
// time must include the queue, so that hosts can refuse requests that would
// miss their deadline.
TEST_F(FleetPlannerTest, ExpectedTimeIncludesStoreQueue) {
  CreateEngines(9, 60);
  Run(seconds(1));
  HostReport report;
  report.host = "entry";
  for (int i = 40; i < 60; ++i) {
    report.waiting.push_back({ModelName(i), 1, 5.0, seconds(20)});
  }
  planner_->HandleReport(report, now_);
  Step();
  Duration longest{0};
  for (int i = 40; i < 60; ++i) {
    const DemandAnswer answer = planner_->Answer(ModelName(i), now_);
    longest = std::max(longest, answer.expected);
  }
  // At least 16 loads of 6 s each, four at a time.
  EXPECT_GE(longest, seconds(24));
}

// Guards against orders by a superseded planner: another host has taken the
// lease, and an engine refuses this planner's token.
TEST_F(FleetPlannerTest, RefusedTokenStopsAllOrders) {
  CreateEngines(1, 4);
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

// Guards against overcommitting memory after a change of owner: a report counts
// the earlier owner's load in progress but does not list its model yet, so its
// memory looks free.
TEST_F(FleetPlannerTest, EngineBusyForEarlierOwnerIsNotOvercommitted) {
  CreateEngines(1, 6);
  FakeCountedEngine& engine = *engines_.at("e0");
  engine.Place(ModelName(0), kModelBytes);
  engine.Place(ModelName(1), kModelBytes);
  planner_->SetCatalogue(nullptr, &classes_);  // Nothing to load ahead.
  Run(seconds(1));
  EngineOrder earlier;
  earlier.kind = OrderKind::kLoad;
  earlier.name = ModelName(2);
  earlier.bytes = kModelBytes;
  earlier.fence = {token_ - 1, 1};
  ASSERT_EQ(engine.Execute(earlier, now_), OrderResult::kAccepted);
  planner_->SetCatalogue(&catalogue_, &classes_);
  Report(ModelName(0), 1);  // A host missed the plan: requests a report.
  std::vector<OrderToSend> orders;
  planner_->HandleInventory(engine.Report(), now_, now_);
  now_ += seconds(6);
  engine.Advance(now_);
  Report(ModelName(3), 1);
  planner_->Decide(true, now_, orders);
  for (const OrderToSend& order : orders) {
    if (order.order.kind == OrderKind::kLoad) engine.Execute(order.order, now_);
  }
  EXPECT_FALSE(engine.was_overcommitted());
}

// Guards against overcommitting adapter slots after a change of owner: the
// first report lags and lacks two adapters that the earlier owner has just
// loaded.
TEST_F(FleetPlannerTest, AdaptersOfEarlierOwnerAreNotOvercommitted) {
  CreateEngines(1, 1, /*adapters=*/12);
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
  planner_->HandleInventory(lagging, now_, now_);
  for (int i = 8; i <= 12; ++i) {
    Report(adapter(i), 1);
    Run(milliseconds(200));
    ASSERT_FALSE(engine.was_overcommitted()) << adapter(i);
  }
  Run(seconds(2));
  EXPECT_FALSE(engine.was_overcommitted());
  EXPECT_TRUE(IsReady(adapter(12))) << "must resume with the true state";
}

// Guards against waiting for a report after each adapter unload. With all slots
// taken, an adapter would then take half a second instead of some ms.
TEST_F(FleetPlannerTest, AdapterReplacesAnotherWithoutReport) {
  CreateEngines(1, 1, /*adapters=*/12);
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

// The number of loads that the weight store serves at full speed is not
// configured. Too high an estimate slows all loads and blocks their engines.
TEST_F(FleetPlannerTest, StoreWidthGrowsWhileLoadsAreFast) {
  CreateEngines(6, 8);
  Run(seconds(1));
  EXPECT_EQ(planner_->ToJson(now_)["store_loads"], 2);
  Run(seconds(6));  // Loads take the configured time.
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 4.0);
}

TEST_F(FleetPlannerTest, StoreWidthShrinksWhenLoadsAreSlow) {
  CreateEngines(6, 8);
  for (auto& [id, engine] : engines_) engine->load_from_store = seconds(12);
  Run(seconds(13));  // Both loads take twice the configured time.
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 1.0);
  EXPECT_LE(planner_->ToJson(now_)["store_loads"], 1);
  Run(seconds(30));
  EXPECT_EQ(planner_->ToJson(now_)["store_width"], 1.0)
      << "must not grow again";
}

// Guards against reporting a late load as due at once for as long as it is
// late: callers would wait instead of getting a time after which to retry.
TEST_F(FleetPlannerTest, LateLoadIsNotExpectedAtOnce) {
  CreateEngines(1, 1);
  engines_.at("e0")->load_from_store = seconds(60);
  Report(ModelName(0), 1);
  Run(seconds(4));
  EXPECT_LE(planner_->Answer(ModelName(0), now_).expected, seconds(3));
  Run(seconds(8));
  const DemandAnswer answer = planner_->Answer(ModelName(0), now_);
  EXPECT_EQ(answer.status, DemandStatus::kLoading);
  EXPECT_GE(answer.expected, seconds(5));
}

// Guards against an order that stays open forever because its answer was lost
// in the process. It would block its engine and a drain of the host.
TEST_F(FleetPlannerTest, OrderWithoutAnswerExpires) {
  CreateEngines(1, 4);
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

// Guards against evicting on several engines for one replica: an unload takes a
// third of a second, and until it ends the model is not loading anywhere while
// decisions are made every 25 ms.
TEST_F(FleetPlannerTest, OneReplicaEvictsOnOneEngineOnly) {
  CreateEngines(8, 24);  // All models fit, so none is loaded ahead of requests.
  int model = 0;
  for (auto& [id, engine] : engines_) {
    for (int i = 0; i < 3; ++i) engine->Place(ModelName(model++), kModelBytes);
    engine->unload_time = milliseconds(340);
  }
  UpdateListing();
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

// Guards against leaving an engine empty after a restart although its disk has
// copies: the first request for each model would wait for a load.
TEST_F(FleetPlannerTest, RestartedEngineLoadsFromDiskAheadOfRequests) {
  CreateEngines(2, 6);
  engines_.at("e1")->Restart(now_);  // Sets its start time.
  for (int i = 0; i < 3; ++i) {
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
    engines_.at("e1")->Place(ModelName(i + 3), kModelBytes);
  }
  UpdateListing();
  Run(seconds(3));
  engines_.at("e1")->Restart(now_);
  UpdateListing();
  Run(seconds(8));  // Three loads of 1.6 s from disk, and the first report.
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(IsReady(ModelName(i))) << i;
}

// Guards against overloading the owner when many engines load slowly at once:
// polling each 16 times per second leaves no time for other work.
TEST_F(FleetPlannerTest, ManyOpenLoadsArePolledLessOften) {
  CreateEngines(96, 96);
  for (auto& [id, engine] : engines_) engine->load_from_disk = seconds(10);
  int model = 0;
  for (auto& [id, engine] : engines_) {
    engine->Place(ModelName(model++), kModelBytes);
    engine->Restart(now_);
  }
  UpdateListing();
  Run(seconds(4));  // All engines load from disk ahead of requests.
  report_requests_ = 0;
  Run(seconds(3));
  EXPECT_GE(report_requests_, 96);
  EXPECT_LE(report_requests_, 6 * 96);
}

// Guards against loading the missing replicas of a model one after the other:
// most requests would be rejected for 14 s although engines have copies on
// disk.
TEST_F(FleetPlannerTest, MissingReplicasAreLoadedConcurrently) {
  CreateEngines(12, 3);
  for (auto& [id, engine] : engines_) {
    engine->Place(ModelName(0), kModelBytes);
    engine->Place(ModelName(1), kModelBytes);
  }
  UpdateListing();
  Run(seconds(3));
  // A copy remains on each disk.
  for (auto& [id, engine] : engines_) {
    if (id != "e0" && id != "e1") engine->Lose(ModelName(0));
  }
  UpdateListing();
  Run(seconds(11));  // Until the next idle report.
  ASSERT_EQ(Replicas(ModelName(0)), 2);
  for (int i = 0; i < 400; ++i) {
    if (i % 2 == 0) Report(ModelName(0), 0, /*arrivals=*/2);
    Step();
  }
  EXPECT_GE(Replicas(ModelName(0)), 8);
}

// Guards against waiting for the report of an unload, which lags by 0.3 s while
// the unload takes only 30 ms.
TEST_F(FleetPlannerTest, LoadIsSentBeforeReportOfUnload) {
  CreateEngines(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  UpdateListing();
  Run(seconds(3));
  report_lag_ = milliseconds(300);
  Report(ModelName(3), 1);
  Run(milliseconds(140));
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(3)), 1);
}

// Guards against exceeding the store's width when several engines evict at once
// for models without a copy and load as soon as the memory is free.
TEST_F(FleetPlannerTest, LoadsAfterUnloadsStayWithinStoreWidth) {
  policies_ = *PolicySet::Without("seeding");  // The store is free at first.
  CreateEngines(8, 40);
  int model = 0;
  for (auto& [id, engine] : engines_) {
    for (int i = 0; i < 3; ++i) engine->Place(ModelName(model++), kModelBytes);
  }
  UpdateListing();
  Run(seconds(3));
  HostReport report;
  report.host = "entry";
  for (int cold = 24; cold < 40; ++cold) {
    report.waiting.push_back({ModelName(cold), 1, 5.0, seconds(20)});
  }
  for (int i = 0; i < 100; ++i) {
    planner_->HandleReport(report, now_);
    Step();
    const Json dump = planner_->ToJson(now_);
    ASSERT_LE(dump["store_loads"].get<double>(),
              dump["store_width"].get<double>());
  }
}

// A load sent after a slow unload is refused and retried until the memory is
// free. It must not overcommit the engine.
TEST_F(FleetPlannerTest, RefusedLoadIsRetriedWithoutOvercommit) {
  CreateEngines(1, 4);
  for (int i = 0; i < 3; ++i)
    engines_.at("e0")->Place(ModelName(i), kModelBytes);
  engines_.at("e0")->unload_time = milliseconds(700);
  UpdateListing();
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

// Guards against waiting for a load on a crashed engine, which stays listed for
// seconds, or 13 s while the store is unavailable.
TEST_F(FleetPlannerTest, LoadOnUnresponsiveEngineDoesNotBlockOthers) {
  CreateEngines(3, 8);
  Run(milliseconds(100));
  Report(ModelName(7), 3);
  Run(milliseconds(100));
  ASSERT_EQ(Count(OrderKind::kLoad, ModelName(7)), 1);
  for (const OrderToSend& sent : sent_) {
    if (sent.order.name == ModelName(7)) unresponsive_.insert(sent.engine);
  }
  for (int i = 0; i < 40; ++i) {
    Report(ModelName(7), 3);
    Run(milliseconds(100));
  }
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(7)), 2);
}

// Guards against counting a model as ready on a crashed engine that is still
// listed: no other engine would load it.
TEST_F(FleetPlannerTest, ModelOnUnresponsiveEngineIsNotReady) {
  CreateEngines(3, 8);
  engines_.at("e0")->Place(ModelName(7), kModelBytes);
  UpdateListing();
  Run(milliseconds(500));
  ASSERT_TRUE(IsReady(ModelName(7)));
  unresponsive_.insert("e0");
  for (int i = 0; i < 15; ++i) {
    Report(ModelName(7), 3);
    Run(milliseconds(100));
  }
  EXPECT_EQ(Count(OrderKind::kLoad, ModelName(7)), 1);
  // Once the engine answers again, its models are ready at once.
  unresponsive_.clear();
  Run(seconds(2));
  EXPECT_EQ(planner_->Answer(ModelName(7), now_).status, DemandStatus::kReady);
}

// Guards against treating the reports of a restarted engine as outdated because
// it counts its orders from zero again: it would never get an order.
TEST_F(FleetPlannerTest, RestartedEngineIsOrderedAgain) {
  CreateEngines(1, 2);  // Both are loaded without demand.
  engines_.at("e0")->Restart(now_);
  UpdateListing();
  Run(seconds(15));
  ASSERT_TRUE(IsReady(ModelName(0)));
  engines_.at("e0")->Restart(now_);
  UpdateListing();
  EXPECT_FALSE(IsReady(ModelName(0)));
  Report(ModelName(0), 1);
  Run(seconds(3));  // Its disk has a copy.
  EXPECT_TRUE(IsReady(ModelName(0)));
}

// Guards against routing requests by a report of the incarnation before a crash
// that arrives after one of the new incarnation.
TEST_F(FleetPlannerTest, ReportOfEarlierIncarnationIsIgnored) {
  CreateEngines(1, 4);
  engines_.at("e0")->Restart(now_);
  engines_.at("e0")->Place(ModelName(2), kModelBytes);
  UpdateListing();
  Run(milliseconds(100));
  ASSERT_TRUE(IsReady(ModelName(2)));
  const Inventory old = engines_.at("e0")->Report();
  engines_.at("e0")->Restart(now_ + seconds(1));
  // The new report arrives before the listing.
  planner_->HandleInventory(engines_.at("e0")->Report(), now_, now_);
  EXPECT_FALSE(IsReady(ModelName(2)));
  planner_->HandleInventory(old, now_, now_);
  EXPECT_FALSE(IsReady(ModelName(2)));
}

// Guards against leaving a model only on a server whose rate limit is below its
// demand.
TEST_F(FleetPlannerTest, ReplicaIsLoadedBesideRateLimitedServer) {
  CreateEngines(/*engines=*/3, /*models=*/2);
  engines_["e0"]->Place(ModelName(0), kModelBytes);
  engines_["e1"]->Lose("none");
  UpdateListing();
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

// An order without an answer may be executed seconds later, after newer ones,
// and an engine that is ordered to load more than fits crashes. The count in
// each order must make the engine refuse the late one.
class FleetPlannerChaosTest : public FleetPlannerTest,
                              public testing::WithParamInterface<int> {};

TEST_P(FleetPlannerChaosTest, MemoryIsNeverOvercommitted) {
  SCOPED_TRACE(testing::Message() << "seed " << GetParam());
  random_ = Random(static_cast<uint64_t>(GetParam()));
  order_loss_rate_ = 0.1;
  order_delay_rate_ = 0.2;
  answer_loss_rate_ = 0.1;
  CreateEngines(4, 14, /*adapters=*/12);
  int loads_at_half = 0;
  for (int step = 0; step < 1500; ++step) {
    StepUnderRandomDemand(0.2);
    if (step == 750) loads_at_half = Loads();
    for (const auto& [id, engine] : engines_) {
      ASSERT_FALSE(engine->was_overcommitted()) << id << " at step " << step;
    }
  }
  // Loads must have continued despite the faults, also in the second half.
  EXPECT_GT(loads_at_half, 1);
  EXPECT_GT(Loads(), loads_at_half);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetPlannerChaosTest, testing::Range(1, 41));

// Engines crash and restart under the same ids while orders to their earlier
// incarnations are in flight and may be executed by the new ones.
class FleetPlannerRestartTest : public FleetPlannerTest,
                                public testing::WithParamInterface<int> {};

TEST_P(FleetPlannerRestartTest, MemoryIsNeverOvercommitted) {
  SCOPED_TRACE(testing::Message() << "seed " << GetParam());
  random_ = Random(static_cast<uint64_t>(GetParam()));
  order_loss_rate_ = 0.1;
  order_delay_rate_ = 0.2;
  answer_loss_rate_ = 0.1;
  CreateEngines(4, 14, /*adapters=*/12);
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

// Disabling a policy may make placement worse but must not break its
// guarantees.
class FleetPlannerSwitchTest : public FleetPlannerTest,
                               public testing::WithParamInterface<const char*> {
};

TEST_P(FleetPlannerSwitchTest, MemoryIsNeverOvercommitted) {
  policies_ = *PolicySet::Without(GetParam());
  order_loss_rate_ = 0.1;
  order_delay_rate_ = 0.2;
  answer_loss_rate_ = 0.1;
  CreateEngines(4, 14, /*adapters=*/12);
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
                                         "blocked_adapters", "service_turns",
                                         "silence"));

}  // namespace
}  // namespace applehall

// Failure tests of whole deployments: several nodes and the fakes, under a
// paused clock. Each test ends with a check of the promises against the fakes'
// records.

#include <gtest/gtest.h>

#include "core/uuid.h"
#include "standins/deployment.h"
#include "tests/node/test_rules.h"

namespace applehall {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class NodeFailureTest : public testing::Test {
 protected:
  static DeploymentSettings Defaults() {
    DeploymentSettings settings;
    settings.catalogue = TestCatalogue(12);
    settings.node.owner.default_keep = minutes(10);
    return settings;
  }

  void Start(DeploymentSettings settings, const Json& rules = TestRules()) {
    deployment_ = std::make_unique<Deployment>(std::move(settings));
    deployment_->Publish(rules, 0);
    AwaitReady();
  }

  void AwaitReady() {
    deployment_->RunUntil(
        [this] {
          for (const std::string& host : deployment_->HostNames()) {
            if (deployment_->IsAlive(host) &&
                !deployment_->node(host).IsReady()) {
              return false;
            }
          }
          return OwnerOf("north/0") != "" && OwnerOf("south/0") != "";
        },
        seconds(30));
    deployment_->RunFor(seconds(2));
  }

  std::string OwnerOf(const std::string& group) {
    for (const std::string& host : deployment_->HostNames()) {
      if (!deployment_->IsAlive(host)) continue;
      const GroupOwnership* ownership =
          deployment_->node(host).context().control.ownership().Find(group);
      if (ownership != nullptr && ownership->is_owned()) {
        return ownership->owner.host;
      }
    }
    return "";
  }

  std::string OtherHost(const std::string& owner) {
    return owner == "entry-1" ? "entry-2" : "entry-1";
  }

  bool IsAnswered(uint64_t id) {
    return deployment_->outcome(id).answer_count == 1 &&
           deployment_->outcome(id).is_answered;
  }

  std::string Reason(uint64_t id) {
    const RequestOutcome& outcome = deployment_->outcome(id);
    if (outcome.answer_count == 0) return "no outcome";
    if (outcome.is_answered) return "answered";
    return std::string(RefusalReasonName(outcome.refusal.reason)) + ": " +
           outcome.refusal.detail;
  }

  int EnginesWith(const std::string& model, const std::string& data_centre) {
    int count = 0;
    for (const auto& [name, engine] : deployment_->engines()) {
      if (engine->settings().data_centre != data_centre) continue;
      for (const std::string& resident : engine->ResidentTargets()) {
        count += resident == model;
      }
    }
    return count;
  }

  std::string NewKey() { return MakeUuid7(deployment_->now(), random_); }

  void TearDown() override {
    if (!deployment_) return;
    EXPECT_TRUE(deployment_->violations().empty())
        << *deployment_->violations().begin();
  }

  Random random_{5};
  std::unique_ptr<Deployment> deployment_;
};

// Every host receives many requests for the same cold model in the same second.
// One load per data centre must serve them all; one per host would fill the
// engines with copies.
TEST_F(NodeFailureTest, BurstAtAllHostsLoadsOnce) {
  Start(Defaults());
  std::vector<uint64_t> requests;
  for (int i = 0; i < 40; ++i) {
    for (const std::string& host : deployment_->HostNames()) {
      requests.push_back(deployment_->Send(host, "model-3"));
    }
  }
  deployment_->RunFor(seconds(20));
  for (const uint64_t id : requests) EXPECT_TRUE(IsAnswered(id)) << Reason(id);
  EXPECT_EQ(deployment_->total_loads(), 2u) << "one for each data centre";
}

// An adapter is requested while neither it nor its base model is loaded.
TEST_F(NodeFailureTest, AdapterLoadIncludesBaseModel) {
  Start(Defaults());
  const uint64_t id = deployment_->Send("entry-1", "adapter-1");
  deployment_->RunFor(seconds(15));
  EXPECT_TRUE(IsAnswered(id)) << Reason(id);
  EXPECT_EQ(EnginesWith("model-1", "north"), 1);
}

// The engines are filled exactly with idle models. A request for another model
// waited until its deadline, because an engine without any free memory was
// never evicted from.
TEST_F(NodeFailureTest, FullEnginesEvictIdleModels) {
  DeploymentSettings settings = Defaults();
  settings.engines = 2;
  settings.engine_bytes = 1'400'000'000;  // Two models and the KV cache.
  Start(settings);
  deployment_->Send("entry-1", "model-1");
  deployment_->Send("entry-1", "model-2");
  deployment_->RunFor(seconds(15));
  ASSERT_EQ(EnginesWith("model-1", "north") + EnginesWith("model-2", "north"),
            2);
  const uint64_t id = deployment_->Send("entry-1", "model-3");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(IsAnswered(id)) << Reason(id);
}

// The engine is full with a base model and its adapters, which must be unloaded
// together.
TEST_F(NodeFailureTest, BaseIsUnloadedWithItsAdapters) {
  DeploymentSettings settings = Defaults();
  settings.engines = 2;
  settings.engine_bytes = 950'000'000;
  Start(settings);
  deployment_->Send("entry-1", "adapter-0");
  deployment_->RunFor(seconds(15));
  ASSERT_EQ(EnginesWith("adapter-0", "north"), 1);
  const uint64_t id = deployment_->Send("entry-1", "model-3");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(IsAnswered(id)) << Reason(id);
}

// The owner is killed during a load that it ordered. Its successor must find
// the load in the engine's inventory and wait for it, not order a second one.
TEST_F(NodeFailureTest, OwnerKilledInLoadIsAdopted) {
  Start(Defaults());
  const std::string owner = OwnerOf("north/0");
  const std::string other = OtherHost(owner);
  const uint64_t id = deployment_->Send(other, "model-4");
  deployment_->RunUntil([&] { return EnginesWith("model-4", "north") == 1; },
                        seconds(5));
  deployment_->KillHost(owner);
  deployment_->RemoveFromHostList(owner);
  deployment_->RunFor(seconds(25));
  EXPECT_EQ(OwnerOf("north/0"), other);
  EXPECT_TRUE(IsAnswered(id)) << Reason(id);
  EXPECT_EQ(deployment_->total_loads(), 1u);
}

// The owner is paused for 20 s, as by a VM snapshot, and another host takes
// over with the same view of free memory. The old owner resumes with pending
// orders and assumes that it still owns the engines.
TEST_F(NodeFailureTest, ResumedOwnerCannotOrder) {
  DeploymentSettings settings = Defaults();
  settings.engines = 2;
  settings.engine_bytes = 1'500'000'000;
  Start(settings);
  const std::string owner = OwnerOf("north/0");
  const std::string other = OtherHost(owner);
  deployment_->Send(owner, "model-1");
  deployment_->RunFor(milliseconds(30));
  deployment_->PauseHost(owner);
  std::vector<uint64_t> requests;
  for (const char* model : {"model-2", "model-3", "model-5"}) {
    requests.push_back(deployment_->Send(other, model));
  }
  deployment_->RunFor(seconds(20));
  EXPECT_EQ(OwnerOf("north/0"), other);
  for (int i = 6; i < 10; ++i) {
    deployment_->Send(owner, "model-" + std::to_string(i));
  }
  deployment_->ResumeHost(owner);
  deployment_->RunFor(seconds(30));
  for (const uint64_t id : requests) {
    EXPECT_EQ(deployment_->outcome(id).answer_count, 1);
  }
}

// The same with engines that accept orders from any host. The new owner must
// not use them until the old one has reported that it stopped; otherwise both
// fill the same memory.
TEST_F(NodeFailureTest, UnfencedEnginesWaitForTheFormerOwner) {
  DeploymentSettings settings = Defaults();
  settings.engines = 2;
  settings.unfenced_engines = 2;
  Start(settings);
  const std::string owner = OwnerOf("north/0");
  const std::string other = OtherHost(owner);
  deployment_->PauseHost(owner);
  deployment_->RunFor(seconds(10));
  ASSERT_EQ(OwnerOf("north/0"), other);
  const uint64_t blocked =
      deployment_->Send(other, "model-7", "web", seconds(8));
  deployment_->RunFor(seconds(10));
  EXPECT_EQ(EnginesWith("model-7", "north"), 0) << "two owners at once";
  EXPECT_EQ(deployment_->outcome(blocked).answer_count, 1);
  deployment_->ResumeHost(owner);
  deployment_->RunFor(seconds(10));
  const uint64_t free = deployment_->Send(other, "model-7");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(IsAnswered(free)) << Reason(free);
}

// Engines accept orders from any host, and orders take seconds to arrive. The
// owner is paused with loads in flight, loses its ownership and resumes. If it
// released at once, the new owner would count memory as free that those loads
// are about to use.
TEST_F(NodeFailureTest, ReleaseWaitsForOrdersInFlight) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    DeploymentSettings settings = Defaults();
    settings.seed = seed;
    settings.engines = 2;
    settings.unfenced_engines = 2;
    settings.engine_bytes = 1'400'000'000;
    Start(settings);
    const std::string owner = OwnerOf("north/0");
    const std::string other = OtherHost(owner);
    deployment_->SetOrderFaults(0, 0, seconds(9));
    deployment_->Send(owner, "model-1");
    deployment_->Send(owner, "model-2");
    deployment_->RunFor(milliseconds(100));
    deployment_->PauseHost(owner);
    deployment_->RunFor(seconds(5));
    deployment_->ResumeHost(owner);
    deployment_->RunFor(milliseconds(300));
    deployment_->SetOrderFaults(0, 0, Duration{0});
    deployment_->Send(other, "model-3");
    deployment_->Send(other, "model-4");
    deployment_->RunFor(seconds(20));
    ASSERT_TRUE(deployment_->violations().empty())
        << *deployment_->violations().begin();
  }
}

// The owner is killed while the one engine that holds a model is unreachable.
// Its successor does not know what that engine holds; loading the model
// elsewhere would exceed the rule's one replica.
TEST_F(NodeFailureTest, UnreachableEngineMayHoldModel) {
  Start(Defaults());
  const std::string owner = OwnerOf("north/0");
  const std::string other = OtherHost(owner);
  const uint64_t warm = deployment_->Send(other, "model-1");
  deployment_->RunFor(seconds(10));
  ASSERT_TRUE(IsAnswered(warm));
  for (const auto& [name, engine] : deployment_->engines()) {
    if (engine->settings().data_centre == "north" &&
        engine->IsReady("model-1")) {
      deployment_->SetEngineFailing(name, true);
    }
  }
  deployment_->KillHost(owner);
  deployment_->RemoveFromHostList(owner);
  deployment_->RunFor(seconds(10));
  ASSERT_EQ(OwnerOf("north/0"), other);
  for (int i = 0; i < 20; ++i) {
    deployment_->Send(other, "model-1", "web", seconds(5));
    deployment_->RunFor(milliseconds(500));
  }
  EXPECT_EQ(EnginesWith("model-1", "north"), 1);
}

// The former owner of engines that accept any order is gone for good. The new
// owner may load once the host list confirms it and the maximum order delay has
// passed.
TEST_F(NodeFailureTest, UnfencedEnginesAreTakenAfterConfirmedDeparture) {
  DeploymentSettings settings = Defaults();
  settings.engines = 2;
  settings.unfenced_engines = 2;
  Start(settings);
  const std::string owner = OwnerOf("north/0");
  const std::string other = OtherHost(owner);
  deployment_->KillHost(owner);
  deployment_->RemoveFromHostList(owner);
  deployment_->RunFor(seconds(30));
  const uint64_t id = deployment_->Send(other, "model-7");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(IsAnswered(id)) << Reason(id);
}

// The log is down for ten minutes. Owners must still serve warm and cold
// models; only requests that the log guards are refused, at once and with the
// true reason.
TEST_F(NodeFailureTest, LogDownServesModelsAndRefusesDoors) {
  Start(Defaults());
  deployment_->SetLogUnavailable(true);
  deployment_->RunFor(seconds(5));
  const uint64_t cold = deployment_->Send("entry-1", "model-5");
  const uint64_t door = deployment_->CallService("entry-2", "doors", NewKey());
  deployment_->RunFor(seconds(1));
  EXPECT_EQ(Reason(door),
            "log_unavailable: the log that guards this request is down");
  deployment_->RunFor(minutes(10));
  EXPECT_TRUE(IsAnswered(cold)) << Reason(cold);
  deployment_->SetLogUnavailable(false);
  deployment_->RunFor(seconds(3));
  const uint64_t again = deployment_->CallService("entry-2", "doors", NewKey());
  deployment_->RunFor(seconds(3));
  EXPECT_TRUE(IsAnswered(again)) << Reason(again);
}

// The log stores the claim of a door-open, the answer is lost, and the log goes
// down before the host can read. The caller is refused as "not run", so the
// door must not open when the log returns, and the key may be used again.
TEST_F(NodeFailureTest, ClaimLostInOutageIsNotRunLater) {
  Start(Defaults());
  const std::string key = NewKey();
  const uint64_t door = deployment_->CallService("entry-1", "doors", key);
  deployment_->RunFor(milliseconds(9));
  deployment_->SetLogUnavailable(true);
  deployment_->RunFor(seconds(20));
  EXPECT_FALSE(IsAnswered(door));
  deployment_->SetLogUnavailable(false);
  deployment_->RunFor(seconds(5));
  EXPECT_EQ(deployment_->RunsOfKey(key), 0);
  const uint64_t again = deployment_->CallService("entry-3", "doors", key);
  deployment_->RunFor(seconds(5));
  EXPECT_TRUE(IsAnswered(again)) << Reason(again);
  EXPECT_EQ(deployment_->RunsOfKey(key), 1);
}

// The same door-open is sent to all four hosts at once.
TEST_F(NodeFailureTest, SameKeyAtAllHostsRunsOnce) {
  Start(Defaults());
  const std::string key = NewKey();
  std::vector<uint64_t> calls;
  for (const std::string& host : deployment_->HostNames()) {
    calls.push_back(deployment_->CallService(host, "doors", key));
  }
  deployment_->RunFor(seconds(5));
  EXPECT_EQ(deployment_->RunsOfKey(key), 1);
  int answered = 0;
  for (const uint64_t id : calls) answered += IsAnswered(id);
  EXPECT_EQ(answered, 1);
}

// The service accepts the door-open and breaks before it answers. Whether the
// door opened is unknown: the call must not be repeated and the caller must not
// receive "not run".
TEST_F(NodeFailureTest, BrokenCallThatMayNotRepeatIsNotRetried) {
  Start(Defaults());
  deployment_->SetServicesFailing(true);
  const std::string key = NewKey();
  const uint64_t id = deployment_->CallService("entry-1", "doors", key);
  deployment_->RunFor(seconds(5));
  EXPECT_EQ(deployment_->RunsOfKey(key), 1);
  EXPECT_EQ(deployment_->outcome(id).refusal.verdict, Verdict::kMayHaveRun);
  deployment_->SetServicesFailing(false);
  const uint64_t again = deployment_->CallService("entry-2", "doors", key);
  deployment_->RunFor(seconds(5));
  EXPECT_EQ(deployment_->outcome(again).refusal.reason,
            RefusalReason::kDuplicateRequest);
}

// A data centre is cut off from the others and from the platform for a minute.
// It must continue with its own engines and rules, and adopt the set published
// meanwhile once it is reconnected.
TEST_F(NodeFailureTest, CutDataCentreServesAndCatchesUp) {
  Start(Defaults());
  deployment_->PartitionDataCentre("south", true);
  deployment_->RunFor(seconds(5));
  deployment_->Publish(
      TestRules("second"),
      deployment_->node("entry-1").context().control.rules().version());
  const uint64_t cold = deployment_->Send("entry-3", "model-6");
  deployment_->RunFor(seconds(60));
  EXPECT_TRUE(IsAnswered(cold)) << Reason(cold);
  EXPECT_EQ(deployment_->node("entry-1")
                .context()
                .control.rules()
                .current()
                ->set.name,
            "second");
  EXPECT_EQ(deployment_->node("entry-3")
                .context()
                .control.rules()
                .current()
                ->set.name,
            "test");
  deployment_->PartitionDataCentre("south", false);
  deployment_->RunFor(seconds(6));
  EXPECT_EQ(deployment_->node("entry-3")
                .context()
                .control.rules()
                .current()
                ->set.name,
            "second");
}

// Two operators publish on the same base at the same time. Every host must
// adopt the same one.
TEST_F(NodeFailureTest, OneOfRacingPublishersWins) {
  Start(Defaults());
  const LogOffset base =
      deployment_->node("entry-1").context().control.rules().version();
  const std::string first = deployment_->Publish(TestRules("first"), base);
  const std::string second = deployment_->Publish(TestRules("second"), base);
  deployment_->RunFor(seconds(6));
  for (const std::string& host : deployment_->HostNames()) {
    EXPECT_EQ(
        deployment_->node(host).context().control.rules().current()->set.name,
        "first");
  }
  const auto& outcomes =
      deployment_->node("entry-1").context().control.outcomes();
  if (outcomes.contains(second)) {
    EXPECT_EQ(outcomes.at(second).result, RuleRegistry::Result::kStaleBase);
  }
}

// A host is replaced while the log is down. The new one has no disk and must
// get the rules in force from its peers.
TEST_F(NodeFailureTest, NewHostGetsRulesFromPeersWhileLogIsDown) {
  Start(Defaults());
  deployment_->SetLogUnavailable(true);
  deployment_->KillHost("entry-2");
  deployment_->RestartHost("entry-2");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(deployment_->node("entry-2").IsReady());
  EXPECT_EQ(deployment_->node("entry-2").context().control.rules().version(),
            deployment_->node("entry-1").context().control.rules().version());
}

// No rules are published for longer than the log's retention. A host that
// starts then must still find the set in force on the log.
TEST_F(NodeFailureTest, RulesOutliveTheLogsRetention) {
  DeploymentSettings settings = Defaults();
  settings.data_centres = {"north", "south"};
  settings.hosts_per_data_centre = 1;
  settings.log_retention = minutes(60);
  settings.tick = milliseconds(200);
  Start(settings);
  const LogOffset version =
      deployment_->node("entry-1").context().control.rules().version();
  deployment_->RunFor(hours(3));
  for (const char* host : {"entry-1", "entry-2"}) {
    deployment_->KillHost(host);
  }
  deployment_->RestartHost("entry-1");
  deployment_->RunFor(seconds(30));
  EXPECT_EQ(deployment_->node("entry-1").context().control.rules().version(),
            version);
}

// Half of the engines fail every request. If every failure were retried, the
// healthy half would be overloaded; retries must stay a small share of the
// requests.
TEST_F(NodeFailureTest, HalfTheEnginesFailWithoutARetryStorm) {
  DeploymentSettings settings = Defaults();
  settings.engines = 8;
  Start(settings, TestRules("test", 4));
  for (int i = 0; i < 4; ++i) {
    deployment_->Send("entry-1", "model-" + std::to_string(i));
    deployment_->Send("entry-3", "model-" + std::to_string(i));
  }
  deployment_->RunFor(seconds(20));
  for (const char* engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
    deployment_->SetEngineFailing(engine, true);
  }
  const uint64_t before = deployment_->dispatched();
  uint64_t sent = 0;
  for (int i = 0; i < 400; ++i) {
    deployment_->Send(i % 2 == 0 ? "entry-1" : "entry-3",
                      "model-" + std::to_string(i % 4), "web", seconds(5));
    ++sent;
    deployment_->RunFor(milliseconds(20));
  }
  deployment_->RunFor(seconds(10));
  const uint64_t dispatched = deployment_->dispatched() - before;
  EXPECT_LE(dispatched, sent + sent / 4);
}

// The engines fail every second request, too few in a row to open a circuit
// breaker, so only the retry budget bounds the retries.
TEST_F(NodeFailureTest, FlakyEnginesDoNotDoubleTheLoad) {
  Start(Defaults());
  for (const char* host : {"entry-1", "entry-3"}) {
    deployment_->Send(host, "model-1");
  }
  deployment_->RunFor(seconds(10));
  deployment_->SetEngineFlakiness(0.5);
  const uint64_t before = deployment_->dispatched();
  for (int i = 0; i < 300; ++i) {
    deployment_->Send(i % 2 == 0 ? "entry-1" : "entry-3", "model-1", "web",
                      seconds(10));
    deployment_->RunFor(milliseconds(200));
  }
  deployment_->RunFor(seconds(15));
  EXPECT_LE(deployment_->dispatched() - before, 300u * 5 / 4);
}

// A host is drained with open requests, cold ones among them. None may be cut,
// new ones are refused as not run, and its engines get a new owner.
TEST_F(NodeFailureTest, DrainCutsNothingAndHandsOver) {
  Start(Defaults());
  const std::string owner = OwnerOf("north/0");
  std::vector<uint64_t> requests;
  for (int i = 0; i < 30; ++i) {
    requests.push_back(
        deployment_->Send(owner, "model-" + std::to_string(i % 5)));
  }
  deployment_->RunFor(milliseconds(100));
  deployment_->DrainHost(owner);
  deployment_->RunFor(milliseconds(100));
  const uint64_t late = deployment_->Send(owner, "model-1");
  deployment_->RunFor(seconds(40));
  EXPECT_FALSE(deployment_->IsAlive(owner)) << "the drain does not end";
  for (const uint64_t id : requests) {
    EXPECT_EQ(deployment_->outcome(id).answer_count, 1) << Reason(id);
    EXPECT_TRUE(IsAnswered(id)) << Reason(id);
  }
  EXPECT_EQ(deployment_->outcome(late).refusal.reason,
            RefusalReason::kDraining);
  EXPECT_EQ(OwnerOf("north/0"), OtherHost(owner));
}

// The host list shows an engine as leaving. Two seconds later no new request
// may go there.
TEST_F(NodeFailureTest, LeavingEngineGetsNoNewWork) {
  Start(Defaults());
  const uint64_t warm = deployment_->Send("entry-1", "model-1");
  deployment_->RunFor(seconds(10));
  ASSERT_TRUE(IsAnswered(warm));
  std::string holder;
  for (const auto& [name, engine] : deployment_->engines()) {
    if (engine->settings().data_centre == "north" &&
        engine->IsReady("model-1")) {
      holder = name;
    }
  }
  deployment_->MarkLeaving(holder);
  deployment_->RunFor(seconds(3));
  std::vector<uint64_t> requests;
  for (int i = 0; i < 20; ++i) {
    requests.push_back(deployment_->Send("entry-1", "model-1"));
    deployment_->RunFor(milliseconds(50));
    EXPECT_EQ(deployment_->engine(holder).running(), 0);
  }
}

// A third of all orders and answers to engines is lost, a third duplicated, and
// all are up to three seconds late. Requests must still be served and no engine
// filled beyond its memory.
TEST_F(NodeFailureTest, LostDuplicatedAndLateOrders) {
  DeploymentSettings settings = Defaults();
  settings.engine_bytes = 1'500'000'000;
  Start(settings);
  deployment_->SetOrderFaults(0.33, 0.33, seconds(3));
  std::vector<uint64_t> requests;
  for (int i = 0; i < 60; ++i) {
    requests.push_back(deployment_->Send(
        i % 2 == 0 ? "entry-1" : "entry-4",
        "model-" + std::to_string(random_.Below(10)), "web", seconds(25)));
    deployment_->RunFor(milliseconds(700));
  }
  deployment_->RunFor(seconds(60));
  int answered = 0;
  for (const uint64_t id : requests) {
    EXPECT_EQ(deployment_->outcome(id).answer_count, 1);
    answered += IsAnswered(id);
  }
  EXPECT_GT(answered, 30);
}

// The same with engines that accept any order, however old.
TEST_F(NodeFailureTest, LostDuplicatedAndLateOrdersOnUnfencedEngines) {
  DeploymentSettings settings = Defaults();
  settings.engine_bytes = 1'500'000'000;
  settings.unfenced_engines = 4;
  Start(settings);
  deployment_->SetOrderFaults(0.33, 0.33, seconds(3));
  for (int i = 0; i < 60; ++i) {
    deployment_->Send(i % 2 == 0 ? "entry-1" : "entry-4",
                      "model-" + std::to_string(random_.Below(10)), "web",
                      seconds(25));
    deployment_->RunFor(milliseconds(700));
  }
  deployment_->RunFor(seconds(60));
}

// An engine crashes with models loaded and restarts empty at the same address.
// The owner must detect it and load again.
TEST_F(NodeFailureTest, RestartedEngineIsAnotherIncarnation) {
  Start(Defaults());
  const uint64_t first = deployment_->Send("entry-1", "model-2");
  deployment_->RunFor(seconds(10));
  ASSERT_TRUE(IsAnswered(first));
  for (const auto& [name, engine] : deployment_->engines()) {
    if (engine->settings().data_centre == "north") {
      deployment_->RestartEngine(name);
    }
  }
  deployment_->RunFor(seconds(3));
  const uint64_t second = deployment_->Send("entry-1", "model-2");
  deployment_->RunFor(seconds(10));
  EXPECT_TRUE(IsAnswered(second)) << Reason(second);
}

// Every load fails. Waiting requests are refused with a Retry-After instead of
// being kept until their deadline.
TEST_F(NodeFailureTest, FailedLoadsAreRefusedEarly) {
  Start(Defaults());
  deployment_->SetLoadsFailing(true);
  const uint64_t id =
      deployment_->Send("entry-1", "model-2", "web", seconds(9));
  deployment_->RunFor(seconds(8));
  EXPECT_EQ(deployment_->outcome(id).answer_count, 1);
  EXPECT_EQ(deployment_->outcome(id).refusal.verdict, Verdict::kNotRun);
  EXPECT_GT(deployment_->outcome(id).refusal.retry_after, Duration::zero());
}

// 30% of the messages between hosts are lost. Demands, digests and rules must
// still arrive.
TEST_F(NodeFailureTest, PeerMessageLossOnlyDelays) {
  Start(Defaults());
  deployment_->SetPeerLoss(0.3);
  std::vector<uint64_t> requests;
  for (int i = 0; i < 8; ++i) {
    requests.push_back(deployment_->Send(i % 2 == 0 ? "entry-1" : "entry-2",
                                         "model-" + std::to_string(i)));
  }
  deployment_->RunFor(seconds(30));
  for (const uint64_t id : requests) EXPECT_TRUE(IsAnswered(id)) << Reason(id);
}

// One request ends each engine that runs it and is repeated at any host. When
// each host counted for itself, 12 engines ended before the last of four hosts
// refused it; the log shares each end with all.
TEST_F(NodeFailureTest, PoisonRequestIsQuarantinedAtAllHosts) {
  Start(Defaults());
  const std::vector<std::string> hosts = deployment_->HostNames();
  for (int i = 0; i < 60; ++i) {
    deployment_->SendPoison(hosts[i % hosts.size()], "model-0");
    deployment_->RunFor(seconds(1));
  }
  ASSERT_GE(deployment_->poison_crashes().size(), 3u);
  const TimePoint agreed = deployment_->poison_crashes()[2] + seconds(3);
  const auto repeats = std::count_if(deployment_->poison_crashes().begin(),
                                     deployment_->poison_crashes().end(),
                                     [&](TimePoint at) { return at > agreed; });
  EXPECT_LE(repeats, 3) << deployment_->poison_crashes().size();
  // A host that starts from a snapshot refuses it as well.
  deployment_->KillHost(hosts[0]);
  deployment_->RestartHost(hosts[0]);
  AwaitReady();
  const size_t ends = deployment_->poison_crashes().size();
  const uint64_t id = deployment_->SendPoison(hosts[0], "model-0");
  deployment_->RunFor(seconds(5));
  EXPECT_TRUE(Reason(id).starts_with("quarantined")) << Reason(id);
  EXPECT_EQ(deployment_->poison_crashes().size(), ends);
  EXPECT_TRUE(deployment_->violations().empty());
}

// Guards against requests that are never answered by a host that was paused
// past their deadline.
TEST_F(NodeFailureTest, RequestsOfPausedHostEndOnResume) {
  Start(Defaults());
  const std::string host = "entry-1";
  const uint64_t before = deployment_->Send(host, "model-0", "web",
                                            /*deadline=*/seconds(5));
  deployment_->PauseHost(host);
  const uint64_t meanwhile =
      deployment_->Send(host, "model-1", "web", seconds(5));
  deployment_->RunFor(minutes(5));
  EXPECT_EQ(deployment_->outcome(before).answer_count, 0);
  EXPECT_EQ(deployment_->outcome(meanwhile).answer_count, 0);
  deployment_->ResumeHost(host);
  deployment_->RunFor(milliseconds(100));
  EXPECT_EQ(deployment_->outcome(before).answer_count, 1);
  deployment_->RunFor(seconds(5) + milliseconds(100));
  EXPECT_EQ(deployment_->outcome(meanwhile).answer_count, 1);
}

}  // namespace
}  // namespace applehall

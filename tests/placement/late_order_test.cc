#include <absl/strings/str_cat.h>

#include <deque>

#include "tests/placement/fleet_planner_fixture.h"

namespace applehall {
namespace {

// What becomes of an order on its way to the engine.
enum class Fate : uint8_t {
  kAnswered,
  kAnswerLost,  // Executed at once, without an answer.
  kLate,        // Without an answer; executed after a delay.
  kLost,        // Without an answer; never executed.
};

// An owner whose orders stay without an answer and are executed late, and whose
// engines report their state of some hundred ms ago.
class LateOrderTest : public FleetPlannerTest {
 protected:
  static constexpr uint64_t kGigabyte = 1'000'000'000;

  void Reset() {
    engines_.clear();
    catalogue_.clear();
    late_orders_.clear();
    states_.clear();
    sent_.clear();
  }

  void AddModel(int number, uint64_t gigabytes) {
    CatalogueEntry entry;
    entry.name = ModelName(number);
    entry.service = kService;
    entry.bytes = gigabytes * kGigabyte;
    entry.load_times = {milliseconds(1000), milliseconds(1300),
                        milliseconds(6000)};
    catalogue_[entry.name] = entry;
    for (int a = 1; a <= 4; ++a) {
      CatalogueEntry adapter;
      adapter.name = absl::StrCat(entry.name, "/a", a);
      adapter.base = entry.name;
      adapter.service = kService;
      adapter.bytes = kGigabyte;
      catalogue_[adapter.name] = adapter;
    }
  }

  void AddEngine(const std::string& id, uint64_t gigabytes) {
    engines_[id] = std::make_unique<FakeCountedEngine>(
        id, kService, gigabytes * kGigabyte, kAdapterSlots);
  }

  void StartOwner(uint64_t gigabytes) {
    classes_[kService] = {gigabytes * kGigabyte, kAdapterSlots, 4.0};
    planner_ = std::make_unique<FleetPlanner>(Incarnation{"entry", token_},
                                              token_, policies_);
    planner_->SetCatalogue(&catalogue_, &classes_);
    UpdateListing();
  }

  // Simulates 20 ms. `fate_of` and `delay_of` decide on each order.
  template <typename FateOf, typename DelayOf>
  void StepWith(FateOf fate_of, DelayOf delay_of) {
    now_ += milliseconds(20);
    for (auto& [id, engine] : engines_) engine->Advance(now_);
    DeliverLate();
    for (auto& [id, engine] : engines_) {
      std::deque<Inventory>& states = states_[id];
      states.push_back(engine->Report());
      if (states.size() > kReportAgeSteps) states.pop_front();
    }
    std::vector<OrderToSend> orders;
    planner_->Decide(/*may_order=*/true, now_, orders);
    for (const OrderToSend& sent : orders) {
      if (sent.order.kind == OrderKind::kInspect) {
        planner_->HandleInventory(states_[sent.engine].front(), now_, now_);
        continue;
      }
      sent_.push_back(sent);
      const Fate fate = fate_of(sent.order);
      OrderResult result = OrderResult::kUnanswered;
      if (fate == Fate::kAnswered || fate == Fate::kAnswerLost) {
        result = engines_.at(sent.engine)->Execute(sent.order, now_);
      }
      if (fate == Fate::kLate)
        late_orders_.push_back({now_ + delay_of(), sent});
      Answer(sent, fate == Fate::kAnswered ? result : OrderResult::kUnanswered);
    }
    if (++steps_ % 20 == 0) UpdateListing();
  }

  bool IsOvercommitted() const {
    return std::any_of(engines_.begin(), engines_.end(), [](const auto& item) {
      return item.second->was_overcommitted();
    });
  }

  static constexpr int kAdapterSlots = 3;
  static constexpr size_t kReportAgeSteps = 12;  // 240 ms.
  std::map<std::string, std::deque<Inventory>> states_;
};

// Guards against reading the count that a late order advanced as the acceptance
// of the open one: the load that follows would be ordered into used memory.
TEST_F(LateOrderTest, LoadExecutedLateIsNoUnload) {
  for (int late_orders = 2; late_orders <= 8; ++late_orders) {
    for (int late_ms = 500; late_ms <= 12000; late_ms += 100) {
      SCOPED_TRACE(
          absl::StrCat(late_orders, " orders, executed ", late_ms, " ms late"));
      Reset();
      for (int i = 0; i < 3; ++i) AddModel(i, 72);
      AddModel(3, 43);
      AddEngine("e0", 200);
      FakeCountedEngine& engine = *engines_.at("e0");
      // A copy on disk loads within two seconds.
      for (int i = 0; i < 4; ++i) engine.Place(ModelName(i), 0);
      for (int i : {2, 3}) engine.Lose(ModelName(i));
      for (int i : {0, 1}) engine.Place(ModelName(i), 72 * kGigabyte);
      StartOwner(200);
      int model_orders = 0;
      const auto fate_of = [&](const EngineOrder& order) {
        const bool is_late =
            order.base.empty() && ++model_orders <= late_orders;
        return is_late ? Fate::kLate : Fate::kAnswered;
      };
      const auto delay_of = [&] { return milliseconds(late_ms); };
      Report(ModelName(3), 1);
      for (int step = 0; step < 900; ++step) {
        // The load of the small model is given up; then that of a large one,
        // which needs room, is worth more.
        if (step % 10 == 9) Report(ModelName(2), 4);
        StepWith(fate_of, delay_of);
        ASSERT_FALSE(IsOvercommitted()) << "after " << 20 * step << " ms";
      }
      ASSERT_GT(model_orders, 2);
    }
  }
}

constexpr int kSuites = 10;

class LateOrderChaosTest : public LateOrderTest,
                           public testing::WithParamInterface<int> {};

// Guards against orders that fit only if an order without an answer was not
// executed, for models, adapters and changes of the owner.
TEST_P(LateOrderChaosTest, EngineIsNeverOrderedToLoadMoreThanFits) {
  constexpr int kCases = 40;
  // --gtest_random_seed=N plays other cases.
  const int first =
      (GTEST_FLAG_GET(random_seed) * kSuites + GetParam()) * kCases;
  for (int i = 0; i < kCases; ++i) {
    const auto seed = static_cast<uint64_t>(first + i);
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    random_ = Random(seed);
    Reset();
    const int models = 4 + static_cast<int>(random_.Below(5));
    for (int m = 0; m < models; ++m) AddModel(m, 20 + random_.Below(60));
    const uint64_t gigabytes = 150 + random_.Below(80);
    const int engines = 1 + static_cast<int>(random_.Below(2));
    for (int e = 0; e < engines; ++e) {
      const std::string id = absl::StrCat("e", e);
      AddEngine(id, gigabytes);
      engines_.at(id)->load_from_disk = milliseconds(40 + random_.Below(1500));
      // Copies on disk load fast, so that orders follow each other closely.
      for (int m = 0; m < models; ++m) {
        engines_.at(id)->Place(ModelName(m), 0);
        engines_.at(id)->Lose(ModelName(m));
      }
    }
    StartOwner(gigabytes);
    const double trouble = 0.4 + 0.55 * random_.Unit();
    const auto fate_of = [&](const EngineOrder&) {
      if (random_.Unit() > trouble) return Fate::kAnswered;
      const Fate fates[] = {Fate::kAnswerLost, Fate::kLate, Fate::kLate,
                            Fate::kLost};
      return fates[random_.Below(4)];
    };
    const auto delay_of = [&] {
      return milliseconds(400 + random_.Below(11600));
    };
    for (int step = 0; step < 2000; ++step) {
      if (random_.Unit() < 0.1) {
        std::string target = ModelName(static_cast<int>(random_.Below(models)));
        if (random_.Unit() < 0.25) {
          target += absl::StrCat("/a", 1 + random_.Below(4));
        }
        Report(target, IsReady(target) ? 0 : 4, 1);
      }
      if (random_.Unit() < 0.001) {
        ++token_;
        StartOwner(gigabytes);
      }
      StepWith(fate_of, delay_of);
      ASSERT_FALSE(IsOvercommitted()) << "after " << 20 * step << " ms";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateOrderChaosTest, testing::Range(0, kSuites));

}  // namespace
}  // namespace applehall

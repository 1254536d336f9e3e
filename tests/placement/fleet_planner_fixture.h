// Simulates a planner, its engines and the network between them, with a paused
// clock.

#ifndef APPLEHALL_TESTS_PLACEMENT_FLEET_PLANNER_FIXTURE_H_
#define APPLEHALL_TESTS_PLACEMENT_FLEET_PLANNER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "placement/fleet_planner.h"
#include "standins/fake_counted_engine.h"

namespace applehall {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kStart{std::chrono::hours(500000)};
inline constexpr uint64_t kModelBytes = 70'000'000'000;
inline constexpr uint64_t kEngineBytes = 230'000'000'000;  // Three models.
inline constexpr char kService[] = "writer";

inline std::string ModelName(int i) { return "writer/m" + std::to_string(i); }

// A planner, engines that execute its orders, and a network that loses or
// delays some orders and loses some answers.
class FleetPlannerTest : public testing::Test {
 protected:
  void CreateEngines(int engines, int models, int adapters = 0) {
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
    UpdateListing();
  }

  void UpdateListing() {
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
    planner_->HandleReport(report, now_);
  }

  // Simulates 20 ms: ends of orders, decisions, new orders and their answers.
  void Step() {
    now_ += milliseconds(20);
    for (auto& [id, engine] : engines_) engine->Advance(now_);
    DeliverLate();
    std::vector<OrderToSend> orders;
    planner_->Decide(/*may_order=*/true, now_, orders);
    for (const OrderToSend& order : orders) Deliver(order);
    if (++steps_ % 20 == 0) UpdateListing();
  }

  // Simulates one step. With probability `chance` a request arrives for one of
  // 14 models or one of their 12 adapters each.
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

  void Deliver(const OrderToSend& sent) {
    FakeCountedEngine& engine = *engines_.at(sent.engine);
    if (unresponsive_.contains(sent.engine)) return;
    if (sent.order.kind == OrderKind::kInspect) {
      ++report_requests_;
      if (report_lag_ > Duration{0}) return;  // Later than the test.
      planner_->HandleInventory(engine.Report(), now_, now_);
      return;
    }
    sent_.push_back(sent);
    if (refusing_.contains(sent.engine)) {
      Answer(sent, OrderResult::kBusy);
      return;
    }
    const double sample = random_.Unit();
    if (sample < order_loss_rate_) {
      Answer(sent, OrderResult::kUnanswered);
      return;
    }
    if (sample < order_loss_rate_ + order_delay_rate_) {
      late_orders_.push_back(
          {now_ + milliseconds(2000 + random_.Below(10000)), sent});
      Answer(sent, OrderResult::kUnanswered);
      return;
    }
    const OrderResult result = engine.Execute(sent.order, now_);
    Answer(sent,
           sample < order_loss_rate_ + order_delay_rate_ + answer_loss_rate_
               ? OrderResult::kUnanswered
               : result);
  }

  void Answer(const OrderToSend& sent, OrderResult result) {
    planner_->HandleOrderResult(sent.engine, sent.order.id, result, now_);
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
  std::set<std::string> unresponsive_;  // Engines that do not answer.
  std::set<std::string> refusing_;      // Engines that refuse all orders.
  FencingToken token_ = 7;
  TimePoint now_ = kStart;
  std::map<std::string, CatalogueEntry> catalogue_;
  std::map<std::string, EngineClass> classes_;
  std::map<std::string, std::unique_ptr<FakeCountedEngine>> engines_;
  std::unique_ptr<FleetPlanner> planner_;
  int report_requests_ = 0;  // Report requests to all engines.
  std::vector<OrderToSend> sent_;
  std::vector<LateOrder> late_orders_;
  Random random_{1};
  Duration report_lag_{0};
  double order_loss_rate_ = 0;
  double order_delay_rate_ = 0;
  double answer_loss_rate_ = 0;
  int steps_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PLACEMENT_FLEET_PLANNER_FIXTURE_H_

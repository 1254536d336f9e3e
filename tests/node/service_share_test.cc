// Whether a host serves each kind of request, and each of many models, under
// load that lasts.

#include "tests/node/fleet_load_fixture.h"

namespace applehall {
namespace {

class ServiceShareTest : public FleetLoadTest {
 protected:
  static constexpr Kind kSlow = {"/slow/x", seconds(4), seconds(16)};
  // A kind is starved if it is served less than this as often as all requests.
  static constexpr double kStarvedShare = 0.25;

  void AddHosts() {
    for (const char* name : {"a", "b", "c", "d", "e", "f"}) Add(name);
    Json rules = *ParseJson(kRules);
    const Json urgent = *ParseJson(R"({"name": "hot",
      "when": {"path": "/hot/*"}, "then": {"deadline_ms": 15000,
        "repeatable": false, "claim": false, "target_latency_ms": 600,
        "patience_ms": 2400, "services": [{"name": "llm"}]}})");
    const Json patient = *ParseJson(R"({"name": "slow",
      "when": {"path": "/slow/*"}, "then": {"deadline_ms": 30000,
        "repeatable": false, "claim": false, "target_latency_ms": 4000,
        "patience_ms": 16000, "services": [{"name": "llm"}]}})");
    rules["rules"].insert(rules["rules"].begin(), {urgent, patient});
    for (const auto& [name, host] : hosts_) Handle(name, RuleSetRead{9, rules});
    Run(seconds(3));
  }

  double ServedShare(const Kind& kind) {
    const Count& count = counts_[kind.path];
    return static_cast<double>(count.served) / std::max(1, count.sent);
  }
};

// Guards against a kind of request with a long deadline that comes after all
// newer ones with short deadlines while the engines stay full.
TEST_F(ServiceShareTest, KindWithLongDeadlineIsServedUnderOverload) {
  AddHosts();
  for (int step = 0; step < 40 * 40; ++step) {
    Send(std::next(hosts_.begin(), step % 6)->first, kHot);
    if (step % 8 == 0) {
      Send(std::next(hosts_.begin(), (step / 8) % 6)->first, kSlow);
    }
    Step();
    if (step == 5 * 40) counts_.clear();
  }
  const double all = static_cast<double>(counts_[kHot.path].served +
                                         counts_[kSlow.path].served) /
                     (counts_[kHot.path].sent + counts_[kSlow.path].sent);
  EXPECT_GE(ServedShare(kSlow), kStarvedShare * all);
  EXPECT_GE(ServedShare(kHot), kStarvedShare * all);
}

// Guards against a host that refuses all requests once it has served a certain
// number of different models.
TEST_F(ServiceShareTest, HostServesAnyNumberOfModels) {
  // The engine has room for all of them, one after the other.
  policies_ = *PolicySet::Without("engine_shares");
  Add("a");
  Run(seconds(2));
  CatalogueRead catalogue;
  ListedServer engine = Server("llm-1", "llm", "llm/m0");
  for (int i = 0; i < 9000; ++i) {
    CatalogueEntry entry;
    entry.name = "llm/m" + std::to_string(i);
    entry.service = "llm";
    entry.bytes = 1'000'000;
    catalogue.catalogue.push_back(entry);
    engine.models[entry.name] = {};
    if (i > 0) models_at_["llm-1"].push_back(entry.name);
  }
  catalogue.engine_classes["llm"] = {200'000'000'000, 8, 4.0};
  Handle("a", catalogue);
  ServerListRead listed;
  listed.is_whole = true;
  listed.listed = {engine};
  Handle("a", listed);
  accepted_orders_ += 100;  // The report is newer than all orders.
  Handle("a", InventoryReceived{ReportOf("llm-1"), now_});
  Run(seconds(1));
  size_t sent = 0;
  for (int i = 0; i < 9000; ++i) {
    hosts_.at("a").done.clear();
    Arrive("a", 100 + i, "/rare/x", "m" + std::to_string(i));
    for (const RefuseRequest& refuse : ActionsOf<RefuseRequest>("a")) {
      ADD_FAILURE() << i << ": " << refuse.refusal.detail;
    }
    now_ += milliseconds(1);
    AttemptEnded end;
    end.handle = 100 + i;
    end.attempt = 1;
    end.result = AttemptResult::kCompleted;
    Handle("a", end);
    Handle("a", CallerDisconnected{end.handle});  // If it was not sent.
    sent += ActionsOf<DispatchRequest>("a").size();
    if (i % 400 == 399) Run(milliseconds(25));
  }
  EXPECT_GT(sent, 8500u);
}

}  // namespace
}  // namespace applehall

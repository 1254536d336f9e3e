// Benchmarks of the decision code: time and memory by the size of its state, up
// to the target size. tools/capacity generates docs/CAPACITY.md from them.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>

#include "admission/admission_queue.h"
#include "claims/claim_fold.h"
#include "core/hash.h"
#include "core/uuid.h"
#include "membership/host_list.h"
#include "node/control_fold.h"
#include "node/node.h"
#include "placement/engine_owner.h"
#include "placement/fleet_planner.h"
#include "placement/idle_policy.h"
#include "routing/engine_view.h"
#include "rules/rule_matcher.h"

namespace applehall {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500000)};

size_t HeapBytes() { return mallinfo2().uordblks; }

std::string Name(const char* prefix, int64_t i) {
  return std::string(prefix) + std::to_string(i);
}

Json RuleJson(int64_t i) {
  return Json{
      {"name", Name("rule-", i)},
      {"when", {{"model", Name("model-", i % 4060)}, {"caller", "web"}}},
      {"then", {{"deadline_ms", 20000}, {"worth", 5 + i % 50}}}};
}

Json RulesDocument(int64_t count) {
  Json rules = Json::array();
  for (int64_t i = 0; i + 1 < count; ++i) rules.push_back(RuleJson(i));
  rules.push_back({{"name", "last"}, {"then", Json::object()}});
  return Json{{"name", "n"},
              {"author", "a"},
              {"reason", "r"},
              {"rules", std::move(rules)}};
}

EngineDigest Digest(int64_t i, uint64_t sequence) {
  EngineDigest digest;
  digest.engine = Name("engine-", i);
  digest.address = "10.20.30." + std::to_string(i % 250) + ":8000";
  digest.token = 100;
  digest.sequence = sequence;
  digest.incarnation = 1;
  digest.slots = 64;
  digest.running = static_cast<int>(i * 7 % 60);
  digest.ready = {"common"};
  for (int64_t k = 0; k < 4; ++k) {
    digest.ready.push_back(Name("model-", (i * 4 + k) % 4060));
  }
  return digest;
}

void MatchRule(benchmark::State& state) {
  RuleRegistry book;
  const size_t before = HeapBytes();
  book.Publish(1,
               Json{{"base", 0}, {"document", RulesDocument(state.range(0))}});
  malloc_trim(0);
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  const auto rules = book.current();
  RequestFacts facts;
  facts.caller = "web";
  facts.method = "POST";
  SystemFacts system;
  system.now = kNow;
  int64_t i = 0;
  for (auto _ : state) {
    facts.model = Name("model-", ++i % 4060);
    benchmark::DoNotOptimize(
        rules->matcher.FirstMatch(rules->set.rules, facts, system));
  }
}
BENCHMARK(MatchRule)->Arg(100)->Arg(300)->Arg(1000)->Arg(3000);

void ApplyRuleChange(benchmark::State& state) {
  const Json document = RulesDocument(state.range(0));
  Json changed = document;
  changed["rules"][state.range(0) / 2]["then"]["worth"] = 99;
  const Json forward = RuleSetDelta::Between(document, changed).ToJson();
  const Json backward = RuleSetDelta::Between(changed, document).ToJson();
  state.counters["bytes"] =
      static_cast<double>(PublishRecord("0190a1b2-c3d4-7e5f-8a6b-7c8d9e0f1a2b",
                                        1, Json{{"delta", forward}})
                              .dump()
                              .size());
  RuleRegistry book;
  book.Publish(1, Json{{"base", 0}, {"document", document}});
  LogOffset version = 1;
  for (auto _ : state) {
    const Json body{{"base", version},
                    {"delta", version % 2 == 1 ? forward : backward}};
    if (book.Publish(version + 1, body) != RuleRegistry::Result::kAccepted) {
      state.SkipWithError("the change was refused");
      return;
    }
    ++version;
  }
}
BENCHMARK(ApplyRuleChange)->Arg(100)->Arg(300)->Arg(1000)->Arg(3000);

void ChooseEngine(benchmark::State& state) {
  const size_t before = HeapBytes();
  EngineView view(1);
  for (int64_t i = 0; i < state.range(0); ++i) view.Merge(Digest(i, 1), kNow);
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  uint64_t prefix = 1;
  for (auto _ : state) {
    prefix = prefix * 6364136223846793005ULL + 1;
    benchmark::DoNotOptimize(view.Choose("common", prefix, kNow));
  }
}
BENCHMARK(ChooseEngine)->Arg(25)->Arg(50)->Arg(100)->Arg(200)->Arg(400);

// One choice by predicted completion; at most 0.1 ms among 256 engines.
void ChooseByEstimate(benchmark::State& state) {
  EngineView view(1);
  for (int64_t i = 0; i < state.range(0); ++i) {
    const EngineDigest digest = Digest(i, 1);
    view.Merge(digest, kNow);
    view.SetPerformance(digest.engine, {0.6 + 0.1 * static_cast<double>(i % 11),
                                        100.0 * static_cast<double>(i % 190)});
    view.RecordPrompt(digest.engine, 1460, kNow);
    view.ReportLoad(digest.engine, {digest.running, 0, digest.slots, 2.5},
                    kNow);
  }
  EngineView::Preference preference;
  preference.targets = CompletionTargets{std::chrono::milliseconds(400),
                                         std::chrono::milliseconds(300)};
  preference.prompt_tokens = 1460;
  preference.service_time = std::chrono::seconds(2);
  preference.max_load = 1.25;
  uint64_t prefix = 1;
  for (auto _ : state) {
    prefix = prefix * 6364136223846793005ULL + 1;
    benchmark::DoNotOptimize(
        view.Choose("common", prefix, preference,
                    kNow + std::chrono::milliseconds(prefix % 400)));
  }
}
BENCHMARK(ChooseByEstimate)->Arg(64)->Arg(256);

void MergeDigest(benchmark::State& state) {
  EngineView view(1);
  uint64_t sequence = 1;
  for (int64_t i = 0; i < state.range(0); ++i) {
    view.Merge(Digest(i, sequence), kNow);
  }
  state.counters["bytes"] =
      static_cast<double>(Json::to_cbor(Digest(123, 99999).ToJson()).size());
  state.counters["load_bytes"] = static_cast<double>(
      Json::to_cbor(Digest(123, 99999).LoadToJson()).size());
  int64_t i = 0;
  for (auto _ : state) {
    if (++i % state.range(0) == 0) ++sequence;
    const EngineDigest digest = EngineDigest::FromJson(
        Digest(i % state.range(0), sequence + 1).ToJson());
    benchmark::DoNotOptimize(view.Merge(digest, kNow));
  }
}
BENCHMARK(MergeDigest)->Arg(25)->Arg(50)->Arg(100)->Arg(200)->Arg(400);

void AdmitAndServe(benchmark::State& state) {
  const size_t before = HeapBytes();
  AdmissionQueue queue;
  WaitingRequest request;
  const auto add = [&](RequestHandle handle) {
    request.handle = handle;
    request.caller = Name("caller-", static_cast<int64_t>(handle % 200));
    request.deadline = kNow + std::chrono::milliseconds(handle * 37 % 30000);
    request.worth = 1.0 + static_cast<double>(handle % 17);
    queue.Add(request, 1u << 30);
  };
  RequestHandle handle = 0;
  for (int64_t i = 0; i < state.range(0); ++i) add(++handle);
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  for (auto _ : state) {
    add(++handle);
    queue.Remove(*queue.Best(kNow, true));
  }
}
BENCHMARK(AdmitAndServe)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10000);

void FoldOwnership(benchmark::State& state) {
  ControlFold fold;
  LogOffset offset = 0;
  const auto apply = [&](const Json& body) {
    LogBatch batch;
    batch.stream = kControlStream;
    batch.records = {{++offset, kNow, body.dump()}};
    batch.next_offset = offset + 1;
    fold.Apply(batch);
  };
  const size_t before = HeapBytes();
  for (int64_t i = 0; i < state.range(0); ++i) {
    apply(ClaimGroupRecord("id", Name("dc-7/", i), {Name("entry-", i), 7}, 0));
  }
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  int64_t i = 0;
  for (auto _ : state) {
    const std::string group = Name("dc-7/", ++i % state.range(0));
    const FencingToken token = fold.ownership().Find(group)->token;
    apply(ReleaseGroupRecord("id", group, token));
    apply(ClaimGroupRecord("id", group, {"entry", 8}, token));
  }
}
BENCHMARK(FoldOwnership)->Arg(25)->Arg(100)->Arg(250)->Arg(650);

void FoldClaim(benchmark::State& state) {
  ClaimFold fold{ClaimWindow{}};
  Random random(1);
  LogOffset offset = 0;
  const auto apply = [&] {
    const Claim claim{MakeUuid7(kNow, random),
                      Name("entry-1.7.c", static_cast<int64_t>(offset)),
                      "entry-1", kNow};
    LogBatch batch;
    batch.records = {{++offset, kNow, ClaimsRecord("id", {claim}, {}).dump()}};
    batch.next_offset = offset + 1;
    fold.Apply(batch, kNow);
  };
  const size_t before = HeapBytes();
  for (int64_t i = 0; i < state.range(0); ++i) apply();
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  for (auto _ : state) apply();
}
BENCHMARK(FoldClaim)->Arg(1000)->Arg(3000)->Arg(10000)->Arg(30000);

void UpdateHosts(benchmark::State& state) {
  HostList list;
  for (int64_t i = 0; i < state.range(0); ++i) {
    HostEntry entry;
    entry.name = Name("host-", i);
    entry.kind = i % 6 == 0 ? HostKind::kEntry : HostKind::kEngine;
    entry.data_centre = Name("dc-", i % 26);
    entry.address = "10.20.30.40:8000";
    entry.peer_address = entry.kind == HostKind::kEntry ? "10.20.30.40:9" : "";
    entry.incarnation = 1;
    list.hosts.push_back(entry);
  }
  const size_t before = HeapBytes();
  HostTable table("dc-1");
  list.as_of = kNow;
  table.Update(list);
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  for (auto _ : state) {
    list.as_of += Duration{1};
    benchmark::DoNotOptimize(table.Update(list));
    benchmark::DoNotOptimize(ChoosePeers(table, "host-0", "dc-0"));
  }
}
BENCHMARK(UpdateHosts)->Arg(500)->Arg(1500)->Arg(4000)->Arg(12000);

// Owner of 16 engines; the argument is the number of models.
void OwnerDecides(benchmark::State& state) {
  const size_t before = HeapBytes();
  std::map<std::string, CatalogueEntry> catalogue;
  std::vector<Rule> rules(1);
  rules[0].name = "last";
  for (int64_t i = 0; i < state.range(0); ++i) {
    const std::string name = Name("model-", i);
    catalogue[name] = {name, "", 1'000'000'000};
  }
  const ReplicaBoundsTable bounds(rules);
  EngineOwner owner("dc-1/0", {"entry-1", 1}, 7, OwnerSettings{});
  std::vector<EngineFacts> facts;
  for (int64_t i = 0; i < 16; ++i) {
    facts.push_back({Name("engine-", i), "10.0.0.1:1", "dc-1", 1, true, false});
  }
  owner.SetEngines(facts);
  for (int64_t i = 0; i < 16; ++i) {
    Inventory inventory;
    inventory.engine = Name("engine-", i);
    inventory.incarnation = 1;
    inventory.sequence = 1;
    inventory.memory_bytes = 640'000'000'000;
    inventory.slots = 64;
    for (int64_t k = 0; k < 6; ++k) {
      Replica replica;
      replica.name = Name("model-", (i * 6 + k) % state.range(0));
      replica.bytes = 1'000'000'000;
      replica.last_used = kNow;
      inventory.replicas.push_back(replica);
    }
    owner.HandleInventory(inventory, kNow, kNow);
  }
  for (int64_t i = 0; i < state.range(0); ++i) {
    for (int64_t k = 1; k < 6; ++k) {
      owner.HandleDemand({Name("model-", i), "entry-2", 1, 1.0,
                          std::chrono::seconds(9), false},
                         kNow - std::chrono::minutes(10 * k));
    }
  }
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  PlacementPolicy policy;
  policy.bounds = &bounds;
  policy.catalogue = &catalogue;
  StoreBudget store(10, 10, kNow);
  std::vector<OrderToSend> orders;
  TimePoint now = kNow;
  for (auto _ : state) {
    now += std::chrono::milliseconds(50);
    orders.clear();
    owner.Decide(
        policy, store, [](const std::string&, int most) { return most; }, now,
        orders);
  }
}
BENCHMARK(OwnerDecides)->Arg(20)->Arg(50)->Arg(100)->Arg(200);

// The argument is the number of engines. Each has three models in memory and
// nine on disk, all in demand; one engine reports before each decision.
void PlanFleet(benchmark::State& state) {
  const int64_t engines = state.range(0);
  const int64_t models = engines * 3;
  std::map<std::string, CatalogueEntry> catalogue;
  for (int64_t i = 0; i < models; ++i) {
    CatalogueEntry entry;
    entry.name = Name("llm/model-", i);
    entry.service = "llm";
    entry.bytes = 60'000'000'000;
    catalogue[entry.name] = entry;
  }
  std::map<std::string, EngineClass> classes;
  classes["llm"] = {200'000'000'000, 8, 4.0};
  EngineList list;
  std::vector<Inventory> inventories(engines);
  for (int64_t i = 0; i < engines; ++i) {
    ListedServer server;
    server.id = Name("engine-", i);
    server.service = "llm";
    server.slots = 12;
    server.is_engine = true;
    inventories[i].engine = server.id;
    for (int64_t k = 0; k < 9; ++k) {
      const std::string model = Name("llm/model-", (i * 3 + k) % models);
      server.on_disk.push_back(model);
      if (k >= 3) continue;
      Replica replica;
      replica.name = model;
      inventories[i].replicas.push_back(replica);
    }
    list[server.id] = server;
  }
  const size_t before = HeapBytes();
  FleetPlanner planner({"host", 1}, 1);
  planner.SetCatalogue(&catalogue, &classes);
  TimePoint now = kNow;
  planner.SetServers(list, now);
  for (const Inventory& inventory : inventories) {
    planner.HandleInventory(inventory, now, now);
  }
  HostReport report;
  report.host = "host";
  for (int64_t i = 0; i < models; ++i) {
    report.arrivals.push_back({Name("llm/model-", i), 1, 5.0});
  }
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  std::vector<OrderToSend> orders;
  int64_t next = 0;
  for (auto _ : state) {
    now += std::chrono::milliseconds(7);
    if (next % 300 == 0) planner.HandleReport(report, now);
    planner.HandleInventory(inventories[next++ % engines], now, now);
    orders.clear();
    planner.Decide(/*may_order=*/true, now, orders);
  }
}
BENCHMARK(PlanFleet)->Arg(32)->Arg(64)->Arg(128)->Arg(256)->Arg(512);

void PlanIdle(benchmark::State& state) {
  const size_t before = HeapBytes();
  IdlePolicy policy(std::chrono::minutes(5));
  for (int64_t i = 0; i < state.range(0); ++i) {
    for (int64_t k = 0; k < 5; ++k) {
      policy.RecordUse(Name("model-", i),
                       kNow + std::chrono::seconds(k * (30 + i % 400)));
    }
  }
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  int64_t i = 0;
  for (auto _ : state) {
    const std::string name = Name("model-", ++i % state.range(0));
    policy.RecordUse(name, kNow + std::chrono::seconds(4000 + 30 * i));
    benchmark::DoNotOptimize(policy.PlanFor(name, std::chrono::seconds(3), {}));
  }
}
BENCHMARK(PlanIdle)->Arg(50)->Arg(150)->Arg(500)->Arg(1500);

}  // namespace
}  // namespace applehall

BENCHMARK_MAIN();

// Compares decision components with naive reference versions over random
// events. RapidCheck draws the seeds; RC_PARAMS fixes them, and a failure
// prints the value that reproduces it.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "admission/admission_queue.h"
#include "core/random.h"
#include "node/control_fold.h"
#include "placement/memory_ledger.h"
#include "rules/rule_matcher.h"
#include "standins/fake_engine.h"
#include "standins/fake_log.h"
#include "tests/node/test_rules.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};

uint64_t AnySeed() { return *rc::gen::arbitrary<uint64_t>(); }

// ---- First match ----

std::string AnyOf(Random& random, std::vector<std::string> names) {
  return names[random.Below(names.size())];
}

std::vector<Pattern> AnyPatterns(Random& random,
                                 const std::vector<std::string>& names) {
  std::vector<Pattern> patterns;
  for (uint64_t i = random.Below(3); i > 0; --i) {
    std::string name = AnyOf(random, names);
    if (random.Below(3) == 0) name = name.substr(0, name.size() - 1) + "*";
    patterns.emplace_back(name);
  }
  return patterns;
}

const std::vector<std::string> kModels = {"horse-1", "horse-2", "locker-1",
                                          "locker-2", "x"};
const std::vector<std::string> kCallers = {"kiosk", "web", "depot"};
const std::vector<std::string> kServices = {"doors", "posts"};

Rule AnyRule(Random& random, int number) {
  Rule rule;
  rule.name = "rule-" + std::to_string(number);
  if (random.Below(2) == 0) rule.when.models = AnyPatterns(random, kModels);
  if (random.Below(3) == 0) rule.when.callers = AnyPatterns(random, kCallers);
  if (random.Below(4) == 0) rule.when.services = AnyPatterns(random, kServices);
  if (random.Below(5) == 0) rule.when.model_is_cold = random.Below(2) == 0;
  if (random.Below(6) == 0) rule.when.log_is_down = random.Below(2) == 0;
  if (random.Below(6) == 0) {
    rule.when.replicas_above = static_cast<int>(random.Below(3));
  }
  return rule;
}

RC_GTEST_PROP(Differential, MatcherFindsTheFirstMatch, ()) {
  Random random(AnySeed());
  std::vector<Rule> rules;
  for (uint64_t i = 0; i < 1 + random.Below(60); ++i) {
    rules.push_back(AnyRule(random, static_cast<int>(i)));
  }
  const RuleMatcher matcher(rules);
  for (int i = 0; i < 50; ++i) {
    RequestFacts facts;
    facts.caller = AnyOf(random, kCallers);
    if (random.Below(4) == 0) {
      facts.service = AnyOf(random, kServices);
    } else {
      facts.model = AnyOf(random, kModels);
    }
    SystemFacts system;
    system.now = kStart;
    system.replicas = static_cast<int>(random.Below(4));
    system.log_down = random.Below(2) == 0;
    int naive = -1;
    for (size_t r = 0; r < rules.size() && naive < 0; ++r) {
      if (rules[r].when.Matches(facts, system)) naive = static_cast<int>(r);
    }
    RC_ASSERT(matcher.FirstMatch(rules, facts, system) == naive);
  }
}

// A rule that is reported as shadowed must never match first.
RC_GTEST_PROP(Differential, CoveredConditionsNeverMatchFirst, ()) {
  Random random(AnySeed());
  const Rule wide = AnyRule(random, 1);
  const Rule narrow = AnyRule(random, 2);
  if (!wide.when.Covers(narrow.when)) return;
  for (int i = 0; i < 100; ++i) {
    RequestFacts facts;
    facts.caller = AnyOf(random, kCallers);
    (random.Below(3) == 0 ? facts.service : facts.model) =
        random.Below(2) == 0 ? AnyOf(random, kModels)
                             : AnyOf(random, kServices);
    SystemFacts system;
    system.now = kStart;
    system.replicas = static_cast<int>(random.Below(4));
    system.log_down = random.Below(2) == 0;
    RC_ASSERT(!narrow.when.Matches(facts, system) ||
              wide.when.Matches(facts, system));
  }
}

// ---- Admission order ----

RC_GTEST_PROP(Differential, QueueServesInOrderOfItsKeys, ()) {
  Random random(AnySeed());
  AdmissionQueue queue;
  std::map<RequestHandle, WaitingRequest> naive;
  std::map<std::string, int> waiting;
  for (RequestHandle handle = 1; handle <= 200; ++handle) {
    if (random.Below(3) != 0) {
      WaitingRequest request;
      request.handle = handle;
      request.caller = AnyOf(random, kCallers);
      request.deadline = kStart + seconds(1 + random.Below(3000));
      request.worth = static_cast<double>(1 + random.Below(50));
      request.is_background = random.Below(4) == 0;
      const auto displaced = queue.Add(request, 40);
      if (displaced != handle) naive[handle] = request;
      if (displaced) naive.erase(*displaced);
    } else if (!naive.empty()) {
      const auto best = queue.Best(kStart, true);
      RC_ASSERT(best.has_value());
      RC_ASSERT(naive.contains(*best));
      // Background requests are served only if no others are queued.
      if (naive[*best].is_background &&
          naive[*best].deadline > kStart + seconds(120)) {
        for (const auto& [other, request] : naive) {
          RC_ASSERT(request.is_background);
        }
      }
      queue.Remove(*best);
      naive.erase(*best);
    }
    RC_ASSERT(queue.size() == naive.size());
    RC_ASSERT(queue.size() <= 40u);
    double worth = 0;
    for (const auto& [other, request] : naive) worth += request.worth;
    RC_ASSERT(std::abs(queue.total_worth() - worth) < 1e-6);
  }
}

// ---- Fold of the log ----

// Reference fold: applies the whole log in order from its first record.
struct NaiveFold {
  LogOffset version = 0;
  std::string name;
  std::map<std::string, FencingToken> tokens;

  void ApplyRecord(const LogRecord& record) {
    const Json body = *ParseJson(record.payload);
    const std::string type = body.value("type", "");
    if (type == "publish" && body["base"].get<LogOffset>() == version) {
      version = record.offset;
      name = body["document"]["name"].get<std::string>();
    }
    if (type == "claim_group" &&
        body["previous"].get<FencingToken>() == tokens[body["group"]]) {
      tokens[body["group"]] = record.offset;
    }
  }
};

// Hosts read the log in duplicate, late and reordered batches; some start after
// its first records have expired; lagging hosts write snapshots. Each host with
// a base state must agree with the reference fold.
RC_GTEST_PROP(Differential, ControlFoldAgreesWithTheWholeLog, ()) {
  Random random(AnySeed());
  FakeLog log(seconds(100));
  TimePoint now = kStart;
  NaiveFold naive;
  std::vector<NaiveFold> after(1);
  std::vector<ControlFold> hosts(3);
  std::vector<LogBatch> late;
  std::vector<Json> snapshots;
  const auto append = [&](const Json& body) {
    const LogOffset offset = log.Append("control", body.dump(), now);
    naive.ApplyRecord({offset, now, body.dump()});
    after.push_back(naive);
  };
  for (int step = 0; step < 150; ++step) {
    now += seconds(random.Below(4));
    ControlFold& host = hosts[random.Below(hosts.size())];
    switch (random.Below(9)) {
      case 0:
      case 1: {
        const LogOffset base = random.Below(3) == 0
                                   ? random.Below(naive.version + 2)
                                   : naive.version;
        append(PublishRecord(
            "p" + std::to_string(step), base,
            Json{{"document", TestRules("s" + std::to_string(step))}}));
        break;
      }
      case 2: {
        const std::string group = random.Below(2) == 0 ? "a/0" : "b/0";
        const FencingToken previous =
            random.Below(3) == 0 ? random.Below(5) : naive.tokens[group];
        append(ClaimGroupRecord("c", group, {"h", 1}, previous));
        break;
      }
      case 3:
        if (host.has_base()) snapshots.push_back(host.Snapshot());
        break;
      case 4:
        if (!snapshots.empty()) {
          append(snapshots[random.Below(snapshots.size())]);
        }
        break;
      case 5:
        if (!snapshots.empty()) {
          host.Install(snapshots[random.Below(snapshots.size())]);
        }
        break;
      case 6:
        if (random.Below(4) == 0) host = ControlFold();
        break;
      case 7:
        if (!late.empty()) host.Apply(late[random.Below(late.size())]);
        break;
      default:
        late.push_back(
            log.Read("control", host.next_offset(), 1 + random.Below(4), now));
        host.Apply(late.back());
        break;
    }
    for (const ControlFold& checked : hosts) {
      if (!checked.has_base()) continue;
      const NaiveFold& truth = after[checked.next_offset() - 1];
      RC_ASSERT(checked.rules().version() == truth.version);
      if (truth.version > 0) {
        RC_ASSERT(checked.rules().current()->set.name == truth.name);
      }
      for (const auto& [group, token] : truth.tokens) {
        const GroupOwnership* ownership = checked.ownership().Find(group);
        RC_ASSERT((ownership == nullptr ? 0 : ownership->token) == token);
      }
    }
  }
}

// ---- Ledger ----

// Two successive owners send orders to one engine, the superseded one too;
// orders and answers are lost, duplicated and reordered. The engine executes
// every order it accepts and must never be overcommitted.
RC_GTEST_PROP(Differential, LedgerNeverOvercommitsTheEngine, ()) {
  Random random(AnySeed());
  const bool checks_fence = random.Below(2) == 0;
  const Duration horizon = seconds(10);
  FakeWeightStore store(100, 100, 1e9);
  for (int i = 0; i < 6; ++i) {
    store.AddModel({"m" + std::to_string(i), "", 200 + 100 * random.Below(4)});
  }
  FakeEngineSettings settings;
  settings.name = "e";
  settings.memory_bytes = 1000;
  settings.checks_fence = checks_fence;
  FakeEngine engine(settings, store);

  struct Owner {
    FencingToken token = 0;
    uint64_t sequence = 0;
    MemoryLedger ledger;
  };
  struct OnWire {
    EngineOrder order;
    size_t owner = 0;
    TimePoint sent_at;
  };
  struct Answer {
    Inventory inventory;
    size_t owner = 0;
    TimePoint requested_at;
  };
  TimePoint now = kStart;
  std::vector<Owner> owners;
  std::deque<OnWire> wire;
  std::deque<Answer> answers;
  const auto take_over = [&] {
    Owner owner;
    owner.token = owners.size() + 1;
    owner.ledger = MemoryLedger(checks_fence, horizon);
    owners.push_back(std::move(owner));
    // Where the engine does not check tokens, the former owner stops first and
    // its orders have arrived (after its release or confirmed departure).
    if (checks_fence) return;
    for (const OnWire& item : wire) engine.HandleOrder(item.order, now);
    wire.clear();
    now += horizon;
  };
  take_over();
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(random.Below(1500));
    const size_t index =
        checks_fence ? random.Below(owners.size()) : owners.size() - 1;
    Owner& owner = owners[index];
    EngineOrder order;
    order.id =
        std::to_string(owner.token) + "." + std::to_string(owner.sequence + 1);
    order.fence = {owner.token, owner.sequence + 1};
    order.engine_incarnation = owner.ledger.incarnation();
    switch (random.Below(8)) {
      case 0:
      case 1: {
        const std::string name = "m" + std::to_string(random.Below(6));
        order.kind = OrderKind::kLoad;
        order.name = name;
        order.bytes = store.Find(name)->bytes;
        if (!owner.ledger.Reserve(order, now)) break;
        ++owner.sequence;
        wire.push_back({order, index, now});
        break;
      }
      case 2: {
        order.kind = OrderKind::kUnload;
        order.name = "m" + std::to_string(random.Below(6));
        if (!owner.ledger.BeginUnload(order, now)) break;
        ++owner.sequence;
        wire.push_back({order, index, now});
        break;
      }
      case 3:
      case 4:
        order.kind = OrderKind::kInspect;
        order.fence.sequence = random.Below(2) == 0 ? 0 : ++owner.sequence;
        wire.push_back({order, index, now});
        break;
      case 5:
        if (random.Below(8) == 0) take_over();
        break;
      default: {
        if (wire.empty()) break;
        const size_t at = random.Below(wire.size());
        const OnWire item = wire[at];
        const uint64_t fate = random.Below(5);
        if (fate != 0) wire.erase(wire.begin() + static_cast<long>(at));
        if (fate == 1) break;  // Lost. Fate 0 leaves a duplicate on the wire.
        // No order is in flight for longer than the horizon.
        if (now - item.sent_at >= horizon) break;
        const Inventory inventory = engine.HandleOrder(item.order, now);
        answers.push_back({inventory, item.owner, item.sent_at});
        break;
      }
    }
    std::erase_if(wire, [&](const OnWire& item) {
      return now - item.sent_at >= horizon;
    });
    if (!answers.empty() && random.Below(2) == 0) {
      const size_t at = random.Below(answers.size());
      const Answer& answer = answers[at];
      owners[answer.owner].ledger.Reconcile(answer.inventory,
                                            answer.requested_at, now);
      if (random.Below(3) != 0) {
        answers.erase(answers.begin() + static_cast<long>(at));
      }
    }
    RC_ASSERT(!engine.was_overcommitted());
  }
}

}  // namespace
}  // namespace applehall

#include "routing/engine_view.h"

#include <gtest/gtest.h>

#include <map>

#include "core/hash.h"
#include "routing/retry_budget.h"

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(500000)};

EngineDigest Digest(int number, int running, uint64_t sequence = 1) {
  EngineDigest digest;
  digest.engine = "engine-" + std::to_string(number);
  digest.token = 3;
  digest.sequence = sequence;
  digest.slots = 16;
  digest.running = running;
  digest.ready = {"m"};
  return digest;
}

// Twenty routers have the same reports, in which one engine is idle. If all of
// them chose it, it would be overloaded until the next report.
TEST(EngineViewTest, RoutersDoNotHerdToIdleEngine) {
  std::map<std::string, int> sent;
  for (uint64_t router = 0; router < 20; ++router) {
    EngineView view(router + 1);
    for (int i = 0; i < 10; ++i) view.Merge(Digest(i, i == 0 ? 0 : 8), kNow);
    for (int i = 0; i < 5; ++i) {
      const EngineDigest* chosen = view.Choose("m", 0, kNow);
      ASSERT_NE(chosen, nullptr);
      view.BeginRequest(chosen->engine);
      ++sent[chosen->engine];
    }
  }
  EXPECT_LT(sent["engine-0"], 40) << "of 100, with a fair share of 10";
}

TEST(EngineViewTest, SamePrefixGoesToTheSameEngineUntilItIsBusy) {
  EngineView view(1);
  for (int i = 0; i < 6; ++i) view.Merge(Digest(i, 0), kNow);
  const uint64_t prefix = StableHash("You are a helpful stable hand.");
  const std::string first = view.Choose("m", prefix, kNow)->engine;
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(view.Choose("m", prefix, kNow)->engine, first);
    view.BeginRequest(first);
  }
  for (int i = 0; i < 8; ++i) view.BeginRequest(first);
  EXPECT_NE(view.Choose("m", prefix, kNow)->engine, first);
}

// Digests of the former owner arrive after those of the new one.
TEST(EngineViewTest, LaterOwnersDigestWins) {
  EngineView view(1);
  EngineDigest later = Digest(0, 2, 1);
  later.token = 9;
  later.ready.clear();
  EXPECT_TRUE(view.Merge(later, kNow));
  EXPECT_FALSE(view.Merge(Digest(0, 0, 500), kNow));
  EXPECT_EQ(view.Choose("m", 0, kNow), nullptr);
}

// A peer sends load-only digests after a whole one. A host that missed the
// whole digest must not apply them.
TEST(EngineViewTest, LoadOnlyDigestNeedsItsBase) {
  EngineView view(1);
  EngineDigest load = Digest(0, 9, 5);
  load.base_sequence = 4;
  EXPECT_FALSE(view.MergeLoad(load, kNow));
  EngineDigest whole = Digest(0, 1, 4);
  whole.base_sequence = 4;
  view.Merge(whole, kNow);
  EXPECT_TRUE(view.MergeLoad(load, kNow));
  EXPECT_EQ(view.Find("engine-0")->running, 9);
  EXPECT_EQ(view.ReadyReplicas("m"), 1);
  EXPECT_FALSE(view.MergeLoad(load, kNow)) << "doubled";
  load.sequence = 9;
  load.base_sequence = 8;
  EXPECT_FALSE(view.MergeLoad(load, kNow)) << "another base";
}

TEST(EngineViewTest, FailingEngineIsSkippedAndTriedAgain) {
  EngineView view(1);
  view.Merge(Digest(0, 0), kNow);
  for (int i = 0; i < 3; ++i) {
    ASSERT_NE(view.Choose("m", 0, kNow), nullptr);
    view.BeginRequest("engine-0");
    view.EndRequest("engine-0", "m", EngineView::RequestEnd::kFailed, kNow,
                    kNow);
  }
  EXPECT_EQ(view.Choose("m", 0, kNow), nullptr);
  const TimePoint later = kNow + seconds(1);
  ASSERT_NE(view.Choose("m", 0, later), nullptr);
  view.BeginRequest("engine-0");
  EXPECT_EQ(view.Choose("m", 0, later), nullptr) << "one trial at a time";
  view.EndRequest("engine-0", "m", EngineView::RequestEnd::kOk, later, later);
  EXPECT_NE(view.Choose("m", 0, later), nullptr);
}

TEST(EngineViewTest, LeavingEngineIsNotChosen) {
  EngineView view(1);
  view.Merge(Digest(0, 0), kNow);
  view.SetLeaving("engine-0", true);
  EXPECT_EQ(view.Choose("m", 0, kNow), nullptr);
  EXPECT_EQ(view.ReadyReplicas("m"), 0);
}

TEST(EngineViewTest, RequestsOfAllHostsFillAnEngine) {
  EngineView view(1);
  view.Merge(Digest(0, 0), kNow);
  const int slots = view.Find("engine-0")->slots;
  EngineView::Preference preference;
  preference.max_load = 1.25;
  EXPECT_NE(view.Choose("m", 0, preference, kNow), nullptr);
  EXPECT_FALSE(view.IsSaturated("m", preference, kNow));
  view.SetLoad("engine-0", slots * 5 / 4, 0);
  EXPECT_EQ(view.Choose("m", 0, preference, kNow), nullptr);
  EXPECT_TRUE(view.IsSaturated("m", preference, kNow));
  EXPECT_NE(view.Choose("m", 0, kNow), nullptr) << "without a bound";
  view.SetLoad("engine-0", 0, 0);
  EXPECT_NE(view.Choose("m", 0, preference, kNow), nullptr);
}

// The engine is unavailable because it fails, not because of its load, so
// requests should wait.
TEST(EngineViewTest, FailingEngineIsNotSaturated) {
  EngineView view(1);
  view.Merge(Digest(0, 0), kNow);
  view.SetLoad("engine-0", 1000, 0);
  for (int i = 0; i < 3; ++i) {
    view.BeginRequest("engine-0");
    view.EndRequest("engine-0", "m", EngineView::RequestEnd::kFailed, kNow,
                    kNow);
  }
  EngineView::Preference preference;
  preference.max_load = 1.25;
  EXPECT_FALSE(view.IsSaturated("m", preference, kNow));
}

TEST(RetryBudgetTest, RetriesStayAShareOfFirstAttempts) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstAttempt();
    while (budget.TrySpend()) ++retries;
  }
  EXPECT_LE(retries, 111);
  EXPECT_GE(retries, 100);
}

// All engines of a service refuse everything for ten seconds. With a full
// budget each, 72 hosts would spend 720 retries at once, where all together may
// make 184 and a fifth of the requests.
TEST(RetryBudgetTest, ManyHostsTogetherStayWithinTheBound) {
  constexpr int kHosts = 72;
  constexpr int kSlack = 184;
  constexpr int kRequestsOfAHost = 32;
  int retries = 0;
  for (int host = 0; host < kHosts; ++host) {
    RetryBudget budget;
    budget.SetMaxSaved(static_cast<double>(kSlack) / kHosts);
    for (int i = 0; i < kRequestsOfAHost; ++i) {
      budget.RecordFirstAttempt();
      while (budget.TrySpend()) ++retries;
    }
  }
  EXPECT_LE(retries, kSlack + kHosts * kRequestsOfAHost / 5);
  EXPECT_GE(retries, kHosts) << "and each host has some";
}

}  // namespace
}  // namespace applehall

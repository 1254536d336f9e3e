// Choices of EngineView by predicted completion.

#include <gtest/gtest.h>

#include <array>
#include <map>

#include "routing/engine_view.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(500000)};
constexpr int kChoices = 2000;

std::string Name(int i) { return "engine-" + std::to_string(i); }

EngineDigest Digest(int i, int slots, int running) {
  EngineDigest digest;
  digest.engine = Name(i);
  digest.token = 1;
  digest.sequence = 1;
  digest.slots = slots;
  digest.running = running;
  digest.ready = {"m"};
  return digest;
}

EngineView::Preference Stream() {
  EngineView::Preference preference;
  preference.targets = CompletionTargets{milliseconds(400), milliseconds(300)};
  preference.prompt_tokens = 1460;
  return preference;
}

EngineView::Preference Call(Duration target) {
  EngineView::Preference preference;
  preference.targets = CompletionTargets{target, {}};
  preference.service_time = milliseconds(150);
  preference.is_call = true;
  return preference;
}

class EstimatedChoiceTest : public testing::Test {
 protected:
  void AddEngines(int count, int slots, int running) {
    for (int i = 0; i < count; ++i) {
      view_.Merge(Digest(i, slots, running), kNow);
    }
  }

  // Returns the engine's share of the choices at `now`; none of them begins.
  double ShareOf(int engine, const EngineView::Preference& preference,
                 TimePoint now = kNow) {
    int chosen = 0;
    for (int i = 0; i < kChoices; ++i) {
      const EngineDigest* one = view_.Choose("m", 0, preference, now);
      if (one != nullptr && one->engine == Name(engine)) ++chosen;
    }
    return 1.0 * chosen / kChoices;
  }

  EngineView view_{1};
};

// Guards against an engine that is busy with prompts and gets as many requests
// as the others, because as few of its 48 slots are in use.
TEST_F(EstimatedChoiceTest, EngineWithManyPromptTokensGetsFewRequests) {
  AddEngines(4, 48, 5);
  view_.SetPerformance(Name(0), {1, 19000});
  EXPECT_LT(ShareOf(0, Stream()), 0.03);
  for (int i = 1; i < 4; ++i) EXPECT_NEAR(ShareOf(i, Stream()), 1.0 / 3, 0.07);
  view_.SetPerformance(Name(0), {1, 0});
  EXPECT_NEAR(ShareOf(0, Stream()), 0.25, 0.07);
}

// Guards against a burst of one host at one engine before any report shows it.
TEST_F(EstimatedChoiceTest, OwnUnreadPromptsCountUntilTheyAreRead) {
  AddEngines(4, 48, 5);
  view_.RecordPrompt(Name(0), 10000, kNow);
  view_.RecordPrompt(Name(0), 10000, kNow);
  EXPECT_LT(ShareOf(0, Stream()), 0.05);
  EXPECT_NEAR(ShareOf(0, Stream(), kNow + seconds(2)), 0.25, 0.07);
}

TEST_F(EstimatedChoiceTest, SlowEngineGetsFewStreams) {
  AddEngines(4, 64, 5);
  view_.SetPerformance(Name(0), {0.4, 0});
  EXPECT_LT(ShareOf(0, Stream()), 0.1);
  EXPECT_DOUBLE_EQ(view_.Speed(Name(0)), 0.4);
  EXPECT_DOUBLE_EQ(view_.Speed(Name(1)), 1);
  EXPECT_DOUBLE_EQ(view_.Speed("unknown"), 1);
}

// Guards against a slowdown that counts after it is over: servers change it
// many times a second, and those that are avoided report nothing new.
TEST_F(EstimatedChoiceTest, ReportedSlowdownLosesItsWeightWithItsAge) {
  AddEngines(2, 4, 0);
  const EngineView::Preference call = Call(milliseconds(150));
  view_.ReportLoad(Name(1), {0, 0, 4, 1.0}, kNow);
  view_.ReportLoad(Name(0), {0, 0, 4, 2.5}, kNow);
  const double fresh = ShareOf(0, call, kNow);
  const double half = ShareOf(0, call, kNow + milliseconds(250));
  EXPECT_LT(fresh, 0.05);
  EXPECT_GT(half, fresh + 0.03);
  EXPECT_LT(half, 0.25);
  EXPECT_NEAR(ShareOf(0, call, kNow + milliseconds(500)), 0.5, 0.05);
  EXPECT_NEAR(ShareOf(0, call, kNow + seconds(60)), 0.5, 0.05);
}

// Guards against a slow server that is left empty while the fast ones queue,
// although it answers well within the target.
TEST_F(EstimatedChoiceTest, ServersWithAWideMarginGetEqualShares) {
  AddEngines(2, 4, 0);
  view_.ReportLoad(Name(0), {0, 0, 4, 2.5}, kNow);
  view_.ReportLoad(Name(1), {0, 0, 4, 1.0}, kNow);
  EXPECT_NEAR(ShareOf(0, Call(seconds(2))), 0.5, 0.05);
}

// Guards against requests of other hosts that only the server's own report
// shows, and against own requests that a report does not include yet.
TEST_F(EstimatedChoiceTest, ReportedAndOwnRequestsFillAServer) {
  AddEngines(2, 4, 0);
  for (int i = 0; i < 2; ++i) view_.ReportLoad(Name(i), {0, 0, 4, 1.0}, kNow);
  view_.ReportLoad(Name(0), {4, 6, 4, 1.0}, kNow);
  const EngineView::Preference call = Call(milliseconds(450));
  EXPECT_LT(ShareOf(0, call), 0.1);
  view_.ReportLoad(Name(0), {0, 0, 4, 1.0}, kNow);
  for (int i = 0; i < 3; ++i) view_.BeginRequest(Name(0), "m");
  EXPECT_NEAR(ShareOf(0, call), 0.5, 0.05);
  view_.ReportLoad(Name(0), {3, 5, 4, 1.0}, kNow);
  for (int i = 0; i < 2; ++i) view_.EndRequest(Name(0), "m", {}, kNow, kNow);
  EXPECT_LT(ShareOf(0, call), 0.1);
}

// Guards against an estimate that overrides the reasons to avoid an engine.
TEST_F(EstimatedChoiceTest, UnusableEnginesAreNotChosen) {
  AddEngines(3, 48, 0);
  view_.SetLeaving(Name(0), true);
  EngineView::Preference preference = Stream();
  preference.avoid = Name(1);
  EXPECT_DOUBLE_EQ(ShareOf(2, preference), 1);
  view_.SetLeaving(Name(2), true);
  EXPECT_DOUBLE_EQ(ShareOf(1, preference), 1) << "no other one is left";
  view_.SetLeaving(Name(1), true);
  EXPECT_EQ(view_.Choose("m", 0, preference, kNow), nullptr);
}

// Guards against hosts that all send to the one engine with the lowest cost.
TEST_F(EstimatedChoiceTest, SimilarEnginesGetSimilarShares) {
  AddEngines(8, 48, 5);
  view_.SetPerformance(Name(0), {1.1, 0});
  EXPECT_LT(ShareOf(0, Stream()), 0.25);
}

// Guards against changed routing of deployments with few slots and without
// reported slowdown: the same seed gives the same sequence as before.
TEST(FormerChoiceTest, FewSlotsWithoutSlowdownAreChosenAsBefore) {
  for (const uint64_t prefix : {0, 12345}) {
    for (const double max_load : {0.0, 1.25}) {
      EngineView former(7, *PolicySet::Without("estimates"));
      EngineView present(7);
      EngineView::Preference with = Stream();
      with.max_load = max_load;
      with.service_time = seconds(2);
      EngineView::Preference without = with;
      without.targets = std::nullopt;
      without.prompt_tokens = 0;
      Random random(3);
      for (int i = 0; i < 12; ++i) {
        const EngineDigest digest = Digest(i, 31, i % 5);
        former.Merge(digest, kNow);
        present.Merge(digest, kNow);
        present.SetPerformance(Name(i), {0.4 + 0.1 * i, 1000.0 * i});
        present.ReportLoad(Name(i), {3, 1, 31, std::nullopt}, kNow);
      }
      for (int i = 0; i < kChoices; ++i) {
        const TimePoint now = kNow + milliseconds(i);
        with.draw = without.draw = random.Unit();
        const EngineDigest* expected = former.Choose("m", prefix, without, now);
        const EngineDigest* chosen = present.Choose("m", prefix, with, now);
        ASSERT_EQ(expected == nullptr, chosen == nullptr) << i;
        if (chosen == nullptr) continue;
        ASSERT_EQ(chosen->engine, expected->engine) << i;
        const std::string engine = chosen->engine;
        former.BeginRequest(engine, "m");
        present.BeginRequest(engine, "m");
        present.RecordPrompt(engine, 1460, now);
        if (i % 3 == 0) continue;
        const auto end = i % 11 == 0 ? EngineView::RequestEnd::kFull
                                     : EngineView::RequestEnd::kOk;
        former.EndRequest(engine, "m", end, now, now);
        present.EndRequest(engine, "m", end, now, now);
      }
    }
  }
}

// Guards against estimates for calls, which say nothing about a plain service
// that reports no slowdown, however many slots it has.
TEST(FormerChoiceTest, CallsWithoutSlowdownAreChosenAsBefore) {
  EngineView former(7);
  EngineView present(7);
  for (int i = 0; i < 6; ++i) {
    former.Merge(Digest(i, 64, i), kNow);
    present.Merge(Digest(i, 64, i), kNow);
    present.SetPerformance(Name(i), {0.4 + 0.2 * i, 0});
  }
  EngineView::Preference without = Call(milliseconds(450));
  without.targets = std::nullopt;
  for (int i = 0; i < kChoices; ++i) {
    ASSERT_EQ(present.Choose("m", 0, Call(milliseconds(450)), kNow)->engine,
              former.Choose("m", 0, without, kNow)->engine);
  }
}

}  // namespace
}  // namespace applehall

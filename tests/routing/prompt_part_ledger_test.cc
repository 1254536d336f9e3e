#include "routing/prompt_part_ledger.h"

#include <gtest/gtest.h>

#include "routing/prompt_part_judge.h"
#include "routing/quarantine.h"
#include "routing/recent_keys.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Group = PromptPartLedger::Group;
using Groups = std::vector<Group>;

constexpr TimePoint kNow{std::chrono::hours(500000)};

// Ends `number` of a server, with one request whose parts have these keys.
CutPrompt Cut(int number, uint64_t prompt, std::vector<uint64_t> keys) {
  CutPrompt cut{
      "s" + std::to_string(number), kNow + seconds(3 * number), prompt, {}};
  for (const uint64_t key : keys) cut.parts.push_back({key, key + 1000});
  return cut;
}

class PromptPartLedgerTest : public testing::Test {
 protected:
  void Add(const CutPrompt& cut) { ledger_.Record(cut, kNow); }
  Groups Causes() const { return ledger_.FindCauses().causes; }

  PromptPartLedger ledger_;
};

TEST_F(PromptPartLedgerTest, PartAtThreeEndsIsACause) {
  Add(Cut(1, 1, {7, 21}));
  Add(Cut(2, 2, {7, 22}));
  EXPECT_EQ(Causes(), Groups{});
  Add(Cut(3, 3, {7, 23}));
  EXPECT_EQ(Causes(), Groups{{7}});
}

// Guards against requests that are counted in place of ends, and against one
// request that several hosts report or that was sent to a server twice.
TEST_F(PromptPartLedgerTest, SeveralRequestsAtOneEndAreOneEnd) {
  for (uint64_t prompt = 1; prompt <= 4; ++prompt) Add(Cut(1, prompt, {7}));
  Add(Cut(2, 1, {7}));
  Add(Cut(2, 1, {7}));
  EXPECT_EQ(Causes(), Groups{});
}

// Guards against the parts of one request that a caller repeats: the request
// itself may be the cause.
TEST_F(PromptPartLedgerTest, RepeatedPromptNeedsAnotherOne) {
  for (int end = 1; end <= 4; ++end) Add(Cut(end, 1, {7}));
  EXPECT_EQ(Causes(), Groups{});
  Add(Cut(5, 2, {7}));
  EXPECT_EQ(Causes(), Groups{{7}});
}

// Guards against a sound part that is held because each bad request had it.
TEST_F(PromptPartLedgerTest, PartsOfTheSameRequestsAreOneGroup) {
  for (int end = 1; end <= 3; ++end) Add(Cut(end, end, {7, 8}));
  EXPECT_EQ(Causes(), (Groups{{7, 8}}));
  Add(Cut(4, 4, {7}));
  EXPECT_EQ(Causes(), Groups{{7}});
  EXPECT_EQ(ledger_.FindCauses().explained, Groups{{8}});
}

// Guards against a part that is held because it was beside the cause.
TEST_F(PromptPartLedgerTest, PartBesideTheCauseIsExplainedByIt) {
  for (int end = 1; end <= 3; ++end) {
    Add(Cut(end, end, {7}));
    Add(Cut(end, 10 + end, {8}));
    Add(Cut(end, 20 + end, {8}));
  }
  EXPECT_EQ(Causes(), Groups{{7}});
}

TEST_F(PromptPartLedgerTest, TwoCausesAreFound) {
  for (int end = 1; end <= 3; ++end) Add(Cut(end, end, {7}));
  for (int end = 4; end <= 6; ++end) Add(Cut(end, end, {8}));
  EXPECT_EQ(Causes(), (Groups{{7}, {8}}));
}

// Guards against a part that other models have cleared and that goes on ending
// the servers of one model.
TEST_F(PromptPartLedgerTest, AnswerElsewhereLeavesTheModelSuspect) {
  for (int end = 1; end <= 4; ++end) Add(Cut(end, end, {7}));
  EXPECT_EQ(ledger_.Clear(7), std::vector<uint64_t>{1007});
  EXPECT_EQ(Causes(), Groups{}) << "more ends are needed for one model";
  CutPrompt fifth = Cut(5, 5, {7});
  fifth.parts[0].service = 0;
  Add(fifth);
  EXPECT_EQ(Causes(), Groups{{1007}});
  EXPECT_TRUE(ledger_.Clear(1007).empty());
  EXPECT_EQ(Causes(), Groups{});
  EXPECT_EQ(ledger_.size(), 0u);
}

// Guards against a sound part that is held because it came with two bad ones
// and its answers are known for other models only.
TEST_F(PromptPartLedgerTest, PartOfOneModelBesideTwoCausesIsNoCause) {
  for (int end = 1; end <= 2; ++end) Add(Cut(end, end, {7, 20}));
  for (int end = 3; end <= 4; ++end) Add(Cut(end, end, {8, 20}));
  ledger_.Clear(20);
  EXPECT_EQ(Causes(), Groups{});
  Add(Cut(5, 5, {7}));
  EXPECT_EQ(Causes(), Groups{{7}});
}

// Guards against the first part of a route that is held at a model without
// answers, as it was at the ends of two causes.
TEST_F(PromptPartLedgerTest, PartOfOneModelExplainsNoEndsOfACause) {
  for (int end = 1; end <= 4; ++end) Add(Cut(end, end, {7, 20}));
  for (int end = 5; end <= 6; ++end) Add(Cut(end, end, {8, 20}));
  ledger_.Clear(20);
  EXPECT_EQ(Causes(), Groups{{7}});
}

TEST_F(PromptPartLedgerTest, OldEndsExpire) {
  for (int end = 1; end <= 3; ++end) Add(Cut(end, end, {7}));
  ledger_.DropExpired(kNow + minutes(11));
  EXPECT_EQ(ledger_.size(), 0u);
  EXPECT_FALSE(ledger_.IsSuspect(7));
}

TEST_F(PromptPartLedgerTest, SizeIsBounded) {
  for (int end = 1; end <= 2000; ++end) {
    ledger_.Record(Cut(end % 100, end, {uint64_t(end)}), kNow);
  }
  EXPECT_LE(ledger_.size(), 512u);
  EXPECT_FALSE(ledger_.IsSuspect(1));
  EXPECT_TRUE(ledger_.IsSuspect(2000));
}

// Guards against a verdict before other hosts could report an answer.
TEST(PromptPartJudgeTest, SuspectIsJudgedAfterTheTimeToObject) {
  PromptPartJudge judge;
  for (int end = 1; end <= 3; ++end) judge.Record(Cut(end, end, {7}), kNow);
  EXPECT_TRUE(judge.Judge(milliseconds(250), kNow).causes.empty());
  const TimePoint later = kNow + milliseconds(250);
  EXPECT_EQ(judge.Judge(milliseconds(250), later).causes, Groups{{7}});
}

TEST(PromptPartJudgeTest, AnsweredPartsAreNoSuspects) {
  PromptPartJudge judge;
  judge.RecordAnswer(7, kNow);
  judge.RecordAnswer(1007, kNow);
  judge.RecordAnswer(8, kNow);
  const std::vector<uint64_t> suspects = judge.Record(Cut(1, 1, {7, 8}), kNow);
  EXPECT_EQ(suspects, std::vector<uint64_t>{1008}) << "at its model only";
  EXPECT_TRUE(judge.HasAnswer(7, kNow + minutes(9)));
  EXPECT_FALSE(judge.HasAnswer(7, kNow + minutes(11)));
}

TEST(RecentKeysTest, KeepsTheKeysThatWereRenewed) {
  RecentKeys keys(2, minutes(1));
  keys.Record(1, kNow);
  keys.Record(2, kNow);
  keys.Record(1, kNow);
  keys.Record(3, kNow);
  EXPECT_TRUE(keys.Holds(1, kNow));
  EXPECT_FALSE(keys.Holds(2, kNow));
  EXPECT_EQ(keys.size(), 2u);
  EXPECT_FALSE(keys.Holds(1, kNow + minutes(2)));
  keys.Remove(1);
  EXPECT_EQ(keys.size(), 1u);
}

TEST(QuarantineGroupTest, RequestIsHeldOnlyWithAllPartsOfAGroup) {
  Quarantine quarantine;
  const Quarantine::Parts group = {7, 8};
  const uint64_t key = Quarantine::KeyOf(group);
  quarantine.Add(key, kNow + minutes(1), group);
  EXPECT_EQ(quarantine.FindGroup({6, 7}, kNow), 0u);
  EXPECT_EQ(quarantine.FindGroup({8, 6, 7}, kNow), key);
  EXPECT_EQ(quarantine.FindGroup({7, 8}, kNow + minutes(2)), 0u);
  EXPECT_EQ(quarantine.GroupsWith(8), std::vector<uint64_t>{key});
  quarantine.Remove(key);
  EXPECT_FALSE(quarantine.has_groups());
}

// Guards against groups that a store's record or a snapshot loses, and against
// malformed ones.
TEST(QuarantineGroupTest, GroupsSurviveJson) {
  Quarantine quarantine;
  quarantine.Add(5, kNow + minutes(1));
  quarantine.Add(6, kNow + minutes(1), {7, 8});
  Json json = quarantine.ToJson();
  json.push_back(Json::array({9, ToUnixMillis(kNow), Json::array({"x"})}));
  json.push_back(Json::array({10, ToUnixMillis(kNow), Json::array()}));
  const Quarantine read = Quarantine::FromJson(json);
  EXPECT_EQ(read.entries().size(), 2u);
  EXPECT_EQ(read.PartsOf(6), (Quarantine::Parts{7, 8}));
  EXPECT_EQ(read.FindGroup({7, 8}, kNow), 6u);
}

}  // namespace
}  // namespace applehall

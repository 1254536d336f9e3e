#include <gtest/gtest.h>

#include "core/random.h"
#include "node/limit_registry.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ReportedLimit::Kind;

constexpr char kServer[] = "i-1";
constexpr FencingToken kToken = 7;

ReportedLimit Named(double per_second) {
  return {Kind::kNamed, per_second, {}};
}
const ReportedLimit kNone{Kind::kNone, 0, {}};

class LimitBookTest : public testing::Test {
 protected:
  LimitBookTest() { List(now_); }

  void List(TimePoint started_at) {
    ListedServer server;
    server.id = kServer;
    server.started_at = started_at;
    servers_[kServer] = server;
  }
  // What `host` observed reaches the owner, and the owner's word all hosts.
  void Exchange(LimitRegistry& host, LimitRegistry& other) {
    now_ += milliseconds(20);
    owner_.TakeReport(host.ReportRows(kToken, servers_, now_), servers_, now_);
    owner_.NumberRows(news_);
    const Json rows = owner_.PlanRows(0, servers_, now_);
    host.TakePlan(rows, kToken, servers_, now_);
    other.TakePlan(rows, kToken, servers_, now_);
    now_ += milliseconds(20);
  }

  TimePoint now_{std::chrono::hours(500000)};
  EngineList servers_;
  LimitRegistry owner_;
  LimitRegistry a_;
  LimitRegistry b_;
  uint64_t news_ = 0;
};

TEST_F(LimitBookTest, LimitReachesAllHosts) {
  EXPECT_TRUE(a_.ApplyReported(kServer, Named(1.5), now_, now_));
  EXPECT_TRUE(a_.HasNewRows());
  Exchange(a_, b_);
  EXPECT_EQ(b_.Find(kServer), 1.5);
  EXPECT_FALSE(a_.HasNewRows());
}

// Guards against an answer that was written before the limit and arrives after
// it: it would lift the limit.
TEST_F(LimitBookTest, OlderAnswersNeitherRaiseNorLiftALimit) {
  const TimePoint before = now_;
  now_ += seconds(1);
  a_.ApplyReported(kServer, Named(1), now_, now_);
  EXPECT_FALSE(a_.ApplyReported(kServer, kNone, before, now_ + seconds(1)));
  EXPECT_FALSE(a_.ApplyReported(kServer, Named(9), before, now_ + seconds(1)));
  EXPECT_EQ(a_.Find(kServer), 1);
  EXPECT_TRUE(a_.ApplyReported(kServer, Named(0.5), before, now_ + seconds(1)));
  const TimePoint after = now_ + seconds(2);
  EXPECT_TRUE(a_.ApplyReported(kServer, kNone, after, after));
  EXPECT_FALSE(a_.Find(kServer).has_value());
}

// Guards against a host that reports a limit as lifted which another host has
// heard lowered meanwhile.
TEST_F(LimitBookTest, OwnerTakesOnlyWordsOnItsNewestVersion) {
  a_.ApplyReported(kServer, Named(4), now_, now_);
  Exchange(a_, b_);
  now_ += seconds(1);
  a_.ApplyReported(kServer, kNone, now_, now_);
  b_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(b_, b_);
  Exchange(a_, b_);
  EXPECT_EQ(owner_.Find(kServer), 1);
  EXPECT_EQ(a_.Find(kServer), 1);
  EXPECT_EQ(b_.Find(kServer), 1);
}

TEST_F(LimitBookTest, LiftedLimitIsLiftedEverywhere) {
  a_.ApplyReported(kServer, Named(4), now_, now_);
  Exchange(a_, b_);
  b_.ApplyReported(kServer, kNone, now_, now_);
  Exchange(b_, a_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
  EXPECT_FALSE(a_.Find(kServer).has_value());
  EXPECT_TRUE(a_.Limits().empty());
}

// Guards against a server that starts again under its id and is held to what
// its earlier life named, by a late answer or by a host that has not heard.
TEST_F(LimitBookTest, LimitEndsWithTheLifeThatNamedIt) {
  a_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(a_, b_);
  const TimePoint sent_before = now_;
  now_ += seconds(1);
  List(now_);
  for (LimitRegistry* book : {&owner_, &a_}) book->Forget(kServer, now_);
  EXPECT_FALSE(a_.ApplyReported(kServer, Named(1), sent_before, now_));
  EXPECT_FALSE(a_.Find(kServer).has_value());
  EngineList earlier = servers_;
  earlier[kServer].started_at = sent_before;
  b_.ApplyReported(kServer, Named(0.5), now_, now_);
  owner_.TakeReport(b_.ReportRows(kToken, earlier, now_), servers_, now_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
}

TEST_F(LimitBookTest, LimitThatNobodyNamesAnyMoreEnds) {
  a_.ApplyReported(kServer, Named(1), now_, now_);
  Exchange(a_, b_);
  for (int i = 0; i < 3; ++i) {
    now_ += seconds(25);
    a_.ApplyReported(kServer, Named(1), now_, now_);
    Exchange(a_, b_);
    owner_.Expire(now_);
  }
  EXPECT_EQ(owner_.Find(kServer), 1);
  now_ += seconds(61);
  owner_.Expire(now_);
  EXPECT_FALSE(owner_.Find(kServer).has_value());
  Exchange(a_, b_);
  EXPECT_FALSE(a_.Find(kServer).has_value());
}

// A new owner knows nothing; what all hosts know reaches it with their reports.
TEST_F(LimitBookTest, NewOwnerLearnsFromTheHosts) {
  a_.ApplyReported(kServer, Named(2), now_, now_);
  Exchange(a_, b_);
  LimitRegistry next;
  next.TakeReport(a_.ReportRows(kToken + 1, servers_, now_), servers_, now_);
  EXPECT_EQ(next.Find(kServer), 2);
}

// Guards against rows of another version of the program, or of none.
TEST_F(LimitBookTest, MalformedRowsAreLeftOut) {
  a_.ApplyReported(kServer, Named(2), now_, now_);
  const Json good = a_.ReportRows(kToken, servers_, now_);
  Random random(20261203);
  const std::string text = good.dump();
  for (int i = 0; i < 20000; ++i) {
    std::string mutated = text;
    for (uint64_t n = 1 + random.Below(4); n > 0; --n) {
      mutated[random.Below(mutated.size())] =
          static_cast<char>(32 + random.Below(95));
    }
    const Json rows = Json::parse(mutated, nullptr, /*allow_exceptions=*/false);
    LimitRegistry book;
    book.TakeReport(rows, servers_, now_);
    book.TakePlan(rows, kToken, servers_, now_);
    for (const auto& [server, per_second] : book.Limits()) {
      EXPECT_GE(per_second, 0) << mutated;
    }
  }
  for (const char* rows :
       {"null", "3", "{}", R"([["i-1"]])", R"([["i-1",0,"x",0,0]])",
        R"([["i-1",0,1,0,-1]])", R"([["i-1",0,1,-5,0,9]])"}) {
    LimitRegistry book;
    book.TakeReport(*ParseJson(rows), servers_, now_);
    book.TakePlan(*ParseJson(rows), kToken, servers_, now_);
    EXPECT_TRUE(book.Limits().empty()) << rows;
  }
}

}  // namespace
}  // namespace applehall

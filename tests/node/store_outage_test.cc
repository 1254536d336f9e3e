#include "node/store_outage.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1000)};

class StoreOutageTest : public testing::Test {
 protected:
  // Records a rejection each 100 ms of a span after `kStart`.
  void Reject(Duration begin, Duration end) {
    for (Duration at = begin; at < end; at += milliseconds(100)) {
      outage_.RecordRejection(kStart + at);
    }
  }
  // Returns how long after `resumed` entries may be those of live servers.
  Duration Grace(Duration resumed) {
    const TopicState topic{.interrupted_at = kStart,
                           .resumed_at = kStart + resumed};
    return outage_.LapseEnd(topic) - topic.resumed_at;
  }

  StoreOutage outage_{
      {.min_outage = milliseconds(2400), .contact_time = milliseconds(2900)}};
};

TEST_F(StoreOutageTest, TopicWithoutInterruptionHasNoGrace) {
  EXPECT_EQ(outage_.LapseEnd({}), TimePoint{});
}

// Guards against live servers that are dropped after an outage of the store.
TEST_F(StoreOutageTest, EntriesLapseInAnOutageThatRejectsAllCalls) {
  Reject(seconds(1), seconds(4));
  EXPECT_EQ(Grace(seconds(4)), milliseconds(2200));
}

// Guards against removed servers that are kept because this host was cut off.
TEST_F(StoreOutageTest, LostCallBoundsTheGrace) {
  outage_.RecordLostCall(kStart + seconds(2));
  EXPECT_EQ(Grace(seconds(3)), milliseconds(1900));
}

// Guards against removed servers that are kept because this process stood
// still, also if the store rejects it for a moment before and after.
TEST_F(StoreOutageTest, PauseBoundsTheGrace) {
  Reject(milliseconds(200), milliseconds(900));
  outage_.RecordPause(kStart + seconds(3));
  Reject(seconds(3), milliseconds(3700));
  EXPECT_EQ(Grace(seconds(4)), milliseconds(1900));
}

// Guards against live servers that are dropped because one call was lost, or
// this process stood still, before the store rejected all calls for long.
TEST_F(StoreOutageTest, RejectionsAfterALostCallOrAPauseKeepTheGrace) {
  outage_.RecordLostCall(kStart + milliseconds(200));
  Reject(milliseconds(400), seconds(5));
  EXPECT_EQ(Grace(seconds(5)), milliseconds(2200));
  outage_.RecordPause(kStart + milliseconds(5100));
  Reject(milliseconds(5200), seconds(8));
  EXPECT_EQ(Grace(seconds(8)), milliseconds(2200));
}

// Guards against removed servers that are kept because the store rejected this
// host for a moment after a cut, which lapses no entry.
TEST_F(StoreOutageTest, ShortRejectionsAfterALostCallDoNotKeepTheGrace) {
  outage_.RecordLostCall(kStart + seconds(2));
  Reject(milliseconds(2500), milliseconds(4800));
  EXPECT_EQ(Grace(milliseconds(4800)), milliseconds(100));
}

// Guards against rejections before a cut that count until its end.
TEST_F(StoreOutageTest, RejectionsBeforeALostCallDoNotKeepTheGrace) {
  Reject(milliseconds(200), milliseconds(900));
  outage_.RecordAnswer();
  outage_.RecordLostCall(kStart + seconds(3));
  EXPECT_EQ(Grace(seconds(5)), milliseconds(900));
}

// Guards against an outage that is assumed although the store answered between
// two rejections.
TEST_F(StoreOutageTest, AnswerEndsARunOfRejections) {
  outage_.RecordLostCall(kStart + milliseconds(200));
  Reject(milliseconds(400), seconds(2));
  outage_.RecordAnswer();
  Reject(seconds(2), milliseconds(2800));
  EXPECT_LT(Grace(seconds(3)), milliseconds(200));
}

// Guards against the trouble before an interruption that bounds its grace.
TEST_F(StoreOutageTest, EarlierTroubleDoesNotBoundTheGrace) {
  outage_.RecordLostCall(kStart - seconds(1));
  outage_.RecordPause(kStart - milliseconds(100));
  EXPECT_EQ(Grace(seconds(3)), milliseconds(2200));
}

}  // namespace
}  // namespace applehall

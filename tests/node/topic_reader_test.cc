#include "node/topic_reader.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1000)};
constexpr FreshnessBudget kBudget = FreshnessBudget::Within(seconds(16));

class TopicReaderTest : public testing::Test {
 protected:
  bool ReadsAll(TimePoint now) {
    const auto read = reader_.NextRead(now);
    return read && read->is_whole;
  }

  TopicReader reader_{kBudget, seconds(1), /*has_single_key=*/false};
};

// Guards against hosts that lack a part of a topic for good, or read all of it
// again and again.
TEST_F(TopicReaderTest, MissingPartIsReadAgainWithGrowingPauses) {
  TimePoint now = kStart;
  Duration last_pause{0};
  for (int i = 0; i < 12; ++i) {
    ASSERT_TRUE(ReadsAll(now)) << i;
    reader_.HandlePartOfNewest(7, now);
    EXPECT_EQ(reader_.next(), 7u);
    EXPECT_FALSE(ReadsAll(now));
    const Duration pause = *reader_.next_whole_read() - now;
    EXPECT_GE(pause, last_pause);
    EXPECT_FALSE(ReadsAll(now + pause - milliseconds(1)));
    last_pause = pause;
    now += pause;
  }
  EXPECT_GE(last_pause, seconds(60));
  ASSERT_TRUE(ReadsAll(now));
  reader_.HandleNewest(8, now);
  EXPECT_FALSE(reader_.next_whole_read());
  EXPECT_FALSE(ReadsAll(now + std::chrono::hours(1)));
}

// Guards against a follower that waits for good for what it could not read.
TEST_F(TopicReaderTest, FollowerReadsAMissingPartItself) {
  reader_.HandlePartOfNewest(7, kStart);
  reader_.SetPolling(false, kStart);
  EXPECT_FALSE(reader_.NextRead(kStart));
  EXPECT_TRUE(ReadsAll(*reader_.next_whole_read()));
}

// Guards against a host that stops following the changes because the store
// fails as it reads all again.
TEST_F(TopicReaderTest, FailedReadOfAllKeepsThePosition) {
  reader_.HandlePartOfNewest(7, kStart);
  ASSERT_TRUE(reader_.HandleUpdates(9, kStart));
  const TimePoint due = *reader_.next_whole_read();
  ASSERT_TRUE(ReadsAll(due));
  EXPECT_FALSE(reader_.TryApplyRelayed(9, 10));
  reader_.HandleFailure();
  EXPECT_EQ(reader_.next(), 9u);
  EXPECT_TRUE(reader_.TryApplyRelayed(9, 10));
  EXPECT_FALSE(ReadsAll(due));
  EXPECT_TRUE(ReadsAll(*reader_.next_whole_read()));
}

}  // namespace
}  // namespace applehall

// Which software versions of a service may have begun a stream.

#include "membership/version_history.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};
constexpr Duration kMaxAge = seconds(1);
constexpr Duration kFresh = milliseconds(300);

class VersionHistoryTest : public testing::Test {
 protected:
  void Start(const std::string& version) {
    history_.Add("llm", version, now_);
    history_.RecordListing(true, now_);
  }
  void Stop(const std::string& version) {
    history_.Remove("llm", version, now_);
    history_.RecordListing(true, now_);
  }
  std::optional<std::string> Settled() const {
    return history_.SettledVersion("llm", kFresh, now_);
  }

  TimePoint now_ = kStart;
  VersionHistory history_{kMaxAge, /*is_first_start=*/false};
};

TEST_F(VersionHistoryTest, OneVersionIsSettledOnceThePastIsKnown) {
  Start("v1");
  now_ += seconds(59);
  EXPECT_FALSE(Settled());
  now_ += seconds(1);
  EXPECT_EQ(Settled(), "v1");
}

TEST_F(VersionHistoryTest, NoStreamBeganBeforeTheFirstStart) {
  VersionHistory first(kMaxAge, /*is_first_start=*/true);
  first.Add("llm", "v1", now_);
  first.RecordListing(true, now_);
  EXPECT_TRUE(first.IsSettled("llm", kFresh, now_));
}

// Guards against trust in a listing that may lack a newer version.
TEST_F(VersionHistoryTest, OldListingSettlesNothing) {
  Start("v1");
  now_ += seconds(100);
  EXPECT_TRUE(history_.IsSettled("llm", kMaxAge, now_));
  EXPECT_FALSE(history_.IsSettled("llm", kMaxAge + milliseconds(1), now_));
}

// Guards against a guess for streams of a version that has left.
TEST_F(VersionHistoryTest, VersionThatLeftIsRememberedForTheAgeOfAStream) {
  Start("v1");
  Start("v2");
  now_ += seconds(100);
  Stop("v1");
  now_ += kMaxStreamAge;
  EXPECT_FALSE(Settled());
  now_ += milliseconds(1);
  EXPECT_EQ(Settled(), "v2");
}

// Guards against streams at a version that other hosts have not read yet: they
// would take their only version for that of the stream.
TEST_F(VersionHistoryTest, NewVersionTakesStreamsLaterThanListingsMayLag) {
  Start("v1");
  now_ += seconds(100);
  Start("v2");
  EXPECT_GT(history_.StreamsFrom("llm", "v2"), now_ + kMaxAge);
  EXPECT_LE(history_.StreamsFrom("llm", "v1"), now_);
}

TEST_F(VersionHistoryTest, LoneVersionTakesStreamsAtOnce) {
  Start("v1");
  EXPECT_LE(history_.StreamsFrom("llm", "v1"), now_);
}

TEST_F(VersionHistoryTest, MostCommonVersionOfTheFirstListingTakesStreams) {
  for (const char* version : {"v2", "v1", "v1"}) {
    history_.Add("llm", version, now_);
  }
  history_.RecordListing(true, now_);
  EXPECT_LE(history_.StreamsFrom("llm", "v1"), now_);
  EXPECT_GT(history_.StreamsFrom("llm", "v2"), now_ + kMaxAge);
}

TEST_F(VersionHistoryTest, VersionThatReturnsIsNotNew) {
  Start("v1");
  Start("v2");
  now_ += seconds(10);
  Stop("v2");
  now_ += seconds(10);
  Start("v2");
  EXPECT_LE(history_.StreamsFrom("llm", "v2"), now_);
}

// Guards against versions that came and went while this host read nothing.
TEST_F(VersionHistoryTest, GapInTheListingBeginsThePastAnew) {
  Start("v1");
  now_ += seconds(100);
  ASSERT_TRUE(Settled());
  history_.RecordListing(false, now_);
  EXPECT_FALSE(Settled());
}

// Guards against a host that was out of step and takes the only version it has
// seen for the only one there was.
TEST_F(VersionHistoryTest, OnlySeenVersionNeedsAListingWithoutGaps) {
  Start("v1");
  now_ += seconds(2);
  EXPECT_EQ(history_.OnlySeenVersion("llm", kFresh, now_), "v1");
  EXPECT_FALSE(history_.OnlySeenVersion("llm", kMaxAge + kFresh, now_));
  EXPECT_FALSE(history_.OnlySeenVersion("llm", Duration::max(), now_));
  history_.RecordListing(/*is_contiguous=*/false, now_);
  EXPECT_FALSE(history_.OnlySeenVersion("llm", kFresh, now_));
  // The placement owner has seen all versions of the last ten seconds.
  history_.MergeRows(Json{{"c", 10'000}, {"a", 0}}, now_);
  EXPECT_EQ(history_.OnlySeenVersion("llm", kFresh, now_), "v1");
}

TEST_F(VersionHistoryTest, HostThatStartedLearnsThePastFromThePlan) {
  Start("v1");
  now_ += seconds(100);
  VersionHistory started(kMaxAge, /*is_first_start=*/false);
  started.Add("llm", "v1", now_);
  started.RecordListing(true, now_);
  now_ += seconds(1);
  EXPECT_FALSE(started.IsSettled("llm", kFresh, now_));
  started.MergeRows(history_.ToRows(kFresh, now_), now_);
  EXPECT_TRUE(started.IsSettled("llm", kFresh, now_));
}

// Guards against a host that has started after a version left.
TEST_F(VersionHistoryTest, HostThatStartedLearnsOfVersionsThatLeft) {
  Start("v1");
  Start("v2");
  now_ += seconds(100);
  Stop("v1");
  now_ += seconds(10);
  VersionHistory started(kMaxAge, /*is_first_start=*/false);
  started.Add("llm", "v2", now_);
  started.RecordListing(true, now_);
  now_ += seconds(1);
  started.MergeRows(history_.ToRows(kFresh, now_), now_);
  EXPECT_FALSE(started.IsSettled("llm", kFresh, now_));
  now_ += kMaxStreamAge;
  EXPECT_TRUE(started.IsSettled("llm", kFresh, now_));
}

// Guards against versions between an old history and the own first listing.
TEST_F(VersionHistoryTest, HistoryOfAnOwnerWithAnOldListingIsNotMerged) {
  Start("v1");
  now_ += seconds(100);
  const Json old = history_.ToRows(kMaxAge + milliseconds(1), now_);
  const Json before_own = history_.ToRows(kFresh, now_);
  VersionHistory started(kMaxAge, /*is_first_start=*/false);
  started.Add("llm", "v1", now_);
  started.RecordListing(true, now_);
  started.MergeRows(before_own, now_);
  EXPECT_FALSE(started.IsSettled("llm", kFresh, now_));
  now_ += seconds(1);
  started.MergeRows(old, now_);
  EXPECT_FALSE(started.IsSettled("llm", kFresh, now_));
}

TEST_F(VersionHistoryTest, MalformedRowsAreSkipped) {
  Start("v1");
  for (const char* text : {"{}", "[]", "{\"c\": 5, \"a\": 1, \"s\": [[1]]}",
                           "{\"c\": \"x\", \"a\": []}"}) {
    history_.MergeRows(*ParseJson(text), now_);
  }
  now_ += kMaxStreamAge;
  EXPECT_EQ(Settled(), "v1");
}

// Guards against streams of two versions that are joined because one version
// stands in a part of the listing that could not be read.
TEST_F(VersionHistoryTest, PartOfAListingNamesNoOnlyVersion) {
  history_.Add("llm", "v1", now_);
  history_.RecordPartialListing(now_);
  EXPECT_FALSE(history_.OnlySeenVersion("llm", Duration{0}, now_));
  history_.RecordListing(/*is_contiguous=*/true, now_);
  EXPECT_EQ(history_.OnlySeenVersion("llm", Duration{0}, now_), "v1");
  history_.RecordPartialListing(now_ + Duration{1});
  EXPECT_FALSE(
      history_.OnlySeenVersion("llm", Duration{0}, now_ + Duration{1}));
}

}  // namespace
}  // namespace applehall

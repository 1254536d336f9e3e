#include "node/version_recorder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace applehall {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr Duration kMaxListingAge = seconds(2);
const StreamOrigin kListed{"app", "v1"};
const StreamOrigin kGone{"app", "v0"};

class VersionRecorderTest : public testing::Test {
 protected:
  VersionRecorderTest() {
    context_.actions = &actions_;
    context_.now = TimePoint{hours(500000)};
    versions_.Add(kListed.service, kListed.version, context_.now);
  }

  void ReadWholeListing(LogOffset next, bool begins_anew) {
    ServerListRead listing;
    listing.next = next;
    listing.is_whole = true;
    versions_.RecordListing(/*is_contiguous=*/!begins_anew, context_.now);
    recorder_.RecordListing(listing, begins_anew);
  }
  void ReadPartOfListing(LogOffset next) {
    ServerListRead listing;
    listing.next = next;
    listing.is_partial = true;
    versions_.RecordPartialListing(context_.now);
    recorder_.RecordListing(listing, /*begins_anew=*/true);
  }
  void Read(const std::vector<StreamOrigin>& versions, LogOffset until) {
    VersionRecordRead read;
    read.is_answered = true;
    read.versions = versions;
    read.until = until;
    recorder_.HandleRead(read);
  }
  bool IsSettled() const {
    return versions_.SettledVersion(kListed.service, Duration{0}, context_.now)
        .has_value();
  }

  NodeContext context_{NodeSettings{}};
  std::vector<Action> actions_;
  VersionHistory versions_{kMaxListingAge, /*is_first_start=*/false};
  VersionRecorder recorder_{context_, versions_};
};

// Guards against changes between the end of what was read and the first listing
// that are taken for none.
TEST_F(VersionRecorderTest, ReadThatEndsBeforeTheHistoryIsNotUsed) {
  ReadWholeListing(20, /*begins_anew=*/true);
  Read({kListed}, 19);
  EXPECT_FALSE(IsSettled());
  Read({kListed}, 20);
  EXPECT_TRUE(IsSettled());
}

// Guards against a past that is taken for known beside a listing of which a
// part could not be read.
TEST_F(VersionRecorderTest, PartOfAListingIsNotExtended) {
  ReadWholeListing(20, /*begins_anew=*/true);
  ReadPartOfListing(21);
  Read({kListed}, 21);
  EXPECT_FALSE(IsSettled());
  ReadWholeListing(22, /*begins_anew=*/true);
  Read({kListed}, 22);
  EXPECT_TRUE(IsSettled());
}

// Guards against a version of the record that is left out because no server of
// it is listed any more.
TEST_F(VersionRecorderTest, VersionThatIsGoneStaysInTheHistory) {
  ReadWholeListing(20, /*begins_anew=*/true);
  Read({kListed, kGone}, 20);
  EXPECT_FALSE(IsSettled());
  const std::vector<StreamOrigin> recent =
      versions_.RecentVersions(context_.now);
  EXPECT_NE(std::find(recent.begin(), recent.end(), kGone), recent.end());
}

}  // namespace
}  // namespace applehall

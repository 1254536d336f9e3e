#include "node/server_ends.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(500000)};

TEST(ServerEndsTest, OneProbeCoversAllCutRequests) {
  ServerEnds ends;
  EXPECT_TRUE(ends.RecordCut("s", {1}, kNow));
  EXPECT_FALSE(ends.RecordCut("s", {2}, kNow));
  EXPECT_TRUE(ends.RecordCut("t", {3}, kNow));
  EXPECT_EQ(ends.HandleProbe({"s", ServerState::kGone}).size(), 2u);
  EXPECT_TRUE(ends.HandleProbe({"s", ServerState::kGone}).empty());
  EXPECT_TRUE(ends.RecordCut("s", {1}, kNow)) << "a later cut is another end";
}

// Guards against ends counted for a server that only aborts single requests,
// for example after an internal error.
TEST(ServerEndsTest, ListeningServerHasNotEnded) {
  ServerEnds ends;
  ends.RecordCut("s", {1}, kNow);
  EXPECT_TRUE(ends.HandleProbe({"s", ServerState::kListening}).empty());
  ends.RecordCut("t", {1}, kNow);
  EXPECT_TRUE(ends.HandleProbe({"t", ServerState::kUnknown}).empty());
}

// Guards against a probe that is lost because the probing thread is overloaded:
// without a second one no later end of that server would be detected.
TEST(ServerEndsTest, LostProbeIsRepeatedAtTheNextCut) {
  ServerEnds ends;
  EXPECT_TRUE(ends.RecordCut("s", {1}, kNow));
  EXPECT_FALSE(ends.RecordCut("s", {2}, kNow + seconds(1)));
  EXPECT_TRUE(ends.RecordCut("s", {3}, kNow + seconds(4)));
  EXPECT_EQ(ends.HandleProbe({"s", ServerState::kGone}).size(), 1u);
}

}  // namespace
}  // namespace applehall

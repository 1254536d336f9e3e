#include "node/reader_choice.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500000)};

FleetPeer Peer(double cpu_share, double link_mbps, bool can_read = true) {
  FleetPeer peer;
  peer.data_centre = "hall";
  peer.cpu_share = cpu_share;
  peer.link_mbps = link_mbps;
  peer.can_read_store = can_read;
  peer.heard_at = kNow;
  return peer;
}

// Guards against a reader whose link is filled by what it passes on: it learns
// seconds late that its callers have left, and works for nobody.
TEST(ReaderChoiceTest, HostWithANarrowLinkReadsOnlyIfNoOtherCan) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}, {"wide", Peer(0.12, 200)}};
  ReaderChoice readers(peers);
  EXPECT_EQ(readers.Reader("hall", kNow).host, "wide");
  peers["wide"].can_read_store = false;
  EXPECT_EQ(readers.Reader("hall", kNow).host, "narrow");
}

TEST(ReaderChoiceTest, AmongWideLinksMostProcessorReads) {
  FleetPeers peers{
      {"a", Peer(0.12, 1000)}, {"b", Peer(0.5, 200)}, {"untold", Peer(0.3, 0)}};
  ReaderChoice readers(peers);
  EXPECT_EQ(readers.Reader("hall", kNow).host, "b");
  EXPECT_EQ(readers.Backup("hall", "b", kNow).host, "untold");
}

// Guards against a reader that a new owner chose before it had heard the fleet,
// and kept for as long as it lived.
TEST(ReaderChoiceTest, NarrowReaderMakesWayForAWiderOneThatIsHeardLater) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}};
  ReaderChoice readers(peers);
  EXPECT_EQ(readers.Reader("hall", kNow).host, "narrow");
  peers["wide"] = Peer(0.12, 200);
  EXPECT_EQ(readers.Reader("hall", kNow).host, "wide");
  // Of two with the same link the one that reads already goes on.
  peers["strong"] = Peer(0.5, 200);
  EXPECT_EQ(readers.Reader("hall", kNow).host, "wide");
}

}  // namespace
}  // namespace applehall

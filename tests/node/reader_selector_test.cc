#include <gtest/gtest.h>

#include "node/reader_selector.h"

namespace applehall {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500000)};

FleetPeer Peer(double cpu_share, double link_mbps, bool can_read = true) {
  FleetPeer peer;
  peer.data_centre = "hall";
  peer.cpu_share = cpu_share;
  peer.link_mbps = link_mbps;
  peer.can_read_store = can_read;
  peer.last_report_at = kNow;
  return peer;
}

// Guards against a reader whose link is filled by what it passes on: it learns
// seconds late that its callers have left, and works for nobody.
TEST(ReaderSelectorTest, HostWithANarrowLinkReadsOnlyIfNoOtherCan) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}, {"wide", Peer(0.12, 200)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
  peers["wide"].can_read_store = false;
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "narrow");
}

TEST(ReaderSelectorTest, AmongWideLinksMostProcessorReads) {
  FleetPeers peers{
      {"a", Peer(0.12, 1000)}, {"b", Peer(0.5, 200)}, {"untold", Peer(0.3, 0)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "b");
  EXPECT_EQ(readers.SelectBackup("hall", "b", kNow).host, "untold");
}

// Guards against a reader that a new owner chose before it had heard the fleet,
// and kept for as long as it lived.
TEST(ReaderSelectorTest, NarrowReaderMakesWayForAWiderOneThatIsHeardLater) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "narrow");
  peers["wide"] = Peer(0.12, 200);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
  // Of two with the same link the one that reads already goes on.
  peers["strong"] = Peer(0.5, 200);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
}

}  // namespace
}  // namespace applehall

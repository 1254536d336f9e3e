#include "node/reader_selector.h"

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
  peer.last_report_at = kNow;
  return peer;
}

// Guards against a reader whose link is saturated by the updates it relays: it
// notices seconds late that callers have disconnected and runs their requests
// in vain.
TEST(ReaderSelectorTest, HostWithANarrowLinkIsSelectedOnlyIfNoOtherCanRead) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}, {"wide", Peer(0.12, 200)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
  peers["wide"].can_read_store = false;
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "narrow");
}

TEST(ReaderSelectorTest, HostWithTheLargestCpuShareIsSelectedAmongWideLinks) {
  FleetPeers peers{
      {"a", Peer(0.12, 1000)}, {"b", Peer(0.5, 200)}, {"untold", Peer(0.3, 0)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "b");
  EXPECT_EQ(readers.SelectBackup("hall", {"b"}, kNow).host, "untold");
}

// Guards against a host that is alone in its data centre and has no backup.
TEST(ReaderSelectorTest, BackupIsOfAnotherDataCentreIfNoneHereCanRead) {
  FleetPeers peers{{"a", Peer(0.5, 200)}, {"b", Peer(0.12, 200)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectBackup("south", {}, kNow).host, "a");
  EXPECT_EQ(readers.SelectBackup("south", {"a"}, kNow).host, "b");
  EXPECT_EQ(readers.SelectReader("south", kNow).host, "");
  peers["near"] = Peer(0.12, 10);
  peers["near"].data_centre = "south";
  EXPECT_EQ(readers.SelectBackup("south", {}, kNow).host, "near");
}

// Guards against a new owner that selects a reader before all hosts have
// reported and keeps it for good.
TEST(ReaderSelectorTest,
     ReaderWithANarrowLinkIsReplacedByALaterOneWithAWideLink) {
  FleetPeers peers{{"narrow", Peer(0.5, 10)}};
  ReaderSelector readers(peers);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "narrow");
  peers["wide"] = Peer(0.12, 200);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
  // Of two hosts with equal links the current reader is kept.
  peers["strong"] = Peer(0.5, 200);
  EXPECT_EQ(readers.SelectReader("hall", kNow).host, "wide");
}

}  // namespace
}  // namespace applehall

// Origins of streams, and the hosts that keep them.

#include "node/stream_table.h"

#include <gtest/gtest.h>

#include <set>

#include "node/registrar_list.h"

namespace applehall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500000)};
const StreamOrigin kOld{"llm", "v1"};
const StreamOrigin kNew{"llm", "v2"};

TEST(StreamTable, OriginIsFoundForTheAgeOfAStream) {
  StreamTable table;
  table.Record(1, kOld, true, kStart);
  table.RemoveOld(kStart + kMaxStreamAge);
  ASSERT_NE(table.Find(1), nullptr);
  EXPECT_EQ(table.Find(1)->origin, kOld);
  table.RemoveOld(kStart + kMaxStreamAge + seconds(1));
  EXPECT_EQ(table.Find(1), nullptr);
}

TEST(StreamTable, OriginOfAStreamThatGoesOnIsKeptLonger) {
  StreamTable table;
  table.Record(1, kOld, true, kStart);
  table.Record(1, kOld, true, kStart + seconds(30));
  table.RemoveOld(kStart + kMaxStreamAge + seconds(1));
  EXPECT_NE(table.Find(1), nullptr);
}

// Guards against two streams that are joined because their ids are equal.
TEST(StreamTable, IdWithTwoOriginsIsUnknown) {
  StreamTable table;
  table.Record(1, kOld, true, kStart);
  table.Record(1, kNew, false, kStart);
  table.Record(1, kOld, true, kStart);
  EXPECT_EQ(table.Find(1), nullptr);
}

TEST(StreamTable, EqualIdsOfTwoCallersAreTwoStreams) {
  EXPECT_NE(StreamKey("id", "team-a"), StreamKey("id", "team-b"));
  EXPECT_EQ(StreamKey("id", "team-a"), StreamKey("id", "team-a"));
}

TEST(StreamTable, CompleteStreamsAreNotOpen) {
  StreamTable table;
  table.Record(1, kOld, true, kStart);
  table.Record(2, kOld, true, kStart);
  table.Record(3, kOld, false, kStart);
  table.RecordComplete(2);
  std::set<uint64_t> open;
  table.ForEachOpen([&](uint64_t key, const auto&) { open.insert(key); });
  EXPECT_EQ(open, std::set<uint64_t>{1});
}

class RegistrarListTest : public testing::Test {
 protected:
  void Add(const std::string& centre, int count) {
    for (int i = 0; i < count; ++i) {
      FleetPeer peer;
      peer.address = "10.0.0.1:1";
      peer.data_centre = centre;
      peer.last_report_at = kStart;
      peers_[centre + std::to_string(i)] = peer;
    }
  }
  RegistrarList Select() const {
    return RegistrarList::Select(peers_, {"owner", "10.0.0.9:1"}, "a", kStart);
  }
  static std::set<std::string> Names(const std::vector<PeerAddress>& hosts) {
    std::set<std::string> names;
    for (const PeerAddress& host : hosts) names.insert(host.host);
    return names;
  }

  FleetPeers peers_;
};

// Guards against an origin that no host is asked for: each stream has a keeper
// among those that any host of any data centre asks.
TEST_F(RegistrarListTest, EveryHostAsksAKeeperOfEveryStream) {
  Add("a", 7);
  Add("b", 1);
  Add("c", 30);
  const RegistrarList list = Select();
  for (uint64_t key = 1; key < 200; ++key) {
    for (const auto& [began_at, peer] : peers_) {
      const auto keepers =
          Names(list.KeepersOf(key, peer.data_centre, began_at));
      ASSERT_GE(keepers.size(), 2u) << began_at;
      EXPECT_FALSE(keepers.contains(began_at));
      for (const std::string centre : {"a", "b", "c"}) {
        // Of a host that has not begun it and is no registrar.
        const auto asked = Names(list.LocateKeepers(key, centre, "other"));
        const bool is_known =
            std::any_of(asked.begin(), asked.end(), [&](const auto& host) {
              return keepers.contains(host) || host == began_at;
            });
        EXPECT_TRUE(is_known) << key << " " << began_at << " " << centre;
      }
    }
  }
}

TEST_F(RegistrarListTest, OneHostInThreeIsARegistrar) {
  Add("c", 30);
  const Json rows = Select().ToRows();
  int in_c = 0;
  for (const Json& row : rows) in_c += row[0] == "c";
  EXPECT_EQ(in_c, 10);
  EXPECT_EQ(RegistrarList::FromRows(rows), Select());
}

TEST_F(RegistrarListTest, SilentHostsAreLeftOut) {
  Add("b", 2);
  peers_["b0"].last_report_at = kStart - seconds(2);
  EXPECT_EQ(Names(Select().KeepersOf(1, "b", "x")),
            (std::set<std::string>{"b1", "owner"}));
}

TEST_F(RegistrarListTest, MalformedRowsAreSkipped) {
  EXPECT_TRUE(RegistrarList::FromRows(
                  *ParseJson(R"([1, ["a"], ["a", 2, "x"], {"k": 1}])"))
                  .is_empty());
}

}  // namespace
}  // namespace applehall

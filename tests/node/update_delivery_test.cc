// Time until updates of the store are in force at the hosts of a data centre.

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

constexpr Duration kBound = seconds(3);

class UpdateDeliveryTest : public testing::Test {
 protected:
  // Adds `wide` hosts with links of 200 Mbit/s and `narrow` hosts with 10
  // Mbit/s.
  void AddHosts(int wide, int narrow) {
    for (int i = 0; i < wide; ++i) fleet_.Add("wide-" + std::to_string(i), 200);
    for (int i = 0; i < narrow; ++i) {
      fleet_.Add("narrow-" + std::to_string(i), 10);
    }
  }

  // Schedules a change each `gap`, starting now.
  void ScheduleChanges(int changes, Duration gap, size_t bytes) {
    const ConfigurationText configuration(bytes);
    for (int i = 0; i < changes; ++i) {
      fleet_.Schedule(fleet_.now() + gap * i,
                      [this, record = configuration.Version(++version_)] {
                        fleet_.Append(kConfigTopic, record);
                      });
    }
  }

  UpdateFleet fleet_{kBound};
  int version_ = 0;
};

// Guards against changes that queue behind older ones on the link of a reader
// whose bandwidth is too low for what it relays.
TEST_F(UpdateDeliveryTest, BurstIsInForceInTimeIfTheReaderHasANarrowLink) {
  AddHosts(/*wide=*/2, /*narrow=*/20);
  fleet_.SetReader("narrow-0");
  fleet_.Run(seconds(3));
  ScheduleChanges(/*changes=*/17, milliseconds(300), /*bytes=*/25'000);
  fleet_.Run(seconds(20));
  EXPECT_LE(fleet_.worst_delay().max, kBound) << fleet_.worst_delay().host;
}

// Guards against traffic between hosts that grows with the size of the document
// instead of the change: a burst of complete documents saturates even a
// reader's wide link.
TEST_F(UpdateDeliveryTest, SmallChangesAreRelayedAsPatches) {
  AddHosts(/*wide=*/1, /*narrow=*/49);
  fleet_.SetReader("wide-0");
  ScheduleChanges(/*changes=*/1, milliseconds(300), /*bytes=*/96'000);
  fleet_.Run(seconds(4));
  const size_t before = fleet_.bytes_between_hosts();
  constexpr int kChanges = 12;
  ScheduleChanges(kChanges, milliseconds(330), /*bytes=*/96'000);
  fleet_.Run(seconds(6));
  const size_t bytes = fleet_.bytes_between_hosts() - before;
  // Includes the heartbeats between followers and reader.
  EXPECT_LT(bytes / (49 * kChanges), 2'000u);
  EXPECT_LE(fleet_.worst_delay().max, kBound / 4) << fleet_.worst_delay().host;
}

// Guards against a host whose calls the store rejects and that only receives
// patches of a record which it does not have: it would never get the next one.
TEST_F(UpdateDeliveryTest, RefusedHostWithoutTheBaseGetsFullRecords) {
  AddHosts(/*wide=*/2, /*narrow=*/2);
  fleet_.SetReader("wide-0");
  fleet_.Run(seconds(3));
  fleet_.Append(kConfigTopic, "first record: the base of the reader's patch");
  fleet_.Run(seconds(1));
  fleet_.host("narrow-0").is_refused = true;
  fleet_.ReplaceBase("narrow-0", kConfigTopic);
  ScheduleChanges(/*changes=*/3, milliseconds(300), /*bytes=*/25'000);
  fleet_.Run(seconds(8));
  EXPECT_LE(fleet_.worst_delay().max, kBound) << fleet_.worst_delay().host;
}

// Guards against a reader that reports its configuration as fresh because of
// answers about other topics, while its read of the configuration hangs.
TEST_F(UpdateDeliveryTest, FollowersReadTheStoreIfTheReadersReadHangs) {
  AddHosts(/*wide=*/2, /*narrow=*/6);
  fleet_.SetReader("wide-0");
  for (int i = 0; i < 44; ++i) {
    fleet_.Schedule(fleet_.now() + milliseconds(250) * i,
                    [this] { fleet_.Append(kServerTopic, "server"); });
  }
  fleet_.Run(seconds(3));
  fleet_.host("wide-0").unanswered_topics = {kConfigTopic};
  fleet_.Exempt("wide-0", seconds(60));
  fleet_.Run(milliseconds(100));
  ScheduleChanges(/*changes=*/1, seconds(1), /*bytes=*/25'000);
  fleet_.Run(seconds(8));
  EXPECT_LE(fleet_.worst_delay().max, kBound) << fleet_.worst_delay().host;
}

}  // namespace
}  // namespace applehall

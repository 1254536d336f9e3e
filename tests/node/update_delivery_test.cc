// How soon news of the store are in force at the hosts of a data centre.

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

constexpr Duration kBound = seconds(3);

class NewsDeliveryTest : public testing::Test {
 protected:
  // `wide` hosts with links of 200 Mbit/s, `narrow` with 10.
  void Build(int wide, int narrow) {
    for (int i = 0; i < wide; ++i) fleet_.Add("wide-" + std::to_string(i), 200);
    for (int i = 0; i < narrow; ++i) {
      fleet_.Add("narrow-" + std::to_string(i), 10);
    }
  }

  // A change each `gap`, from now on.
  void Storm(int changes, Duration gap, size_t bytes) {
    const ConfigurationText configuration(bytes);
    for (int i = 0; i < changes; ++i) {
      fleet_.At(fleet_.now() + gap * i,
                [this, record = configuration.Version(++version_)] {
                  fleet_.Append(kConfigNews, record);
                });
    }
  }

  NewsFleet fleet_{kBound};
  int version_ = 0;
};

// Guards against changes that wait behind older ones on the link of a reader
// that cannot bear what it passes on.
TEST_F(NewsDeliveryTest, StormIsInForceInTimeBehindAReaderWithANarrowLink) {
  Build(/*wide=*/2, /*narrow=*/20);
  fleet_.SetReader("narrow-0");
  fleet_.Run(seconds(3));
  Storm(/*changes=*/17, milliseconds(300), /*bytes=*/25'000);
  fleet_.Run(seconds(20));
  EXPECT_LE(fleet_.late().most, kBound) << fleet_.late().host;
}

// Guards against bytes between hosts that grow with the document and not with
// the change: a reader of a wide link bears no storm of whole ones either.
TEST_F(NewsDeliveryTest, ChangesArePassedOnInPlaceOfTheWhole) {
  Build(/*wide=*/1, /*narrow=*/49);
  fleet_.SetReader("wide-0");
  Storm(/*changes=*/1, milliseconds(300), /*bytes=*/96'000);
  fleet_.Run(seconds(4));
  const size_t before = fleet_.bytes_between_hosts();
  constexpr int kChanges = 12;
  Storm(kChanges, milliseconds(330), /*bytes=*/96'000);
  fleet_.Run(seconds(6));
  const size_t bytes = fleet_.bytes_between_hosts() - before;
  // With what followers ask and are told without a change.
  EXPECT_LT(bytes / (49 * kChanges), 2'000u);
  EXPECT_LE(fleet_.late().most, kBound / 4) << fleet_.late().host;
}

// Guards against a host that the store refuses and that gets patches of a
// record which it does not have: it would never know the next one.
TEST_F(NewsDeliveryTest, RefusedHostWithoutTheBaseGetsTheWhole) {
  Build(/*wide=*/2, /*narrow=*/2);
  fleet_.SetReader("wide-0");
  fleet_.Run(seconds(3));
  fleet_.Append(kConfigNews, "first, of which the reader makes its patches");
  fleet_.Run(seconds(1));
  fleet_.host("narrow-0").is_refused = true;
  fleet_.ForgetBase("narrow-0", kConfigNews);
  Storm(/*changes=*/3, milliseconds(300), /*bytes=*/25'000);
  fleet_.Run(seconds(8));
  EXPECT_LE(fleet_.late().most, kBound) << fleet_.late().host;
}

// Guards against a host that vouches for the configuration with answers about
// something else, while its read of the configuration hangs.
TEST_F(NewsDeliveryTest, ReaderWhoseReadOfTheConfigurationHangsIsLeftInTime) {
  Build(/*wide=*/2, /*narrow=*/6);
  fleet_.SetReader("wide-0");
  for (int i = 0; i < 44; ++i) {
    fleet_.At(fleet_.now() + milliseconds(250) * i,
              [this] { fleet_.Append(kServerNews, "server"); });
  }
  fleet_.Run(seconds(3));
  fleet_.host("wide-0").silent_topics = {kConfigNews};
  fleet_.Excuse("wide-0", seconds(60));
  fleet_.Run(milliseconds(100));
  Storm(/*changes=*/1, seconds(1), /*bytes=*/25'000);
  fleet_.Run(seconds(8));
  EXPECT_LE(fleet_.late().most, kBound) << fleet_.late().host;
}

}  // namespace
}  // namespace applehall

// Two ways for changes to reach the hosts of a data centre, on the same demand.

#include <cstdio>

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

struct Cost {
  int calls = 0;
  size_t store_bytes = 0;
  size_t host_bytes = 0;
  Duration late{0};
};

// Fifty hosts of a data centre, a quiet minute with twelve changes in its
// middle; with a reader, or each host polling for itself.
Cost Play(bool has_reader) {
  NewsFleet fleet(seconds(4));
  const ConfigurationText text(96'000);
  int version = 0;
  fleet.Append(kConfigNews, text.Version(++version));
  for (int i = 0; i < 3; ++i) fleet.Add("wide-" + std::to_string(i), 200);
  for (int i = 0; i < 47; ++i) fleet.Add("narrow-" + std::to_string(i), 20);
  if (has_reader) fleet.SetReader("wide-0");
  fleet.Run(seconds(30));
  for (int i = 0; i < 12; ++i) {
    fleet.At(fleet.now() + milliseconds(330) * i,
             [&] { fleet.Append(kConfigNews, text.Version(++version)); });
  }
  fleet.Run(seconds(30));
  return {fleet.calls(), fleet.store_bytes(), fleet.bytes_between_hosts(),
          fleet.late().most};
}

TEST(NewsWaysTest, ReaderThatPassesChangesOnAgainstHostsThatPoll) {
  const Cost passed_on = Play(/*has_reader=*/true);
  const Cost polled = Play(/*has_reader=*/false);
  for (const auto& [name, cost] :
       {std::pair("passed on", passed_on), std::pair("polled", polled)}) {
    std::printf(
        "%s: %d calls, %zu KB from the store, %zu KB between hosts, "
        "in force after %lld ms at most\n",
        name, cost.calls, cost.store_bytes / 1000, cost.host_bytes / 1000,
        static_cast<long long>(ToMillis(cost.late)));
    EXPECT_LE(cost.late, seconds(4)) << name;
  }
  EXPECT_LT(passed_on.calls * 5, polled.calls);
  EXPECT_LT((passed_on.store_bytes + passed_on.host_bytes) * 5,
            polled.store_bytes + polled.host_bytes);
}

}  // namespace
}  // namespace applehall

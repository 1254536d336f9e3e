// Compares the cost of relaying changes through a reader with that of every
// host polling the store, under the same changes.

#include <cstdio>

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

struct Cost {
  int calls = 0;
  size_t store_bytes = 0;
  size_t host_bytes = 0;
  Duration max_delay{0};
};

// Runs fifty hosts of a data centre for a minute with twelve changes in its
// middle; with a reader, or with each host polling the store.
Cost RunFleet(bool has_reader) {
  UpdateFleet fleet(seconds(4));
  const ConfigurationText text(96'000);
  int version = 0;
  fleet.Append(kConfigTopic, text.Version(++version));
  for (int i = 0; i < 3; ++i) fleet.Add("wide-" + std::to_string(i), 200);
  for (int i = 0; i < 47; ++i) fleet.Add("narrow-" + std::to_string(i), 20);
  if (has_reader) fleet.SetReader("wide-0");
  fleet.Run(seconds(30));
  for (int i = 0; i < 12; ++i) {
    fleet.Schedule(fleet.now() + milliseconds(330) * i, [&] {
      fleet.Append(kConfigTopic, text.Version(++version));
    });
  }
  fleet.Run(seconds(30));
  return {fleet.calls(), fleet.store_bytes(), fleet.bytes_between_hosts(),
          fleet.worst_delay().max};
}

TEST(UpdateCostTest, RelayingCostsLessThanPolling) {
  const Cost relayed = RunFleet(/*has_reader=*/true);
  const Cost polled = RunFleet(/*has_reader=*/false);
  for (const auto& [name, cost] :
       {std::pair("relayed", relayed), std::pair("polled", polled)}) {
    std::printf(
        "%s: %d calls, %zu KB from the store, %zu KB between hosts, "
        "in force after %lld ms at most\n",
        name, cost.calls, cost.store_bytes / 1000, cost.host_bytes / 1000,
        static_cast<long long>(ToMillis(cost.max_delay)));
    EXPECT_LE(cost.max_delay, seconds(4)) << name;
  }
  EXPECT_LT(relayed.calls * 5, polled.calls);
  EXPECT_LT((relayed.store_bytes + relayed.host_bytes) * 5,
            polled.store_bytes + polled.host_bytes);
}

}  // namespace
}  // namespace applehall

// Bursts of changes together with random faults of readers and other hosts, on
// fleets of several sizes: a change is in force within the bound at each host
// that has no fault of its own.

#include <string>

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

constexpr Duration kScenarioLength = seconds(30);

struct FleetShape {
  const char* name;
  int centres;
  int wide;    // Hosts with a wide link in each data centre.
  int narrow;  // Hosts with a narrow link in each data centre.
  Duration bound;
  size_t config_bytes;
  uint64_t seeds;
};

void PrintTo(const FleetShape& shape, std::ostream* out) { *out << shape.name; }

class UpdateChaosTest : public testing::TestWithParam<FleetShape> {
 protected:
  struct Scenario {
    Scenario(const FleetShape& of, uint64_t seed)
        : shape(of), random(seed), fleet(of.bound), text(of.config_bytes) {}

    std::string RandomHostIn(uint64_t centre) {
      const std::string prefix = Prefix(centre);
      const auto drawn = random.Below(shape.wide + shape.narrow);
      const auto wide = static_cast<uint64_t>(shape.wide);
      return prefix + (drawn < wide ? "wide-" + std::to_string(drawn)
                                    : "narrow-" + std::to_string(drawn - wide));
    }
    std::string RandomHost() {
      return RandomHostIn(random.Below(shape.centres));
    }
    static std::string Prefix(uint64_t centre) {
      return "centre-" + std::to_string(centre) + "-";
    }
    Duration RandomSpan(int64_t min_ms, int64_t max_ms) {
      return milliseconds(min_ms +
                          static_cast<int64_t>(random.Below(max_ms - min_ms)));
    }

    const FleetShape& shape;
    Random random;
    UpdateFleet fleet;
    ConfigurationText text;
    std::vector<std::string> readers;  // By data centre.
    int version = 0;
  };

  // Any host may become a reader, also one with a narrow link; ReaderSelector
  // is not under test here.
  static void AssignReaders(Scenario& scenario) {
    scenario.readers.clear();
    for (int centre = 0; centre < scenario.shape.centres; ++centre) {
      scenario.readers.push_back(scenario.RandomHostIn(centre));
      const std::string prefix = Scenario::Prefix(centre);
      scenario.fleet.SetReader(scenario.readers.back(), prefix);
      scenario.fleet.SetBackup(scenario.RandomHostIn(centre), prefix);
    }
  }

  static void ScheduleChanges(Scenario& scenario) {
    const Duration gap = scenario.RandomSpan(100, 600);
    const auto changes = static_cast<int>(1 + scenario.random.Below(14));
    for (int i = 0; i < changes; ++i) {
      scenario.fleet.Schedule(scenario.fleet.now() + gap * i, [&scenario] {
        scenario.fleet.Append(kConfigTopic,
                              scenario.text.Version(++scenario.version));
      });
    }
  }

  // After its fault a host has the time of the bound to catch up.
  static void InjectFault(Scenario& scenario) {
    const std::string name =
        scenario.random.Below(3) == 0
            ? scenario.RandomHost()
            : scenario.readers[scenario.random.Below(scenario.readers.size())];
    const Duration bound = scenario.shape.bound;
    const Duration span = scenario.RandomSpan(200, 6000);
    UpdateFleet::Host& host = scenario.fleet.host(name);
    switch (scenario.random.Below(5)) {
      case 0:
        if (!host.is_down) scenario.fleet.Kill(name, span, bound);
        break;
      case 1:
        scenario.fleet.Freeze(name, span, bound);
        break;
      case 2: {
        const char* topic =
            scenario.random.Below(2) == 0 ? kConfigTopic : kServerTopic;
        host.unanswered_topics = {topic};
        scenario.fleet.Exempt(name, span + bound);
        scenario.fleet.Schedule(scenario.fleet.now() + span, [&scenario, name] {
          scenario.fleet.host(name).unanswered_topics = {};
        });
        break;
      }
      case 3:
        host.is_refused = true;
        scenario.fleet.Exempt(name, span + bound);
        scenario.fleet.Schedule(scenario.fleet.now() + span, [&scenario, name] {
          scenario.fleet.host(name).is_refused = false;
        });
        break;
      default:
        scenario.fleet.SetLoss(scenario.random.Unit() * 0.3);
        scenario.fleet.Schedule(scenario.fleet.now() + span,
                                [&scenario] { scenario.fleet.SetLoss(0); });
    }
  }

  static void RunScenario(Scenario& scenario) {
    scenario.fleet.Append(kConfigTopic,
                          scenario.text.Version(++scenario.version));
    for (int centre = 0; centre < scenario.shape.centres; ++centre) {
      const std::string prefix = Scenario::Prefix(centre);
      for (int i = 0; i < scenario.shape.wide; ++i) {
        scenario.fleet.Add(prefix + "wide-" + std::to_string(i), 200);
      }
      for (int i = 0; i < scenario.shape.narrow; ++i) {
        scenario.fleet.Add(prefix + "narrow-" + std::to_string(i), 10);
      }
    }
    AssignReaders(scenario);
    scenario.fleet.Run(seconds(2));
    const TimePoint end = scenario.fleet.now() + kScenarioLength;
    while (scenario.fleet.now() < end) {
      switch (scenario.random.Below(4)) {
        case 0:
          AssignReaders(scenario);
          break;
        case 1:
          ScheduleChanges(scenario);
          break;
        case 2:
          scenario.fleet.Append(kServerTopic,
                                "server " + std::string(400, 's'));
          break;
        default:
          InjectFault(scenario);
      }
      scenario.fleet.Run(scenario.RandomSpan(100, 1500));
    }
    scenario.fleet.Run(seconds(8));
  }
};

// Guards against a change that is in force late at a host without a
// fault of its own, whatever fails at its reader and backup.
TEST_P(UpdateChaosTest, ChangesAreInForceWithinTheBound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    Scenario scenario(GetParam(), seed);
    RunScenario(scenario);
    ASSERT_LE(scenario.fleet.worst_delay().max, GetParam().bound)
        << GetParam().name << ", seed " << seed << ": "
        << scenario.fleet.worst_delay().host << " at "
        << ToMillis(scenario.fleet.worst_delay().at -
                    TimePoint(std::chrono::hours(500000)))
        << " ms";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, UpdateChaosTest,
    testing::Values(FleetShape{"Hosts8", 2, 1, 3, seconds(2), 12'000, 25},
                    FleetShape{"Hosts87", 4, 2, 20, seconds(3), 65'000, 4},
                    FleetShape{"Hosts300", 6, 3, 47, seconds(4), 96'000, 1},
                    FleetShape{"OneSecond", 1, 2, 20, seconds(1), 12'000, 12}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace applehall

// Storms of changes beside random trouble of the readers, on fleets of three
// sizes: a change is in force within the bound at each host that has no trouble
// of its own.

#include <string>

#include "tests/node/configuration_text.h"
#include "tests/node/update_fleet.h"

namespace applehall {
namespace {

constexpr Duration kLength = seconds(30);

struct Shape {
  const char* name;
  int centres;
  int wide;    // In each data centre.
  int narrow;  // The same.
  Duration bound;
  size_t config_bytes;
  uint64_t seeds;
};

void PrintTo(const Shape& shape, std::ostream* out) { *out << shape.name; }

class NewsChaosTest : public testing::TestWithParam<Shape> {
 protected:
  struct Day {
    Day(const Shape& of, uint64_t seed)
        : shape(of), random(seed), fleet(of.bound), text(of.config_bytes) {}

    std::string AnyHostOf(uint64_t centre) {
      const std::string prefix = Prefix(centre);
      const auto drawn = random.Below(shape.wide + shape.narrow);
      const auto wide = static_cast<uint64_t>(shape.wide);
      return prefix + (drawn < wide ? "wide-" + std::to_string(drawn)
                                    : "narrow-" + std::to_string(drawn - wide));
    }
    std::string AnyHost() { return AnyHostOf(random.Below(shape.centres)); }
    static std::string Prefix(uint64_t centre) {
      return "centre-" + std::to_string(centre) + "-";
    }
    Duration Span(int64_t least_ms, int64_t most_ms) {
      return milliseconds(
          least_ms + static_cast<int64_t>(random.Below(most_ms - least_ms)));
    }

    const Shape& shape;
    Random random;
    NewsFleet fleet;
    ConfigurationText text;
    std::vector<std::string> readers;  // By data centre.
    int version = 0;
  };

  // Any host may be named, also a narrow one: its choice is another's affair.
  static void NameReaders(Day& day) {
    day.readers.clear();
    for (int centre = 0; centre < day.shape.centres; ++centre) {
      day.readers.push_back(day.AnyHostOf(centre));
      const std::string prefix = Day::Prefix(centre);
      day.fleet.SetReader(day.readers.back(), prefix);
      day.fleet.SetBackup(day.AnyHostOf(centre), prefix);
    }
  }

  static void Storm(Day& day) {
    const Duration gap = day.Span(100, 600);
    const auto changes = static_cast<int>(1 + day.random.Below(14));
    for (int i = 0; i < changes; ++i) {
      day.fleet.At(day.fleet.now() + gap * i, [&day] {
        day.fleet.Append(kConfigNews, day.text.Version(++day.version));
      });
    }
  }

  // After its trouble a host has the bound to catch up.
  static void Trouble(Day& day) {
    const std::string name =
        day.random.Below(3) == 0
            ? day.AnyHost()
            : day.readers[day.random.Below(day.readers.size())];
    const Duration bound = day.shape.bound;
    const Duration span = day.Span(200, 6000);
    NewsFleet::Host& host = day.fleet.host(name);
    switch (day.random.Below(5)) {
      case 0:
        if (!host.is_down) day.fleet.Kill(name, span, bound);
        break;
      case 1:
        day.fleet.Freeze(name, span, bound);
        break;
      case 2: {
        const char* topic =
            day.random.Below(2) == 0 ? kConfigNews : kServerNews;
        host.silent_topics = {topic};
        day.fleet.Excuse(name, span + bound);
        day.fleet.At(day.fleet.now() + span,
                     [&day, name] { day.fleet.host(name).silent_topics = {}; });
        break;
      }
      case 3:
        host.is_refused = true;
        day.fleet.Excuse(name, span + bound);
        day.fleet.At(day.fleet.now() + span,
                     [&day, name] { day.fleet.host(name).is_refused = false; });
        break;
      default:
        day.fleet.SetLoss(day.random.Unit() * 0.3);
        day.fleet.At(day.fleet.now() + span, [&day] { day.fleet.SetLoss(0); });
    }
  }

  static void Play(Day& day) {
    day.fleet.Append(kConfigNews, day.text.Version(++day.version));
    for (int centre = 0; centre < day.shape.centres; ++centre) {
      const std::string prefix = Day::Prefix(centre);
      for (int i = 0; i < day.shape.wide; ++i) {
        day.fleet.Add(prefix + "wide-" + std::to_string(i), 200);
      }
      for (int i = 0; i < day.shape.narrow; ++i) {
        day.fleet.Add(prefix + "narrow-" + std::to_string(i), 10);
      }
    }
    NameReaders(day);
    day.fleet.Run(seconds(2));
    const TimePoint end = day.fleet.now() + kLength;
    while (day.fleet.now() < end) {
      switch (day.random.Below(4)) {
        case 0:
          NameReaders(day);
          break;
        case 1:
          Storm(day);
          break;
        case 2:
          day.fleet.Append(kServerNews, "server " + std::string(400, 's'));
          break;
        default:
          Trouble(day);
      }
      day.fleet.Run(day.Span(100, 1500));
    }
    day.fleet.Run(seconds(8));
  }
};

// Guards against a change that is in force late at a host which has no trouble
// of its own, whatever happens to those whose news it follows.
TEST_P(NewsChaosTest, InForceWithinTheBound) {
  for (uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
    Day day(GetParam(), seed);
    Play(day);
    ASSERT_LE(day.fleet.late().most, GetParam().bound)
        << GetParam().name << ", seed " << seed << ": " << day.fleet.late().host
        << " at "
        << ToMillis(day.fleet.late().at - TimePoint(std::chrono::hours(500000)))
        << " ms";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, NewsChaosTest,
    testing::Values(Shape{"Hosts8", 2, 1, 3, seconds(2), 12'000, 25},
                    Shape{"Hosts87", 4, 2, 20, seconds(3), 65'000, 4},
                    Shape{"Hosts300", 6, 3, 47, seconds(4), 96'000, 1},
                    Shape{"OneSecond", 1, 2, 20, seconds(1), 12'000, 12}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace applehall

// Streams and software versions beside random failures.

#include "tests/node/stream_fixture.h"

namespace applehall {
namespace {

// Random starts, ends and cuts of servers and hosts.
class StreamChaosTest : public StreamFixture {
 protected:
  void Play(uint64_t seed, Duration duration) {
    Random random(seed);
    const auto pick = [&](const auto& names) {
      return names[random.Below(names.size())];
    };
    const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};
    const std::vector<std::string> versions{"v1", "v2", "v3"};
    for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("s", i), "v1");
    AddHosts({"a", "b", "c"});
    AddHosts({"d", "e"}, "east");
    choose_host_ = [&random, hosts](size_t) {
      return hosts[random.Below(hosts.size())];
    };
    const bool has_past = random.Unit() < 0.5;
    RunStreams(has_past ? seconds(65) : seconds(3));
    int started = 4;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      const std::string host = pick(hosts);
      const double kind = random.Unit();
      if (kind < 0.5) {
        Begin(host);
      } else if (kind < 0.6) {
        StartServer(absl::StrCat("s", ++started), pick(versions));
      } else if (kind < 0.68 && servers_.size() > 3) {
        auto it = servers_.begin();
        std::advance(it, random.Below(servers_.size()));
        StopServer(std::string(it->first));
      } else if (kind < 0.8 && !servers_.empty()) {
        auto it = servers_.begin();
        std::advance(it, random.Below(servers_.size()));
        CrashRuns(std::string(it->first));
      } else if (kind < 0.86) {
        if (hosts_.at(host).is_down) {
          Restart(host);
        } else {
          Kill(host);
        }
      } else if (kind < 0.9) {
        hosts_.at(host).is_cut_from_store ^= true;
      } else if (kind < 0.93) {
        hosts_.at(host).is_cut_from_hosts ^= true;
      } else if (kind < 0.96) {
        if (!no_servers_.erase(host)) no_servers_.insert(host);
      } else {
        const bool is_whole = is_cut_ != nullptr;
        is_cut_ = nullptr;
        if (!is_whole) {
          is_cut_ = [this](const std::string& from, const std::string& to) {
            return centres_.at(from) != centres_.at(to);
          };
        }
      }
      RunStreams(kStep * (1 + random.Below(8)));
    }
    RunStreams(seconds(3));
  }

  // Hosts are cut off and stand still while servers of new versions join.
  void PlayUnnamed(uint64_t seed, Duration duration) {
    Random random(seed);
    const std::vector<std::string> hosts{"a", "b", "c", "d"};
    for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("s", i), "v0");
    AddHosts(hosts);
    has_unnamed_resumptions_ = true;
    choose_host_ = [&random, hosts](size_t) {
      return hosts[random.Below(hosts.size())];
    };
    RunStreams(seconds(65));
    int started = 4;
    int version = 0;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      Host& host = hosts_.at(hosts[random.Below(hosts.size())]);
      const double kind = random.Unit();
      if (kind < 0.5) {
        Begin(hosts[random.Below(hosts.size())]);
      } else if (kind < 0.58) {
        version += random.Unit() < 0.3;
        StartServer(absl::StrCat("s", ++started), absl::StrCat("v", version));
      } else if (kind < 0.66 && servers_.size() > 3) {
        StopServer(std::string(servers_.begin()->first));
      } else if (kind < 0.8) {
        auto it = servers_.begin();
        std::advance(it, random.Below(servers_.size()));
        CrashRuns(std::string(it->first));
      } else if (kind < 0.87) {
        host.is_cut_from_store ^= true;
      } else if (kind < 0.93) {
        host.is_cut_from_hosts ^= true;
      } else {
        host.is_down ^= true;
      }
      RunStreams(kStep * (1 + random.Below(8)));
    }
    RunStreams(seconds(3));
  }

  // Plays the seeds 1 to 40; --gtest_random_seed=N plays 1 + 200 N to
  // 200 N + 200.
  template <typename Fn>
  void PlaySeeds(Fn&& play) {
    const int block = testing::UnitTest::GetInstance()->random_seed();
    const bool is_by_hand = GTEST_FLAG_GET(random_seed) > 0;
    const uint64_t first = is_by_hand ? 1 + 200 * block : 1;
    const uint64_t last = is_by_hand ? first + 199 : 40;
    for (uint64_t seed = first; seed <= last && !HasFailure(); ++seed) {
      Reset();
      play(seed);
      EXPECT_EQ(CountMixed(), 0) << "seed " << seed << "\n" << Describe();
    }
  }
};

// Guards against hosts out of step that resume streams which their callers do
// not name. Hosts that start anew have a test of their own.
TEST_F(StreamChaosTest, NoUnnamedStreamHasTwoVersionsBesideHostsOutOfStep) {
  PlaySeeds([this](uint64_t seed) { PlayUnnamed(seed, seconds(20)); });
}

// Guards against any order of events in which a stream gets two versions.
TEST_F(StreamChaosTest, NoStreamHasTwoVersions) {
  PlaySeeds([this](uint64_t seed) {
    Play(seed, seconds(20));
    EXPECT_EQ(false_refusals_, 0) << "seed " << seed;
  });
}

}  // namespace
}  // namespace applehall

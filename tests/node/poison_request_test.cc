// One request ends each backend server that begins to run it.

#include "tests/node/poison_fixture.h"

namespace applehall {
namespace {

// The fleet has this long to agree, and this many sends may still follow.
constexpr Duration kAgreed = seconds(3);
constexpr int kMostRepeats = 3;

struct Kind {
  const char* name;
  const char* path;
  const char* model;
};

void PrintTo(const Kind& kind, std::ostream* out) { *out << kind.name; }

class PoisonRequestTest : public PoisonFixture,
                          public testing::WithParamInterface<Kind> {};

// Callers of a busy model lost their answers by the dozen, as engine after
// engine ended: 20 under one request, 14 of them after the third. Its caller
// repeated it, each time with a new id and at any host, so each host took it
// for another request; sends were counted by service, and ends not at all.
TEST_P(PoisonRequestTest, ReachesNoServerOnceThreeHaveEndedUnderIt) {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  for (const std::string& name : names) Add(name);
  RunServers(seconds(3));
  for (int i = 0; i < 60; ++i) {
    Ask(names[i % names.size()], GetParam().path, GetParam().model, kPoison);
    RunServers(milliseconds(700));
  }
  ASSERT_GE(ends_.size(), 3u);
  EXPECT_LE(SendsAfter(ends_[2] + kAgreed), kMostRepeats)
      << ends_.size() << " servers ended in all";
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, PoisonRequestTest,
    testing::Values(Kind{"resumable_stream", "/stream/x", "m0"},
                    Kind{"stream_sent_once", "/rare/x", "m0"},
                    Kind{"call_sent_once", "/once/x", ""},
                    Kind{"call_that_may_be_repeated", "/again/x", ""}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace applehall

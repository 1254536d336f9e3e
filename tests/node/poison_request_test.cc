// Requests that end each backend server that starts to run them.

#include "tests/node/poison_fixture.h"

namespace applehall {
namespace {

// After the third end all hosts must apply the quarantine within this time; no
// more than kMaxRepeats dispatches may follow.
constexpr Duration kPropagation = seconds(3);
constexpr int kMaxRepeats = 3;

struct Kind {
  const char* name;
  const char* path;
  const char* model;
};

void PrintTo(const Kind& kind, std::ostream* out) { *out << kind.name; }

class PoisonRequestTest : public PoisonFixture,
                          public testing::WithParamInterface<Kind> {};

// Guards against a poison message that ends engine after engine with all other
// requests that run there (20 ends of one request were seen). Its caller
// repeats it with a new id at any host, so no host recognises it by its id.
TEST_P(PoisonRequestTest, IsDispatchedToNoServerAfterThreeEnds) {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  for (const std::string& name : names) Add(name);
  RunServers(seconds(3));
  for (int i = 0; i < 60; ++i) {
    SendRequest(names[i % names.size()], GetParam().path, GetParam().model,
                kPoison);
    RunServers(milliseconds(700));
  }
  ASSERT_GE(ends_.size(), 3u);
  EXPECT_LE(CountDispatchesAfter(ends_[2] + kPropagation), kMaxRepeats)
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

#include "tests/node/server_limit_fixture.h"

namespace applehall {
namespace {

class ServerLimitTest : public ServerLimitFixture {
 protected:
  void SetUp() override {
    for (int i = 0; i < 8; ++i) Add(absl::StrCat("edge-", i));
    Run(seconds(4));
  }

  // A limited server is a smaller one: what it takes is used up to now.
  void ExpectUsed(const std::string& server, double per_second,
                  TimePoint from) const {
    EXPECT_GE(ArrivedAt(server, from, now_),
              0.9 * per_second * ToSeconds(now_ - from));
  }
};

// Guards against hosts that each send as if a server's limit were theirs alone,
// or did not exist: their sum is what the server gets.
TEST_F(ServerLimitTest, HostsTogetherKeepToTheLimitOfAServer) {
  AskFor(seconds(5), 12, "/stream/x", "m0");
  Name("llm-1", 1.2);
  const TimePoint named_at = now_;
  AskFor(seconds(30), 12, "/stream/x", "m0");
  EXPECT_LE(WorstWindow("llm-1", named_at + kLearning), Allowed(1.2));
  ExpectUsed("llm-1", 1.2, named_at + kLearning);
}

// The same for calls to plain services, which wait for no model.
TEST_F(ServerLimitTest, PlainServicesAreHeldToTheirLimitsToo) {
  AskFor(seconds(5), 12, "/once/x");
  Name("app-1", 1.2);
  const TimePoint named_at = now_;
  AskFor(seconds(30), 12, "/once/x");
  EXPECT_LE(WorstWindow("app-1", named_at + kLearning), Allowed(1.2));
  ExpectUsed("app-1", 1.2, named_at + kLearning);
}

}  // namespace
}  // namespace applehall

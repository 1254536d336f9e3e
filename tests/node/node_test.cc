#include "node/node.h"

#include <gtest/gtest.h>

#include "tests/node/test_rules.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kRules[] = R"({"name": "n", "author": "a", "reason": "r",
  "rules": [{"name": "last", "then": {"deadline_ms": 5000}}]})";

// One node with a plain service behind it, driven event by event.
class NodeTest : public testing::Test {
 protected:
  NodeTest() : node_(Settings()) {
    LogBatch batch;
    batch.stream = kControlStream;
    batch.next_offset = 2;
    batch.records = {
        {1, now_,
         PublishRecord("p", 0, Json{{"document", *ParseJson(kRules)}}).dump()}};
    Handle(LogBatchRead{batch});
    HostList list;
    list.as_of = now_;
    HostEntry service;
    service.name = "doors-1";
    service.kind = HostKind::kService;
    service.data_centre = "hall";
    service.address = "10.0.0.1:80";
    service.service = "doors";
    list.hosts = {service};
    Handle(HostListRead{list});
    Handle(CatalogueRead{TestCatalogue(1)});
  }

  static NodeSettings Settings() {
    NodeSettings settings;
    settings.self = {"entry-1", 1};
    settings.data_centre = "hall";
    return settings;
  }

  void Handle(const Event& event) {
    actions_.clear();
    node_.Handle(event, now_, actions_);
  }

  template <typename T>
  const T* Find() const {
    for (const Action& action : actions_) {
      if (const T* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }

  TimePoint now_{std::chrono::hours(500000)};
  Node node_;
  std::vector<Action> actions_;
};

// The first attempt never left this host and was repeated. Then a doubled,
// late end of the first arrives while the second runs. It must change nothing:
// taken for the second's, it would send the request a third time.
TEST_F(NodeTest, LateEndOfAnEarlierAttemptChangesNothing) {
  RequestArrived request;
  request.handle = 7;
  request.request_id = "r";
  request.facts.service = "doors";
  request.facts.caller = "web";
  Handle(request);
  ASSERT_NE(Find<DispatchRequest>(), nullptr);
  EXPECT_EQ(Find<DispatchRequest>()->attempt, 1);
  AttemptEnded first;
  first.handle = 7;
  first.attempt = 1;
  first.result = AttemptResult::kNotSent;
  Handle(first);
  const DispatchRequest* second = nullptr;
  for (int i = 0; i < 100 && second == nullptr; ++i) {
    now_ += milliseconds(20);
    Handle(Tick{});
    second = Find<DispatchRequest>();
  }
  ASSERT_NE(second, nullptr);
  EXPECT_EQ(second->attempt, 2);
  first.result = AttemptResult::kModelAbsent;
  Handle(first);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Find<DispatchRequest>(), nullptr) << "sent a third time";
    now_ += milliseconds(20);
    Handle(Tick{});
  }
  AttemptEnded last;
  last.handle = 7;
  last.attempt = 2;
  last.result = AttemptResult::kCompleted;
  Handle(last);
  ASSERT_EQ(node_.Decisions("r").size(), 1u);
  EXPECT_EQ(node_.Decisions("r")[0]["verdict"], "ran");
}

// The channel between threads may double or cross events of a request that
// has ended; its handle means nobody then.
TEST_F(NodeTest, EventsOfEndedRequestsAreIgnored) {
  Handle(AttemptStarted{99});
  Handle(CallerDisconnected{99});
  Handle(AttemptEnded{});
  EXPECT_TRUE(actions_.empty());
}

}  // namespace
}  // namespace applehall

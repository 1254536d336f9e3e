// Two hosts over loopback, one of which forwards its callers' requests.

#include "platform/forwarded_request.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <deque>
#include <functional>

#include "platform/engine_client.h"
#include "platform/ingress.h"
#include "platform/wire_names.h"

namespace applehall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr char kKey[] = "a key of all hosts";
constexpr char kLoopback[] = "127.0.0.1";

struct TestHost {
  TestHost(asio::io_context& io, uint16_t callers, uint16_t forwards,
           const std::string& key)
      : forward_address(kLoopback + (":" + std::to_string(forwards))),
        ingress(io, Address{kLoopback, callers}, Address{kLoopback, forwards},
                key, /*max_connections=*/1000, CallerMemory{},
                [this](Event event) { events.push_back(event); }),
        engines(
            io, "host", key, [this](Event event) { events.push_back(event); },
            [](Duration) {}) {}

  template <typename T>
  const T* Find() const {
    for (const Event& event : events) {
      if (const T* found = std::get_if<T>(&event)) return found;
    }
    return nullptr;
  }

  std::deque<Event> events;
  std::string forward_address;
  Ingress ingress;
  EngineClient engines;
};

class ForwardedRequestTest : public testing::Test {
 protected:
  uint16_t FreePort() {
    tcp::acceptor probe(io_,
                        tcp::endpoint(asio::ip::make_address(kLoopback), 0));
    return probe.local_endpoint().port();
  }

  bool RunUntil(const std::function<bool()>& is_done) {
    for (int i = 0; i < 2000 && !is_done(); ++i) {
      io_.run_for(std::chrono::milliseconds(5));
      io_.restart();
    }
    return is_done();
  }

  // Sends a caller's request to the cut host, which forwards it.
  void SendAndForward(const std::string& helper_key = kKey,
                      const HttpHeaders& extra = {},
                      const std::optional<StreamOrigin>& origin = {}) {
    const uint16_t port = FreePort();
    cut_ = std::make_unique<TestHost>(io_, port, FreePort(), kKey);
    helper_ =
        std::make_unique<TestHost>(io_, FreePort(), FreePort(), helper_key);
    HttpCall call;
    call.address = {kLoopback, port};
    call.request.method = "POST";
    call.request.target = "/a/b?q=1";
    call.request.headers[wire::kAttemptId] = "id-1";
    call.request.headers[wire::kDeadline] = "5000";
    call.request.headers[wire::kAuthorization] = "Token secret";
    call.request.headers["host"] = "shop.example";
    call.request.headers["x-own"] = "kept";
    for (const auto& [name, value] : extra) call.request.headers[name] = value;
    call.request.body = "hi";
    stream_ = client_.Prepare(call);
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
          co_await stream_->Start();
          while (stream_->state() == SendState::kAnswered &&
                 !stream_->is_complete()) {
            const std::string piece =
                co_await stream_->ReadSome(std::chrono::seconds(5));
            if (piece.empty() && !stream_->is_complete()) break;
            body_ += piece;
          }
          is_done_ = true;
        },
        asio::detached);
    ASSERT_TRUE(
        RunUntil([this] { return cut_->Find<RequestArrived>() != nullptr; }));
    DispatchRequest dispatch;
    dispatch.handle = cut_->Find<RequestArrived>()->handle;
    dispatch.attempt = 1;
    dispatch.kind = BackendKind::kEntryHost;
    dispatch.backend = "helper";
    dispatch.address = helper_->forward_address;
    dispatch.is_repeatable = false;
    dispatch.origin = origin;
    dispatch.deadline = SystemClock().Now() + std::chrono::seconds(4);
    cut_->engines.Dispatch(dispatch, cut_->ingress.Find(dispatch.handle));
  }

  const RequestArrived* AwaitForwarded() {
    RunUntil([this] { return helper_->Find<RequestArrived>() != nullptr; });
    return helper_->Find<RequestArrived>();
  }
  const AttemptEnded* AwaitEnd() {
    RunUntil([this] { return cut_->Find<AttemptEnded>() != nullptr; });
    return cut_->Find<AttemptEnded>();
  }
  std::shared_ptr<CallerSession> HelperSession() {
    return helper_->ingress.Find(AwaitForwarded()->handle);
  }

  asio::io_context io_;
  HttpClient client_{io_};
  std::unique_ptr<TestHost> cut_;
  std::unique_ptr<TestHost> helper_;
  std::shared_ptr<HttpStream> stream_;
  std::string body_;
  bool is_done_ = false;
};

// Guards against a forwarded request that the other host decides differently:
// for lack of its key, id, path or time, or because it counts as a caller's.
TEST_F(ForwardedRequestTest, ArrivesAsTheCallerSentIt) {
  SendAndForward();
  const RequestArrived* arrived = AwaitForwarded();
  ASSERT_NE(arrived, nullptr);
  EXPECT_TRUE(arrived->is_forwarded);
  EXPECT_EQ(arrived->request_id, "id-1");
  EXPECT_EQ(arrived->facts.path, "/a/b");
  EXPECT_EQ(arrived->facts.headers.at("host"), "shop.example");
  EXPECT_EQ(arrived->facts.headers.at("x-own"), "kept");
  EXPECT_TRUE(arrived->api_key.has_value());
  EXPECT_LE(*arrived->deadline, std::chrono::seconds(4));
  EXPECT_FALSE(cut_->Find<RequestArrived>()->is_forwarded);
}

// Guards against a host that resumes a forwarded stream without the origin that
// is known, or with one that a caller has made up.
TEST_F(ForwardedRequestTest, OriginOfAStreamComesFromTheHostOnly) {
  const HttpHeaders made_up{{"applehall-stream-service", "llm"},
                            {"applehall-stream-version", "v9"},
                            {wire::kLastEventId, "4"},
                            {wire::kResumes, "id-0"}};
  SendAndForward(kKey, made_up, StreamOrigin{"llm", "v1"});
  const RequestArrived* arrived = AwaitForwarded();
  ASSERT_NE(arrived, nullptr);
  EXPECT_EQ(arrived->origin, (StreamOrigin{"llm", "v1"}));
  EXPECT_TRUE(arrived->is_resumption);
  EXPECT_EQ(arrived->resumes, "id-0");
  const RequestArrived* from_caller = cut_->Find<RequestArrived>();
  EXPECT_EQ(from_caller->origin, std::nullopt);
  EXPECT_EQ(from_caller->resumes, "id-0");
}

TEST_F(ForwardedRequestTest, MadeUpOriginIsNotForwarded) {
  SendAndForward(kKey, {{"applehall-stream-service", "llm"},
                        {"applehall-stream-version", "v9"}});
  ASSERT_NE(AwaitForwarded(), nullptr);
  EXPECT_EQ(AwaitForwarded()->origin, std::nullopt);
  EXPECT_FALSE(AwaitForwarded()->is_resumption);
}

// Guards against a host that forwarded a stream and does not learn its origin,
// and against callers that receive it.
TEST_F(ForwardedRequestTest, OriginOfABegunStreamReachesTheForwardingHost) {
  SendAndForward();
  ASSERT_NE(AwaitForwarded(), nullptr);
  ReplyPart begin;
  begin.kind = ReplyPart::Kind::kBegin;
  begin.response.headers[wire::kAttemptId] = "id-1";
  begin.response.headers[wire::kServerStamp] = "stamp";
  begin.response.headers["content-type"] = "text/event-stream";
  WriteOrigin(StreamOrigin{"llm", "v1"}, begin.response.headers);
  HelperSession()->Push(std::move(begin));
  HelperSession()->PushChunk("id: 1\ndata: a\n\n");
  ASSERT_TRUE(RunUntil([this] { return !body_.empty(); }));
  const auto* started = cut_->Find<AttemptStarted>();
  ASSERT_NE(started, nullptr);
  EXPECT_EQ(started->origin, (StreamOrigin{"llm", "v1"}));
  EXPECT_EQ(ReadOrigin(stream_->head().headers), std::nullopt);
}

// Guards against an answer of a server that reaches the caller changed.
TEST_F(ForwardedRequestTest, AnswerOfTheServerReachesTheCaller) {
  SendAndForward();
  ASSERT_NE(AwaitForwarded(), nullptr);
  ReplyPart part;
  part.kind = ReplyPart::Kind::kWhole;
  part.response.status = 500;
  part.response.headers[wire::kAttemptId] = "id-1";
  part.response.headers[wire::kServerStamp] = "stamp";
  part.response.body = "whole";
  HelperSession()->Push(std::move(part));
  ASSERT_TRUE(RunUntil([this] { return is_done_; }));
  EXPECT_EQ(stream_->head().status, 500);
  EXPECT_EQ(stream_->head().headers.at(wire::kServerStamp), "stamp");
  EXPECT_EQ(body_, "whole");
  EXPECT_EQ(AwaitEnd()->result, AttemptResult::kCompleted);
}

// Guards against events that wait for the end of a forwarded stream.
TEST_F(ForwardedRequestTest, EventsReachTheCallerAsTheyCome) {
  SendAndForward();
  ASSERT_NE(AwaitForwarded(), nullptr);
  const auto session = HelperSession();
  ReplyPart begin;
  begin.kind = ReplyPart::Kind::kBegin;
  begin.response.headers[wire::kAttemptId] = "id-1";
  begin.response.headers[wire::kServerStamp] = "stamp";
  begin.response.headers["content-type"] = "text/event-stream";
  session->Push(std::move(begin));
  session->PushChunk("id: 1\ndata: a\n\n");
  ASSERT_TRUE(RunUntil([this] { return !body_.empty(); }));
  EXPECT_EQ(body_, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(is_done_);
  session->PushEnd();
  ASSERT_TRUE(RunUntil([this] { return is_done_; }));
  EXPECT_TRUE(stream_->is_complete());
}

// Guards against a refusal of the other host that passes for a server's answer,
// or loses whether the request has run and when to return.
TEST_F(ForwardedRequestTest, RefusalKeepsVerdictReasonAndTime) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun}) {
    SendAndForward();
    ASSERT_NE(AwaitForwarded(), nullptr);
    HelperSession()->PushRefusal({verdict, RefusalReason::kEnginesFull,
                                  "two\nlines", std::chrono::milliseconds(700)},
                                 "1/rule");
    const AttemptEnded* ended = AwaitEnd();
    ASSERT_NE(ended, nullptr);
    EXPECT_EQ(ended->result, verdict == Verdict::kNotRun
                                 ? AttemptResult::kRefused
                                 : AttemptResult::kBroken);
    ASSERT_TRUE(ended->refusal.has_value());
    EXPECT_EQ(ended->refusal->verdict, verdict);
    EXPECT_EQ(ended->refusal->reason, RefusalReason::kEnginesFull);
    EXPECT_EQ(ended->refusal->detail, "two lines");
    EXPECT_EQ(ended->refusal->retry_after, std::chrono::milliseconds(700));
  }
}

// Guards against anyone but a host that has requests decided as forwarded.
// Guards against a request that its first host takes and the next one refuses.
TEST_F(ForwardedRequestTest, HeadJustInsideTheLimitPassesTheNextHost) {
  const HttpServerLimits limits;
  SendAndForward(kKey,
                 {{"x-long", std::string(limits.header_bytes - 400, 'h')}});
  ASSERT_TRUE(
      RunUntil([this] { return helper_->Find<RequestArrived>() != nullptr; }));
}

TEST_F(ForwardedRequestTest, RequestWithoutProofIsRejected) {
  SendAndForward("another key");
  ASSERT_NE(AwaitEnd(), nullptr);
  EXPECT_NE(AwaitEnd()->result, AttemptResult::kRefused);
  EXPECT_EQ(helper_->Find<RequestArrived>(), nullptr);
}

// Guards against a server that works on for a caller that left the other host.
TEST_F(ForwardedRequestTest, CancelReachesTheOtherHost) {
  SendAndForward();
  ASSERT_NE(AwaitForwarded(), nullptr);
  cut_->engines.Cancel({cut_->Find<RequestArrived>()->handle, 1});
  EXPECT_TRUE(RunUntil(
      [this] { return helper_->Find<CallerDisconnected>() != nullptr; }));
}

}  // namespace
}  // namespace applehall

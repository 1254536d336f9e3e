// Ingress and engine client over loopback, with faulty callers and servers.

#include "core/request_fingerprint.h"
#include "tests/platform/edge_fixture.h"

namespace applehall {
namespace {

// Guards against a caller that names another team, or hides the header behind
// "Connection", so that the engine bills the wrong team; and against engines
// that receive callers' keys.
TEST_F(EdgeTest, EngineReceivesTeamButNotApiKey) {
  server_.answers = {kAnswer};
  const RequestArrived& request = SendRequest(
      "Authorization: Token secret-key\r\nx-TENANT: other\r\n"
      "X-Tenant: third\r\nConnection: X-Tenant\r\n");
  EXPECT_EQ(request.api_key, ApiKeyDigest::FromKey("secret-key"));
  EXPECT_FALSE(request.facts.headers.contains("authorization"));
  team_ = "studs";
  Dispatch(request.handle);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kCompleted);
  const std::string& sent_request = server_.requests.at(0);
  EXPECT_NE(sent_request.find("x-tenant: studs\r\n"), std::string::npos)
      << sent_request;
  EXPECT_EQ(sent_request.find("secret-key"), std::string::npos) << sent_request;
  EXPECT_EQ(sent_request.find("other"), std::string::npos) << sent_request;
  EXPECT_EQ(sent_request.find("third"), std::string::npos) << sent_request;
}

// Guards against a deadline that overflows and makes a request look too late.
TEST_F(EdgeTest, DeadlineAtTheEndOfItsTypeIsALongOne) {
  caller_ = std::make_unique<tcp::socket>(io_);
  caller_->connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_));
  const std::string request =
      "POST /a/b HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: id-1\r\n"
      "X-Deadline-Ms: 9223372036854775807\r\nContent-Length: 0\r\n\r\n";
  asio::write(*caller_, asio::buffer(request));
  ASSERT_TRUE(RunUntil([this] { return Find<RequestArrived>() != nullptr; }));
  ASSERT_TRUE(Find<RequestArrived>()->deadline.has_value());
  EXPECT_GT(*Find<RequestArrived>()->deadline, std::chrono::hours(1));
}

TEST_F(EdgeTest, PublicRequestHasNeitherTeamNorApiKey) {
  server_.answers = {kAnswer};
  const RequestArrived& request =
      SendRequest("Authorization: Token secret-key\r\nX-Tenant: other\r\n");
  team_ = "";
  Dispatch(request.handle);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kCompleted);
  const std::string& sent_request = server_.requests.at(0);
  EXPECT_EQ(sent_request.find("x-tenant"), std::string::npos) << sent_request;
  EXPECT_EQ(sent_request.find("secret-key"), std::string::npos) << sent_request;
}

// Another scheme, no key, two keys in one request, and a key that is too long.
TEST_F(EdgeTest, MalformedApiKeysAreIgnored) {
  const std::string longest(5000, 'k');
  for (const std::string& header :
       {std::string("Basic secret"), std::string("Token"),
        std::string("Token "), std::string("Token a b"), "Token " + longest,
        std::string("Token a\r\nAuthorization: Token b")}) {
    const RequestArrived& request =
        SendRequest("Authorization: " + header + "\r\n");
    EXPECT_FALSE(request.api_key.has_value()) << header.substr(0, 40);
    events_.clear();
  }
  EXPECT_EQ(SendRequest("Authorization: token ok\r\n").api_key,
            ApiKeyDigest::FromKey("ok"));
}

TEST_F(EdgeTest, DeclaredTokensAreSummedUnlessMalformed) {
  const auto declared = [this](const std::string& usage) {
    const std::optional<double> tokens =
        SendRequest("X-Token-Usage: " + usage + "\r\n").declared_tokens;
    events_.clear();
    return tokens;
  };
  EXPECT_EQ(declared("1460,80"), 1540);
  EXPECT_EQ(declared("1460"), 1460);
  for (const char* usage : {"-5000,80", "a,b", "1,2,3", "1e9,2", ",", ""}) {
    EXPECT_EQ(declared(usage), std::nullopt) << usage;
  }
}

// Guards against ids of prompt parts that differ between hosts by case or
// blanks, or contain the last part, which belongs to the request itself.
TEST_F(EdgeTest, SharedPromptPartsAreReadWithoutTheLast) {
  const auto parts = [this](const std::string& prefix) {
    const std::vector<std::string> ids =
        SendRequest("X-Prompt-Prefix: " + prefix + "\r\n").prompt_parts;
    events_.clear();
    return ids;
  };
  const std::vector<std::string> both = {"5c1e07a2", "91bd3f06"};
  EXPECT_EQ(parts("5c1e07a2:800,91BD3F06:410, e4402b7d:250"), both);
  EXPECT_EQ(parts("5c1e07a2:800"), std::vector<std::string>{});
  EXPECT_EQ(parts(",:,91bd3f06,e4402b7d:250"),
            std::vector<std::string>{"91bd3f06"});
  EXPECT_EQ(parts(std::string(100, 'a') + ":1,91bd3f06:2,b:3"),
            std::vector<std::string>{"91bd3f06"});
}

TEST_F(EdgeTest, ResponseIsForwardedUnchanged) {
  server_.answers = {kAnswer};
  const RequestArrived& request = SendRequest();
  EXPECT_EQ(request.facts.headers.at("host"), "shop.example");
  EXPECT_EQ(request.facts.path, "/a/b");
  EXPECT_EQ(request.facts.model, "m");
  Dispatch(request.handle);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kCompleted);
  const std::string received = ReceivedByCaller();
  EXPECT_NE(received.find("x-server-stamp: s"), std::string::npos) << received;
  EXPECT_TRUE(received.ends_with("\r\n\r\nhello")) << received;
}

// A server that exits while it runs a request closes the connection and no
// longer listens, unlike one that answers with malformed bytes.
TEST_F(EdgeTest, ClosedConnectionDiffersFromMalformedResponse) {
  server_.answers = {""};  // Closes without a response.
  const RequestArrived& request = SendRequest();
  EXPECT_EQ(request.fingerprint,
            RequestFingerprint(
                {"POST", "shop.example", "/a/b?q=1", "anonymous", "hi"}));
  Dispatch(request.handle);
  const AttemptEnded& closed = WaitForAttemptEnd();
  EXPECT_EQ(closed.result, AttemptResult::kBroken);
  EXPECT_TRUE(closed.is_cut) << closed.detail;
  events_.clear();
  server_.answers = {"garbage\r\n\r\n"};
  Dispatch(SendRequest().handle);
  EXPECT_FALSE(WaitForAttemptEnd().is_cut);
  events_.clear();
  engines_.Probe({"i-7", server_.address()});
  ASSERT_TRUE(RunUntil([this] { return Find<ServerProbed>() != nullptr; }));
  EXPECT_EQ(Find<ServerProbed>()->state, ServerState::kListening);
  events_.clear();
  const std::string unused_address =
      "127.0.0.1:" + std::to_string(FindUnusedPort());
  engines_.Probe({"i-8", unused_address});
  ASSERT_TRUE(RunUntil([this] { return Find<ServerProbed>() != nullptr; }));
  EXPECT_EQ(Find<ServerProbed>()->state, ServerState::kGone);
}

// Guards against a refusal that cannot be written since it quotes bytes that
// are not UTF-8, and leaves its caller without an answer.
TEST_F(EdgeTest, RefusalThatQuotesOtherBytesIsWritten) {
  const RequestArrived& request = SendRequest("X-Model: \xff\xc3(\r\n");
  Refusal refusal;
  refusal.reason = RefusalReason::kStreamUnknown;
  refusal.detail = "no model " + request.facts.model;
  ingress_.Refuse({request.handle, "rule", refusal});
  ASSERT_TRUE(RunUntil([this] { return !ReceivedByCaller().empty(); }));
  EXPECT_TRUE(received_.starts_with("HTTP/1.1 ")) << received_;
  EXPECT_NE(received_.find("no model"), std::string::npos) << received_;
}

// Guards against callers that set headers reserved for this system: these would
// reserve memory, or take over that of another request.
TEST_F(EdgeTest, ReservedHeadersOfCallerAreRemoved) {
  server_.answers = {kAnswer};
  Dispatch(
      SendRequest("X-Hold: 1\r\nX-Pin-Ms: 5\r\nX-Kv-Backup: a\r\nKv-From: b\r\n"
                  "X-Expect-Instance: other\r\nX-Custom: kept\r\n")
          .handle);
  WaitForAttemptEnd();
  ASSERT_EQ(server_.requests.size(), 1u);
  const std::string& sent = server_.requests[0];
  for (const char* name : {"x-hold", "x-pin-ms", "x-kv-backup", "kv-from"}) {
    EXPECT_EQ(sent.find(name), std::string::npos) << sent;
  }
  EXPECT_NE(sent.find("x-expect-instance: i-7\r\n"), std::string::npos) << sent;
  EXPECT_NE(sent.find("x-custom: kept\r\n"), std::string::npos) << sent;
  EXPECT_NE(sent.find("POST /a/b?q=1 "), std::string::npos) << sent;
  EXPECT_NE(sent.find("x-request-urgency: 2\r\n"), std::string::npos) << sent;
}

// Guards against a late response to another request on the same connection
// that is forwarded to the wrong caller.
TEST_F(EdgeTest, ResponseToAnotherRequestIsNotForwarded) {
  server_.answers = {
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\nX-Server-Stamp: s\r\n"
      "Content-Length: 5\r\n\r\nhello"};
  Dispatch(SendRequest().handle);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kBroken);
  EXPECT_EQ(ReceivedByCaller(), "");
}

// Malformed bytes, a response without a stamp or with an encoding, and a
// truncated response must not count as success.
TEST_F(EdgeTest, MalformedResponseIsNoSuccess) {
  const std::string malformed_responses[] = {
      "garbage\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
      "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
      "Content-Length: 50\r\n\r\nhello"};
  for (const std::string& answer : malformed_responses) {
    events_.clear();
    server_.answers = {answer};
    Dispatch(SendRequest().handle);
    EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kBroken) << answer;
    EXPECT_EQ(ReceivedByCaller(), "") << answer;
  }
}

TEST_F(EdgeTest, RefusalStatusIsTranslated) {
  const std::pair<std::string, AttemptResult> cases[] = {
      {"503 Full", AttemptResult::kFull},
      {"421 Misdirected", AttemptResult::kModelAbsent},
      {"429 Many", AttemptResult::kFull}};
  for (const auto& [status, result] : cases) {
    events_.clear();
    server_.answers = {"HTTP/1.1 " + status +
                       "\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n"};
    Dispatch(SendRequest().handle);
    EXPECT_EQ(WaitForAttemptEnd().result, result) << status;
  }
}

// An engine fails in the middle of an event. The caller must receive whole
// events only, and the next engine must resume after the last: none is repeated
// or missing.
TEST_F(EdgeTest, BrokenStreamResumesAfterLastWholeEvent) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  server_.answers = {head + "18\r\nid: 1\ndata: a\n\nid: 2\ndat\r\n",
                     head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"};
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  const AttemptEnded first = WaitForAttemptEnd();
  EXPECT_EQ(first.result, AttemptResult::kBroken);
  EXPECT_TRUE(first.has_delivered);
  EXPECT_TRUE(first.can_resume);
  std::string received = ReceivedByCaller();
  EXPECT_NE(received.find("data: a"), std::string::npos);
  EXPECT_EQ(received.find("id: 2"), std::string::npos) << received;
  events_.clear();
  Dispatch(handle, 2, /*resume=*/true);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kCompleted);
  EXPECT_NE(server_.requests[1].find("last-event-id: 1\r\n"),
            std::string::npos);
  received = ReceivedByCaller();
  EXPECT_NE(received.find("data: b"), std::string::npos) << received;
  EXPECT_TRUE(received.ends_with("0\r\n\r\n")) << received;
}

// Guards against an event that comes twice: the first event arrives while the
// request is taken back from a server that seems to hang.
TEST_F(EdgeTest, RequestTakenBackAtItsFirstEventContinuesAfterIt) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  server_.answers = {head + "f\r\nid: 1\ndata: a\n\n\r\n",
                     head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"};
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kBroken);
  events_.clear();
  Dispatch(handle, 2, /*resume=*/false);
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kCompleted);
  EXPECT_NE(server_.requests[1].find("last-event-id: 1\r\n"),
            std::string::npos);
}

// Guards against an engine that keeps running a request whose caller has
// disconnected before the first token.
TEST_F(EdgeTest, AttemptOfDisconnectedCallerIsCancelled) {
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  RunUntil([this] { return !server_.requests.empty(); });
  caller_->close();
  EXPECT_TRUE(
      RunUntil([this] { return Find<CallerDisconnected>() != nullptr; }));
  engines_.Cancel(CancelAttempt{handle, 1});
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kBroken);
}

// Guards against a cancel that is lost because its attempt has not started yet:
// the server would run a request without a caller.
TEST_F(EdgeTest, CancelBeforeAttemptStartsPreventsSending) {
  server_.answers = {kAnswer};
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  engines_.Cancel(CancelAttempt{handle, 1});
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kNotSent);
  EXPECT_TRUE(server_.requests.empty());
}

// Guards against a request that is sent to a server that left while the
// connection was being set up.
TEST_F(EdgeTest, UnsentAttemptAtLeavingServerIsRecalled) {
  server_.answers = {kAnswer};
  Dispatch(SendRequest().handle);
  engines_.Recall(RecallUnsent{"i-other"});
  engines_.Recall(RecallUnsent{"i-7"});
  const AttemptEnded ended = WaitForAttemptEnd();
  EXPECT_EQ(ended.result, AttemptResult::kNotSent);
  EXPECT_FALSE(ended.send_delay);
  EXPECT_TRUE(server_.requests.empty());
}

// Guards against cutting off requests that a leaving server already runs.
TEST_F(EdgeTest, SentAttemptAtLeavingServerGoesOn) {
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  RunUntil([this] { return !server_.requests.empty(); });
  engines_.Recall(RecallUnsent{"i-7"});
  engines_.Cancel(CancelAttempt{handle, 1});
  const AttemptEnded ended = WaitForAttemptEnd();
  EXPECT_TRUE(ended.send_delay);
  EXPECT_EQ(ended.detail.find("left"), std::string::npos) << ended.detail;
}

// Guards against a request that is forwarded after its caller has disconnected:
// the close has been noticed, but the cancel has not arrived yet.
TEST_F(EdgeTest, AttemptOfDisconnectedCallerIsNotSent) {
  server_.answers = {kAnswer};
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  ingress_.Find(handle)->HandleDisconnect(SystemClock().Now());
  EXPECT_EQ(WaitForAttemptEnd().result, AttemptResult::kNotSent);
  EXPECT_TRUE(server_.requests.empty());
}

TEST_F(EdgeTest, CancelAfterCallerCloseIsReported) {
  const RequestHandle handle = SendRequest().handle;
  Dispatch(handle);
  ingress_.Find(handle)->HandleDisconnect(SystemClock().Now());
  engines_.Cancel(CancelAttempt{handle, 1});
  engines_.Cancel(CancelAttempt{handle, 2});
  EXPECT_EQ(cancels_after_close_, 1);
  WaitForAttemptEnd();
}

TEST_F(EdgeTest, RefusalHasRetryAfter) {
  const RequestHandle handle = SendRequest().handle;
  ingress_.Refuse({handle,
                   "4/rule",
                   {Verdict::kNotRun, RefusalReason::kCannotMeetDeadline,
                    "late", std::chrono::milliseconds(1250)}});
  const std::string received = ReceivedByCaller();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
  EXPECT_NE(received.find("retry-after: 1.250"), std::string::npos) << received;
}

// A request that may have run must not get a status or header that invites a
// retry, whatever the reason of the refusal.
TEST_F(EdgeTest, RefusalOfPossiblyExecutedRequestHasNoRetryAfter) {
  const RequestHandle handle = SendRequest().handle;
  ingress_.Refuse({handle,
                   "4/rule",
                   {Verdict::kMayHaveRun, RefusalReason::kQueueFull, "x",
                    std::chrono::seconds(1)}});
  const std::string received = ReceivedByCaller();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 502 ")) << received;
  EXPECT_EQ(received.find("retry-after"), std::string::npos) << received;
}

}  // namespace
}  // namespace applehall

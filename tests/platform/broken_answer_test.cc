// Answers that are none by their head: the request may have run, and nothing of
// them reaches the caller.

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include "tests/platform/edge_fixture.h"

namespace applehall {
namespace {

constexpr char kFields[] = "X-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n";

class BrokenAnswerTest : public EdgeTest {
 protected:
  AttemptEnded Answer(const std::string& answer) {
    events_.clear();
    server_.answers = {answer};
    Dispatch(SendRequest().handle);
    return WaitForAttemptEnd();
  }

  void ExpectNoAnswer(const std::string& answer) {
    const AttemptEnded ended = Answer(answer);
    EXPECT_EQ(ended.result, AttemptResult::kBroken) << answer;
    EXPECT_FALSE(ended.has_delivered) << answer;
    EXPECT_EQ(ReceivedByCaller(), "") << answer;
    received_.clear();
  }

  void ExpectPassedOn(const std::string& answer, const std::string& status_line,
                      const std::string& body) {
    EXPECT_EQ(Answer(answer).result, AttemptResult::kCompleted) << answer;
    const std::string received = ReceivedByCaller();
    EXPECT_TRUE(received.starts_with(status_line)) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\n" + body)) << received;
    received_.clear();
  }
};

// Guards against an answer whose status no protocol defines and that reaches
// the caller, as a whole or as events.
TEST_F(BrokenAnswerTest, StatusOutOfRangeIsNoAnswer) {
  for (const char* status : {"000", "001", "010", "099", "600", "700", "999"}) {
    const std::string head =
        absl::StrCat("HTTP/1.1 ", status, " Trouble\r\n", kFields);
    ExpectNoAnswer(absl::StrCat(head, "Content-Length: 5\r\n\r\nhello"));
    ExpectNoAnswer(absl::StrCat(head, "\r\nhello"));
    ExpectNoAnswer(absl::StrCat(head,
                                "Content-Type: text/event-stream\r\n\r\n"
                                "id: 1\ndata: a\n\n"));
  }
}

// Guards against a request that is sent again, or that its caller is told to
// send again, because a head that is none says that it did not run.
TEST_F(BrokenAnswerTest, StatusOutOfRangeProvesNothing) {
  for (const char* status : {"000", "099", "600", "999"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 ", status, " Full\r\n", kFields,
                                "X-Not-Executed: 1\r\nServer-Limit: 1.5\r\n"
                                "Content-Length: 0\r\n\r\n"));
    EXPECT_EQ(Find<AttemptEnded>()->limit.kind, ReportedLimit::Kind::kUnknown)
        << status;
  }
}

TEST_F(BrokenAnswerTest, StatusesInRangeArePassedOn) {
  for (const char* status : {"200", "299", "301", "400", "499", "500", "599"}) {
    ExpectPassedOn(absl::StrCat("HTTP/1.1 ", status, " Known\r\n", kFields,
                                "Content-Length: 5\r\n\r\nhello"),
                   absl::StrCat("HTTP/1.1 ", status, " "), "hello");
  }
}

TEST_F(BrokenAnswerTest, MalformedStatusLineIsNoAnswer) {
  for (const char* line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1200 OK",
        "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP 200 OK",
        "http/1.1 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK"}) {
    ExpectNoAnswer(
        absl::StrCat(line, "\r\n", kFields, "Content-Length: 5\r\n\r\nhello"));
  }
}

// Guards against a line of the head that is no field and is passed on, or that
// hides the length of the body.
TEST_F(BrokenAnswerTest, NameOfAFieldThatIsNoTokenIsNoAnswer) {
  const std::string nul("X-Te\0st", 7);
  for (const std::string& name :
       {std::string("X Test"), std::string("X-Test "), std::string("X-Test\t"),
        std::string("X\x01Test"), nul, std::string("X\x7fTest"),
        std::string("X\rTest"), std::string("X\x80Test"), std::string(""),
        std::string("X(Test)"), std::string("X[Test]"),
        std::string("Content Length"), std::string("Content-Length "),
        std::string("Transfer-Encoding\t"), std::string("Content-Type ")}) {
    for (const char* place : {"", kFields}) {
      ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", place, name, ": 2\r\n",
                                  kFields, "Content-Length: 5\r\n\r\nhello"));
      ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", place, kFields, name,
                                  ": 2\r\n\r\nhi"));
    }
    ExpectNoAnswer(
        absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                     "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
                     name, ": 2\r\n\r\n"));
  }
  ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                              "X-Test\r\nContent-Length: 5\r\n\r\nhello"));
}

TEST_F(BrokenAnswerTest, ControlBytesInAValueAreNoAnswer) {
  const std::string nul("a\0b", 3);
  for (const std::string& value :
       {nul, std::string("a\x01z"), std::string("a\rb"), std::string("a\nb"),
        std::string("a\x7fz")}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, "X-Test: ",
                                value, "\r\nContent-Length: 5\r\n\r\nhello"));
  }
}

// Guards against a transfer coding that is not undone, and whose bytes are the
// body that the caller gets.
TEST_F(BrokenAnswerTest, TransferCodingThatIsNotChunkedAloneIsNoAnswer) {
  for (const char* coding :
       {"gzip", "identity", "chunked, gzip", "gzip, chunked",
        "chunked, chunked", "xchunked", "chunked;q=1", "\"chunked\"", ""}) {
    for (const char* length : {"", "Content-Length: 15\r\n"}) {
      ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                                  "Transfer-Encoding: ", coding, "\r\n", length,
                                  "\r\n5\r\nhello\r\n0\r\n\r\n"));
    }
    ExpectNoAnswer(absl::StrCat(
        "HTTP/1.1 200 OK\r\n", kFields, "Content-Type: text/event-stream\r\n",
        "Transfer-Encoding: ", coding, "\r\n\r\nid: 1\ndata: a\n\n"));
  }
  for (const char* other : {"gzip", "chunked", ""}) {
    for (const bool is_first : {true, false}) {
      const std::string field =
          absl::StrCat("Transfer-Encoding: ", other, "\r\n");
      ExpectNoAnswer(
          absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, is_first ? field : "",
                       "Transfer-Encoding: chunked\r\n", is_first ? "" : field,
                       "\r\n5\r\nhello\r\n0\r\n\r\n"));
    }
  }
}

// Guards against chunks in a version of the protocol that has none.
TEST_F(BrokenAnswerTest, TransferCodingInHttp10IsNoAnswer) {
  ExpectNoAnswer(absl::StrCat("HTTP/1.0 200 OK\r\n", kFields,
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n0\r\n\r\n"));
}

TEST_F(BrokenAnswerTest, KnownFramingIsPassedOn) {
  for (const char* coding : {"chunked", "Chunked", " chunked "}) {
    ExpectPassedOn(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                                "Transfer-Encoding:", coding,
                                "\r\n\r\n5;a=b\r\nhello\r\n0\r\n"
                                "X-Trailer: 1\r\n\r\n"),
                   "HTTP/1.1 200 ", "hello");
  }
  ExpectPassedOn(absl::StrCat("HTTP/1.0 200 OK\r\n", kFields,
                              "Content-Length: 5\r\n\r\nhello"),
                 "HTTP/1.1 200 ", "hello");
  ExpectPassedOn(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, "\r\nhello"),
                 "HTTP/1.1 200 ", "hello");
}

// Guards against chunks that are none and whose bytes are passed on.
TEST_F(BrokenAnswerTest, MalformedChunksAreNoAnswer) {
  for (const char* chunks :
       {"z\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello!\r\n0\r\n\r\n", "5\nhello\n0\n\n",
        "10000000000000005\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nX Trailer: 1\r\n\r\n",
        "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n", "5\r\nhello\r\n0\r\n",
        "5\r\nhello\r\n"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                                "Transfer-Encoding: chunked\r\n\r\n", chunks));
  }
}

// Guards against a line that begins with a blank and becomes a part of the
// field before it.
TEST_F(BrokenAnswerTest, FoldedLineIsNoAnswer) {
  for (const char* blank : {" ", "\t"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, blank,
                                "X-Test: 1\r\nContent-Length: 5\r\n\r\nhello"));
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, blank,
                                "Content-Length: 5\r\n\r\nhello"));
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", blank, kFields,
                                "Content-Length: 5\r\n\r\nhello"));
  }
}

// Guards against a bound on fields that a sound answer meets.
TEST_F(BrokenAnswerTest, FieldsOfAHeadAreBounded) {
  std::string fields;
  for (int i = 0; i < 200; ++i) absl::StrAppend(&fields, "X-F", i, ": v\r\n");
  const std::string framing = "Content-Length: 5\r\n\r\nhello";
  ExpectPassedOn(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, fields, framing),
                 "HTTP/1.1 200 ", "hello");
  ExpectNoAnswer(
      absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, fields, fields, framing));
}

// Guards against bytes that an answer announces, though its status allows none,
// and that are lost or taken for the next answer.
TEST_F(BrokenAnswerTest, ContentThatTheStatusForbidsIsNoAnswer) {
  for (const char* framing :
       {"Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
    for (const char* status : {"204 No Content", "205 Reset Content"}) {
      ExpectNoAnswer(
          absl::StrCat("HTTP/1.1 ", status, "\r\n", kFields, framing));
    }
  }
}

// Guards against a length that the caller gets of a body that its answer cannot
// have (RFC 9110, sections 8.6 and 15.4.5).
TEST_F(BrokenAnswerTest, StatusWithoutContentHasNoLength) {
  for (const char* answer :
       {"204 No Content\r\n", "204 No Content\r\nContent-Length: 0\r\n",
        "304 Not Modified\r\n", "304 Not Modified\r\nContent-Length: 5\r\n"}) {
    EXPECT_EQ(Answer(absl::StrCat("HTTP/1.1 ", answer, kFields, "\r\n")).result,
              AttemptResult::kCompleted);
    const std::string received = absl::AsciiStrToLower(ReceivedByCaller());
    EXPECT_TRUE(received.starts_with("http/1.1 " + std::string(answer, 3)))
        << received;
    EXPECT_EQ(received.find("content-length"), std::string::npos) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\n")) << received;
    received_.clear();
  }
}

// Guards against a list that is taken for the one value of a field that a
// decision, or the caller's check, rests on.
TEST_F(BrokenAnswerTest, FieldThatStandsTwiceIsNoAnswer) {
  for (const char* twice : {"X-Attempt-Id: id-1\r\n", "X-Attempt-Id: id-2\r\n",
                            "X-Server-Stamp: s\r\n", "X-Server-Stamp: t\r\n",
                            "Content-Length: 4\r\n"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, twice,
                                "Content-Length: 5\r\n\r\nhello"));
  }
  for (const char* types :
       {"Content-Type: text/plain\r\nContent-Type: text/event-stream\r\n",
        "Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, types,
                                "\r\nid: 1\ndata: a\n\n"));
  }
  ExpectNoAnswer(absl::StrCat("HTTP/1.1 500 Trouble\r\n", kFields,
                              "X-Server-Stamp: t\r\n"
                              "Content-Length: 5\r\n\r\nhello"));
  ExpectPassedOn(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                              "Vary: a\r\nVary: b\r\n"
                              "Content-Length: 5\r\n\r\nhello"),
                 "HTTP/1.1 200 ", "hello");
}

// Guards against a failure whose body is coded, which no caller asked for.
TEST_F(BrokenAnswerTest, FailureWithAContentCodingIsNoAnswer) {
  for (const char* status : {"404", "500"}) {
    ExpectNoAnswer(absl::StrCat("HTTP/1.1 ", status, " Trouble\r\n", kFields,
                                "Content-Encoding: gzip\r\n"
                                "Content-Length: 5\r\n\r\nhello"));
  }
}

// Guards against a status that promises the caller that its request did not
// run, which the engine has not said: callers repeat it then.
TEST_F(BrokenAnswerTest, PromiseThatTheEngineHasNotMadeIsNoAnswer) {
  is_repeatable_ = false;
  for (const char* status : {"408", "429", "503"}) {
    const std::string head =
        absl::StrCat("HTTP/1.1 ", status, " Trouble\r\n", kFields);
    ExpectNoAnswer(absl::StrCat(head, "Content-Length: 5\r\n\r\nhello"));
    EXPECT_NE(Answer(absl::StrCat(head,
                                  "X-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n"))
                  .result,
              AttemptResult::kBroken)
        << status;
  }
  ExpectPassedOn(absl::StrCat("HTTP/1.1 500 Trouble\r\n", kFields,
                              "Content-Length: 5\r\n\r\nhello"),
                 "HTTP/1.1 500 ", "hello");
  is_repeatable_ = true;
  ExpectPassedOn(absl::StrCat("HTTP/1.1 503 Trouble\r\n", kFields,
                              "Content-Length: 5\r\n\r\nhello"),
                 "HTTP/1.1 503 ", "hello");
}

// Guards against an id of an event that becomes a line of the head of the
// request which resumes the stream.
TEST_F(BrokenAnswerTest, EventIdWithControlBytesIsNone) {
  const AttemptEnded ended =
      Answer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "1d\r\nid: 7\rX-Model: n\ndata: abcd\n\n\r\n"));
  EXPECT_EQ(ended.result, AttemptResult::kBroken);
  EXPECT_TRUE(ended.has_delivered);
  EXPECT_FALSE(ended.can_resume);
}

// Guards against fields of one connection that reach the next one (RFC 9110,
// section 7.6.1).
TEST_F(BrokenAnswerTest, FieldsThatConnectionNamesAreNotPassedOn) {
  for (const char* type : {"text/plain", "text/event-stream"}) {
    EXPECT_EQ(Answer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                                  "Connection: close, X-Hop\r\nX-Hop: 1\r\n"
                                  "Content-Type: ",
                                  type, "\r\n\r\nid: 1\ndata: a\n\n"))
                  .result,
              AttemptResult::kCompleted);
    const std::string received = ReceivedByCaller();
    EXPECT_NE(received.find("data: a"), std::string::npos) << received;
    EXPECT_EQ(received.find("X-Hop"), std::string::npos) << received;
    EXPECT_EQ(received.find("x-hop"), std::string::npos) << received;
    received_.clear();
  }
}

// Guards against a stamp, or a proof that a request did not run, that is meant
// for one connection and is removed only after it was relied on.
TEST_F(BrokenAnswerTest, FieldsThatConnectionNamesProveNothing) {
  ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                              "Connection: close, X-Server-Stamp\r\n"
                              "Content-Length: 5\r\n\r\nhello"));
  ExpectNoAnswer(absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                              "Connection: x-attempt-id\r\n"
                              "Content-Length: 5\r\n\r\nhello"));
  is_repeatable_ = false;
  ExpectNoAnswer(absl::StrCat("HTTP/1.1 503 Full\r\n", kFields,
                              "X-Not-Executed: 1\r\n"
                              "Connection: X-Not-Executed\r\n"
                              "Content-Length: 0\r\n\r\n"));
}

class KeptConnectionTest : public BrokenAnswerTest {
 protected:
  KeptConnectionTest() { server_.keeps_connections = true; }

  OrderResult Order() {
    events_.clear();
    SendOrder action;
    action.engine = "i-7";
    action.address = server_.address();
    action.order.id = "order-1";
    action.order.kind = OrderKind::kLoad;
    action.order.name = "llm/m0";
    action.order.send_by = SystemClock().Now() + std::chrono::seconds(4);
    engines_.Send(action);
    EXPECT_TRUE(RunUntil([this] { return Find<OrderAnswered>() != nullptr; }));
    const auto* answered = Find<OrderAnswered>();
    return answered == nullptr ? OrderResult::kUnanswered : answered->result;
  }
};

// Guards against bytes behind an answer that are taken for the next one.
TEST_F(KeptConnectionTest, BytesBehindAnAnswerBelongToNoRequest) {
  const std::string extra =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: t\r\n"
      "Content-Length: 5\r\n\r\nextra";
  for (const std::string& answer :
       {std::string(kAnswer),
        absl::StrCat("HTTP/1.1 200 OK\r\n", kFields,
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "5\r\nhello\r\n0\r\n\r\n"),
        absl::StrCat("HTTP/1.1 304 Not Modified\r\n", kFields,
                     "Content-Length: 5\r\n\r\n"),
        absl::StrCat("HTTP/1.1 503 Full\r\n", kFields,
                     "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")}) {
    (void)Answer(answer + extra);
    EXPECT_EQ(ReceivedByCaller().find("extra"), std::string::npos) << answer;
    EXPECT_EQ(Answer(kAnswer).result, AttemptResult::kCompleted);
    EXPECT_EQ(ReceivedByCaller().find("extra"), std::string::npos) << answer;
    received_.clear();
  }
}

// Guards against content that comes late behind a status that has none, and
// that answers the next request.
TEST_F(KeptConnectionTest, ConnectionWithUnreadContentIsNotReused) {
  EXPECT_EQ(Answer(absl::StrCat("HTTP/1.1 304 Not Modified\r\n", kFields,
                                "Content-Length: 5\r\n\r\n"))
                .result,
            AttemptResult::kCompleted);
  EXPECT_EQ(Answer(kAnswer).result, AttemptResult::kCompleted);
  EXPECT_EQ(server_.connections, 2);
  EXPECT_EQ(Answer(kAnswer).result, AttemptResult::kCompleted);
  EXPECT_EQ(server_.connections, 2);
}

// Guards against a second answer to a request that is taken for the answer to
// an order.
TEST_F(KeptConnectionTest, AnswerToARequestIsNotThatToAnOrder) {
  for (const char* status : {"200 OK", "202 Accepted", "400 No"}) {
    server_.answers = {absl::StrCat("HTTP/1.1 ", status, "\r\n", kFields,
                                    "Content-Length: 0\r\n\r\n")};
    EXPECT_EQ(Order(), OrderResult::kUnanswered) << status;
  }
}

// Guards against an order whose loss is taken for proved, by an answer that
// does not say so: its memory would be given to another model.
TEST_F(KeptConnectionTest, OrderIsRefusedByItsOwnStatusesOnly) {
  const std::map<std::string, OrderResult> results{
      {"200", OrderResult::kDone},
      {"202", OrderResult::kAccepted},
      {"400", OrderResult::kUnknownModel},
      {"409", OrderResult::kBusy},
      {"412", OrderResult::kStaleFence},
      {"421", OrderResult::kWrongIncarnation},
      {"000", OrderResult::kUnanswered},
      {"099", OrderResult::kUnanswered},
      {"204", OrderResult::kUnanswered},
      {"206", OrderResult::kUnanswered},
      {"302", OrderResult::kUnanswered},
      {"404", OrderResult::kUnanswered},
      {"500", OrderResult::kUnanswered},
      {"503", OrderResult::kUnanswered},
      {"600", OrderResult::kUnanswered},
      {"999", OrderResult::kUnanswered}};
  for (const auto& [status, result] : results) {
    server_.answers = {
        absl::StrCat("HTTP/1.1 ", status, " Any\r\nContent-Length: 0\r\n\r\n")};
    EXPECT_EQ(Order(), result) << status;
  }
}

// Guards against answers to orders and questions that together exceed the
// memory.
TEST_F(KeptConnectionTest, AnswersToOrdersAndQuestionsAreCharged) {
  constexpr size_t kLimit = 256 * 1024;
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  EngineClient bounded(
      io_, "edge-1", "key",
      [this](Event event) { events_.push_back(std::move(event)); },
      [](Duration) {}, memory);
  SendOrder action;
  action.engine = "i-7";
  action.address = server_.address();
  action.order.name = "llm/m0";
  action.order.send_by = SystemClock().Now() + std::chrono::seconds(4);
  for (const auto& [bytes, result] :
       std::map<size_t, OrderResult>{{1000, OrderResult::kDone},
                                     {2 * kLimit, OrderResult::kUnanswered}}) {
    events_.clear();
    server_.answers = {
        absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", bytes, "\r\n\r\n",
                     std::string(bytes, 'x'))};
    action.order.kind = OrderKind::kLoad;
    bounded.Send(action);
    EXPECT_TRUE(RunUntil([this] { return Find<OrderAnswered>() != nullptr; }));
    EXPECT_EQ(Find<OrderAnswered>()->result, result) << bytes;
  }
  EXPECT_GT(memory->refusals(), 0u);
  EXPECT_LE(memory->peak(), kLimit);
  EXPECT_EQ(memory->used(), 0u);
}

// Guards against a report that is taken from bytes that are no answer, and
// against an order that is answered by them.
TEST_F(KeptConnectionTest, ReportsAreReadFromAnswersOnly) {
  const std::string report =
      R"({"stage":"colocated","models":[],"busy":false,"seq":2,"queued":0,)"
      R"("in_flight":0,"kv_used":0,"kv_total":9,"handles":0})";
  const std::string length =
      absl::StrCat("Content-Length: ", report.size(), "\r\n\r\n");
  const std::vector<std::string> heads{
      "HTTP/1.1 000 OK\r\n" + length,
      "HTTP/1.1 600 OK\r\n" + length,
      "HTTP/1.1 500 OK\r\n" + length,
      "HTTP/1.1 200 OK\r\nA b: 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
      absl::StrCat("HTTP/1.1 200 OK\r\n", kFields, length)};
  SendOrder action;
  action.engine = "i-7";
  action.address = server_.address();
  action.order.kind = OrderKind::kInspect;
  for (const std::string& head : heads) {
    events_.clear();
    server_.answers = {head + report};
    engines_.Send(action);
    const size_t sent = server_.requests.size();
    EXPECT_TRUE(RunUntil([&] { return server_.requests.size() > sent; }));
    io_.run_for(std::chrono::milliseconds(50));
    io_.restart();
    EXPECT_EQ(Find<InventoryReceived>(), nullptr) << head;
  }
  server_.answers = {"HTTP/1.1 200 OK\r\n" + length + report};
  engines_.Send(action);
  EXPECT_TRUE(
      RunUntil([this] { return Find<InventoryReceived>() != nullptr; }));
}

}  // namespace
}  // namespace applehall

// Heads of answers that stop, are ambiguous, or come before the answer.

#include <absl/strings/str_cat.h>

#include "tests/platform/edge_fixture.h"

namespace applehall {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n";

class AnswerHeadTest : public EdgeTest {
 protected:
  AttemptEnded Answer(const std::string& answer) {
    events_.clear();
    server_.answers = {answer};
    Dispatch(SendRequest().handle);
    return WaitForAttemptEnd();
  }
};

// Guards against a server that closes within its head and whose caller gets a
// whole answer without a body.
TEST_F(AnswerHeadTest, HeadThatStopsIsNoAnswer) {
  for (const char* framing :
       {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n",
        "Content-Type: text/event-stream\r\n\r\n", "\r\n"}) {
    const std::string head = absl::StrCat(kHead, framing);
    for (size_t size = 0; size < head.size(); ++size) {
      const AttemptEnded ended = Answer(head.substr(0, size));
      ASSERT_EQ(ended.result, AttemptResult::kBroken) << head.substr(0, size);
      ASSERT_TRUE(ended.is_cut) << head.substr(0, size);
      ASSERT_FALSE(ended.has_delivered);
      ASSERT_EQ(ReceivedByCaller(), "") << head.substr(0, size);
    }
  }
}

TEST_F(AnswerHeadTest, HeadWithAnAmbiguousLengthIsNoAnswer) {
  for (const char* fields :
       {"Content-Length: 5\r\nContent-Length: 0\r\n",
        "Content-Length: five\r\n", "Content-Length: -1\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"}) {
    EXPECT_EQ(Answer(absl::StrCat(kHead, fields, "\r\nhello")).result,
              AttemptResult::kBroken)
        << fields;
    EXPECT_EQ(ReceivedByCaller(), "") << fields;
  }
}

// Guards against an interim head that is taken for the answer.
TEST_F(AnswerHeadTest, InterimHeadsAreSkipped) {
  for (const char* interim :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: id-1\r\n"
        "X-Server-Stamp: s\r\nLink: <a>\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"}) {
    EXPECT_EQ(Answer(absl::StrCat(interim, kAnswer)).result,
              AttemptResult::kCompleted)
        << interim;
    const std::string received = ReceivedByCaller();
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 OK\r\n")) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\nhello")) << received;
    EXPECT_EQ(received.find("Link"), std::string::npos) << received;
    received_.clear();
  }
}

TEST_F(AnswerHeadTest, InterimHeadAloneIsNoAnswer) {
  const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: id-1\r\n"
      "X-Server-Stamp: s\r\n\r\n";
  EXPECT_EQ(Answer(interim).result, AttemptResult::kBroken);
  std::string many;
  for (int i = 0; i < 100; ++i) many += interim;
  EXPECT_EQ(Answer(many + kAnswer).result, AttemptResult::kBroken);
  EXPECT_EQ(Answer("HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: id-1\r\n"
                   "X-Server-Stamp: s\r\n\r\n")
                .result,
            AttemptResult::kBroken);
  EXPECT_EQ(ReceivedByCaller(), "");
}

}  // namespace
}  // namespace applehall

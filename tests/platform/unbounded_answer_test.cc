// Answers that end with their connection, and bytes that do not end.

#include "tests/platform/edge_fixture.h"

namespace applehall {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n";
constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
// Of one answer, with what the sockets of both sides buffer.
constexpr size_t kMaxReadBytes = 16 * 1024 * 1024;

class UnboundedAnswerTest : public EdgeTest {
 protected:
  AttemptEnded Answer(const std::string& answer) {
    server_.answers = {answer};
    Dispatch(SendRequest().handle);
    AttemptEnded ended = WaitForAttemptEnd();
    events_.clear();
    return ended;
  }

  AttemptEnded AnswerWithoutEnd(const std::string& answer) {
    server_.filler = std::string(64 * 1024, 'x');
    AttemptEnded ended = Answer(answer);
    RunUntil([this] {
      return server_.is_filler_refused || server_.filler_bytes > kMaxReadBytes;
    });
    return ended;
  }
};

// Guards against an answer without length that is taken for a broken one.
TEST_F(UnboundedAnswerTest, AnswerMayEndWithItsConnection) {
  const AttemptEnded whole = Answer(std::string(kHead) + "\r\nhello");
  EXPECT_EQ(whole.result, AttemptResult::kCompleted);
  EXPECT_TRUE(ReceivedByCaller().ends_with("\r\n\r\nhello")) << received_;
  const AttemptEnded stream =
      Answer(std::string(kStreamHead) + "id: 1\ndata: a\n\n");
  EXPECT_EQ(stream.result, AttemptResult::kCompleted);
  EXPECT_TRUE(ReceivedByCaller().ends_with("0\r\n\r\n")) << received_;
}

// Guards against a stream without length that looks complete although its
// server crashed within an event, and against an end of that server which is
// not seen.
TEST_F(UnboundedAnswerTest, StreamThatEndsWithinAnEventIsCut) {
  const AttemptEnded broken =
      Answer(std::string(kStreamHead) + "id: 1\ndata: a\n\nid: 2\ndat");
  EXPECT_EQ(broken.result, AttemptResult::kBroken);
  EXPECT_TRUE(broken.is_cut);
  EXPECT_TRUE(broken.has_delivered);
  EXPECT_TRUE(broken.can_resume);
  EXPECT_FALSE(ReceivedByCaller().ends_with("0\r\n\r\n")) << received_;
  const AttemptEnded unbegun = Answer(std::string(kStreamHead) + "id: 1\ndat");
  EXPECT_EQ(unbegun.result, AttemptResult::kBroken);
  EXPECT_TRUE(unbegun.is_cut);
  EXPECT_FALSE(unbegun.has_delivered);
}

// Guards against a body without end that fills the host's memory.
TEST_F(UnboundedAnswerTest, BodyWithoutEndIsBrokenOff) {
  EXPECT_EQ(AnswerWithoutEnd(std::string(kHead) + "\r\n").result,
            AttemptResult::kBroken);
  EXPECT_LE(server_.filler_bytes, kMaxReadBytes);
}

// Guards against an event without end that fills the host's memory.
TEST_F(UnboundedAnswerTest, EventWithoutEndIsBrokenOff) {
  EXPECT_EQ(AnswerWithoutEnd(std::string(kStreamHead) + "data: ").result,
            AttemptResult::kBroken);
  EXPECT_LE(server_.filler_bytes, kMaxReadBytes);
}

// Guards against a head without end that fills the host's memory.
TEST_F(UnboundedAnswerTest, HeadWithoutEndIsBrokenOff) {
  EXPECT_EQ(AnswerWithoutEnd(std::string(kHead) + "X-Long: ").result,
            AttemptResult::kBroken);
  EXPECT_LE(server_.filler_bytes, kMaxReadBytes);
}

// Guards against a refusal whose body does not end, which would keep its caller
// waiting although the request may go elsewhere.
TEST_F(UnboundedAnswerTest, RefusalWithABodyWithoutEndIsARefusal) {
  EXPECT_EQ(AnswerWithoutEnd("HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\n"
                             "X-Not-Executed: 1\r\n\r\n")
                .result,
            AttemptResult::kFull);
  EXPECT_LE(server_.filler_bytes, kMaxReadBytes);
}

}  // namespace
}  // namespace applehall

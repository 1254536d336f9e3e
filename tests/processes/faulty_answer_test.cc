// Servers whose answers are none or do not end, against a host on a small
// machine.

#include <absl/strings/str_cat.h>

#include "tests/processes/host_fixture.h"

namespace applehall {
namespace {

constexpr int kServers = 2;
constexpr int kClients = 200;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\n{id}\r\nX-Server-Stamp: s\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";
constexpr char kEvents[] = "Content-Type: text/event-stream\r\n\r\n";

FaultyAnswer Sound() {
  return {.head = absl::StrCat(kHead, "Content-Length: 5\r\n\r\nhello")};
}

class FaultyAnswerTest : public HostTest {
 protected:
  FaultyAnswerTest() { StartFaultyServers(kServers, Sound()); }
};

// Guards against a real host that passes on what is no answer, or that sends a
// request which may not be repeated once more.
TEST_F(FaultyAnswerTest, BrokenHeadsAreAnswered502AndNotRepeated) {
  EXPECT_EQ(Request("/raw-once/x"), 200);
  for (const char* head :
       {"HTTP/1.1 000 OK\r\n{id}\r\nX-Server-Stamp: s\r\n\r\nhello",
        "HTTP/1.1 000 OK\r\n{id}\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\n{id}\r\nX-Server-Stamp: s\r\n\r\nhello",
        "HTTP/1.1 600 OK\r\n{id}\r\nX-Server-Stamp: s\r\n\r\nhello",
        "HTTP/1.1 999 OK\r\n{id}\r\nX-Server-Stamp: s\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n{id}\r\nX-Server-Stamp: s\r\nX T: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n{id}\r\nX-Server-Stamp: s\r\n T: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n{id}\r\nX-Server-Stamp: s\r\nX\x01: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n{id}\r\nX-Server-Stamp: s\r\n"
        "Transfer-Encoding: gzip\r\n\r\nhello",
        "HTTP/1.1 503 Full\r\n{id}\r\nContent-Length: 0\r\n\r\n"}) {
    SetFaultyAnswer({.head = head});
    EXPECT_EQ(Request("/raw-once/x"), 502) << head;
    EXPECT_EQ(ArrivalsOfLastRequest(), 1) << head;
  }
  ExpectSound();
}

// Distinct short fields, within the limit of a head.
std::string ManyFields() {
  std::string fields;
  for (int i = 0; fields.size() < 60 * 1024; ++i) {
    absl::StrAppend(&fields, absl::Hex(i, absl::kZeroPad4), ":\r\n");
  }
  return fields;
}

struct EndlessAnswer {
  std::string name;
  FaultyAnswer answer;
};

std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string body = absl::StrCat(kHead, "\r\n");
  const std::string chunked = absl::StrCat(kHead, kChunked);
  const std::string events = absl::StrCat(kHead, kEvents);
  const std::string kilobyte(1024, 'x');
  return {
      {"NoHead", {.filler = kilobyte}},
      {"Reason", {.head = "HTTP/1.1 200 ", .filler = "reason "}},
      {"Field", {.head = absl::StrCat(kHead, "X: "), .filler = kilobyte}},
      {"Fields", {.head = kHead, .filler = "X-Field: value\r\n"}},
      {"InterimHeads", {.filler = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"}},
      {"BodyBehindManyFields",
       {.head = absl::StrCat(kHead, ManyFields(), "\r\n"), .filler = kilobyte}},
      {"BodyBehindALongField",
       {.head = absl::StrCat(kHead, "X-Long: ", std::string(60 * 1024, 'v'),
                             "\r\n\r\n"),
        .filler = kilobyte}},
      {"EventsBehindALongField",
       {.head = absl::StrCat(kHead, "X-Long: ", std::string(60 * 1024, 'v'),
                             "\r\n", kEvents, "data: a\n\n"),
        .filler = ": comment\n"}},
      {"EventBehindManyFields",
       {.head = absl::StrCat(kHead, ManyFields(), kEvents, "data: a\n"),
        .filler = kilobyte}},
      {"Body", {.head = body, .filler = kilobyte}},
      {"Length",
       {.head = absl::StrCat(kHead, "Content-Length: 8000000000\r\n\r\n"),
        .filler = kilobyte}},
      {"LengthBeyondAllMemory",
       {.head = absl::StrCat(kHead, "Content-Length: 800000000000000\r\n\r\n"),
        .filler = kilobyte}},
      {"EventsOfALength",
       {.head = absl::StrCat(kHead, "Content-Length: 8000000000\r\n", kEvents,
                             "data: a\n\n"),
        .filler = ": comment\n"}},
      {"Chunks",
       {.head = chunked, .filler = absl::StrCat("400\r\n", kilobyte, "\r\n")}},
      {"ChunksOfOneByte", {.head = chunked, .filler = "1\r\nb\r\n"}},
      {"ChunkExtension", {.head = chunked + "1;", .filler = kilobyte}},
      {"ChunkSize", {.head = chunked, .filler = std::string(1024, '0')}},
      {"Trailers", {.head = chunked + "0\r\n", .filler = "X-Trailer: t\r\n"}},
      {"TrailersBehindManyFields",
       {.head = absl::StrCat(chunked, "0\r\n", ManyFields(), "\r\n"),
        .filler = kilobyte}},
      {"Event", {.head = events + "data: ", .filler = kilobyte}},
      {"Comments", {.head = events, .filler = ": comment\n"}},
      {"RefusalBody",
       {.head = "HTTP/1.1 503 Full\r\n{id}\r\nX-Not-Executed: 1\r\n\r\n",
        .filler = kilobyte}}};
}

class EndlessAnswerTest : public FaultyAnswerTest,
                          public testing::WithParamInterface<EndlessAnswer> {};

// Guards against bytes without end, of servers that hundreds of requests are
// sent to, which together exceed the host's memory.
TEST_P(EndlessAnswerTest, HostStaysWithinItsMemory) {
  FaultyAnswer answer = GetParam().answer;
  // The host stops sending to servers that break off their first answers.
  answer.min_arrivals = kClients / 2;
  SetFaultyAnswer(answer);
  ClientCrowd crowd(address("callers"));
  EXPECT_EQ(crowd.Connect(kClients), kClients);
  Send(crowd, {.head = "POST /raw/x HTTP/1.1\r\nHost: soak.example\r\n"
                       "X-Attempt-Id: c\r\nX-Deadline-Ms: 4000\r\n"
                       "Content-Length: 0\r\n\r\n"});
  EXPECT_GE(ArrivalsOf("c"), kClients / 2);
  ExpectSound();
}

INSTANTIATE_TEST_SUITE_P(, EndlessAnswerTest,
                         testing::ValuesIn(EndlessAnswers()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace applehall

// Clients that send more than they may, or never read, against a host on a
// small machine.

#include <absl/strings/str_cat.h>

#include "tests/processes/host_fixture.h"

namespace applehall {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;
constexpr size_t kMaxBodyBytes = 4 * kMegabyte;  // The host's default.
constexpr int kClients = 48;

std::string Head(const std::string& path, const std::string& fields) {
  return absl::StrCat("POST ", path,
                      " HTTP/1.1\r\nHost: soak.example\r\n"
                      "X-Attempt-Id: c\r\nX-Deadline-Ms: 4000\r\n",
                      fields, "\r\n");
}

std::string ChunkedHead() {
  return Head("/again/x", "Transfer-Encoding: chunked\r\n");
}

// Distinct short fields, within the limit of a head.
std::string ManyFields() {
  std::string fields;
  for (int i = 0; fields.size() < 15 * 1024; ++i) {
    absl::StrAppend(&fields, absl::Hex(i, absl::kZeroPad3), ":\r\n");
  }
  return fields;
}

class ClientCrowdTest : public HostTest {
 protected:
  void SendLongNames() {
    const std::string name(15 * 1024, 'n');
    for (const char* field :
         {"X-Attempt-Id", "X-Model", "Last-Event-Id", "X-Prompt-Prefix"}) {
      ClientCrowd crowd(address("callers"));
      EXPECT_EQ(crowd.Connect(16), 16);
      Send(crowd, {.head = absl::StrCat(
                       "POST /stream/x HTTP/1.1\r\nHost: soak.example\r\n",
                       field, ": ", name, "\r\nX-Deadline-Ms: 4000\r\n\r\n"),
                   .repeats = 150});
    }
  }

  // Sends the script from a crowd and checks that the host stays sound.
  void ExpectSoundAfter(const ClientScript& script, int clients = kClients,
                        const std::string& listener = "callers") {
    {
      ClientCrowd crowd(address(listener));
      EXPECT_EQ(crowd.Connect(clients), clients);
      Send(crowd, script);
      EXPECT_GE(crowd.sent_bytes(), clients * script.head.size());
      std::cout << crowd.sent_bytes() / 1024 << " KB sent\n";
    }
    ExpectSound();
  }
};

// Guards against trailers behind a chunked body that fill the memory.
TEST_F(ClientCrowdTest, TrailersWithoutEnd) {
  ExpectSoundAfter({.head = ChunkedHead() + "0\r\n",
                    .filler = "X-Trailer: " + std::string(1011, 't') + "\r\n",
                    .filler_bytes = kMaxBodyBytes});
}

// Guards against a chunk's extension that fills the memory.
TEST_F(ClientCrowdTest, ChunkExtensionWithoutEnd) {
  ExpectSoundAfter({.head = ChunkedHead() + "1;",
                    .filler = std::string(1024, 'e'),
                    .filler_bytes = kMaxBodyBytes});
}

// Guards against a chunk's size whose zeros fill the memory.
TEST_F(ClientCrowdTest, ChunkSizeOfZerosWithoutEnd) {
  ExpectSoundAfter({.head = ChunkedHead(),
                    .filler = std::string(1024, '0'),
                    .filler_bytes = kMaxBodyBytes});
}

// Guards against bodies that are short of their ends and together exceed the
// memory.
TEST_F(ClientCrowdTest, BodiesThatDoNotEnd) {
  ExpectSoundAfter(
      {.head = Head("/again/x",
                    absl::StrCat("Content-Length: ", kMaxBodyBytes, "\r\n")),
       .filler = std::string(1024, 'b'),
       .filler_bytes = kMaxBodyBytes - 1});
}

// Guards against the same bodies without a length.
TEST_F(ClientCrowdTest, ChunkedBodiesThatDoNotEnd) {
  ExpectSoundAfter({.head = ChunkedHead(),
                    .filler = "400\r\n" + std::string(1024, 'b') + "\r\n",
                    .filler_bytes = kMaxBodyBytes - kMegabyte / 2});
}

// Guards against whole requests with long bodies that wait for their answers
// and together exceed the memory.
TEST_F(ClientCrowdTest, LongBodiesOfWaitingRequests) {
  ExpectSoundAfter(
      {.head =
           Head("/again/x", absl::StrCat("Content-Length: ", kMaxBodyBytes,
                                         "\r\n", kWorkHeader, ": 3000\r\n")),
       .filler = std::string(1024, 'b'),
       .filler_bytes = kMaxBodyBytes});
}

// Guards against heads of many short fields, which take far more memory than
// bytes on the wire.
TEST_F(ClientCrowdTest, HeadsOfManyShortFields) {
  ExpectSoundAfter(
      {.head = Head("/again/x",
                    absl::StrCat(ManyFields(), kWorkHeader, ": 3000\r\n"))},
      /*clients=*/100);
}

// Guards against whole answers that their callers never read.
TEST_F(ClientCrowdTest, AnswersThatAreNeverRead) {
  ExpectSoundAfter(
      {.head = Head("/again/x", absl::StrCat(kAnswerBytesHeader, ": ",
                                             4 * 1000 * 1000, "\r\n")),
       .reads_answers = false});
}

// Guards against streams that their callers never read.
TEST_F(ClientCrowdTest, StreamsThatAreNeverRead) {
  ExpectSoundAfter(
      {.head =
           Head("/stream/x", absl::StrCat("X-Model: m0\r\n", kEventBytesHeader,
                                          ": ", 200 * 1000, "\r\n")),
       .reads_answers = false},
      /*clients=*/600);
}

// Guards against requests that follow one another on a connection faster than
// they are answered.
TEST_F(ClientCrowdTest, RequestsSentAheadOfAnswers) {
  ExpectSoundAfter(
      {.head = Head("/again/x", absl::StrCat(kWorkHeader, ": 3000\r\n")),
       .filler = Head("/again/x", ManyFields()),
       .filler_bytes = kMaxBodyBytes,
       .reads_answers = false},
      /*clients=*/390);
}

// Guards against what is kept of each request after its end.
TEST_F(ClientCrowdTest, LongNamesOfManyRequests) {
  SendLongNames();
  ExpectSound();
}

// Guards against bounds that hold one by one and exceed the memory together.
TEST_F(ClientCrowdTest, CrowdsOneAfterAnother) {
  SendLongNames();
  ClientCrowd readers(address("callers"));
  EXPECT_EQ(readers.Connect(kClients), kClients);
  Send(readers,
       {.head = Head("/again/x", absl::StrCat(kAnswerBytesHeader, ": ",
                                              4 * 1000 * 1000, "\r\n")),
        .reads_answers = false});
  ClientCrowd senders(address("callers"));
  EXPECT_EQ(senders.Connect(kClients), kClients);
  Send(senders,
       {.head = Head("/again/x",
                     absl::StrCat("Content-Length: ", kMaxBodyBytes, "\r\n")),
        .filler = std::string(1024, 'b'),
        .filler_bytes = kMaxBodyBytes - 1});
  ExpectSound();
}

// Guards against more connections than the descriptors allow, at all listeners
// together.
TEST_F(ClientCrowdTest, ConnectionsBeyondTheDescriptors) {
  {
    std::vector<std::unique_ptr<ClientCrowd>> crowds;
    for (const char* listener :
         {"callers", "readiness", "operators", "peers", "forwards"}) {
      crowds.push_back(std::make_unique<ClientCrowd>(address(listener)));
      EXPECT_EQ(crowds.back()->Connect(500), 500);
      Send(*crowds.back(), {.head = "P"});
    }
  }
  ExpectSound();
}

// Guards against idle connections that keep all other callers out.
TEST_F(ClientCrowdTest, IdleConnectionsBesideACaller) {
  ClientCrowd crowd(address("callers"));
  EXPECT_EQ(crowd.Connect(800), 800);
  Send(crowd, {.head = Head("/again/x", "")});
  ExpectSound();
}

// Guards against unfinished heads that keep all other callers out.
TEST_F(ClientCrowdTest, UnfinishedHeadsBesideACaller) {
  ClientCrowd crowd(address("callers"));
  EXPECT_EQ(crowd.Connect(800), 800);
  Send(crowd, {.head = "POST /again/x HTTP/1.1\r\n"});
  ExpectSound();
}

// Guards against messages of peers that have not proved the shared key.
TEST_F(ClientCrowdTest, LongMessagesOfUnknownPeers) {
  // A text frame of 4,000,000 bytes, masked with zeros.
  const std::string frame("\x81\xff\x00\x00\x00\x00\x00\x3d\x09\x00\0\0\0\0",
                          14);
  ExpectSoundAfter({.head = absl::StrCat(
                        "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket"
                        "\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13"
                        "\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                        "\r\n",
                        frame),
                    .filler = std::string(1024, 'h'),
                    .filler_bytes = 3900 * 1000},
                   /*clients=*/100, "peers");
}

// Guards against long bodies at listeners that expect none.
TEST_F(ClientCrowdTest, LongBodiesAtOtherListeners) {
  for (const char* listener : {"readiness", "operators", "forwards"}) {
    ClientCrowd crowd(address(listener));
    crowd.Connect(kClients);
    Send(crowd,
         {.head = Head("/x",
                       absl::StrCat("Content-Length: ", kMaxBodyBytes, "\r\n")),
          .filler = std::string(1024, 'b'),
          .filler_bytes = kMaxBodyBytes - 1});
  }
  ExpectSound();
}

// Guards against a limit that a caller inside the limits meets in calm.
TEST_F(ClientCrowdTest, LargestRequestIsServedInCalm) {
  EXPECT_EQ(Request("/again/x", {}, std::string(kMaxBodyBytes, 'b')), 200);
  EXPECT_EQ(Request("/again/x", {{kAnswerBytesHeader, "4000000"}}), 200);
  EXPECT_EQ(Request("/once/x", {{"x-long", std::string(15 * 1024, 'h')}}), 200);
  ClientCrowd client(address("callers"));
  EXPECT_EQ(client.Connect(1), 1);
  const std::string chunk =
      "400;name=value\r\n" + std::string(1024, 'b') + "\r\n";
  Send(client, {.head = ChunkedHead(),
                .filler = chunk,
                .filler_bytes = kMaxBodyBytes / 1024 * chunk.size(),
                .tail = "0\r\nX-First: 1\r\nX-Second: 2\r\n\r\n"});
  std::cout << client.sent_bytes() << " sent, open " << client.open_clients()
            << "\n";
  EXPECT_EQ(client.answers(), std::vector<std::string>{"HTTP/1.1 200"});
  ExpectSound();
}

}  // namespace
}  // namespace applehall

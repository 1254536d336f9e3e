// Tests of links between hosts, on loopback.

#include "drivers/websocket_link.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/websocket.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "drivers/link_liveness.h"
#include "soak/fault_proxy.h"

namespace applehall {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Two links with the messages and events that each received.
class WebsocketLinkTest : public testing::Test {
 protected:
  struct End {
    std::unique_ptr<WebsocketLink> link;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> messages;
    std::vector<std::string> events;
  };

  void Start(End& end, const std::string& name, const std::string& key) {
    WebsocketLinkSettings settings;
    settings.listen_ip = "127.0.0.1";
    settings.self = name;
    settings.shared_key = key;
    end.link = std::make_unique<WebsocketLink>(
        settings,
        [&end](const std::string& host, const std::vector<uint8_t>& bytes) {
          const std::string text(bytes.begin(), bytes.end());
          const std::lock_guard<std::mutex> lock(end.mutex);
          end.messages.push_back(host + ":" + text);
          end.changed.notify_all();
          return text != "malformed";
        },
        [&end](const std::string& event, const std::string& host,
               const std::string&) {
          const std::lock_guard<std::mutex> lock(end.mutex);
          end.events.push_back(event + ":" + host);
          end.changed.notify_all();
        });
    end.link->Start();
  }

  static std::string AddressOf(const End& end) {
    return "127.0.0.1:" + std::to_string(end.link->port());
  }

  static void Send(End& from, const std::string& host, const End& to,
                   const std::string& text) {
    from.link->Send(host, AddressOf(to),
                    std::vector<uint8_t>(text.begin(), text.end()));
  }

  static bool Await(End& end, std::vector<std::string> End::*list,
                    const std::string& expected,
                    milliseconds timeout = std::chrono::seconds(20)) {
    std::unique_lock<std::mutex> lock(end.mutex);
    return end.changed.wait_for(lock, timeout, [&] {
      const auto& all = end.*list;
      return std::find(all.begin(), all.end(), expected) != all.end();
    });
  }
};

TEST_F(WebsocketLinkTest, MessagesGoBothWaysOverOneLink) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "the shared key");
  Send(a, "b", b, "to b");
  EXPECT_TRUE(Await(b, &End::messages, "a:to b"));
  Send(b, "a", a, "to a");
  EXPECT_TRUE(Await(a, &End::messages, "b:to a"));
  a.link->Stop();
  b.link->Stop();
}

// Guards against messages from a host with another shared key.
TEST_F(WebsocketLinkTest, LinkWithWrongKeyIsRejected) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "another key");
  Send(b, "a", a, "let me in");
  EXPECT_TRUE(Await(a, &End::events, "peer_rejected:b"));
  a.link->Stop();
  b.link->Stop();
  EXPECT_TRUE(a.messages.empty());
}

TEST_F(WebsocketLinkTest, MalformedMessageClosesTheLink) {
  End a;
  End b;
  Start(a, "a", "the shared key");
  Start(b, "b", "the shared key");
  Send(b, "a", a, "malformed");
  EXPECT_TRUE(Await(a, &End::events, "peer_rejected:b"));
  EXPECT_EQ(a.link->Counters().at("malformed"), 1u);
  a.link->Stop();
  b.link->Stop();
}

// Two hosts whose link to "b" runs through a proxy.
class SilentLinkTest : public WebsocketLinkTest {
 protected:
  void SetUp() override {
    Start(a_, "a", "the shared key");
    Start(b_, "b", "the shared key");
    proxy_ = std::make_unique<FaultProxy>(
        io_, Address{"127.0.0.1", b_.link->port()});
    thread_ = std::thread([this] { io_.run(); });
    a_.link->Send("b", proxy_->address().ToString(), {'1'});
    ASSERT_TRUE(Await(b_, &End::messages, "a:1"));
    Send(b_, "a", a_, "2");
    ASSERT_TRUE(Await(a_, &End::messages, "b:2"));
  }

  void TearDown() override {
    a_.link->Stop();
    b_.link->Stop();
    io_.stop();
    if (thread_.joinable()) thread_.join();
    proxy_.reset();
  }

  void Silence(bool is_one_way) {
    std::promise<void> done;
    asio::post(io_, [&] {
      proxy_->SilenceAll(is_one_way);
      done.set_value();
    });
    done.get_future().wait();
  }

  // Whether messages that both hosts repeat arrive at both.
  bool BothReceive(const std::string& text) {
    for (int i = 0; i < 200; ++i) {
      a_.link->Send("b", proxy_->address().ToString(),
                    std::vector<uint8_t>(text.begin(), text.end()));
      Send(b_, "a", a_, text);
      if (Await(a_, &End::messages, "b:" + text, milliseconds(50)) &&
          Await(b_, &End::messages, "a:" + text, milliseconds(50))) {
        return true;
      }
    }
    return false;
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::unique_ptr<FaultProxy> proxy_;
  End a_;
  End b_;
  std::thread thread_;
};

// Guards against a link that is used for ever though nothing arrives on it.
TEST_F(SilentLinkTest, LinkWhoseBytesAreDroppedIsReplaced) {
  Silence(/*is_one_way=*/false);
  EXPECT_TRUE(BothReceive("after the silence"));
  EXPECT_GE(a_.link->Counters().at("links_silent") +
                b_.link->Counters().at("links_silent"),
            1u);
}

// Guards against a host that goes on sending where it is no longer received.
TEST_F(SilentLinkTest, LinkThatIsSilentInOneDirectionIsReplaced) {
  Silence(/*is_one_way=*/true);
  EXPECT_TRUE(BothReceive("after the silence"));
}

// Guards against a link that is silent since its handshake and holds all later
// messages to its host.
TEST_F(SilentLinkTest, LinkWithoutAnAnswerToItsHandshakeIsReplaced) {
  asio::ip::tcp::acceptor acceptor(io_,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const std::string mute_address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::promise<void> opened;
  std::promise<void> ended;
  std::thread mute([&] {
    boost::beast::websocket::stream<asio::ip::tcp::socket> stream(
        acceptor.accept());
    stream.accept();
    opened.set_value();
    ended.get_future().wait();
  });
  End c;
  Start(c, "c", "the shared key");
  c.link->Send("b", mute_address, {'1'});
  opened.get_future().wait();
  bool is_received = false;
  for (int i = 0; i < 200 && !is_received; ++i) {
    Send(c, "b", b_, "later");
    is_received = Await(b_, &End::messages, "c:later", milliseconds(50));
  }
  EXPECT_TRUE(is_received);
  ended.set_value();
  mute.join();
  c.link->Stop();
}

class LinkLivenessTest : public testing::Test {
 protected:
  using Verdict = LinkLiveness::Verdict;

  // Checks every kCheckInterval for `duration`; returns all but kAlive.
  std::vector<Verdict> CheckFor(milliseconds duration) {
    std::vector<Verdict> verdicts;
    const auto until = now_ + duration;
    while (now_ < until) {
      now_ += LinkLiveness::kCheckInterval;
      const Verdict verdict = liveness_.Check(now_);
      if (verdict != Verdict::kAlive) verdicts.push_back(verdict);
      if (verdict == Verdict::kSilent) break;
    }
    return verdicts;
  }

  LinkLiveness::Clock::time_point now_{std::chrono::hours(1)};
  LinkLiveness liveness_{now_};
};

TEST_F(LinkLivenessTest, UnansweredMessageAndPingShowASilentLink) {
  const auto started = now_;
  liveness_.RecordSent();
  EXPECT_THAT(CheckFor(milliseconds(5000)),
              testing::ElementsAre(Verdict::kPing, Verdict::kSilent));
  EXPECT_LE(now_ - started,
            LinkLiveness::kMaxSilence + LinkLiveness::kCheckInterval);
}

TEST_F(LinkLivenessTest, AnsweredPingKeepsTheLink) {
  for (int i = 0; i < 20; ++i) {
    liveness_.RecordSent();
    EXPECT_THAT(CheckFor(milliseconds(600)),
                testing::ElementsAre(Verdict::kPing));
    liveness_.RecordReceived(now_);
  }
}

// Guards against pings on each of a large fleet's links in regular use.
TEST_F(LinkLivenessTest, LinkWithHeartbeatsIsNotPinged) {
  for (int i = 0; i < 20; ++i) {
    liveness_.RecordSent();
    EXPECT_THAT(CheckFor(milliseconds(400)), testing::IsEmpty());
    liveness_.RecordReceived(now_);
  }
}

// Guards against links of former peers that stay open for ever.
TEST_F(LinkLivenessTest, IdleLinkIsPingedSeldom) {
  EXPECT_THAT(CheckFor(milliseconds(29600)), testing::IsEmpty());
  EXPECT_THAT(CheckFor(milliseconds(5000)),
              testing::ElementsAre(Verdict::kPing, Verdict::kSilent));
}

// Guards against links that are closed since this process was paused.
TEST_F(LinkLivenessTest, PauseOfThisProcessIsNoSilence) {
  liveness_.RecordSent();
  EXPECT_THAT(CheckFor(milliseconds(600)),
              testing::ElementsAre(Verdict::kPing));
  now_ += std::chrono::seconds(4);
  EXPECT_EQ(liveness_.Check(now_), Verdict::kAlive);
  liveness_.RecordReceived(now_);
  EXPECT_THAT(CheckFor(milliseconds(2000)), testing::IsEmpty());
}

}  // namespace
}  // namespace applehall

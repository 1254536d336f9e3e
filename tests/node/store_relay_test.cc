#include "node/store_relay.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kTopic[] = "servers";
constexpr FreshnessBudget kBudget = FreshnessBudget::Within(seconds(2));
constexpr Duration kTrust = kBudget.max_staleness;

// Two hosts of a data centre, the link between them and a store with one topic
// to which a record comes every 100 ms.
class StoreRelayTest : public testing::Test {
 protected:
  struct Host {
    explicit Host(const std::string& name) : context(Settings(name)) {}
    static NodeSettings Settings(const std::string& name) {
      NodeSettings settings;
      settings.self = {name, 1};
      settings.peer_address = name;
      settings.news = kBudget;
      return settings;
    }
    NodeContext context;
    StoreRelay relay{context};
    LogOffset next = 0;  // What it knows of the topic.
    int calls = 0;       // To the store.
    bool is_down = false;
    bool has_store = true;
  };
  struct Message {
    TimePoint arrives;
    std::string from;
    SendPeer sent;
  };

  StoreRelayTest() {
    for (const char* name : {"reader", "follower"}) {
      hosts_[name] = std::make_unique<Host>(name);
      hosts_[name]->context.log_answered_at = now_;
    }
  }

  Host& reader() { return *hosts_["reader"]; }
  Host& follower() { return *hosts_["follower"]; }

  // Every host's own read, if it reads: all that is new comes at once.
  void ReadStore(Host& host) {
    if (!host.relay.is_reading_store()) return;
    ++host.calls;
    if (!host.has_store) {
      host.context.log_failed = true;
      return;
    }
    host.context.RecordLogResponse(now_);
    const LogOffset from = std::exchange(host.next, end_);
    host.relay.TakeNews({.topic = kTopic,
                         .from = from,
                         .next = end_,
                         .records = from == end_ ? "" : "records",
                         .as_of = now_});
  }

  void Perform(const std::string& name, Host& host,
               const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* sent = std::get_if<SendPeer>(&action)) {
        if (!is_link_cut_) link_.push_back({now_ + delay_, name, *sent});
      } else if (const auto* news = std::get_if<ApplyStoreUpdates>(&action)) {
        ASSERT_LE(news->from, host.next) << "a gap";
        host.next = std::max(host.next, news->next);
        relayed_records_ += news->records.size();
      }
    }
  }

  void Step() {
    now_ += milliseconds(25);
    if (++steps_ % 4 == 0) ++end_;
    for (auto& [name, host] : hosts_) {
      if (host->is_down) continue;
      std::vector<Action> actions;
      host->context.now = now_;
      host->context.actions = &actions;
      if (steps_ % 8 == 0) ReadStore(*host);
      host->relay.RunTick();
      Perform(name, *host, actions);
    }
    while (!link_.empty() && link_.front().arrives <= now_) {
      Deliver(link_.front());
      link_.pop_front();
    }
  }

  void Deliver(const Message& message) {
    Host& host = *hosts_.at(message.sent.host);
    if (host.is_down) return;
    std::vector<Action> actions;
    host.context.now = now_;
    host.context.actions = &actions;
    const PeerMessage& body = message.sent.message;
    if (body.type == PeerMessageType::kStoreFollow) {
      host.relay.TakeFollow(message.from, body.body);
    } else {
      link_seen_ = body.body;
      if (body.body.contains("to")) ++told_[body.body["to"].get<LogOffset>()];
      host.relay.TakeRelayed(message.from, body.body);
    }
    Perform(message.sent.host, host, actions);
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) Step();
  }

  void Follow() {
    for (auto& [name, host] : hosts_) {
      host->relay.SetReader({"reader", "reader"});
    }
    Run(seconds(2));
    ASSERT_FALSE(follower().relay.is_reading_store());
  }

  TimePoint now_{std::chrono::hours(500000)};
  LogOffset end_ = 1;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::deque<Message> link_;
  Duration delay_{0};
  bool is_link_cut_ = false;
  Json link_seen_;  // The last news that arrived somewhere.
  size_t relayed_records_ = 0;
  std::map<LogOffset, int> told_;  // How often news up to there arrived.
  int steps_ = 0;
};

TEST_F(StoreRelayTest, FollowerTakesTheNewsWithoutCalls) {
  Follow();
  const int calls = follower().calls;
  Run(seconds(10));
  EXPECT_EQ(follower().calls, calls);
  EXPECT_GT(reader().calls, 40);
  EXPECT_GE(follower().next + 2, end_) << "as recent as the reader's reads";
  EXPECT_GT(relayed_records_, 0u);
}

// The host that reads for its data centre loses power just as the operator
// changes the rules. The others hear nothing of it and would serve by the old
// rules until somebody noticed.
TEST_F(StoreRelayTest, FollowerOfADeadReaderReadsForItselfInTime) {
  Follow();
  reader().is_down = true;
  Run(kTrust + milliseconds(50));
  EXPECT_TRUE(follower().relay.is_reading_store());
  Run(milliseconds(200));
  EXPECT_GE(follower().next + 2, end_);
}

// A reader is cut off from the store, but not from the hosts that follow it.
// Its messages go on and say nothing of what happened meanwhile.
TEST_F(StoreRelayTest, ReaderWithoutStoreVouchesForNothing) {
  Follow();
  reader().has_store = false;
  Run(kTrust + milliseconds(400));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
  reader().has_store = true;
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
}

// Messages are held up on a link for seconds and come all at once when it
// heals. By the time on their arrival they look recent, though each tells of a
// time long past.
TEST_F(StoreRelayTest, MessagesThatWereHeldUpProveNothing) {
  Follow();
  delay_ = seconds(3);
  Run(seconds(2));
  ASSERT_TRUE(follower().relay.is_reading_store());
  Run(seconds(4));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
}

// The link drops messages, as it does when too much is queued. Records are
// missing in between; what comes after them must not be taken alone.
TEST_F(StoreRelayTest, FollowerReadsWhatItMissed) {
  Follow();
  is_link_cut_ = true;
  Run(milliseconds(500));
  is_link_cut_ = false;
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
}

// Guards against news that are sent again while they are under way, and so add
// to what they wait behind on a slow link.
TEST_F(StoreRelayTest, NewsUnderWayAreNotSentAgain) {
  Follow();
  Run(seconds(1));
  told_.clear();
  delay_ = milliseconds(400);
  Run(seconds(4));
  ASSERT_GT(told_.size(), 10u);
  for (const auto& [to, count] : told_) EXPECT_EQ(count, 1) << to;
}

// A process that stood still believes what was proven before it stopped.
TEST_F(StoreRelayTest, WokenFollowerReadsForItself) {
  Follow();
  follower().is_down = true;
  Run(seconds(3));
  follower().is_down = false;
  link_.clear();
  Step();
  EXPECT_TRUE(follower().relay.is_reading_store());
}

TEST_F(StoreRelayTest, ReaderThatIsReplacedReadsOn) {
  Follow();
  reader().relay.SetReader({"follower", "follower"});
  follower().relay.SetReader({"follower", "follower"});
  Run(seconds(3));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_FALSE(reader().relay.is_reading_store());
  EXPECT_GE(reader().next + 2, end_);
}

// The store turns a host away, and the reader it follows loses power. Nobody
// names another, as the placement owner is gone too. The host went on without
// the news that came in those seconds, and refused callers of a new route.
TEST_F(StoreRelayTest, RefusedHostTurnsToTheBackup) {
  hosts_["backup"] = std::make_unique<Host>("backup");
  hosts_["backup"]->context.log_answered_at = now_;
  for (auto& [name, host] : hosts_) host->relay.SetBackup({"backup", "backup"});
  Follow();
  ASSERT_FALSE(hosts_["backup"]->relay.is_reading_store());
  follower().has_store = false;
  reader().is_down = true;
  // The trust in the reader and the backup's, its read and a beat of 0.5 s.
  Run(2 * kTrust + milliseconds(700));
  EXPECT_GE(follower().next + 4, end_);
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 4, end_);
}

// A message with news is lost on its way to a host that the store turns away.
// What came after it could not be taken, and nobody told the lost part again.
TEST_F(StoreRelayTest, RefusedHostIsToldAgainWhatItMissed) {
  Follow();
  follower().has_store = false;
  is_link_cut_ = true;
  Run(milliseconds(500));
  is_link_cut_ = false;
  Run(seconds(2));
  EXPECT_GE(follower().next + 4, end_);
}

// Who holds the lease is passed on with the news: a host that the store turns
// away could not read it, and its callers' models were loaded for nobody.
TEST_F(StoreRelayTest, HolderOfTheLeaseIsPassedOn) {
  reader().relay.SetOwner({{"owner", "10.0.0.1:7000"}, 7});
  Follow();
  ASSERT_FALSE(link_seen_.empty());
  const KnownOwner owner = StoreRelay::OwnerIn(link_seen_);
  EXPECT_EQ(owner.peer.host, "owner");
  EXPECT_EQ(owner.peer.address, "10.0.0.1:7000");
  EXPECT_EQ(owner.token, 7u);
  EXPECT_TRUE(
      StoreRelay::OwnerIn(*ParseJson(R"({"o": ["x", 1]})")).peer.host.empty());
}

TEST_F(StoreRelayTest, MalformedNewsAreIgnored) {
  Follow();
  const LogOffset next = follower().next;
  for (
      const char* text :
      {"{}", R"({"next": 3})", R"({"next": {"servers": "x"}, "t": "y"})",
       R"({"next": {}, "topic": "servers", "from": 0, "to": 99, "records": 1})"}) {
    std::vector<Action> actions;
    follower().context.actions = &actions;
    follower().relay.TakeRelayed("reader", *ParseJson(text));
    EXPECT_TRUE(actions.empty()) << text;
  }
  EXPECT_EQ(follower().next, next);
}

}  // namespace
}  // namespace applehall

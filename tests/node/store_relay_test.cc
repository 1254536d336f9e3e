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
constexpr Duration kMaxStaleness = kBudget.max_staleness;

// Two hosts of a data centre, the link between them and a store with one topic
// that gets a record every 100 ms.
class StoreRelayTest : public testing::Test {
 protected:
  struct Host {
    explicit Host(const std::string& name) : context(Settings(name)) {}
    static NodeSettings Settings(const std::string& name) {
      NodeSettings settings;
      settings.self = {name, 1};
      settings.peer_address = name;
      settings.freshness = kBudget;
      return settings;
    }
    NodeContext context;
    StoreRelay relay{context};
    LogOffset next = 0;  // It has all records of the topic before this.
    int calls = 0;       // Calls to the store.
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

  // Reads all new records at once if `host` reads the store itself.
  void ReadStore(Host& host) {
    if (!host.relay.is_reading_store()) return;
    ++host.calls;
    if (!host.has_store) {
      host.context.log_failed = true;
      return;
    }
    host.context.RecordLogResponse(now_);
    const LogOffset from = std::exchange(host.next, end_);
    host.relay.HandleStoreUpdates({.topic = kTopic,
                                   .from = from,
                                   .next = end_,
                                   .records = from == end_ ? "" : "records",
                                   .as_of = now_});
  }

  void Perform(const std::string& name, Host& host,
               const std::vector<Action>& actions) {
    std::vector<Action> further;
    host.context.actions = &further;
    for (const Action& action : actions) {
      if (const auto* sent = std::get_if<SendPeer>(&action)) {
        if (!is_link_cut_) link_.push_back({now_ + delay_, name, *sent});
      } else if (const auto* updates =
                     std::get_if<ApplyStoreUpdates>(&action)) {
        ASSERT_LE(updates->from, host.next) << "a gap";
        host.next = std::max(host.next, updates->next);
        relayed_records_ += updates->records.size();
        host.relay.HandleStoreUpdates(
            {.topic = kTopic, .from = updates->from, .next = host.next});
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
      host.relay.HandleFollow(message.from, body.body);
    } else {
      last_relayed_ = body.body;
      if (body.body.contains("to")) ++copies_[body.body["to"].get<LogOffset>()];
      host.relay.HandleRelayedUpdates(message.from, body.body);
    }
    Perform(message.sent.host, host, actions);
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) Step();
  }

  void StartFollowing() {
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
  Json last_relayed_;  // The last kStoreUpdates message that was delivered.
  size_t relayed_records_ = 0;
  // Copies delivered of the records up to each offset.
  std::map<LogOffset, int> copies_;
  int steps_ = 0;
};

TEST_F(StoreRelayTest, FollowerAppliesUpdatesWithoutCallsToTheStore) {
  StartFollowing();
  const int calls = follower().calls;
  Run(seconds(10));
  EXPECT_EQ(follower().calls, calls);
  EXPECT_GT(reader().calls, 40);
  EXPECT_GE(follower().next + 2, end_) << "the follower lags behind the reader";
  EXPECT_GT(relayed_records_, 0u);
}

// Guards against followers that keep serving by old rules after their reader
// has crashed.
TEST_F(StoreRelayTest, FollowerReadsTheStoreInTimeAfterItsReaderCrashes) {
  StartFollowing();
  reader().is_down = true;
  Run(kMaxStaleness + milliseconds(50));
  EXPECT_TRUE(follower().relay.is_reading_store());
  Run(milliseconds(200));
  EXPECT_GE(follower().next + 2, end_);
}

// Guards against a follower that relies on a reader which is partitioned from
// the store but still sends heartbeats to its followers.
TEST_F(StoreRelayTest, FollowerReadsTheStoreWhileItsReaderCannot) {
  StartFollowing();
  reader().has_store = false;
  Run(kMaxStaleness + milliseconds(400));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
  reader().has_store = true;
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
}

// Guards against messages that were delayed on a link for seconds: by their
// time of arrival they look recent, although their contents are stale.
TEST_F(StoreRelayTest, DelayedMessagesDoNotRenewFreshness) {
  StartFollowing();
  delay_ = seconds(3);
  Run(seconds(2));
  ASSERT_TRUE(follower().relay.is_reading_store());
  Run(seconds(4));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
}

// Guards against records that are applied after a gap. The gap comes about when
// the link drops messages, as it does when its queue is full.
TEST_F(StoreRelayTest, FollowerRecoversRecordsOfLostMessages) {
  StartFollowing();
  is_link_cut_ = true;
  Run(milliseconds(500));
  is_link_cut_ = false;
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 2, end_);
}

// Guards against records that are sent again while they are in transit, which
// lengthens the queue on a slow link.
TEST_F(StoreRelayTest, RecordsInTransitAreNotSentAgain) {
  StartFollowing();
  Run(seconds(1));
  copies_.clear();
  delay_ = milliseconds(400);
  Run(seconds(4));
  ASSERT_GT(copies_.size(), 10u);
  for (const auto& [to, count] : copies_) EXPECT_EQ(count, 1) << to;
}

// Guards against a process that was suspended and resumes with freshness
// recorded before that.
TEST_F(StoreRelayTest, SuspendedFollowerReadsTheStoreOnResume) {
  StartFollowing();
  follower().is_down = true;
  Run(seconds(3));
  follower().is_down = false;
  link_.clear();
  Step();
  EXPECT_TRUE(follower().relay.is_reading_store());
}

TEST_F(StoreRelayTest, ReplacedReaderFollowsTheNewOne) {
  StartFollowing();
  reader().relay.SetReader({"follower", "follower"});
  follower().relay.SetReader({"follower", "follower"});
  Run(seconds(3));
  EXPECT_TRUE(follower().relay.is_reading_store());
  EXPECT_FALSE(reader().relay.is_reading_store());
  EXPECT_GE(reader().next + 2, end_);
}

// Guards against a host that refuses callers of a new route because it got no
// updates: the store rejects its calls, its reader has crashed, and so has the
// placement owner that would assign another.
TEST_F(StoreRelayTest, RefusedHostFollowsTheBackupAfterItsReaderCrashes) {
  hosts_["backup"] = std::make_unique<Host>("backup");
  hosts_["backup"]->context.log_answered_at = now_;
  for (auto& [name, host] : hosts_) host->relay.SetBackup({"backup", "backup"});
  StartFollowing();
  ASSERT_FALSE(hosts_["backup"]->relay.is_reading_store());
  follower().has_store = false;
  reader().is_down = true;
  // The maximum staleness of the reader and of the backup, plus the backup's
  // read and a heartbeat interval of 0.5 s.
  Run(2 * kMaxStaleness + milliseconds(700));
  EXPECT_GE(follower().next + 4, end_);
  Run(seconds(2));
  EXPECT_FALSE(follower().relay.is_reading_store());
  EXPECT_GE(follower().next + 4, end_);
}

// Guards against a gap that is never closed: a message with records is lost on
// its way to a host whose calls the store rejects, and later records cannot be
// applied without them.
TEST_F(StoreRelayTest, RefusedHostIsSentLostRecordsAgain) {
  StartFollowing();
  follower().has_store = false;
  is_link_cut_ = true;
  Run(milliseconds(500));
  is_link_cut_ = false;
  Run(seconds(2));
  EXPECT_GE(follower().next + 4, end_);
}

// Guards against a host whose calls the store rejects and that cannot read the
// lease: it has no owner to report its demand to, so its models are not loaded.
TEST_F(StoreRelayTest, LeaseHolderIsRelayedWithUpdates) {
  reader().relay.SetOwner({{"owner", "10.0.0.1:7000"}, 7});
  StartFollowing();
  ASSERT_FALSE(last_relayed_.empty());
  const KnownOwner owner = StoreRelay::ParseOwner(last_relayed_);
  EXPECT_EQ(owner.peer.host, "owner");
  EXPECT_EQ(owner.peer.address, "10.0.0.1:7000");
  EXPECT_EQ(owner.token, 7u);
  EXPECT_TRUE(StoreRelay::ParseOwner(*ParseJson(R"({"o": ["x", 1]})"))
                  .peer.host.empty());
}

TEST_F(StoreRelayTest, MalformedUpdatesAreIgnored) {
  StartFollowing();
  const LogOffset next = follower().next;
  for (
      const char* text :
      {"{}", R"({"next": 3})", R"({"next": {"servers": "x"}, "t": "y"})",
       R"({"next": {}, "topic": "servers", "from": 0, "to": 99, "records": 1})"}) {
    std::vector<Action> actions;
    follower().context.actions = &actions;
    follower().relay.HandleRelayedUpdates("reader", *ParseJson(text));
    EXPECT_TRUE(actions.empty()) << text;
  }
  EXPECT_EQ(follower().next, next);
}

}  // namespace
}  // namespace applehall

// Streams go on at the software version that began them, or not at all.

#include "tests/node/stream_fixture.h"

namespace applehall {
namespace {

class StreamVersionTest : public StreamFixture {
 protected:
  // Three servers of each of two versions, all with the model.
  // Streams begin at two versions; the servers of one leave and all hosts are
  // killed and start again.
  void LoseAllHostsAsAVersionLeaves() {
    StartBothVersions();
    AddHosts({"a", "b"});
    RunStreams(seconds(5));
    BeginStreams({"a"}, 20, seconds(1));
    std::vector<std::string> leaving;
    for (const auto& [id, server] : servers_) {
      if (server.version == "v1") leaving.push_back(id);
    }
    for (const std::string& id : leaving) StopServer(id);
    for (const char* host : {"a", "b"}) Kill(host);
    for (const char* host : {"a", "b"}) Restart(host);
    RunStreams(seconds(6));
  }

  void StartBothVersions() {
    for (int i = 1; i <= 3; ++i) {
      StartServer(absl::StrCat("old-", i), "v1");
      StartServer(absl::StrCat("new-", i), "v1.1");
    }
  }
  // Begins streams at each host, in turn, over `duration`.
  void BeginStreams(const std::vector<std::string>& names, int count,
                    Duration duration) {
    for (int i = 0; i < count; ++i) {
      Begin(names[i % names.size()]);
      RunStreams(duration / count);
    }
  }
  // Streams begin at a new version while `host` is out of step; they break and
  // are resumed there, by callers that do not name them.
  void ServeNewVersionBehind(const std::string& host,
                             const std::function<void(bool)>& set_behind) {
    for (int i = 1; i <= 3; ++i) StartServer(absl::StrCat("old-", i), "v1");
    AddHosts({"a", "b", host});
    RunStreams(seconds(70));
    has_unnamed_resumptions_ = true;
    for (int round = 0; round < 4; ++round) {
      set_behind(true);
      RunStreams(milliseconds(800));
      for (int i = 1; i <= 9; ++i) {
        StartServer(absl::StrCat("new-", round, "-", i),
                    absl::StrCat("v2.", round));
      }
      RunStreams(milliseconds(1500));
      choose_host_ = [host](size_t) { return host; };
      BeginStreams({"a", "b"}, 20, milliseconds(800));
      const bool was_down = hosts_.at(host).is_down;
      if (was_down) set_behind(false);
      CrashAllRuns();
      for (const char* name : {"a", "b"}) Kill(name);
      // Requests may come before the first read of the listing.
      for (size_t i = 0; i < streams_.size(); ++i) {
        if (streams_[i].next_try_at != TimePoint::max()) SendTry(i, host);
      }
      RunStreams(seconds(2));
      if (!was_down) set_behind(false);
      for (const char* name : {"a", "b"}) Restart(name);
      RunStreams(seconds(5));
    }
    EXPECT_GT(Resumptions().asked, 40);
    EXPECT_EQ(CountMixed(), 0) << Describe();
  }
  void CrashAllRuns() {
    for (const auto& [id, server] : servers_) CrashRuns(id);
  }
};

// Guards against a host that resumes a broken stream at another version.
TEST_F(StreamVersionTest, HostResumesAtTheVersionThatBegan) {
  StartBothVersions();
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  BeginStreams({"a", "b"}, 40, seconds(1));
  CrashAllRuns();
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GE(Resumptions().Value(), 0.95) << Describe();
  for (const Stream& stream : streams_) EXPECT_TRUE(stream.is_complete);
}

// Guards against a resumed stream that is taken for a new one at its own host.
TEST_F(StreamVersionTest, CallerResumesAtTheSameHost) {
  StartBothVersions();
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  BeginStreams({"a", "b"}, 40, seconds(1));
  for (int i = 0; i < 2; ++i) {  // The host may retry once.
    CrashAllRuns();
    RunStreams(milliseconds(300));
  }
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a resumed stream that another host takes for a new one, after
// the host that began it was killed.
TEST_F(StreamVersionTest, CallerResumesAtAnotherHostAfterTheFirstWasKilled) {
  StartBothVersions();
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(5));
  choose_host_ = [](size_t i) { return std::string(1, "bcd"[i % 3]); };
  BeginStreams({"a"}, 40, seconds(1));
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a host that has just started and takes a resumed stream for a
// new one.
TEST_F(StreamVersionTest, CallerResumesAtAHostThatHasJustRestarted) {
  StartBothVersions();
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(5));
  BeginStreams({"a"}, 40, seconds(1));
  Kill("a");
  Restart("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a guess where nothing is known of a stream.
TEST_F(StreamVersionTest, UnknownStreamIsRefusedAtOnce) {
  StartBothVersions();
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  const size_t stream = Begin("a");
  RunStreams(milliseconds(500));
  streams_[stream].begun_by = "never-seen";
  choose_host_ = [](size_t) { return "b"; };
  Kill("a");
  RunStreams(seconds(2));
  const Try& resumed = streams_[stream].tries.at(1);
  EXPECT_FALSE(resumed.has_event);
  ASSERT_TRUE(resumed.refusal);
  EXPECT_EQ(resumed.refusal->verdict, Verdict::kNotRun);
  EXPECT_LE(resumed.refused_after, milliseconds(500));
}

// Guards against origins that are lost with a data centre's own hosts.
TEST_F(StreamVersionTest, CallerResumesInAnotherDataCentre) {
  StartBothVersions();
  AddHosts({"a", "b"});
  AddHosts({"c", "d"}, "east");
  AddHosts({"e"}, "west");
  RunStreams(seconds(5));
  choose_host_ = [](size_t i) { return std::string(1, "cde"[i % 3]); };
  BeginStreams({"a", "b"}, 40, seconds(1));
  Kill("a");
  Kill("b");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a data centre that cannot resume its own streams while it is
// cut off from the others and the store.
TEST_F(StreamVersionTest, CallerResumesWithinADataCentreThatIsCutOff) {
  StartBothVersions();
  AddHosts({"a", "b", "c"});
  AddHosts({"d", "e"}, "east");
  RunStreams(seconds(5));
  is_cut_ = [this](const std::string& from, const std::string& to) {
    return centres_.at(from) != centres_.at(to);
  };
  for (const char* name : {"a", "b", "c"}) {
    hosts_.at(name).is_cut_from_store = true;
  }
  RunStreams(seconds(3));
  choose_host_ = [](size_t i) { return std::string(1, "bc"[i % 2]); };
  BeginStreams({"a"}, 40, seconds(1));
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a host with an old listing that takes the only version it
// knows for that of the stream.
TEST_F(StreamVersionTest, HostWithAnOldListingDoesNotGuess) {
  for (int i = 1; i <= 3; ++i) StartServer(absl::StrCat("old-", i), "v1");
  AddHosts({"a", "b", "c"});
  RunStreams(seconds(70));
  hosts_.at("c").is_cut_from_store = true;
  hosts_.at("c").is_cut_from_hosts = true;
  RunStreams(seconds(1));
  for (int i = 1; i <= 9; ++i) StartServer(absl::StrCat("new-", i), "v2");
  RunStreams(seconds(2));
  choose_host_ = [](size_t) { return "c"; };
  BeginStreams({"a"}, 40, seconds(1));
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
}

// Guards against streams at a version that other hosts have not read yet.
TEST_F(StreamVersionTest, NewVersionMixesNoStreamsWhileItIsNews) {
  for (int i = 1; i <= 3; ++i) StartServer(absl::StrCat("old-", i), "v1");
  AddHosts({"a", "b", "c"});
  RunStreams(seconds(70));
  choose_host_ = [](size_t i) { return std::string(1, "bc"[i % 2]); };
  for (int round = 0; round < 20; ++round) {
    if (round == 4) {
      for (int i = 1; i <= 9; ++i) StartServer(absl::StrCat("new-", i), "v2");
    }
    BeginStreams({"a"}, 5, milliseconds(100));
    RunStreams(milliseconds(100));
    // The host may resume once by itself; then its callers have to.
    CrashAllRuns();
    RunStreams(milliseconds(50));
    CrashAllRuns();
  }
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
}

// Guards against costs for services with one version.
TEST_F(StreamVersionTest, OneVersionCostsNothing) {
  for (int i = 1; i <= 6; ++i) StartServer(absl::StrCat("s-", i), "v1");
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(70));
  messages_.clear();
  choose_host_ = [](size_t i) { return std::string(1, "bcd"[i % 3]); };
  BeginStreams({"a", "b"}, 40, seconds(1));
  Kill("a");
  Restart("a");
  RunStreams(seconds(6));
  EXPECT_TRUE(messages_.empty());
  EXPECT_GT(Resumptions().asked, 15);
  EXPECT_EQ(Resumptions().Value(), 1.0) << Describe();
  for (const Stream& stream : streams_) EXPECT_TRUE(stream.is_complete);
}

// Guards against an outage of the store that stops all resumption.
TEST_F(StreamVersionTest, StreamsOfOneVersionGoOnWhileTheStoreIsDown) {
  for (int i = 1; i <= 6; ++i) StartServer(absl::StrCat("s-", i), "v1");
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(70));
  for (auto& [name, host] : hosts_) host.is_cut_from_store = true;
  RunStreams(seconds(3));
  choose_host_ = [](size_t i) { return std::string(1, "bcd"[i % 3]); };
  BeginStreams({"a"}, 40, seconds(1));
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against streams that nobody was told of, as they began before there
// was a second version.
TEST_F(StreamVersionTest, StreamsThatAreOpenAtARollOutGoOn) {
  for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("old-", i), "v1");
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(70));
  BeginStreams({"a"}, 40, seconds(1));
  for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("new-", i), "v2");
  RunStreams(milliseconds(400));
  choose_host_ = [](size_t i) { return std::string(1, "bcd"[i % 3]); };
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 30);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against a stream that waits, or goes on at another version, after the
// last server of its own has left.
TEST_F(StreamVersionTest, StreamOfAVersionThatIsGoneIsRefusedAtOnce) {
  StartServer("old-1", "v1");
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  const size_t stream = Begin("a");
  RunStreams(milliseconds(500));
  StartServer("new-1", "v2");
  RunStreams(milliseconds(500));
  StopServer("old-1");
  RunStreams(seconds(1));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  const Try& resumed = streams_[stream].tries.at(1);
  ASSERT_TRUE(resumed.refusal);
  EXPECT_EQ(resumed.refusal->reason, RefusalReason::kVersionGone);
  EXPECT_LE(resumed.refused_after, milliseconds(500));
}

// Guards against a stream that waits for servers that all leave.
TEST_F(StreamVersionTest, StreamOfAVersionThatLeavesIsRefusedAtOnce) {
  StartServer("old-1", "v1");
  StartServer("new-1", "v2");
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  std::vector<size_t> begun;
  for (int i = 0; i < 8; ++i) begun.push_back(Begin("a"));
  RunStreams(milliseconds(500));
  Drain("old-1");
  RunStreams(milliseconds(500));
  CrashRuns("old-1");
  RunStreams(seconds(1));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  int refused = 0;
  for (const Stream& stream : streams_) {
    if (stream.versions.at(0) != "v1") continue;
    ASSERT_GE(stream.tries.size(), 2u);
    ASSERT_TRUE(stream.tries[1].refusal) << Describe();
    EXPECT_LE(stream.tries[1].refused_after, milliseconds(500));
    ++refused;
  }
  EXPECT_GT(refused, 0);
}

// Guards against callers of an older protocol who are refused wherever a host
// has just started, though one version is all there is.
TEST_F(StreamVersionTest, UnnamedStreamGoesOnWhereOneVersionIsKnown) {
  for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("s-", i), "v1");
  is_first_start_ = true;
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  has_unnamed_resumptions_ = true;
  BeginStreams({"a"}, 20, seconds(1));
  Kill("a");
  Kill("b");
  Restart("a");
  Restart("b");
  RunStreams(seconds(6));
  EXPECT_GT(Resumptions().asked, 10);
  EXPECT_EQ(Resumptions().Value(), 1.0) << Describe();
}

// Guards against streams joined of two versions by hosts that have all just
// started, after the servers of the first version left.
TEST_F(StreamVersionTest, UnnamedStreamIsNotJoinedAfterAllHostsWereLost) {
  has_unnamed_resumptions_ = true;
  LoseAllHostsAsAVersionLeaves();
  EXPECT_GT(Resumptions().asked, 10);
  EXPECT_EQ(CountMixed(), 0) << Describe();
}

// The same for callers that name their streams.
TEST_F(StreamVersionTest, NamedStreamIsNotJoinedAfterAllHostsWereLost) {
  LoseAllHostsAsAVersionLeaves();
  EXPECT_GT(Resumptions().asked, 10);
  EXPECT_EQ(CountMixed(), 0) << Describe();
}

// Guards against a guess for a stream that its caller does not name.
TEST_F(StreamVersionTest, UnnamedStreamIsRefusedWhereTwoVersionsAreKnown) {
  StartBothVersions();
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  has_unnamed_resumptions_ = true;
  BeginStreams({"a"}, 20, seconds(1));
  Kill("a");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GT(Resumptions().asked, 10);
  EXPECT_EQ(Resumptions().served, 0) << Describe();
}

// Guards against a host that is out of step and takes the only version it knows
// for that of a stream which its caller does not name: one that is cut off...
TEST_F(StreamVersionTest, UnnamedStreamIsNotJoinedAtAHostThatIsCutOff) {
  ServeNewVersionBehind("c", [this](bool is_behind) {
    hosts_.at("c").is_cut_from_store = is_behind;
    hosts_.at("c").is_cut_from_hosts = is_behind;
  });
}

// ... and one that stands still and resumes with its old listing.
TEST_F(StreamVersionTest, UnnamedStreamIsNotJoinedAtAHostThatStoodStill) {
  ServeNewVersionBehind(
      "c", [this](bool is_behind) { hosts_.at("c").is_down = is_behind; });
}

// Guards against a new version that takes no streams, and one that is left.
TEST_F(StreamVersionTest, RollOutAndRollBackServeNewStreams) {
  for (int i = 1; i <= 4; ++i) StartServer(absl::StrCat("v1-", i), "v1");
  AddHosts({"a", "b", "c"});
  RunStreams(seconds(70));
  const auto replace = [this](const std::string& from, const std::string& to) {
    for (int i = 1; i <= 4; ++i) {
      StartServer(absl::StrCat(to, "-", i), to);
      BeginStreams({"a", "b"}, 10, milliseconds(500));
      StopServer(absl::StrCat(from, "-", i));
      BeginStreams({"a", "b"}, 10, milliseconds(500));
    }
  };
  choose_host_ = [](size_t i) { return std::string(1, "abc"[i % 3]); };
  replace("v1", "v2");
  replace("v2", "v1");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_GE(NewStreams().Value(), 0.95) << Describe();
}

// Guards against a stream that is resumed at another version behind a host
// without links, which never sees the servers itself.
TEST_F(StreamVersionTest, StreamsOverTheHopKeepTheirVersion) {
  StartBothVersions();
  AddHosts({"a", "b", "c", "d"});
  RunStreams(seconds(5));
  no_servers_.insert("a");
  RunStreams(seconds(3));
  const size_t before = streams_.size();
  BeginStreams({"a"}, 40, seconds(1));
  ASSERT_GT(forwards_, 30);
  for (int i = 0; i < 2; ++i) {
    CrashAllRuns();
    RunStreams(milliseconds(300));
  }
  Kill("b");
  RunStreams(seconds(6));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_EQ(streams_.size() - before, 40u);
  EXPECT_GT(Resumptions().asked, 20);
  EXPECT_GE(Resumptions().Value(), 0.95 * NewStreams().Value()) << Describe();
}

// Guards against two streams that are joined because their callers chose the
// same id.
TEST_F(StreamVersionTest, IdThatWasUsedTwiceIsRefused) {
  StartServer("old-1", "v1");
  AddHosts({"a", "b", "c"});
  RunStreams(seconds(5));
  const size_t first = Begin("a");
  RunStreams(seconds(3));
  ASSERT_TRUE(streams_[first].is_complete);
  StartServer("new-1", "v2");
  StopServer("old-1");
  RunStreams(seconds(3));
  const size_t second = Begin("a", streams_[first].begun_by);
  RunStreams(milliseconds(500));
  StartServer("old-2", "v1");
  RunStreams(milliseconds(300));
  choose_host_ = [](size_t) { return "b"; };
  Kill("a");
  RunStreams(seconds(2));
  EXPECT_EQ(CountMixed(), 0) << Describe();
  EXPECT_TRUE(streams_[second].tries.at(1).refusal);
}

// Guards against a request for one version that waits for a model which only
// the other version has, while servers of its own could load it.
TEST_F(StreamVersionTest, ModelIsLoadedAtTheVersionOfTheStream) {
  StartServer("old-1", "v1");
  StartServer("old-2", "v1", "llm/m1");
  StartServer("new-1", "v2");
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  std::vector<size_t> begun;
  for (int i = 0; i < 20; ++i) begun.push_back(Begin("a"));
  RunStreams(milliseconds(500));
  StopServer("old-1");
  RunStreams(seconds(1));
  bool is_ordered = false;
  for (const auto& [engine, model] : loads_) {
    is_ordered = is_ordered || (engine == "old-2" && model == "llm/m0");
    EXPECT_NE(engine, "new-1");
  }
  EXPECT_TRUE(is_ordered);
  EXPECT_EQ(CountMixed(), 0) << Describe();
}

// Guards against streams of one version that hold up those of another, or new
// ones, in their queue.
TEST_F(StreamVersionTest, WaitingForAVersionHoldsUpNoOthers) {
  StartServer("old-1", "v1");
  StartServer("old-2", "v1", "llm/m1");
  StartServer("new-1", "v2");
  AddHosts({"a", "b"});
  RunStreams(seconds(5));
  for (int i = 0; i < 6; ++i) Begin("a");
  RunStreams(milliseconds(300));
  StopServer("old-1");
  RunStreams(milliseconds(100));
  const TimePoint from = now_;
  for (int i = 0; i < 4; ++i) Begin("a");
  RunStreams(milliseconds(500));
  EXPECT_EQ(NewStreams(from).served, 4) << Describe();
}

}  // namespace
}  // namespace applehall

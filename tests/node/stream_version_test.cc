// Streams go on at the software version that began them, or not at all.

#include "tests/node/stream_fixture.h"

namespace applehall {
namespace {

class StreamVersionTest : public StreamFixture {
 protected:
  // Three servers of each of two versions, all with the model.
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

}  // namespace
}  // namespace applehall

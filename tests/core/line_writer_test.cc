#include "core/line_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "core/event_log.h"

namespace applehall {
namespace {

std::string FileText(const std::string &path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

class LineWriterTest : public testing::Test {
 protected:
  LineWriterTest()
      : pipe_action_(::signal(SIGPIPE, SIG_IGN)),
        size_action_(::signal(SIGXFSZ, SIG_IGN)) {
    ::getrlimit(RLIMIT_FSIZE, &file_limit_);
  }
  ~LineWriterTest() override {
    ::setrlimit(RLIMIT_FSIZE, &file_limit_);
    ::signal(SIGPIPE, pipe_action_);
    ::signal(SIGXFSZ, size_action_);
  }

  // Limits the size of files as a device with little room does.
  void SetRoom(rlim_t bytes) const {
    const rlimit limit{bytes, file_limit_.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
  }
  void ResetRoom() const { ::setrlimit(RLIMIT_FSIZE, &file_limit_); }

  sighandler_t pipe_action_;
  sighandler_t size_action_;
  rlimit file_limit_{};
};

// Guards against a log that stays empty after its device was full once.
TEST_F(LineWriterTest, FullDeviceLosesOnlyTheLinesWithoutRoom) {
  const std::string path = testing::TempDir() + "applehall-line-writer";
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ASSERT_GE(file, 0);
  LineWriter writer(file);
  EXPECT_TRUE(writer.Write("first"));
  SetRoom(8);
  EXPECT_FALSE(writer.Write("second"));
  EXPECT_FALSE(writer.Write("third"));
  ResetRoom();
  EXPECT_TRUE(writer.Write("fourth"));
  ::close(file);
  EXPECT_EQ(FileText(path), "first\nse\nfourth\n");
  ::unlink(path.c_str());
}

// Guards against lines that are lost without a count, and a log that ends, once
// standard output has failed.
TEST_F(LineWriterTest, LogCountsLostLinesAndWritesAgain) {
  const std::string path = testing::TempDir() + "applehall-event-log";
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ASSERT_GE(file, 0);
  const int standard_output = ::dup(STDOUT_FILENO);
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  ::close(ends[0]);
  ::dup2(ends[1], STDOUT_FILENO);
  const uint64_t before = DroppedLogLines();
  StartEventLog(LogLevel::kInfo, "host");
  LogEvent(LogLevel::kInfo, "lost");
  while (DroppedLogLines() == before) ::usleep(1000);
  ::dup2(file, STDOUT_FILENO);
  LogEvent(LogLevel::kInfo, "written");
  StopEventLog(std::chrono::seconds(20));
  ::dup2(standard_output, STDOUT_FILENO);
  EXPECT_EQ(DroppedLogLines() - before, 1u);
  EXPECT_NE(FileText(path).find("event=written\n"), std::string::npos);
  for (const int descriptor : {file, standard_output, ends[1]}) {
    ::close(descriptor);
  }
  ::unlink(path.c_str());
}

// Guards against a planned stop that never ends, because nothing reads the full
// pipe of the log.
TEST_F(LineWriterTest, StopDoesNotWaitForAStalledReader) {
  const auto stop_stalled_log = [] {
    int ends[2];
    if (::pipe(ends) != 0) std::_Exit(2);
    ::dup2(ends[1], STDOUT_FILENO);
    StartEventLog(LogLevel::kInfo, "host");
    for (int i = 0; i < 3000; ++i) {
      LogEvent(LogLevel::kInfo, "test").With("text", std::string(100, 'x'));
    }
    std::_Exit(StopEventLog(std::chrono::milliseconds(1)) ? 1 : 0);
  };
  EXPECT_EXIT(stop_stalled_log(), testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace applehall

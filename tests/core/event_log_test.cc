#include "core/event_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <thread>

#include "core/metrics.h"

namespace applehall {
namespace {

// Guards against a full pipe that blocks the thread that serves requests, which
// also writes the log, while the reader of the log is stalled.
TEST(EventLogTest, StalledReaderDropsLinesWithoutBlocking) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  std::cout.flush();
  const int standard_output = dup(STDOUT_FILENO);
  ASSERT_GE(dup2(ends[1], STDOUT_FILENO), 0);
  StartEventLog(LogLevel::kInfo, "host");
  constexpr int kLines = 50000;
  for (int i = 0; i < kLines; ++i) {
    LogEvent(LogLevel::kInfo, "test").With("number", i);
  }
  const uint64_t dropped = DroppedLogLines();
  std::thread reader([&] {
    char buffer[4096];
    while (read(ends[0], buffer, sizeof(buffer)) > 0) {
    }
  });
  EXPECT_TRUE(StopEventLog(std::chrono::seconds(20)));
  std::cout.flush();
  dup2(standard_output, STDOUT_FILENO);
  close(standard_output);
  close(ends[1]);
  reader.join();
  close(ends[0]);
  EXPECT_GT(dropped, 0u);
  EXPECT_LT(dropped, static_cast<uint64_t>(kLines))
      << "the queue must keep some lines";
}

// Guards against log files that tools take for binary because of a name.
TEST(EventLogTest, LinesAreTextWhateverTheValueIs) {
  std::string line;
  AppendLogValue(std::string("a\0z\x01\x7f\xff\r\n", 8), line);
  EXPECT_EQ(line, "\"a\\\\x00z\\\\x01\\\\x7f\\\\xff\\\\r\\\\n\"");
  line.clear();
  AppendLogValue("\xEC\x88\x98", line);
  EXPECT_EQ(line, "\xEC\x88\x98");
  line.clear();
  AppendLogValue("a b", line);
  EXPECT_EQ(line, "\"a b\"");
}

// Guards against names of callers that fill the queue with long lines.
TEST(EventLogTest, LongValuesAreCut) {
  testing::internal::CaptureStdout();
  StartEventLog(LogLevel::kInfo, "host");
  {
    LogEvent line(LogLevel::kInfo, "test");
    for (int i = 0; i < 20; ++i) line.With("name", std::string(16000, 'n'));
  }
  StopEventLog();
  std::cout.flush();
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_NE(text.find("...(16000 bytes)"), std::string::npos);
  EXPECT_LT(text.size(), 8u * 1024);
}

TEST(MetricsTest, HistogramBucketsAreCumulative) {
  Metrics metrics;
  for (const int ms : {3, 70, 100, 3000, 60000}) {
    metrics.Observe("request", std::chrono::milliseconds(ms));
  }
  const std::string text = metrics.ToPrometheusText();
  for (const char* line : {"# TYPE applehall_request_seconds histogram",
                           "applehall_request_seconds_bucket{le=\"0.005\"} 1",
                           "applehall_request_seconds_bucket{le=\"0.1\"} 3",
                           "applehall_request_seconds_bucket{le=\"4\"} 4",
                           "applehall_request_seconds_bucket{le=\"30\"} 4",
                           "applehall_request_seconds_bucket{le=\"+Inf\"} 5",
                           "applehall_request_seconds_count 5"}) {
    EXPECT_NE(text.find(std::string(line) + "\n"), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace applehall

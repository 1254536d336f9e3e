// How daemons start and end, as real processes.

#include <gtest/gtest.h>
#include <signal.h>

#include "tests/processes/daemon_process.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// Bounds for what takes milliseconds; only a process that hangs reaches them.
constexpr seconds kLimit{20};

// Guards against a planned stop that does not end with exit code 0.
TEST(ProcessEndTest, PlannedStopEndsWithCodeZero) {
  EdgeFixture edge;
  DaemonProcess process(APPLEHALL_EDGED, edge.arguments(), edge.log_path());
  process.Start();
  ASSERT_TRUE(process.AwaitLog("event=started", kLimit)) << process.Log();
  process.Signal(SIGTERM);
  process.Signal(SIGTERM);
  EXPECT_EQ(DescribeWaitStatus(process.AwaitExit(kLimit)), "exit code 0");
}

}  // namespace
}  // namespace applehall

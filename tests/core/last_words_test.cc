#include "core/last_words.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace applehall {
namespace {

void InstallToStandardError() {
  ::dup2(STDERR_FILENO, STDOUT_FILENO);
  InstallLastWords("host");
}

// Keeps its frames by a use of them after the call.
int Recurse(int depth) {
  volatile char frame[4096];
  frame[0] = static_cast<char>(depth);
  return Recurse(depth + 1) + frame[0];
}

class LastWordsDeathTest : public testing::Test {
 protected:
  LastWordsDeathTest() {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    is_sanitized_ = true;
#endif
  }
  bool is_sanitized_ = false;
};

// Guards against a process that ends by a fault without a line.
TEST_F(LastWordsDeathTest, FaultHasALineAndKeepsItsSignal) {
  const auto end = [] {
    InstallToStandardError();
    ::raise(SIGFPE);
  };
  if (is_sanitized_) GTEST_SKIP() << "the sanitizer handles faults itself";
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGFPE),
              "level=error host=host event=process_ended cause=signal "
              "signal=8 thread=[0-9]+ pid=[0-9]+\n");
}

// Guards against an exhausted stack that leaves no room for the line.
TEST_F(LastWordsDeathTest, ExhaustedStackHasALine) {
  const auto end = [] {
    InstallToStandardError();
    std::thread([] {
      const AlternateSignalStack signal_stack;
      ::_exit(Recurse(0));
    }).join();
  };
  if (is_sanitized_) GTEST_SKIP() << "the sanitizer handles faults itself";
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGSEGV),
              "event=process_ended cause=signal signal=11 ");
}

// Guards against an exception of a thread that ends the process without a line.
TEST_F(LastWordsDeathTest, TerminateNamesTheException) {
  const auto end = [] {
    InstallToStandardError();
    std::thread([] { throw std::runtime_error("no more threads"); }).join();
  };
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGABRT),
              "event=process_ended cause=terminate signal=6 .* "
              "reason=\"no more threads\"\n");
}

}  // namespace
}  // namespace applehall

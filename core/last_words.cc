#include "core/last_words.h"

#include <poll.h>
#include <signal.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <new>
#include <string_view>

#include "core/event_log.h"

namespace applehall {

namespace {

constexpr int kFaultSignals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
// Preloaded libraries may run handlers with large frames on it.
constexpr size_t kSignalStackBytes = 64 * 1024;
constexpr size_t kMaxReasonBytes = 512;
constexpr size_t kMaxHostBytes = 128;

char g_host[kMaxHostBytes + 1] = "";

// A line in a fixed buffer, since a signal handler must not allocate.
class FixedLine {
 public:
  void Append(std::string_view text) {
    const size_t count = std::min(text.size(), buffer_.size() - size_);
    std::memcpy(buffer_.data() + size_, text.data(), count);
    size_ += count;
  }
  void Append(int64_t number) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof(digits), number);
    Append(std::string_view(digits, static_cast<size_t>(end.ptr - digits)));
  }
  const char* data() const { return buffer_.data(); }
  size_t size() const { return size_; }

 private:
  // At most PIPE_BUF, so that a pipe takes all of it or nothing.
  std::array<char, 1024> buffer_;
  size_t size_ = 0;
};

// A full pipe must not keep a process that is to end.
bool TryWrite(int descriptor, const FixedLine& line) {
  pollfd writable{descriptor, POLLOUT, 0};
  if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(descriptor, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

// Async-signal-safe. `reason` is in log format.
void WriteLastLine(std::string_view cause, int signal,
                   std::string_view reason) {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  FixedLine line;
  line.Append("time_ms=");
  line.Append(int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000);
  line.Append(" level=error host=");
  line.Append(g_host);
  line.Append(" event=process_ended cause=");
  line.Append(cause);
  line.Append(" signal=");
  line.Append(int64_t{signal});
  line.Append(" thread=");
  line.Append(int64_t{::syscall(SYS_gettid)});
  line.Append(" pid=");
  line.Append(int64_t{::getpid()});
  if (!reason.empty()) {
    line.Append(" reason=");
    line.Append(reason);
  }
  line.Append("\n");
  if (!TryWrite(STDOUT_FILENO, line)) TryWrite(STDERR_FILENO, line);
}

// The handler has been reset to the default action, so that the signal ends the
// process here.
void HandleFault(int signal) {
  WriteLastLine("signal", signal, "");
  ::raise(signal);
}

std::string CurrentExceptionText() {
  const std::exception_ptr error = std::current_exception();
  if (!error) return "no exception";
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "unknown exception";
  }
}

[[noreturn]] void HandleTerminate() {
  std::string reason;
  try {
    AppendLogValue(CurrentExceptionText().substr(0, kMaxReasonBytes), reason);
  } catch (...) {
    reason.clear();
  }
  WriteLastLine("terminate", SIGABRT, reason);
  // The cause has been written.
  ::signal(SIGABRT, SIG_DFL);
  std::abort();
}

}  // namespace

void InstallLastWords(const std::string& host) {
  const size_t size = std::min(host.size(), kMaxHostBytes);
  std::memcpy(g_host, host.data(), size);
  g_host[size] = '\0';
  std::set_terminate(HandleTerminate);
  for (const int number : kFaultSignals) {
    struct sigaction current {};
    if (sigaction(number, nullptr, &current) != 0) continue;
    if ((current.sa_flags & SA_SIGINFO) != 0 || current.sa_handler != SIG_DFL) {
      continue;
    }
    struct sigaction action {};
    action.sa_handler = HandleFault;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
    sigemptyset(&action.sa_mask);
    sigaction(number, &action, nullptr);
  }
}

AlternateSignalStack::AlternateSignalStack() {
  stack_t current{};
  if (::sigaltstack(nullptr, &current) != 0) return;
  if ((current.ss_flags & SS_DISABLE) == 0) return;
  memory_.reset(new (std::nothrow) std::byte[kSignalStackBytes]);
  if (!memory_) return;
  stack_t stack{};
  stack.ss_sp = memory_.get();
  stack.ss_size = kSignalStackBytes;
  if (::sigaltstack(&stack, nullptr) != 0) memory_.reset();
}

AlternateSignalStack::~AlternateSignalStack() {
  if (!memory_) return;
  stack_t none{};
  none.ss_flags = SS_DISABLE;
  // Memory that is still in use as a stack must not be freed.
  if (::sigaltstack(&none, nullptr) != 0) (void)memory_.release();
}

}  // namespace applehall

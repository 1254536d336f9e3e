#ifndef APPLEHALL_CORE_LAST_WORDS_H_
#define APPLEHALL_CORE_LAST_WORDS_H_

#include <cstddef>
#include <memory>
#include <string>

namespace applehall {

// Writes one log line (event=process_ended) when a signal of a fault or
// std::terminate() ends the process, and then lets it end by the same signal.
// The line goes to standard output, or to standard error if standard output
// takes nothing. Signals that are handled already, such as by a sanitizer, stay
// as they are. Requires: called once, before other threads start.
void InstallLastWords(const std::string& host);

// A signal stack of the thread that makes it, so that a fault by an exhausted
// stack has its line. A thread that has one already keeps it.
class AlternateSignalStack {
 public:
  AlternateSignalStack();
  ~AlternateSignalStack();
  AlternateSignalStack(const AlternateSignalStack&) = delete;
  AlternateSignalStack& operator=(const AlternateSignalStack&) = delete;

 private:
  std::unique_ptr<std::byte[]> memory_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_LAST_WORDS_H_

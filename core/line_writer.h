#ifndef APPLEHALL_CORE_LINE_WRITER_H_
#define APPLEHALL_CORE_LINE_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace applehall {

// Writes lines to a descriptor. An error, such as of a full device or a pipe
// without a reader, loses the line and not the later ones: each line is tried,
// so that lines appear again as soon as there is room. Requires: SIGPIPE and
// SIGXFSZ are ignored. Not thread-safe.
class LineWriter {
 public:
  // The descriptor stays the caller's.
  explicit LineWriter(int descriptor) : descriptor_(descriptor) {}

  // Waits as long as a pipe is full. Returns false if the line is lost, or
  // written in part.
  bool Write(std::string_view line);

 private:
  int descriptor_;
  bool is_within_line_ = false;  // The last line was written in part.
  std::string buffer_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_LINE_WRITER_H_

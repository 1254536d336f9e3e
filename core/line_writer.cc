#include "core/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace applehall {

namespace {

// Waits for room if another process has made the pipe non-blocking. Returns
// whether to write again.
bool AwaitRoom(int descriptor) {
  pollfd writable{descriptor, POLLOUT, 0};
  return ::poll(&writable, 1, -1) >= 0 || errno == EINTR;
}

}  // namespace

bool LineWriter::Write(std::string_view line) {
  buffer_.clear();
  // Separates the line from the rest of one that was cut.
  if (is_within_line_) buffer_ += '\n';
  buffer_ += line;
  buffer_ += '\n';
  size_t written = 0;
  while (written < buffer_.size()) {
    const ssize_t count = ::write(descriptor_, buffer_.data() + written,
                                  buffer_.size() - written);
    if (count > 0) {
      written += static_cast<size_t>(count);
      continue;
    }
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && errno == EAGAIN && AwaitRoom(descriptor_)) continue;
    if (written > 0) is_within_line_ = buffer_[written - 1] != '\n';
    return false;
  }
  is_within_line_ = false;
  return true;
}

}  // namespace applehall

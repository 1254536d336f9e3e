#include "core/standard_streams.h"

#include <fcntl.h>
#include <unistd.h>

namespace applehall {

void OpenMissingStandardStreams() {
  // open() returns the lowest descriptor that is free.
  int descriptor = ::open("/dev/null", O_RDWR);
  while (descriptor >= 0 && descriptor <= STDERR_FILENO) {
    descriptor = ::open("/dev/null", O_RDWR);
  }
  if (descriptor > STDERR_FILENO) ::close(descriptor);
}

}  // namespace applehall

#ifndef APPLEHALL_CORE_STANDARD_STREAMS_H_
#define APPLEHALL_CORE_STANDARD_STREAMS_H_

namespace applehall {

// Opens the null device in place of standard streams that the parent process
// has closed. The next sockets would get their descriptors, and log lines would
// be written into them. Thread: the main one, before any other has started.
void OpenMissingStandardStreams();

}  // namespace applehall

#endif  // APPLEHALL_CORE_STANDARD_STREAMS_H_

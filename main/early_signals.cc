// Holds signals before the constructors of the daemon and of its libraries run,
// which take most of the time until main().

#include "drivers/process_signals.h"

namespace applehall {
namespace {

// ThreadSanitizer instruments functions, and is not initialised yet.
#ifndef __SANITIZE_THREAD__
using Initializer = void (*)(int, char**, char**);

void HoldAtStart(int, char**, char**) { HoldSignals(); }

[[gnu::section(".preinit_array"), gnu::used]] const Initializer kHoldAtStart =
    HoldAtStart;
#endif

}  // namespace
}  // namespace applehall

#ifndef APPLEHALL_CORE_LISTEN_ADDRESSES_H_
#define APPLEHALL_CORE_LISTEN_ADDRESSES_H_

#include <string>
#include <utility>
#include <vector>

#include "core/settings_reader.h"

namespace applehall {

// Fails at the first key whose address cannot be listened on beside that of an
// earlier key: a process would wait for a port that it holds itself. Requires:
// nothing. Thread-safe.
void RequireDistinctAddresses(
    const std::vector<std::pair<std::string, Address>>& addresses,
    SettingsReader& reader);

}  // namespace applehall

#endif  // APPLEHALL_CORE_LISTEN_ADDRESSES_H_

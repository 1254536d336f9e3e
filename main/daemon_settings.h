#ifndef APPLEHALL_MAIN_DAEMON_SETTINGS_H_
#define APPLEHALL_MAIN_DAEMON_SETTINGS_H_

#include <absl/status/statusor.h>

#include <string>

#include "core/event_log.h"
#include "core/settings_reader.h"
#include "drivers/http_server.h"
#include "drivers/platform_client.h"
#include "node/node_settings.h"

namespace applehall {

// Everything a process is told at its start; from one JSON file.
struct DaemonSettings {
  NodeSettings node;
  Address callers;
  Address operators;
  Address peers;
  PlatformAddresses platform;
  std::string shared_key;
  HttpServerLimits caller_limits;
  LogLevel log_level = LogLevel::kInfo;
  // Where to write the bound addresses; empty for nowhere.
  std::string addresses_file;
};

// Checks every key. The error is one line that names file, key and what was
// expected. Requires: nothing. Thread-safe.
absl::StatusOr<DaemonSettings> LoadDaemonSettings(const std::string& path);
absl::StatusOr<DaemonSettings> ParseDaemonSettings(const std::string& path,
                                                   const std::string& text);

}  // namespace applehall

#endif  // APPLEHALL_MAIN_DAEMON_SETTINGS_H_

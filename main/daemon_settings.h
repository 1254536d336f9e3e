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

// Settings of a process, read from one JSON file at its start.
struct DaemonSettings {
  NodeSettings node;
  Address callers;
  Address operators;
  Address peers;
  PlatformAddresses platform;
  std::string shared_key;
  HttpServerLimits caller_limits;
  LogLevel log_level = LogLevel::kInfo;
  // File to write the bound addresses to; empty for none.
  std::string addresses_file;
};

// Reads and checks all settings. The error is one line that names the file, the
// key and the expected value. Requires: nothing. Thread-safe.
absl::StatusOr<DaemonSettings> LoadDaemonSettings(const std::string& path);
absl::StatusOr<DaemonSettings> ParseDaemonSettings(const std::string& path,
                                                   const std::string& text);

}  // namespace applehall

#endif  // APPLEHALL_MAIN_DAEMON_SETTINGS_H_

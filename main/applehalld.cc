// The one daemon, the same on every entry host.

#include <CLI/CLI.hpp>
#include <iostream>

#include "main/daemon.h"
#include "main/daemon_settings.h"

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"applehall entry host: routes requests for rarely used models"};
  std::string config_path;
  bool check_only = false;
  app.add_option("--config", config_path, "Settings: JSON with comments")
      ->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const absl::StatusOr<applehall::DaemonSettings> settings =
      applehall::LoadDaemonSettings(config_path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitBadSettings;
  }
  if (check_only) return 0;
  applehall::StartEventLog(settings->log_level, settings->node.self.host);
  int exit_code = 0;
  try {
    applehall::Daemon daemon(*settings);
    daemon.Run();
  } catch (const std::exception& error) {
    std::cerr << "cannot start: " << error.what() << "\n";
    exit_code = kExitCannotStart;
  }
  applehall::StopEventLog();
  return exit_code;
}

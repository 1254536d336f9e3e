// The daemon of an entry host on the users' platform.

#include <CLI/CLI.hpp>
#include <iostream>

#include "platform/edge_process.h"

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"applehall entry host on a platform with a store of its own"};
  std::string path;
  bool check_only = false;
  app.add_option("--config", path, "Settings: JSON with comments")
      ->envname("APPLEHALL_SETTINGS")
      ->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const absl::StatusOr<applehall::EdgeSettings> settings =
      applehall::LoadEdgeSettings(path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitBadSettings;
  }
  if (check_only) return 0;
  applehall::StartEventLog(settings->log_level, settings->node.self.host);
  int exit_code = 0;
  try {
    applehall::EdgeProcess process(*settings, path);
    process.Run();
  } catch (const std::exception& error) {
    std::cerr << "cannot start: " << error.what() << "\n";
    exit_code = kExitCannotStart;
  }
  applehall::StopEventLog();
  return exit_code;
}

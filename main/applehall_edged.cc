// The daemon of an entry host on the users' platform.

#include <CLI/CLI.hpp>

#include "main/run_daemon.h"
#include "main/settings_wait.h"
#include "platform/edge_process.h"

int main(int argc, char** argv) {
  applehall::PrepareProcess();
  CLI::App app{"applehall entry host on a platform with a store of its own"};
  std::string path;
  bool check_only = false;
  app.add_option("--config", path, "Settings: JSON with comments")
      ->envname("APPLEHALL_SETTINGS")
      ->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto settings = applehall::AwaitSettings(
      check_only, [&path] { return applehall::LoadEdgeSettings(path); });
  return applehall::RunDaemon(settings, check_only,
                              [&path](const applehall::EdgeSettings& settings) {
                                applehall::EdgeProcess process(settings, path);
                                process.Run();
                              });
}

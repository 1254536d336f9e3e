// The daemon of an entry host; all hosts run the same binary.

#include <CLI/CLI.hpp>

#include "main/daemon.h"
#include "main/daemon_settings.h"
#include "main/run_daemon.h"
#include "main/settings_wait.h"

int main(int argc, char** argv) {
  applehall::PrepareProcess();
  CLI::App app{"applehall entry host: routes requests for rarely used models"};
  std::string config_path;
  bool check_only = false;
  app.add_option("--config", config_path, "Settings: JSON with comments")
      ->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto settings = applehall::AwaitSettings(check_only, [&config_path] {
    return applehall::LoadDaemonSettings(config_path);
  });
  return applehall::RunDaemon(settings, check_only,
                              [](const applehall::DaemonSettings& settings) {
                                applehall::Daemon daemon(settings);
                                daemon.Run();
                              });
}

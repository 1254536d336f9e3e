// Stand-ins for the platform and the backend servers, for trials and tests.

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
#include <fstream>
#include <iostream>

#include "core/json.h"
#include "standins/standin_server.h"

namespace {

constexpr int kExitBadSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Stand-ins for log service, host list, weight store, model engines and "
      "plain services. Each listens on a port chosen by the kernel; the "
      "addresses are written as JSON."};
  std::string config_path;
  std::string addresses_path;
  app.add_option("--config", config_path, "JSON file with the stand-ins to run")
      ->required();
  app.add_option("--addresses", addresses_path,
                 "File to write the addresses to");
  CLI11_PARSE(app, argc, argv);

  const absl::StatusOr<std::string> text = applehall::ReadFile(config_path);
  const absl::StatusOr<applehall::Json> config =
      text.ok() ? applehall::ParseJson(*text)
                : absl::StatusOr<applehall::Json>(text.status());
  if (!config.ok() || !config->is_object()) {
    std::cerr << config_path << ": "
              << (config.ok() ? "expected an object"
                              : std::string(config.status().message()))
              << "\n";
    return kExitBadSettings;
  }
  boost::asio::io_context io;
  applehall::StandinServer server(io, *config);
  const std::string addresses = server.Addresses().dump(2);
  if (addresses_path.empty()) {
    std::cout << addresses << std::endl;
  } else {
    // Renaming a complete file keeps readers from seeing a partial one.
    const std::string temporary_path = addresses_path + ".new";
    std::ofstream(temporary_path) << addresses << "\n";
    std::rename(temporary_path.c_str(), addresses_path.c_str());
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, int) { io.stop(); });
  io.run();
  return 0;
}

// Runs entry hosts as real processes under faults that a seed determines.

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "soak/soak.h"

int main(int argc, char** argv) {
  CLI::App app{"applehall fault soak"};
  applehall::SoakOptions options;
  int seconds = 20;
  app.add_option("--daemon", options.daemon, "Path of applehall-edged")
      ->required();
  app.add_option("--folder", options.folder, "Folder for settings and logs")
      ->required();
  app.add_option("--seed", options.seed, "Seed of faults and requests");
  app.add_option("--seconds", seconds, "Length in seconds, without the warm-up")
      ->check(CLI::Range(5, 3600));
  app.add_option("--hosts", options.hosts, "Entry hosts")
      ->check(CLI::Range(1, 200));
  app.add_option("--callers", options.callers_per_host,
                 "Callers for each host");
  app.add_flag("--poison", options.has_poison,
               "Some requests crash the servers that execute them");
  app.add_flag("--limits", options.has_limits,
               "Servers announce request rate limits");
  app.add_flag("--cuts", options.has_cuts,
               "Hosts lose their links to all servers, and servers are silent "
               "or brittle for a while");
  app.add_flag("--versions", options.has_versions,
               "Engines of several software versions serve, and callers take "
               "broken streams up again");
  app.add_flag("--rare", options.has_rare,
               "More models than places, some with a single caller each");
  app.add_flag("--parts", options.has_parts,
               "Some parts of prompts crash the engines that answer them");
  app.add_flag("--uneven", options.has_uneven,
               "Servers have different speeds, are slowed down now and then "
               "and report their load");
  app.add_flag("--leaving", options.has_leaving,
               "Callers leave at any moment, and hosts stand still in series");
  app.add_flag("--restarts", options.has_restarts,
               "Hosts get signals in series from their start on, restarts "
               "overlap with planned stops, ports are taken for a while");
  CLI11_PARSE(app, argc, argv);
  options.length = std::chrono::seconds(seconds);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(options.folder);
  applehall::Soak soak(options);
  const std::vector<std::string> broken = soak.Run();
  std::cout << soak.Summary() << "\n";
  for (const std::string& line : broken) std::cout << "BROKEN " << line << "\n";
  std::cout << (broken.empty() ? "held" : "BROKEN") << "\n";
  return broken.empty() ? 0 : 1;
}

// The operator's command line.

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "main/operator_commands.h"

int main(int argc, char** argv) {
  using applehall::CommandExit;
  using applehall::OutputFormat;

  CLI::App app{"applehall: publish rule sets and see what they decided"};
  app.require_subcommand(1);
  app.fallthrough();
  OutputFormat format = OutputFormat::kText;
  const std::map<std::string, OutputFormat> formats{
      {"text", OutputFormat::kText}, {"json", OutputFormat::kJson}};
  app.add_option("--output", format, "text or json")
      ->transform(CLI::CheckedTransformer(formats, CLI::ignore_case));

  std::string file;
  std::string other;
  std::string log;
  std::string store;
  std::string host;
  std::string request;
  uint64_t base = 0;
  std::function<CommandExit()> run;

  CLI::App* rules = app.add_subcommand("rules", "Rule sets");
  rules->require_subcommand(1);
  rules->fallthrough();

  CLI::App* check = rules->add_subcommand("check", "Find what is wrong");
  check->add_option("FILE", file, "The rule set")->required();
  check->add_option("--store", store,
                    "Weight store IP:PORT, to check models against");
  check->callback([&] {
    run = [&] { return applehall::CheckRulesFile(file, store, format); };
  });

  CLI::App* explain = rules->add_subcommand("explain", "Say it in English");
  explain->add_option("FILE", file, "The rule set")->required();
  explain->callback(
      [&] { run = [&] { return applehall::ExplainRulesFile(file, format); }; });

  CLI::App* diff = rules->add_subcommand("diff", "What differs, in English");
  diff->add_option("BEFORE", file, "The older rule set")->required();
  diff->add_option("AFTER", other, "The newer rule set")->required();
  diff->callback([&] {
    run = [&] { return applehall::DiffRulesFiles(file, other, format); };
  });

  CLI::App* test = rules->add_subcommand(
      "test", "Which rule decides a request, and why not the earlier ones");
  test->add_option("FILE", file, "The rule set")->required();
  test->add_option("REQUEST", other,
                   "JSON: caller, method, path, model or service, headers, "
                   "data_centre, time_ms, log_down, replicas")
      ->required();
  test->callback([&] {
    run = [&] { return applehall::TestRulesFile(file, other, format); };
  });

  CLI::App* publish = rules->add_subcommand("publish", "Put it into force");
  publish->add_option("FILE", file, "The rule set")->required();
  publish->add_option("--base", base, "The version it changes; 0 for the first")
      ->required();
  publish->add_option("--log", log, "Log service IP:PORT")->required();
  publish->add_option("--store", store,
                      "Weight store IP:PORT, to check models against");
  publish->callback([&] {
    run = [&] {
      return applehall::PublishRulesFile(file, base, log, store, format);
    };
  });

  CLI::App* show = rules->add_subcommand("show", "What is in force");
  show->add_option("--log", log, "Log service IP:PORT")->required();
  show->callback(
      [&] { run = [&] { return applehall::ShowRules(log, format); }; });

  CLI::App* state = app.add_subcommand("state", "Dump a process's state");
  state->add_option("HOST", host, "Operator address IP:PORT")->required();
  state->callback(
      [&] { run = [&] { return applehall::ShowState(host, format); }; });

  CLI::App* decisions =
      app.add_subcommand("decisions", "Recent decisions and their rules");
  decisions->add_option("HOST", host, "Operator address IP:PORT")->required();
  decisions->add_option("--request", request, "Only this request");
  decisions->callback([&] {
    run = [&] { return applehall::ShowDecisions(host, request, format); };
  });

  std::vector<std::string> log_files;
  CLI::App* why = app.add_subcommand(
      "explain", "What happened to a request, from the logs of all hosts");
  why->add_option("REQUEST", request, "The request's id")->required();
  why->add_option("--logs", log_files, "Log files; standard input without them")
      ->check(CLI::ExistingFile);
  why->callback([&] {
    run = [&] { return applehall::ExplainRequest(request, log_files, format); };
  });

  CLI::App* loads = app.add_subcommand("loads", "What each engine holds");
  loads->add_option("HOST", host, "Operator address IP:PORT")->required();
  loads->callback(
      [&] { run = [&] { return applehall::ShowLoads(host, format); }; });

  CLI::App* hosts = app.add_subcommand("hosts", "The hosts a process knows");
  hosts->add_option("HOST", host, "Operator address IP:PORT")->required();
  hosts->callback(
      [&] { run = [&] { return applehall::ShowHosts(host, format); }; });

  CLI11_PARSE(app, argc, argv);
  return static_cast<int>(run());
}

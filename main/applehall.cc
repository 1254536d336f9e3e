// Command line tool of operators: manages rule sets and inspects entry hosts.

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "main/operator_commands.h"

int main(int argc, char** argv) {
  using applehall::CommandExit;
  using applehall::OutputFormat;

  CLI::App app{"applehall: manage rule sets and inspect entry hosts"};
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

  CLI::App* rules = app.add_subcommand("rules", "Manage rule sets");
  rules->require_subcommand(1);
  rules->fallthrough();

  CLI::App* check =
      rules->add_subcommand("check", "Check a rule set for errors");
  check->add_option("FILE", file, "The rule set")->required();
  check->add_option("--store", store,
                    "Weight store IP:PORT, to check models against");
  check->callback([&] {
    run = [&] { return applehall::CheckRulesFile(file, store, format); };
  });

  CLI::App* explain =
      rules->add_subcommand("explain", "Describe a rule set in English");
  explain->add_option("FILE", file, "The rule set")->required();
  explain->callback(
      [&] { run = [&] { return applehall::ExplainRulesFile(file, format); }; });

  CLI::App* diff = rules->add_subcommand(
      "diff", "Describe in English how two rule sets differ");
  diff->add_option("BEFORE", file, "The older rule set")->required();
  diff->add_option("AFTER", other, "The newer rule set")->required();
  diff->callback([&] {
    run = [&] { return applehall::DiffRulesFiles(file, other, format); };
  });

  CLI::App* test = rules->add_subcommand(
      "test", "Show which rule matches a request and why earlier ones do not");
  test->add_option("FILE", file, "The rule set")->required();
  test->add_option("REQUEST", other,
                   "JSON: caller, method, path, model or service, headers, "
                   "data_centre, time_ms, log_down, replicas")
      ->required();
  test->callback([&] {
    run = [&] { return applehall::TestRulesFile(file, other, format); };
  });

  CLI::App* publish = rules->add_subcommand("publish", "Publish a rule set");
  publish->add_option("FILE", file, "The rule set")->required();
  publish
      ->add_option("--base", base,
                   "Version the rule set is based on; 0 for the first")
      ->required();
  publish->add_option("--log", log, "Log service IP:PORT")->required();
  publish->add_option("--store", store,
                      "Weight store IP:PORT, to check models against");
  publish->callback([&] {
    run = [&] {
      return applehall::PublishRulesFile(file, base, log, store, format);
    };
  });

  CLI::App* show = rules->add_subcommand("show", "Show the rule set in force");
  show->add_option("--log", log, "Log service IP:PORT")->required();
  show->callback(
      [&] { run = [&] { return applehall::ShowRules(log, format); }; });

  CLI::App* state = app.add_subcommand("state", "Dump a process's state");
  state->add_option("HOST", host, "Operator address IP:PORT")->required();
  state->callback(
      [&] { run = [&] { return applehall::ShowState(host, format); }; });

  CLI::App* decisions =
      app.add_subcommand("decisions", "List recent decisions with their rules");
  decisions->add_option("HOST", host, "Operator address IP:PORT")->required();
  decisions->add_option("--request", request,
                        "Only the decisions on this request id");
  decisions->callback([&] {
    run = [&] { return applehall::ShowDecisions(host, request, format); };
  });

  std::vector<std::string> log_files;
  CLI::App* why = app.add_subcommand(
      "explain", "Show the log events that affected a request, from all hosts");
  why->add_option("REQUEST", request, "Request id")->required();
  why->add_option("--logs", log_files, "Log files; standard input by default")
      ->check(CLI::ExistingFile);
  why->callback([&] {
    run = [&] { return applehall::ExplainRequest(request, log_files, format); };
  });

  CLI::App* loads =
      app.add_subcommand("loads", "List the models that each engine has ready");
  loads->add_option("HOST", host, "Operator address IP:PORT")->required();
  loads->callback(
      [&] { run = [&] { return applehall::ShowLoads(host, format); }; });

  CLI::App* hosts =
      app.add_subcommand("hosts", "List the host table of a process");
  hosts->add_option("HOST", host, "Operator address IP:PORT")->required();
  hosts->callback(
      [&] { run = [&] { return applehall::ShowHosts(host, format); }; });

  CLI11_PARSE(app, argc, argv);
  return static_cast<int>(run());
}

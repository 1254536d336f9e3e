#ifndef APPLEHALL_MAIN_OPERATOR_COMMANDS_H_
#define APPLEHALL_MAIN_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace applehall {

// Exit codes of the operator's command line.
enum class CommandExit : uint8_t {
  kOk = 0,
  kFailed = 1,       // The input was valid, but the command failed.
  kBadInput = 2,     // A file, an address or an option is invalid.
  kUnreachable = 3,  // No usable response was received.
  kUnknown = 4,      // The outcome could not be determined.
};

enum class OutputFormat : uint8_t { kText, kJson };

// The commands write their results to standard output and errors to standard
// error. Thread: one call at a time.
CommandExit CheckRulesFile(const std::string& path, const std::string& store,
                           OutputFormat format);
CommandExit ExplainRulesFile(const std::string& path, OutputFormat format);
CommandExit DiffRulesFiles(const std::string& before, const std::string& after,
                           OutputFormat format);
CommandExit TestRulesFile(const std::string& path, const std::string& request,
                          OutputFormat format);
CommandExit PublishRulesFile(const std::string& path, uint64_t base,
                             const std::string& log, const std::string& store,
                             OutputFormat format);
CommandExit ShowRules(const std::string& log, OutputFormat format);
CommandExit ShowState(const std::string& host, OutputFormat format);
CommandExit ShowDecisions(const std::string& host, const std::string& request,
                          OutputFormat format);
// Reads `log_files`, or standard input if the list is empty.
CommandExit ExplainRequest(const std::string& request,
                           const std::vector<std::string>& log_files,
                           OutputFormat format);
CommandExit ShowLoads(const std::string& host, OutputFormat format);
CommandExit ShowHosts(const std::string& host, OutputFormat format);

}  // namespace applehall

#endif  // APPLEHALL_MAIN_OPERATOR_COMMANDS_H_

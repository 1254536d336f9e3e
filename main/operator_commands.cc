#include "main/operator_commands.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "core/json.h"
#include "core/uuid.h"
#include "drivers/http_client.h"
#include "drivers/http_query.h"
#include "drivers/platform_client.h"
#include "main/request_timeline.h"
#include "node/control_fold.h"
#include "rules/rule_checker.h"
#include "rules/rule_explainer.h"
#include "rules/rule_set_parser.h"

namespace applehall {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr int kMaxReadBackAttempts = 20;
constexpr std::chrono::milliseconds kReadBackPause{250};

CommandExit Fail(CommandExit code, const std::string& message) {
  std::cerr << "applehall: " << message << "\n";
  return code;
}

HttpResult Call(const Address& address, const std::string& method,
                const std::string& target, std::string body = "") {
  HttpCall call;
  call.address = address;
  call.request.method = method;
  call.request.target = target;
  call.request.body = std::move(body);
  call.header_timeout = kCallTimeout;
  return FetchBlocking(std::move(call));
}

// A rule file, parsed and checked against the available facts.
struct LoadedRules {
  std::string text;
  Json document;
  ParsedRuleSet parsed;
};

absl::StatusOr<LoadedRules> LoadRules(const std::string& path,
                                      const CheckFacts& facts) {
  LoadedRules loaded;
  absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) return text.status();
  loaded.text = *std::move(text);
  absl::StatusOr<Json> document = ParseJson(loaded.text);
  if (!document.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, ": ", document.status().message()));
  }
  loaded.document = *std::move(document);
  loaded.parsed = ParseRuleSet(loaded.document);
  for (Finding& finding : CheckRuleSet(loaded.parsed.set, facts)) {
    loaded.parsed.findings.push_back(std::move(finding));
  }
  LocateFindings(loaded.text, loaded.parsed.findings);
  return loaded;
}

absl::StatusOr<CheckFacts> FetchCheckFacts(const std::string& store) {
  CheckFacts facts;
  if (store.empty()) return facts;
  const absl::StatusOr<Address> address = ParseAddress(store);
  if (!address.ok()) return address.status();
  const HttpResult result = Call(*address, "GET", "/catalogue");
  if (!result.is_ok()) {
    return absl::UnavailableError(
        absl::StrCat("weight store ", store, ": could not read the catalogue"));
  }
  facts.catalogue = ParseCatalogue(result.response.body);
  return facts;
}

void PrintFindings(const std::string& path,
                   const std::vector<Finding>& findings, OutputFormat format) {
  if (format == OutputFormat::kJson) {
    Json list = Json::array();
    for (const Finding& finding : findings) {
      list.push_back({{"error", finding.severity == Finding::Severity::kError},
                      {"rule", finding.rule},
                      {"line", finding.line},
                      {"message", finding.message}});
    }
    std::cout << list.dump(2) << "\n";
    return;
  }
  for (const Finding& finding : findings) {
    std::cout << path << ": " << finding.ToString() << "\n";
  }
  if (findings.empty()) std::cout << path << ": no findings\n";
}

// Reads the control stream from the log service and folds all its records.
absl::StatusOr<ControlFold> ReadControl(const Address& log) {
  ControlFold fold;
  while (true) {
    const HttpResult result =
        Call(log, "GET",
             TargetWithQuery(absl::StrCat("/log/", kControlStream, "/read"),
                             {{"from", absl::StrCat(fold.next_offset())}}));
    if (!result.is_ok()) {
      return absl::UnavailableError(
          absl::StrCat("log service ", log.ToString(),
                       ": could not read the control stream"));
    }
    const LogOffset from = fold.next_offset();
    const auto batch =
        ParseLogBatch(kControlStream, from, result.response.body);
    if (!batch) return absl::DataLossError("malformed batch of log records");
    const bool is_last = batch->records.empty() ||
                         batch->records.back().offset + 1 >= batch->next_offset;
    fold.Apply(*batch);
    if (is_last) return fold;
    if (fold.next_offset() <= from) {
      return absl::DataLossError("the log sends the same records again");
    }
  }
}

CommandExit ReportPublish(const PublishOutcome& outcome,
                          const RuleRegistry& rules, OutputFormat format) {
  const bool is_accepted = outcome.result == RuleRegistry::Result::kAccepted;
  const auto current = rules.current();
  const std::string author = current ? current->set.author : "";
  const std::string why = outcome.result == RuleRegistry::Result::kStaleBase
                              ? "another rule set was published first"
                              : "the rule set is invalid";
  if (format == OutputFormat::kJson) {
    std::cout << Json{{"accepted", is_accepted},
                      {"version", is_accepted ? outcome.offset : 0},
                      {"in_force", rules.version()},
                      {"in_force_author", author},
                      {"reason", is_accepted ? "" : why}}
                     .dump(2)
              << "\n";
  } else if (is_accepted) {
    std::cout << "published version " << outcome.offset << "\n";
  } else {
    std::cout << "void: " << why << "; version " << rules.version() << " by "
              << author << " is in force\n";
  }
  return is_accepted ? CommandExit::kOk : CommandExit::kFailed;
}

// Reads the log until it shows whether the published record was accepted. The
// response to its append may have been lost (`is_answered` is false).
CommandExit AwaitPublishOutcome(const Address& log, const std::string& id,
                                bool is_answered, OutputFormat format) {
  for (int i = 0; i < kMaxReadBackAttempts; ++i) {
    const absl::StatusOr<ControlFold> fold = ReadControl(log);
    if (fold.ok()) {
      const auto it = fold->outcomes().find(id);
      if (it != fold->outcomes().end()) {
        return ReportPublish(it->second, fold->rules(), format);
      }
      // The record is not in the log: the append was lost before it took
      // effect, unless it is still in transit.
      if (!is_answered && i >= kMaxReadBackAttempts / 2) {
        return Fail(
            CommandExit::kFailed,
            "the log does not contain the record; nothing was published");
      }
    }
    std::this_thread::sleep_for(kReadBackPause);
  }
  return Fail(CommandExit::kUnknown,
              absl::StrCat("the log shows no outcome of record ", id,
                           "; it may or may not be published: check with "
                           "'applehall rules show'"));
}

absl::StatusOr<Json> FetchJson(const std::string& host,
                               const std::string& target) {
  const absl::StatusOr<Address> address = ParseAddress(host);
  if (!address.ok()) return address.status();
  const HttpResult result = Call(*address, "GET", target);
  if (!result.is_ok()) {
    return absl::UnavailableError(absl::StrCat(host, ": request failed",
                                               result.error.empty() ? "" : ": ",
                                               result.error));
  }
  return ParseJson(result.response.body);
}

// Returns a member of an object; null if there is none.
Json Member(const Json& object, const char* key) {
  return object.is_object() ? object.value(key, Json()) : Json();
}

CommandExit FailWithStatus(const absl::Status& status) {
  return Fail(absl::IsUnavailable(status) ? CommandExit::kUnreachable
                                          : CommandExit::kBadInput,
              std::string(status.message()));
}

RequestFacts FactsFromJson(const Json& json) {
  RequestFacts facts;
  facts.caller = FieldOr<std::string>(json, "caller", "anonymous");
  facts.method = FieldOr<std::string>(json, "method", "POST");
  facts.path = FieldOr<std::string>(json, "path", "/v1/chat/completions");
  facts.model = FieldOr<std::string>(json, "model", "");
  facts.service = FieldOr<std::string>(json, "service", "");
  if (json.contains("headers") && json["headers"].is_object()) {
    for (const auto& [name, value] : json["headers"].items()) {
      if (value.is_string()) facts.headers[name] = value.get<std::string>();
    }
  }
  return facts;
}

SystemFacts SystemFromJson(const Json& json) {
  SystemFacts system;
  system.now = SystemClock().Now();
  const int64_t at = FieldOr<int64_t>(json, "time_ms", 0);
  if (at > 0) system.now = FromUnixMillis(at);
  system.data_centre = FieldOr<std::string>(json, "data_centre", "");
  system.log_down = FieldOr<bool>(json, "log_down", false);
  system.replicas = FieldOr<int>(json, "replicas", 0);
  return system;
}

}  // namespace

CommandExit CheckRulesFile(const std::string& path, const std::string& store,
                           OutputFormat format) {
  const absl::StatusOr<CheckFacts> facts = FetchCheckFacts(store);
  if (!facts.ok()) return FailWithStatus(facts.status());
  const absl::StatusOr<LoadedRules> loaded = LoadRules(path, *facts);
  if (!loaded.ok()) return FailWithStatus(loaded.status());
  PrintFindings(path, loaded->parsed.findings, format);
  return loaded->parsed.has_errors() ? CommandExit::kFailed : CommandExit::kOk;
}

CommandExit ExplainRulesFile(const std::string& path, OutputFormat format) {
  const absl::StatusOr<LoadedRules> loaded = LoadRules(path, {});
  if (!loaded.ok()) return FailWithStatus(loaded.status());
  const std::string text = ExplainRuleSet(loaded->parsed.set);
  if (format == OutputFormat::kJson) {
    std::cout << Json{{"explanation", text}}.dump(2) << "\n";
  } else {
    std::cout << text;
  }
  if (!loaded->parsed.has_errors()) return CommandExit::kOk;
  PrintFindings(path, loaded->parsed.findings, OutputFormat::kText);
  return CommandExit::kFailed;
}

CommandExit DiffRulesFiles(const std::string& before, const std::string& after,
                           OutputFormat format) {
  const absl::StatusOr<LoadedRules> old_rules = LoadRules(before, {});
  if (!old_rules.ok()) return FailWithStatus(old_rules.status());
  const absl::StatusOr<LoadedRules> new_rules = LoadRules(after, {});
  if (!new_rules.ok()) return FailWithStatus(new_rules.status());
  const std::string text =
      DiffRuleSets(old_rules->parsed.set, new_rules->parsed.set);
  if (format == OutputFormat::kJson) {
    std::cout << Json{{"difference", text}}.dump(2) << "\n";
  } else {
    std::cout << text;
  }
  return CommandExit::kOk;
}

CommandExit TestRulesFile(const std::string& path, const std::string& request,
                          OutputFormat format) {
  const absl::StatusOr<LoadedRules> loaded = LoadRules(path, {});
  if (!loaded.ok()) return FailWithStatus(loaded.status());
  if (loaded->parsed.has_errors()) {
    PrintFindings(path, loaded->parsed.findings, format);
    return CommandExit::kFailed;
  }
  const absl::StatusOr<std::string> text = ReadFile(request);
  if (!text.ok()) return FailWithStatus(text.status());
  const absl::StatusOr<Json> json = ParseJson(*text);
  if (!json.ok()) return FailWithStatus(json.status());
  const RequestFacts facts = FactsFromJson(*json);
  const SystemFacts system = SystemFromJson(*json);
  Json skipped = Json::array();
  for (const Rule& rule : loaded->parsed.set.rules) {
    const std::string why = rule.when.MismatchReason(facts, system);
    if (!why.empty()) {
      skipped.push_back({{"rule", rule.name}, {"why_not", why}});
      continue;
    }
    if (format == OutputFormat::kJson) {
      std::cout << Json{{"decides", rule.name},
                        {"means", ExplainRule(rule)},
                        {"passed_over", skipped}}
                       .dump(2)
                << "\n";
      return CommandExit::kOk;
    }
    for (const Json& item : skipped) {
      std::cout << "not " << item["rule"].get<std::string>() << ": "
                << item["why_not"].get<std::string>() << "\n";
    }
    std::cout << "decides " << ExplainRule(rule) << "\n";
    return CommandExit::kOk;
  }
  return Fail(CommandExit::kFailed, "no rule matches");
}

CommandExit PublishRulesFile(const std::string& path, uint64_t base,
                             const std::string& log, const std::string& store,
                             OutputFormat format) {
  const absl::StatusOr<Address> address = ParseAddress(log);
  if (!address.ok()) return FailWithStatus(address.status());
  const absl::StatusOr<CheckFacts> facts = FetchCheckFacts(store);
  if (!facts.ok()) return FailWithStatus(facts.status());
  const absl::StatusOr<LoadedRules> loaded = LoadRules(path, *facts);
  if (!loaded.ok()) return FailWithStatus(loaded.status());
  if (loaded->parsed.has_errors()) {
    PrintFindings(path, loaded->parsed.findings, format);
    return CommandExit::kFailed;
  }
  const absl::StatusOr<ControlFold> fold = ReadControl(*address);
  if (!fold.ok()) return FailWithStatus(fold.status());
  const auto current = fold->rules().current();
  if (fold->rules().version() != base) {
    return ReportPublish({RuleRegistry::Result::kStaleBase, 0, 0},
                         fold->rules(), format);
  }
  // The log gets a delta if that is smaller than the whole document.
  Json body{{"document", loaded->document}};
  if (current) {
    const Json delta =
        RuleSetDelta::Between(current->Document(), loaded->document).ToJson();
    if (delta.dump().size() < loaded->document.dump().size()) {
      body = Json{{"delta", delta}};
    }
  }
  const TimePoint now = SystemClock().Now();
  Random random(static_cast<uint64_t>(now.time_since_epoch().count()) ^
                static_cast<uint64_t>(::getpid()) << 40);
  const std::string id = MakeUuid7(now, random);
  const HttpResult result =
      Call(*address, "POST", absl::StrCat("/log/", kControlStream, "/append"),
           PublishRecord(id, base, body).dump());
  return AwaitPublishOutcome(*address, id, result.is_ok(), format);
}

CommandExit ShowRules(const std::string& log, OutputFormat format) {
  const absl::StatusOr<Address> address = ParseAddress(log);
  if (!address.ok()) return FailWithStatus(address.status());
  const absl::StatusOr<ControlFold> fold = ReadControl(*address);
  if (!fold.ok()) return FailWithStatus(fold.status());
  const auto current = fold->rules().current();
  if (!current) {
    std::cout << (format == OutputFormat::kJson ? "{\"version\": 0}"
                                                : "no rule set is in force")
              << "\n";
    return CommandExit::kOk;
  }
  if (format == OutputFormat::kJson) {
    std::cout << Json{{"version", current->version},
                      {"document", current->Document()}}
                     .dump(2)
              << "\n";
  } else {
    std::cout << "version " << current->version << "\n"
              << ExplainRuleSet(current->set);
  }
  return CommandExit::kOk;
}

CommandExit ShowState(const std::string& host, OutputFormat) {
  const absl::StatusOr<Json> state = FetchJson(host, "/state");
  if (!state.ok()) return FailWithStatus(state.status());
  std::cout << state->dump(2) << "\n";
  return CommandExit::kOk;
}

CommandExit ShowDecisions(const std::string& host, const std::string& request,
                          OutputFormat format) {
  QueryParameters query;
  if (!request.empty()) query.emplace_back("request", request);
  const absl::StatusOr<Json> list =
      FetchJson(host, TargetWithQuery("/decisions", query));
  if (!list.ok()) return FailWithStatus(list.status());
  if (format == OutputFormat::kJson) {
    std::cout << list->dump(2) << "\n";
    return CommandExit::kOk;
  }
  for (const Json& item : *list) {
    std::cout << FieldOr<std::string>(item, "request", "-") << " "
              << FieldOr<std::string>(item, "action", "")
              << " rule=" << FieldOr<std::string>(item, "rule", "")
              << " target=" << FieldOr<std::string>(item, "target", "")
              << " backend=" << FieldOr<std::string>(item, "backend", "")
              << " verdict=" << FieldOr<std::string>(item, "verdict", "")
              << " waited_ms=" << FieldOr<int64_t>(item, "waited_ms", 0)
              << " took_ms=" << FieldOr<int64_t>(item, "took_ms", 0) << " "
              << FieldOr<std::string>(item, "reason", "") << "\n";
  }
  return CommandExit::kOk;
}

CommandExit ExplainRequest(const std::string& request,
                           const std::vector<std::string>& log_files,
                           OutputFormat format) {
  std::vector<LogLine> lines;
  if (log_files.empty()) lines = ReadLogLines(std::cin);
  for (const std::string& path : log_files) {
    std::ifstream file(path);
    if (!file) {
      return Fail(CommandExit::kBadInput,
                  absl::StrCat(path, ": cannot open the log file"));
    }
    std::vector<LogLine> more = ReadLogLines(file);
    std::move(more.begin(), more.end(), std::back_inserter(lines));
  }
  const std::vector<LogLine> timeline =
      BuildRequestTimeline(std::move(lines), request);
  if (timeline.empty()) {
    return Fail(CommandExit::kFailed,
                absl::StrCat("no log line contains request ", request,
                             "; check that the logs of all hosts are given"));
  }
  const TimePoint end = timeline.back().time;
  for (const LogLine& line : timeline) {
    const int64_t before_end_ms = ToMillis(end - line.time);
    if (format == OutputFormat::kJson) {
      std::cout << DumpJson(Json{{"time_ms", ToUnixMillis(line.time)},
                                 {"before_end_ms", before_end_ms},
                                 {"host", line.host},
                                 {"event", line.event},
                                 {"keys", line.keys}})
                << "\n";
    } else {
      std::cout << "-" << before_end_ms << " ms  " << line.host << "  "
                << line.Text() << "\n";
    }
  }
  return CommandExit::kOk;
}

CommandExit ShowLoads(const std::string& host, OutputFormat format) {
  const absl::StatusOr<Json> state = FetchJson(host, "/state");
  if (!state.ok()) return FailWithStatus(state.status());
  const Json engines = Member(*state, "engines");
  if (format == OutputFormat::kJson) {
    std::cout << engines.dump(2) << "\n";
    return CommandExit::kOk;
  }
  for (const auto& [name, engine] : engines.items()) {
    std::cout << name << " running=" << FieldOr<int>(engine, "running", 0)
              << "/" << FieldOr<int>(engine, "slots", 0)
              << " ready=" << Member(engine, "ready").dump() << "\n";
  }
  return CommandExit::kOk;
}

CommandExit ShowHosts(const std::string& host, OutputFormat format) {
  const absl::StatusOr<Json> state = FetchJson(host, "/state");
  if (!state.ok()) return FailWithStatus(state.status());
  const Json hosts = Member(Member(*state, "hosts"), "list");
  if (format == OutputFormat::kJson) {
    std::cout << hosts.dump(2) << "\n";
    return CommandExit::kOk;
  }
  for (const auto& [name, entry] : hosts.items()) {
    std::cout << name << " " << FieldOr<std::string>(entry, "data_centre", "")
              << " " << FieldOr<std::string>(entry, "address", "")
              << (FieldOr<bool>(entry, "leaving", false) ? " leaving" : "")
              << "\n";
  }
  return CommandExit::kOk;
}

}  // namespace applehall
